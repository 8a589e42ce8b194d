//! Runs a Rocket server on loopback for a stand-in, behind a relay that carries its faults.

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

/// The largest body that a stand-in reads, in mebibytes.
const BODY_LIMIT_MIB: u64 = 64;

/// Locks `mutex`, also when a test's thread panicked while it held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Held while a server is made and launched.
///
/// Rocket sets the level of its log for the whole process, to its own default when a server is made
/// and to the configured one when it is launched; two at a time would log each other's launch.
static LAUNCHING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Where a stand-in's clients reach it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Entrance {
    /// Through a relay, so that it can be killed, frozen, cut and delayed.
    #[default]
    Relay,
    /// At the server itself, without a way for faults; for measurements.
    Direct,
}

/// A running server with the switches for faults of its host and link.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    relay: Option<Arc<Relay>>,
    shutdown: Shutdown,
}

impl Server {
    /// Launches what `equip` makes of an empty server on a free port of the loopback address, on
    /// the caller's runtime.
    pub(crate) async fn launch(
        equip: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
        entrance: Entrance,
    ) -> io::Result<Server> {
        let launching = LAUNCHING.lock().await;
        let rocket = equip(rocket::custom(config()));
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

    /// Returns the address for clients.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the relay in front of the server, if there is one.
    pub(crate) fn relay(&self) -> Option<Arc<Relay>> {
        self.relay.clone()
    }

    /// Closes all connections and refuses new ones, as when the process has ended.
    pub fn refuse(&self) {
        if let Some(relay) = &self.relay {
            relay.refuse();
        }
    }

    /// Takes connections again after `refuse`.
    pub async fn accept(&self) -> io::Result<()> {
        match &self.relay {
            Some(relay) => relay.listen().await,
            None => Ok(()),
        }
    }

    /// Closes all open connections; new ones are taken.
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

    /// Delays each byte by `delay`, one way.
    pub fn set_delay(&self, delay: Duration) {
        self.set_link(Link { delay, ..Link::default() });
    }

    /// Holds all bytes back, or lets them through again.
    pub fn set_frozen(&self, frozen: bool) {
        self.set_link(Link { forth_cut: frozen, back_cut: frozen, ..Link::default() });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Returns a configuration without logs and signals that does not look at the environment.
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
