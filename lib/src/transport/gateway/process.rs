//! Start, settings reload and planned stop of a gateway process.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rand::random;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::runtime::Builder;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::clock::BootClock;
use super::context::GatewayContext;
use super::dialect::Dialect;
use super::fleet_source::FleetSource;
use super::fleet_source::FleetUpdate;
use super::fleet_source::UPDATE_QUEUE_LEN;
use super::health_checks::run_health_checks;
use super::listener;
use super::moves::MoveClient;
use super::peer_socket;
use super::permits::PermitClient;
use super::telemetry::LineKind;
use super::telemetry::Telemetry;
use crate::coordination::CatalogChange;
use crate::coordination::Gateway;
use crate::coordination::StopPhase;
use crate::coordination::ZoneSource;
use crate::protocol::GatewaySettings;
use crate::state::IsolationChange;
use crate::state::Moment;
use crate::state::ReaderBuffers;
use crate::state::ReaderLimits;
use crate::state::SourcePoint;

/// Buffered request bodies may use the process's memory divided by this number.
const BODY_MEMORY_DIVISOR: u64 = 6;
/// Events that callers have not read may use the process's memory divided by this number.
const UNREAD_MEMORY_DIVISOR: usize = 8;
/// The bytes of events that are held for one caller.
const MAX_UNREAD_BYTES: usize = 256 * 1024;
/// File descriptors that are reserved for files, the log and the platform.
const RESERVED_DESCRIPTORS: u64 = 300;
/// How often a stopping process checks whether all connections are closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The same once all requests have their final responses.
const ENDED_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often missing servers are removed, while there are any, and readiness is checked.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// The limit of the runtime's blocking threads. None are used, since the process resolves no names and
/// reads no files on them, but the runtime requires a limit.
const MAX_BLOCKING_THREADS: usize = 1;

/// An error that prevents a gateway process from running.
#[derive(Debug)]
pub enum GatewayError {
    /// The runtime or a signal handler cannot be created.
    Runtime(io::Error),
    /// An address cannot be bound.
    Listen {
        /// What the address is used for.
        purpose: &'static str,
        /// The address.
        address: String,
        /// The system's error.
        error: io::Error,
    },
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Runtime(error) => write!(f, "the process cannot be set up: {error}"),
            GatewayError::Listen { purpose, address, error } => {
                write!(f, "cannot listen for {purpose} on {address}: {error}")
            }
        }
    }
}

impl std::error::Error for GatewayError {}

/// The components and settings that a gateway is started with.
pub struct GatewayParts {
    /// The settings.
    pub settings: GatewaySettings,
    /// The file from which the settings are reloaded.
    pub path: PathBuf,
    /// The HTTP conventions of callers and servers.
    pub dialect: Box<dyn Dialect>,
    /// The source of the configuration and the server list.
    pub source: Box<dyn FleetSource>,
    /// The clock from which `source` takes its timestamps.
    pub clock: BootClock,
    /// The log.
    pub log: Logger,
}

/// Runs a gateway until it receives SIGTERM or SIGINT and its planned stop ends.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or the runtime cannot be created.
pub fn run_gateway(parts: GatewayParts) -> Result<(), GatewayError> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(MAX_BLOCKING_THREADS)
        .build()
        .map_err(GatewayError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(parts))
}

fn reader_limits(settings: &GatewaySettings) -> ReaderLimits {
    let memory = settings.memory_mb as usize * 1024 * 1024;
    ReaderLimits { each: MAX_UNREAD_BYTES, all: memory / UNREAD_MEMORY_DIVISOR }
}

async fn run(parts: GatewayParts) -> Result<(), GatewayError> {
    let GatewayParts { settings, path, dialect, source, clock, log } = parts;
    let seed: u64 = random();
    info!(log, "start"; "host" => &settings.host, "zone" => &settings.zone,
        "version" => env!("CARGO_PKG_VERSION"), "incarnation" => seed);
    let mut gateway = Gateway::new(settings.bounds(), seed);
    set_seeds(&mut gateway, &settings);
    gateway.set_trusted_parts(clock.now(), settings.trusted_parts());
    let ctx = Rc::new(GatewayContext {
        gateway: RefCell::new(gateway),
        dialect,
        clock,
        telemetry: Telemetry::new(log),
        capacity_freed: Notify::new(),
        load_changed: Notify::new(),
        urgent_summary: Notify::new(),
        schedule_changed: Notify::new(),
        cold_changed: Notify::new(),
        invalid_limits: RefCell::default(),
        permits: PermitClient::default(),
        moves: MoveClient::default(),
        buffered_bytes: Cell::new(0),
        buffer_limit: (settings.memory_mb / BODY_MEMORY_DIVISOR) as usize * 1024 * 1024,
        readers: RefCell::new(ReaderBuffers::new(reader_limits(&settings))),
        queues: RefCell::default(),
        reader_space: Notify::new(),
        connections: Cell::new(0),
        stop_phase: watch::Sender::new(StopPhase::Running),
    });
    // A signal that comes before the listeners are open begins a planned stop as well.
    let signals = StopSignals::receive().map_err(GatewayError::Runtime)?;
    start_listeners(&ctx, &settings).await?;
    let (updates, received) = mpsc::channel(UPDATE_QUEUE_LEN);
    tokio::task::spawn_local(source.follow(updates, ctx.clone()));
    tokio::task::spawn_local(apply_updates(ctx.clone(), received));
    tokio::task::spawn_local(run_maintenance(ctx.clone()));
    tokio::task::spawn_local(run_health_checks(ctx.clone()));
    tokio::task::spawn_local(reload_on_signal(ctx.clone(), path));
    signals.wait().await;
    stop(&ctx, &settings).await;
    Ok(())
}

