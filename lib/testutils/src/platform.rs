//! The platform stand-in: the configuration service and the list of live hosts.
//!
//! Both are read and watched by long polling, count each call against one rate, and can be down
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

/// The span over which calls are counted.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// The longest that a watch may wait.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How often a watch looks whether a lagging list is due.
const LAG_TICK: Duration = Duration::from_millis(20);

/// Which configuration the service shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConfigView {
    /// The newest one.
    #[default]
    Newest,
    /// One that was published earlier, as from a replica that is behind: a watch for a version
    /// above it waits.
    Stale(u64),
    /// One that was published earlier, told to each reader that has another, as after a restore.
    Restored(u64),
}

/// What the platform counted since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlatformCounts {
    /// Calls for the configuration.
    pub config: u64,
    /// Calls for the list of live hosts.
    pub live: u64,
    /// Calls that were refused because the rate was used up.
    pub refused: u64,
    /// The most calls in one second.
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

/// Where a reader finds entry hosts instead of their published peer addresses.
pub type PeerRoutes = HashMap<String, SocketAddr>;

/// What one reader's server shows.
#[derive(Debug)]
struct View {
    core: Arc<Core>,
    routes: PeerRoutes,
}

/// A server of the platform for one reader, which it can be down for alone.
#[derive(Debug)]
pub struct PlatformView {
    server: Server,
}

impl PlatformView {
    async fn start(core: Arc<Core>, routes: PeerRoutes) -> io::Result<PlatformView> {
        let view = View { core, routes };
        let equip = |rocket: Rocket<Build>| rocket.manage(view).mount("/", routes![config, live]);
        let server = Server::launch(equip, Entrance::Relay).await?;
        Ok(PlatformView { server })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Refuses all connections.
    pub fn stop(&self) {
        self.server.refuse();
    }

    /// Takes connections again.
    pub async fn resume(&self) -> io::Result<()> {
        self.server.accept().await
    }

    /// Returns the switches for faults of its host and link.
    pub fn server(&self) -> &Server {
        &self.server
    }
}

/// A running platform; it ends when it is dropped.
#[derive(Debug)]
pub struct Platform {
    core: Arc<Core>,
    own: PlatformView,
}

impl Platform {
    /// Starts a platform without configuration and hosts.
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

    /// Starts a server for one reader, to whom some entry hosts are at other addresses.
    ///
    /// With a relay at each of them, a test can cut the links of each pair of entry hosts.
    pub async fn view(&self, routes: PeerRoutes) -> io::Result<PlatformView> {
        PlatformView::start(self.core.clone(), routes).await
    }

    /// Publishes a configuration and returns its version, from one.
    pub fn publish(&self, text: impl Into<Arc<str>>) -> u64 {
        let mut published = lock(&self.core.published);
        published.config.push(text.into());
        let version = published.config.len() as u64;
        drop(published);
        self.core.note_change();
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
        self.core.note_change();
        version
    }

    /// Returns the newest list of live hosts, without its lag.
    pub fn live(&self) -> Arc<LiveHosts> {
        let published = lock(&self.core.published);
        published.live.last().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// Sets which configuration the service shows.
    pub fn set_view(&self, view: ConfigView) {
        lock(&self.core.published).view = view;
        self.core.note_change();
    }

    /// Sets how late changes of the list of live hosts are seen.
    pub fn set_live_lag(&self, lag: Duration) {
        lock(&self.core.published).live_lag = lag;
    }

    /// Sets how many calls a second are answered.
    pub fn set_rate(&self, calls: Option<u32>) {
        lock(&self.core.window).set_limit(calls);
    }

    /// Refuses all connections.
    pub fn stop(&self) {
        self.own.stop();
    }

    /// Takes connections again.
    pub async fn resume(&self) -> io::Result<()> {
        self.own.resume().await
    }

    /// Returns the switches for faults of its host and link.
    pub fn server(&self) -> &Server {
        self.own.server()
    }

    /// Returns what it counted.
    pub fn counts(&self) -> PlatformCounts {
        let mut counts = *lock(&self.core.counts);
        counts.peak = lock(&self.core.window).peak();
        counts
    }
}

impl Core {
    fn note_change(&self) {
        self.changes.send_modify(|change| *change += 1);
    }

    /// Counts a call; tells whether it is within the rate.
    fn allow(&self, count: impl FnOnce(&mut PlatformCounts)) -> bool {
        let allowed = lock(&self.window).allow();
        let mut counts = lock(&self.counts);
        count(&mut counts);
        counts.refused += u64::from(!allowed);
        allowed
    }

    /// Returns the configuration for a reader that has `after`, unless it is to wait.
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

    /// Returns the list for a reader that has `after`, unless it is to wait.
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

    /// Waits until `look` finds something or `wait` is over.
    async fn wait_for(&self, wait: Duration, look: impl Fn() -> Option<Value>) -> Option<Value> {
        let mut changes = self.changes.subscribe();
        let end = tokio::time::Instant::now() + wait.min(MAX_WAIT);
        loop {
            changes.mark_unchanged();
            if let Some(found) = look() {
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

/// A JSON answer, or a status without a body.
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
