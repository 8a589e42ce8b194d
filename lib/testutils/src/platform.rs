//! The platform stand-in: the configuration service and the list of live hosts.
//!
//! Both are read and watched by long polling, share one rate limit, and can be made unavailable
//! or stale.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use rocket::Build;
use rocket::Rocket;
use rocket::State;
use rocket::get;
use rocket::http::Status;
use rocket::routes;
use rocket::serde::json::Json;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::live::LiveHosts;
use crate::rate::RateWindow;
use crate::server::Entrance;
use crate::server::Server;
use crate::server::lock;

/// Window of the rate limit.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Maximum wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Interval at which a watch checks whether a delayed list is due.
const LAG_TICK: Duration = Duration::from_millis(20);

/// The configuration version that the service returns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConfigView {
    /// The newest version.
    #[default]
    Newest,
    /// An older version, as from a replica that is behind: a watch for a later version waits.
    Stale(u64),
    /// An older version, returned to each reader that has a different one, as after a restore.
    Restored(u64),
}

/// Counters of the platform since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Calls for the configuration.
    pub config: u64,
    /// Calls for the list of live hosts.
    pub live: u64,
    /// Calls rejected by the rate limit.
    pub refused: u64,
    /// The peak number of calls in one second.
    pub peak: u32,
}

#[derive(Debug)]
struct Published {
    config: Vec<Arc<str>>,
    view: ConfigView,
    live: Vec<(Instant, Arc<LiveHosts>)>,
    live_lag: Duration,
}

#[derive(Debug)]
struct Core {
    published: Mutex<Published>,
    window: Mutex<RateWindow>,
    counts: Mutex<PlatformCounts>,
    changes: watch::Sender<u64>,
}

/// Addresses of entry hosts that replace their published peer addresses for one reader.
pub type PeerRoutes = HashMap<String, SocketAddr>;

/// State of the server for one reader.
#[derive(Debug)]
struct View {
    core: Arc<Core>,
    routes: PeerRoutes,
}

/// A platform server for a single reader, which can be made unavailable independently.
#[derive(Debug)]
pub struct PlatformView {
    server: Server,
}