fn set_seeds(gateway: &mut Gateway, settings: &GatewaySettings) {
    let seeds = settings.seeds.iter().map(|seed| *seed.ip()).collect();
    gateway.set_seeds(settings.ip(), seeds);
}

async fn start_listeners(
    ctx: &Rc<GatewayContext>,
    settings: &GatewaySettings,
) -> Result<(), GatewayError> {
    let listen = |purpose, address| {
        listener::listen(address).map_err(|error| GatewayError::Listen {
            purpose,
            address: std::net::SocketAddrV4::to_string(&address),
            error,
        })
    };
    let callers = listen("callers", settings.callers)?;
    let health = listen("readiness checks", settings.health)?;
    let metrics =
        listen("metrics", std::net::SocketAddrV4::new(settings.ip(), settings.metrics_port))?;
    let socket = peer_socket::open(settings.ip(), settings.peer_port).await.map_err(|error| {
        let address = format!("{}:{}", settings.ip(), settings.peer_port);
        GatewayError::Listen { purpose: "peers", address, error }
    })?;
    // Each request uses one descriptor for its caller and one for a server.
    let most = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2) / 2;
    let accept = listener::accept_callers(ctx.clone(), callers, most as usize);
    tokio::task::spawn_local(accept);
    tokio::task::spawn_local(listener::accept_readiness(ctx.clone(), health));
    tokio::task::spawn_local(listener::accept_metrics(ctx.clone(), metrics));
    let port = settings.peer_port;
    ctx.permits.set_socket(socket.clone(), port);
    ctx.moves.set_socket(socket.clone(), port);
    tokio::task::spawn_local(peer_socket::send_summaries(ctx.clone(), socket.clone(), port));
    tokio::task::spawn_local(peer_socket::receive_summaries(ctx.clone(), socket));
    Ok(())
}

/// The signals that begin a planned stop. Further ones change nothing.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn receive() -> io::Result<StopSignals> {
        Ok(StopSignals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Stops without aborting requests: the balancer directs new connections to other hosts, open
/// connections are closed when idle, requests that would not be answered in time are refused, and the
/// process ends when no connection is left or the grace period is over.
async fn stop(ctx: &Rc<GatewayContext>, settings: &GatewaySettings) {
    let grace = settings.grace();
    info!(ctx.telemetry.log(), "stop begins"; "grace_ms" => grace.as_millis() as u64,
        "connections" => ctx.connections.get(), "waiting" => ctx.gateway.borrow().queue_len());
    ctx.gateway.borrow_mut().begin_stop(ctx.now(), grace);
    ctx.load_changed.notify_one();
    // Waiting requests are placed again, or refused if this host can't answer them in time.
    ctx.capacity_freed.notify_waiters();
    loop {
        let now = ctx.now();
        let phase = ctx.gateway.borrow().stop_phase(now);
        ctx.stop_phase.send_if_modified(|reached| std::mem::replace(reached, phase) != phase);
        let is_idle = phase >= StopPhase::Closing && ctx.connections.get() == 0;
        if phase == StopPhase::Exited || is_idle {
            break;
        }
        let next = ctx.gateway.borrow().next_stop_phase_in(now).unwrap_or_default();
        let interval = match phase {
            StopPhase::Ended => ENDED_POLL_INTERVAL,
            _ => STOP_POLL_INTERVAL,
        };
        sleep(interval.min(next)).await;
    }
    info!(ctx.telemetry.log(), "stop ends"; "connections" => ctx.connections.get());
}

/// Reloads the settings on SIGHUP. The old settings stay in effect if the file is invalid.
async fn reload_on_signal(ctx: Rc<GatewayContext>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            warn!(ctx.telemetry.log(), "SIGHUP cannot be received"; "error" => %error);
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match GatewaySettings::read(&path) {
            Ok(settings) => {
                let mut gateway = ctx.gateway.borrow_mut();
                gateway.set_bounds(settings.bounds());
                set_seeds(&mut gateway, &settings);
                gateway.set_trusted_parts(ctx.now(), settings.trusted_parts());
                info!(ctx.telemetry.log(), "settings reloaded"; "host" => &settings.host);
                // Whether evacuations are followed may have changed.
                ctx.schedule_changed.notify_waiters();
            }
            Err(error) => {
                warn!(ctx.telemetry.log(), "settings not reloaded"; "error" => %error);
            }
        }
    }
}

