//! The demo's fleet in one process: the stand-ins, and the entry hosts as threads.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use slog::Discard;
use slog::Logger;
use slog::o;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::transport::Daemon;
use wasabicrank_testutils::customers::Customer;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;

/// The path prefix of the plain service, whose calls run at most once.
pub(crate) const SERVICE_PATH: &str = "/enrolment";

/// The time within which engines must have released all memory after the last answer.
const IDLE_WITHIN: Duration = Duration::from_secs(10);

/// A running fleet.
pub(crate) struct DemoFleet {
    /// The stand-ins and the entry hosts' settings.
    pub(crate) stand_ins: Fleet,
    /// The customers that the rules admit.
    pub(crate) customers: Vec<Customer>,
    daemons: Vec<Daemon>,
}

impl DemoFleet {
    /// Starts the stand-ins on the caller's runtime, and the entry hosts.
    pub(crate) async fn start() -> Result<DemoFleet, String> {
        let customers = todays_customers();
        let rules = FleetRules::default().text(&customers);
        let config = FleetConfig { rules, ..FleetConfig::default() };
        let stand_ins = Fleet::start(config).await.map_err(|error| error.to_string())?;
        let mut daemons = Vec::new();
        for host in &stand_ins.hosts {
            daemons.push(start_daemon(&host.settings).await?);
        }
        Ok(DemoFleet { stand_ins, customers, daemons })
    }

    /// Returns the callers' addresses of the entry hosts.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.addrs("caller_port")
    }

    /// Returns the operators' addresses of the entry hosts.
    pub(crate) fn operators(&self) -> Vec<SocketAddr> {
        self.addrs("operator_port")
    }

    /// Returns the bearer token of the first customer.
    pub(crate) fn token(&self) -> &str {
        self.customers.first().map_or("", |customer| &customer.token)
    }

    /// Returns the number of answers that exceeded the memory of an engine.
    pub(crate) fn over_memory(&self) -> u64 {
        self.stand_ins.engines.iter().map(|engine| engine.engine.counts().over_memory).sum()
    }

    /// Waits until no engine holds any memory, and returns whether that happened within `IDLE_WITHIN`.
    pub(crate) async fn wait_idle(&self) -> bool {
        self.stand_ins.wait_idle(IDLE_WITHIN).await.is_some()
    }

    /// Stops the entry hosts with a planned stop, as an operator does.
    pub(crate) fn stop(self) {
        for daemon in &self.daemons {
            daemon.stop_handle().stop();
        }
        for daemon in self.daemons {
            daemon.wait();
        }
    }

    fn addrs(&self, port: &str) -> Vec<SocketAddr> {
        let hosts = self.stand_ins.hosts.iter();
        let ports = hosts.filter_map(|host| u16::try_from(host.settings[port].as_u64()?).ok());
        ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
    }
}

/// Starts an entry host on a blocking thread, since `Daemon::start` blocks until its servers listen.
async fn start_daemon(settings: &Value) -> Result<Daemon, String> {
    let settings =
        Settings::parse("demo", &settings.to_string()).map_err(|report| report.to_string())?;
    let log = Logger::root(Discard, o!());
    let start = move || Daemon::start(&settings, log);
    let started = tokio::task::spawn_blocking(start).await.map_err(|error| error.to_string())?;
    started.map_err(|report| format!("{report:?}"))
}