impl PlatformView {
    async fn start(core: Arc<Core>, routes: PeerRoutes) -> io::Result<PlatformView> {
        let view = View { core, routes };
        let build = |rocket: Rocket<Build>| rocket.manage(view).mount("/", routes![config, live]);
        let server = Server::launch(build, Entrance::Relay).await?;
        Ok(PlatformView { server })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Starts refusing connections.
    pub fn stop(&self) {
        self.server.refuse();
    }

    /// Accepts connections again.
    pub async fn resume(&self) -> io::Result<()> {
        self.server.accept().await
    }

    /// Returns the server, for injecting faults of its host and link.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

/// A running platform, stopped on drop.
#[derive(Debug)]
pub struct Platform {
    core: Arc<Core>,
    own: PlatformView,
}

impl Platform {
    /// Starts a platform without a configuration or hosts.
    pub async fn start() -> io::Result<Platform> {
        let published = Published {
            config: Vec::new(),
            view: ConfigView::Newest,
            live: vec![(Instant::now(), Arc::default())],
            live_lag: Duration::ZERO,
        };
        let core = Arc::new(Core {
            published: Mutex::new(published),
            window: Mutex::new(RateWindow::new(RATE_SPAN, None)),
            counts: Mutex::default(),
            changes: watch::Sender::new(0),
        });
        let own = PlatformView::start(core.clone(), PeerRoutes::new()).await?;
        Ok(Platform { core, own })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.own.addr()
    }

    /// Starts a server for one reader, with different addresses for some entry hosts.
    ///
    /// With a relay at each address, a test can cut the link between any two entry hosts.
    pub async fn view(&self, routes: PeerRoutes) -> io::Result<PlatformView> {
        PlatformView::start(self.core.clone(), routes).await
    }

    /// Publishes a configuration and returns its version, from one.
    pub fn publish(&self, text: impl Into<Arc<str>>) -> u64 {
        let mut published = lock(&self.core.published);
        published.config.push(text.into());
        let version = published.config.len() as u64;
        drop(published);
        self.core.notify_watches();
        version
    }

    /// Changes the list of live hosts and returns its new version.
    pub fn edit_live(&self, edit: impl FnOnce(&mut LiveHosts)) -> u64 {
        let mut published = lock(&self.core.published);
        let mut hosts =
            published.live.last().map(|(_, hosts)| (**hosts).clone()).unwrap_or_default();
        edit(&mut hosts);
        hosts.version += 1;
        let version = hosts.version;
        published.live.push((Instant::now(), Arc::new(hosts)));
        drop(published);
        self.core.notify_watches();
        version
    }

    /// Returns the newest list of live hosts, without the lag.
    pub fn live(&self) -> Arc<LiveHosts> {
        let published = lock(&self.core.published);
        published.live.last().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// Sets which configuration version the service returns.
    pub fn set_view(&self, view: ConfigView) {
        lock(&self.core.published).view = view;
        self.core.notify_watches();
    }

    /// Sets the delay before changes of the list of live hosts become visible.
    pub fn set_live_lag(&self, lag: Duration) {
        lock(&self.core.published).live_lag = lag;
    }

    /// Sets the rate limit, in calls per second.
    pub fn set_rate(&self, calls: Option<u32>) {
        lock(&self.core.window).set_limit(calls);
    }

    /// Starts refusing connections.
    pub fn stop(&self) {
        self.own.stop();
    }

    /// Accepts connections again.
    pub async fn resume(&self) -> io::Result<()> {
        self.own.resume().await
    }

    /// Returns the server, for injecting faults of its host and link.
    pub fn server(&self) -> &Server {
        self.own.server()
    }

    /// Returns the counters.
    pub fn counts(&self) -> PlatformCounts {
        let mut counts = *lock(&self.core.counts);
        counts.peak = lock(&self.core.window).peak();
        counts
    }
}

impl Core {
    fn notify_watches(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    /// Counts a call and returns whether it is within the rate limit.
    fn allow(&self, count: impl FnOnce(&mut PlatformCounts)) -> bool {
        let allowed = lock(&self.window).allow();
        let mut counts = lock(&self.counts);
        count(&mut counts);
        counts.refused += u64::from(!allowed);
        allowed
    }

    /// Returns the configuration for a reader that has version `after`; `None` if it must wait.
    fn config(&self, after: u64) -> Option<Value> {
        let published = lock(&self.published);
        let newest = published.config.len() as u64;
        let (version, is_news) = match published.view {
            ConfigView::Newest => (newest, newest > after),
            ConfigView::Stale(version) => (version, version > after),
            ConfigView::Restored(version) => (version, version != after),
        };
        let index = usize::try_from(version.checked_sub(1)?).ok()?;
        let text = published.config.get(index).filter(|_| is_news)?;
        Some(json!({ "version": version, "text": &**text }))
    }

    /// Returns the list for a reader that has version `after`; `None` if it must wait.
    fn live(&self, after: u64, routes: &PeerRoutes) -> Option<Value> {
        let published = lock(&self.published);
        let lag = published.live_lag;
        let due = published.live.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let hosts = due.map(|(_, hosts)| hosts).filter(|hosts| hosts.version > after)?;
        let mut hosts = (**hosts).clone();
        for host in &mut hosts.entry_hosts {
            host.peer_addr = routes.get(&host.name).copied().unwrap_or(host.peer_addr);
        }
        serde_json::to_value(hosts).ok()
    }

    /// Polls `poll` until it returns a value or `wait` has elapsed.
    async fn wait_for(&self, wait: Duration, poll: impl Fn() -> Option<Value>) -> Option<Value> {
        let mut changes = self.changes.subscribe();
        let end = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        loop {
            changes.mark_unchanged();
            if let Some(found) = poll() {
                return Some(found);
            }
            let now = tokio::time::Instant::now();
            if now >= end {
                return None;
            }
            let _ = tokio::time::timeout_at(end.min(now + LAG_TICK), changes.changed()).await;
        }
    }
}

/// A JSON response, or a status without a body.
type Answer = Result<Json<Value>, (Status, ())>;

#[get("/config?<after>&<wait_ms>")]
async fn config(view: &State<View>, after: Option<u64>, wait_ms: Option<u64>) -> Answer {
    let core = &view.core;
    if !core.allow(|counts| counts.config += 1) {
        return Err((Status::TooManyRequests, ()));
    }
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    let found = core.wait_for(wait, || core.config(after.unwrap_or(0))).await;
    found.map(Json).ok_or((Status::NotModified, ()))
}

#[get("/live?<after>&<wait_ms>")]
async fn live(view: &State<View>, after: Option<u64>, wait_ms: Option<u64>) -> Answer {
    let core = &view.core;
    if !core.allow(|counts| counts.live += 1) {
        return Err((Status::TooManyRequests, ()));
    }
    let wait = Duration::from_millis(wait_ms.unwrap_or(0));
    let found = core.wait_for(wait, || core.live(after.unwrap_or(0), &view.routes)).await;
    found.map(Json).ok_or((Status::NotModified, ()))
}