/// Removes servers that stay missing from the server list, and logs changes of readiness.
async fn run_maintenance(ctx: Rc<GatewayContext>) {
    let mut was_ready = false;
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        let now = ctx.now();
        let mut gateway = ctx.gateway.borrow_mut();
        if gateway.servers().has_missing() {
            let dropped = gateway.drop_missing_servers(now);
            if dropped > 0 {
                info!(ctx.telemetry.log(), "missing servers dropped"; "servers" => dropped);
            }
        }
        gateway.fill_buckets(now);
        let expired = gateway.review_guests(now);
        if expired > 0 {
            // Their hosts were lost, or the notifications of their ends.
            info!(ctx.telemetry.log(), "guests expired"; "guests" => expired);
            ctx.notify_load_change();
        }
        ctx.telemetry.gauges.guests.set(gateway.guest_count() as i64);
        gateway.review_evacuations(now);
        report_zone_changes(&ctx, &mut gateway);
        gateway.review_isolations(now);
        for change in gateway.take_isolation_changes() {
            log_isolation_change(ctx.telemetry.log(), now, &change);
        }
        let (urgent, uneven) = gateway.scarce_services(ctx.now());
        ctx.telemetry.gauges.urgent_services.set(urgent as i64);
        ctx.telemetry.gauges.uneven_services.set(uneven as i64);
        ctx.telemetry.gauges.isolated_parts.set(gateway.isolated_count() as i64);
        drop(gateway);
        ctx.report_cold_changes();
        let gateway = ctx.gateway.borrow();
        let is_ready = gateway.is_ready(now);
        if is_ready != was_ready {
            was_ready = is_ready;
            info!(ctx.telemetry.log(), "readiness changed"; "ready" => is_ready,
                "catalog_age_ms" => gateway.catalog_age(now).map_or(-1, |age| age.as_millis() as i64),
                "peers" => gateway.peer_count(now));
        }
    }
}

/// Logs the changes of evacuated zones, and lets queued requests and peers know them at once.
pub(crate) fn report_zone_changes(ctx: &GatewayContext, gateway: &mut Gateway) {
    let changes = gateway.take_zone_changes();
    for change in &changes {
        let name = gateway.zone_name(change.zone).map(|zone| zone.as_str().to_owned());
        let zone = name.unwrap_or_else(|| format!("digest {:08x}", change.zone));
        let source = match change.source {
            ZoneSource::Store => "store".to_owned(),
            ZoneSource::Peer(address) => address.to_string(),
            ZoneSource::Expiry => "expiry".to_owned(),
        };
        let point = change.point;
        match change.is_evacuated {
            true => info!(ctx.telemetry.log(), "zone evacuated"; "zone" => zone,
                "revision" => point.revision, "era" => point.era.0, "source" => source),
            false => info!(ctx.telemetry.log(), "zone restored"; "zone" => zone,
                "revision" => point.revision, "era" => point.era.0, "source" => source),
        }
    }
    if !changes.is_empty() {
        ctx.capacity_freed.notify_waiters();
        ctx.urgent_summary.notify_one();
    }
}

fn log_isolation_change(log: &Logger, now: Moment, change: &IsolationChange) {
    match change {
        IsolationChange::Isolated { part, isolation } => {
            warn!(log, "prompt part isolated"; "part" => %part.part, "crashes" => isolation.crashes,
                "customers" => isolation.customer_count(),
                "left_s" => isolation.time_left(now).as_secs());
        }
        IsolationChange::Cleared { part, isolation, reason } => {
            warn!(log, "prompt part cleared"; "part" => %part.part, "reason" => reason.name(),
                "crashes" => isolation.crashes,
                "isolated_s" => now.since(isolation.since).as_secs());
        }
    }
}

/// Applies the updates of the fleet source.
async fn apply_updates(ctx: Rc<GatewayContext>, mut updates: mpsc::Receiver<FleetUpdate>) {
    while let Some(update) = updates.recv().await {
        apply_update(&ctx, update);
        ctx.report_cold_changes();
    }
}

