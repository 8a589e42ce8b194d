//! Runs a Rocket server on loopback for a stand-in, behind a relay that injects faults.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rocket::Build;
use rocket::Rocket;
use rocket::Shutdown;
use rocket::config::Config;
use rocket::config::Ident;
use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::data::Limits;
use rocket::data::ToByteUnit;
use rocket::fairing::AdHoc;
use tokio::sync::oneshot;

use crate::relay::Link;
use crate::relay::Relay;

/// Maximum request body size of a stand-in, in mebibytes.
const BODY_LIMIT_MIB: u64 = 64;

/// Locks `mutex`, even if it was poisoned by a panicking test thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serializes the creation and launch of servers.
///
/// Rocket sets a process-wide log level, to its default when a server is created and to the
/// configured level when it is launched; concurrent launches would log at the wrong level.
static LAUNCHING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// How clients connect to a stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Entrance {
    /// Through a relay, so that it can be killed, frozen, cut and delayed.
    #[default]
    Relay,
    /// Directly, without fault injection; for measurements.
    Direct,
}

/// A running server that can inject faults of its host and link.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    relay: Option<Arc<Relay>>,
    shutdown: Shutdown,
}

impl Server {
    /// Launches the server that `build` returns for an empty one, on a free port of the loopback
    /// address and the caller's runtime.
    pub(crate) async fn launch(
        build: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
        entrance: Entrance,
    ) -> io::Result<Server> {
        let launching = LAUNCHING.lock().await;
        let rocket = build(rocket::custom(config()));
        let (sender, receiver) = oneshot::channel();
        let liftoff = AdHoc::on_liftoff("port", move |rocket| {
            Box::pin(async move {
                let _ = sender.send((rocket.config().port, rocket.shutdown()));
            })
        });
        tokio::spawn(rocket.attach(liftoff).launch());
        let (port, shutdown) = receiver.await.map_err(io::Error::other)?;
        drop(launching);
        let inner = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let relay = match entrance {
            Entrance::Relay => Some(Arc::new(Relay::start(inner).await?)),
            Entrance::Direct => None,
        };
        let addr = relay.as_ref().map_or(inner, |relay| relay.addr());
        Ok(Server { addr, relay, shutdown })
    }

    /// Returns the address that clients connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the relay in front of the server, if there is one.
    pub(crate) fn relay(&self) -> Option<Arc<Relay>> {
        self.relay.clone()
    }

    /// Closes all connections and refuses new ones, as after a process exit.
    pub fn refuse(&self) {
        if let Some(relay) = &self.relay {
            relay.refuse();
        }
    }

    /// Accepts connections again after `refuse`.
    pub async fn accept(&self) -> io::Result<()> {
        match &self.relay {
            Some(relay) => relay.listen().await,
            None => Ok(()),
        }
    }

    /// Closes all open connections; new ones are accepted.
    pub fn drop_connections(&self) {
        if let Some(relay) = &self.relay {
            relay.drop_connections();
        }
    }

    /// Sets the state of the link between clients and the server.
    pub fn set_link(&self, link: Link) {
        if let Some(relay) = &self.relay {
            relay.set_link(link);
        }
    }

    /// Sets the one-way latency to `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.set_link(Link { delay, ..Link::default() });
    }

    /// Blocks all bytes or lets them through again.
    pub fn set_frozen(&self, frozen: bool) {
        self.set_link(Link { forth_cut: frozen, back_cut: frozen, ..Link::default() });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Returns a configuration without logging or signal handling that ignores the environment.
fn config() -> Config {
    let shutdown = ShutdownConfig {
        ctrlc: false,
        signals: Default::default(),
        grace: 0,
        mercy: 0,
        ..ShutdownConfig::default()
    };
    let limit = BODY_LIMIT_MIB.mebibytes();
    let limits = ["json", "bytes", "string"]
        .into_iter()
        .fold(Limits::default(), |limits, name| limits.limit(name, limit));
    Config {
        address: Ipv4Addr::LOCALHOST.into(),
        port: 0,
        ident: Ident::none(),
        limits,
        shutdown,
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::release_default()
    }
}
