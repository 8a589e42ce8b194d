//! `wasabicrank stand-ins`: simulates a platform, engines and services on loopback, to try out entry
//! hosts manually.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::protocol::parse_rules;
use wasabicrank_lib::state::Rules;
use wasabicrank_testutils::engine::Engine;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::engine_orders::LoadedModel;
use wasabicrank_testutils::live::HostState;
use wasabicrank_testutils::live::LiveEngine;
use wasabicrank_testutils::live::LiveEntryHost;
use wasabicrank_testutils::live::LiveService;
use wasabicrank_testutils::platform::Platform;
use wasabicrank_testutils::service::Service;
use wasabicrank_testutils::service::ServiceRuns;
use wasabicrank_testutils::weight_store::WeightStore;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// The interval at which the rules file is checked for changes.
const RULES_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The suffixes of the zone names of engines and services.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The number of engines in each zone.
const ENGINES_PER_ZONE: usize = 5;

/// The number of weight loads per minute that the weight store allows.
const WEIGHT_LOADS_PER_MINUTE: u32 = 60;

/// Run stand-ins for the platform, 15 engines and the services that the rules name, until it is
/// interrupted. The rules file is published at the start and whenever it changes, also with
/// mistakes, so that entry hosts can be seen to refuse them.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "stand-ins",
    example = "{command_name} --rules my.rules --settings examples/settings-local-1.json \\\n      \
               --settings examples/settings-local-2.json --settings examples/settings-local-3.json",
    note = "Versions begin at 1 with each start; start the entry hosts anew after it.",
    error_code(1, "a file is wrong or a port is taken"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct StandIns {
    /// the rules file to publish
    #[argh(option, arg_name = "file")]
    rules: PathBuf,
    /// the settings file of an entry host, which gets onto the live list; give one for each
    #[argh(option, arg_name = "file")]
    settings: Vec<PathBuf>,
}

/// The running stand-ins, which stop when this value is dropped.
struct RunningStandIns {
    platform: Platform,
    engines: Vec<Engine>,
    services: Vec<Service>,
    weights: WeightStore,
}

impl StandIns {
    /// Runs the stand-ins until the process is interrupted.
    pub(crate) fn run(self) -> Exit {
        if self.settings.is_empty() {
            print_stderr("`wasabicrank stand-ins` needs at least one `--settings FILE`.");
            return Exit::UsageError;
        }
        let outcome = self.read_hosts().and_then(|hosts| {
            let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
            runtime.block_on(self.serve(&hosts))
        });
        match outcome {
            Ok(()) => Exit::Success,
            Err(message) => {
                print_stderr(&message);
                Exit::Failure
            }
        }
    }

    /// Reads the settings of all entry hosts, which must name the same platform address.
    fn read_hosts(&self) -> Result<Vec<Settings>, String> {
        let read = |path: &PathBuf| Settings::read(path).map_err(|report| report.to_string());
        let hosts: Vec<Settings> = self.settings.iter().map(read).collect::<Result<_, _>>()?;
        match hosts.iter().find(|host| host.platform != hosts[0].platform) {
            Some(other) => Err(format!(
                "{} names the platform {}, {} names {}",
                hosts[0].host, hosts[0].platform, other.host, other.platform
            )),
            None => Ok(hosts),
        }
    }

    async fn serve(&self, hosts: &[Settings]) -> Result<(), String> {
        let mut text = read_text(&self.rules)?;
        let rules = parse_rules(1, &self.rules.display().to_string(), &text)
            .map_err(|errors| errors.iter().map(|e| format!("{e}\n")).collect::<String>())?;
        let platform_addr = hosts[0].platform;
        let running = start(&rules, hosts, platform_addr)
            .await
            .map_err(|error| format!("{platform_addr}: {error}"))?;
        print(&format!("platform on {platform_addr}\n{}", running.describe()));
        loop {
            let version = running.platform.publish(text.clone());
            print(&format!("published {} as version {version}\n", self.rules.display()));
            text = wait_for_change(&self.rules, &text).await;
        }
    }
}

impl RunningStandIns {
    /// Returns the number of engines and the addresses of the services and the weight store.
    fn describe(&self) -> String {
        let engines = self.engines.len();
        let services: Vec<String> =
            self.services.iter().map(|service| service.addr().to_string()).collect();
        format!(
            "{engines} engines, services on {}, weight store on {}\n",
            services.join(" "),
            self.weights.addr()
        )
    }
}

/// Polls the file until it can be read and its text differs from `old`.
async fn wait_for_change(path: &Path, old: &str) -> String {
    loop {
        tokio::time::sleep(RULES_POLL_INTERVAL).await;
        // An editor may briefly remove the file while it saves.
        match read_text(path) {
            Ok(text) if text != old => return text,
            _ => continue,
        }
    }
}

fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("{}: cannot be read: {error}", path.display()))
}

/// Starts all stand-ins and forwards connections from `platform_addr` to the platform.
async fn start(
    rules: &Rules,
    hosts: &[Settings],
    platform_addr: SocketAddr,
) -> io::Result<RunningStandIns> {
    let listener = TcpListener::bind(platform_addr).await?;
    let weights = WeightStore::start(WEIGHT_LOADS_PER_MINUTE, Duration::ZERO).await?;
    let platform = Platform::start().await?;
    let mut running =
        RunningStandIns { platform, engines: Vec::new(), services: Vec::new(), weights };
    for host in hosts {
        let live = LiveEntryHost {
            name: host.host.to_string(),
            zone: host.zone.to_string(),
            peer_addr: host.peer_addr(),
        };
        running.platform.edit_live(|list| list.entry_hosts.push(live));
    }
    for zone in ZONES {
        start_zone(&mut running, rules, zone).await?;
    }
    tokio::spawn(forward(listener, running.platform.addr()));
    Ok(running)
}

/// Starts the engines and services of one zone.
async fn start_zone(running: &mut RunningStandIns, rules: &Rules, zone: &str) -> io::Result<()> {
    let models: Vec<LoadedModel> = rules
        .models
        .iter()
        .map(|(name, rule)| LoadedModel::new(name.as_str(), &rule.revision))
        .collect();
    let state = HostState::Live;
    for number in 1..=ENGINES_PER_ZONE {
        let weight_store = Some(running.weights.addr());
        let config =
            EngineConfig { models: models.clone(), weight_store, ..EngineConfig::default() };
        let (memory, fenced) = (config.model.memory, config.fenced);
        let engine = Engine::start(config).await?;
        let (name, addr) = (format!("gpu-{zone}{number}"), engine.addr());
        let zone = format!("zone-{zone}");
        let live = LiveEngine { name, zone, addr, memory, fenced, state };
        running.platform.edit_live(|list| list.engines.push(live));
        running.engines.push(engine);
    }
    for name in rules.services.keys() {
        let service = Service::start(ServiceRuns::default()).await?;
        let (service_name, addr) = (name.to_string(), service.addr());
        let zone = format!("zone-{zone}");
        let live = LiveService { service: service_name, zone, addr, state };
        running.platform.edit_live(|list| list.services.push(live));
        running.services.push(service);
    }
    Ok(())
}

/// Forwards connections from the configured platform address, since the platform's own server listens
/// on an arbitrary free port.
async fn forward(listener: TcpListener, to: SocketAddr) {
    while let Ok((mut inbound, _)) = listener.accept().await {
        tokio::spawn(async move {
            let Ok(mut outbound) = TcpStream::connect(to).await else { return };
            // An error is ignored: either side may close the connection at any time.
            let _ = copy_bidirectional(&mut inbound, &mut outbound).await;
        });
    }
}