fn apply_update(ctx: &GatewayContext, update: FleetUpdate) {
    let now = ctx.now();
    let log = ctx.telemetry.log();
    let mut gateway = ctx.gateway.borrow_mut();
    let (outages, rewinds) = (gateway.outages(), gateway.source_rewinds());
    if let Some(era) = update.era()
        && !gateway.observe_source_era(era)
    {
        info!(log, "an update of an older era was ignored"; "era" => era.0,
            "newest_era" => gateway.source_era().0);
        return;
    }
    match update {
        FleetUpdate::Catalog { catalog, sent, point } => {
            report_rewind(log, &mut gateway, point, catalog.version());
            let version = catalog.version();
            let (routes, requires_keys) = (catalog.route_count(), catalog.requires_keys());
            match gateway.install_catalog(*catalog, sent) {
                CatalogChange::Accepted(before) => {
                    info!(log, "configuration accepted"; "catalog_version" => version,
                        "before" => before.unwrap_or(0), "routes" => routes,
                        "requires_keys" => requires_keys,
                        "read_age_ms" => now.since(sent).as_millis() as u64);
                    ctx.load_changed.notify_one();
                }
                CatalogChange::Older => {
                    warn!(log, "older configuration ignored"; "catalog_version" => version);
                }
                CatalogChange::Same => {}
            }
        }
        FleetUpdate::CatalogVerified { version, sent, point } => {
            report_rewind(log, &mut gateway, point, version);
            gateway.verify_catalog(version, sent);
            // Peers rely on this host's summary for how fresh their configuration is.
            ctx.load_changed.notify_one();
        }
        FleetUpdate::NoCatalog { sent, era } => {
            report_rewind(log, &mut gateway, SourcePoint { era, revision: 0 }, 0);
            gateway.record_no_catalog(sent);
        }
        FleetUpdate::CatalogRejected { fault, point } => {
            report_rewind(log, &mut gateway, point, 0);
            warn!(log, "configuration rejected"; "fault" => fault);
        }
        FleetUpdate::Servers { listed, list_revision, newest_entry, had_outage, era } => {
            info!(log, "servers listed"; "servers" => listed.len(), "revision" => list_revision,
                "era" => era.0, "had_outage" => had_outage);
            gateway.record_server_revisions(list_revision, Some(newest_entry));
            gateway.replace_servers(listed, list_revision, had_outage, now);
            ctx.capacity_freed.notify_waiters();
        }
        FleetUpdate::Server { change, point } => {
            let revision = point.revision;
            let text = format!("{change:?}");
            gateway.record_server_revisions(revision, Some(revision));
            if gateway.apply_entry(now, change, revision) {
                if let Some(log) = ctx.telemetry.limited_log(now, LineKind::Failure) {
                    info!(log, "server changed"; "change" => text, "revision" => revision);
                }
                ctx.capacity_freed.notify_waiters();
            }
        }
        FleetUpdate::Zones { zones, point } => {
            gateway.apply_zones(now, point, &zones);
        }
        FleetUpdate::ZoneEvents { events, point } => {
            gateway.apply_zone_events(now, point, &events);
        }
        FleetUpdate::ServersProgress(point) => {
            gateway.record_server_revisions(point.revision, None);
        }
        FleetUpdate::EraSeen(_) => {}
        FleetUpdate::EntrySkipped { key, fault } => {
            if let Some(log) = ctx.telemetry.limited_log(now, LineKind::Success) {
                warn!(log, "entry skipped"; "key" => key, "fault" => fault);
            }
        }
        FleetUpdate::SourceUnavailable(error) => {
            let age = gateway.catalog_age(now).map_or(-1, |age| age.as_millis() as i64);
            warn!(log, "store lost"; "error" => error, "catalog_age_ms" => age);
        }
        FleetUpdate::WatchEnded(reason) => {
            info!(log, "watch of the servers ended, listing them again"; "reason" => reason);
        }
        FleetUpdate::SourceRecovered => info!(log, "store is back"),
    }
    report_zone_changes(ctx, &mut gateway);
    if gateway.outages() != outages {
        ctx.schedule_changed.notify_waiters();
    }
    if gateway.source_rewinds() != rewinds {
        ctx.notify_rewind();
    }
}

/// Logs the first read of the configuration, which returned `version` (0 if none that is valid),
/// since the source was restored.
fn report_rewind(log: &Logger, gateway: &mut Gateway, point: SourcePoint, version: u64) {
    let held = gateway.catalog().map_or(0, |catalog| catalog.version());
    if let Some(before) = gateway.record_catalog_read(point.era) {
        warn!(log, "store came back from an older copy"; "era_before" => before.0,
            "era" => point.era.0, "revision" => point.revision, "catalog_version" => held,
            "catalog_version_read" => version);
    }
}
