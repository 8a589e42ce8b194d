//! The environment of one soak: hosts, store, servers and callers.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::sleep;
use wasabicrank_testutils::server::lock;

use crate::SoakSetup;
use crate::caller::CallerRequest;
use crate::caller::Connection;
use crate::evacuations::EVACUATE_MS;
use crate::evacuations::has_evacuations;
use crate::evidence::Evidence;
use crate::evidence::Kind;
use crate::fleet::Host;
use crate::http_server::Listening;
use crate::server::Registry;
use crate::server::Server;
use crate::store::Store;

/// The number of customers, and of keys per customer.
pub(crate) const CUSTOMERS: usize = 4;
const KEYS_PER_CUSTOMER: usize = 12;
/// One in this many requests uses a revoked key, if there is one.
const REVOKED_KEY_ODDS: u32 = 6;
/// One in this many requests opens a new connection although the current one is usable.
const RECONNECT_ODDS: u32 = 30;
/// The number of servers of each service.
const ENGINE_SERVERS: usize = 3;
const PLAIN_SERVERS: usize = 2;
/// How often added routes are probed, and how many of the newest.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
const PROBED_ROUTES: usize = 2;
/// How often reserved memory is checked.
const MEMORY_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) struct Config {
    pub(crate) version: u64,
    pub(crate) extra: usize,
    /// Valid keys with their customers; the first one is revoked next.
    pub(crate) keys: Vec<(String, String)>,
    pub(crate) revoked: Vec<String>,
}

/// All components of one soak.
pub(crate) struct World {
    pub(crate) evidence: Evidence,
    pub(crate) hosts: Vec<Host>,
    pub(crate) customers: HashMap<String, String>,
    pub(crate) servers: Mutex<Vec<Arc<Server>>>,
    /// Whether some prompts crash engines.
    has_crashing: bool,
    registry: Registry,
    pub(crate) store: Store,
    _store_listening: Listening,
    pub(crate) config: Mutex<Config>,
    next_server: AtomicU64,
    next_request: AtomicU64,
}

impl World {
    pub(crate) async fn start(setup: &SoakSetup) -> io::Result<World> {
        let evidence = Evidence::new();
        let store = Store::default();
        let listening = store.serve().await?;
        // The part is off in the other seeds.
        let evacuate_ms = has_evacuations(setup.seed).then_some(EVACUATE_MS);
        let mut hosts = Vec::new();
        for index in 0..setup.hosts {
            let (count, store) = (setup.hosts, listening.address);
            let host = Host::prepare(index, setup.net, count, &setup.binary, store, evacuate_ms);
            hosts.push(host.await?);
        }
        let key = |customer: usize, key: usize| {
            (format!("key-{customer}-{key}"), format!("c-{customer}"))
        };
        let keys: Vec<(String, String)> = (0..KEYS_PER_CUSTOMER)
            .flat_map(|number| (0..CUSTOMERS).map(move |customer| key(customer, number)))
            .collect();
        let world = World {
            evidence,
            hosts,
            customers: keys.iter().cloned().collect(),
            servers: Mutex::default(),
            has_crashing: setup.seed.is_multiple_of(2),
            registry: Registry::default(),
            store,
            _store_listening: listening,
            config: Mutex::new(Config { version: 0, extra: 0, keys, revoked: Vec::new() }),
            next_server: AtomicU64::new(0),
            next_request: AtomicU64::new(0),
        };
        for position in 0..ENGINE_SERVERS + PLAIN_SERVERS {
            let server = world.start_server(position).await?;
            world.register(&server, false);
            lock(&world.servers).push(server);
        }
        world.publish();
        for host in &world.hosts {
            host.start_process()?;
        }
        let ready = join_all(world.hosts.iter().map(Host::wait_ready)).await;
        if !ready.iter().all(|is_ready| *is_ready) {
            return Err(io::Error::other("not all hosts became ready"));
        }
        Ok(world)
    }

    pub(crate) fn server_count() -> usize {
        ENGINE_SERVERS + PLAIN_SERVERS
    }

    pub(crate) async fn start_server(&self, position: usize) -> io::Result<Arc<Server>> {
        let number = self.next_server.fetch_add(1, Ordering::SeqCst);
        let service = if position < ENGINE_SERVERS { "engines" } else { "app" };
        let id = format!("i-{number}");
        Ok(Arc::new(Server::start(id, service, &self.registry, &self.evidence).await?))
    }

    pub(crate) fn register(&self, server: &Server, is_draining: bool) {
        let entry = server.entry(is_draining);
        self.store.write(&format!("servers/{}", server.state.id), Some(&entry));
    }

    pub(crate) fn deregister(&self, server: &Server) {
        self.store.write(&format!("servers/{}", server.state.id), None);
    }

    pub(crate) fn server(&self, position: usize) -> Arc<Server> {
        lock(&self.servers)[position].clone()
    }

    /// Writes a new version of the configuration.
    pub(crate) fn publish(&self) {
        let mut config = lock(&self.config);
        config.version += 1 + config.version % 3;
        let usual = Kind::ALL.into_iter().map(|kind| route(kind.route(), Some(kind)));
        let extra = (0..config.extra).map(|number| route(&format!("extra-{number}"), None));
        let routes: Vec<Value> = usual.chain(extra).collect();
        let mut tenants: HashMap<&str, Vec<&str>> = HashMap::new();
        for (key, customer) in &config.keys {
            tenants.entry(customer).or_default().push(key);
        }
        let tenants: Vec<Value> = tenants
            .into_iter()
            .map(|(name, keys)| json!({ "name": name, "api_keys": keys }))
            .collect();
        let engine = json!({
            "slots": 24, "kv_capacity": 450_000, "step_ms": 0.8, "read_per_s": 5_000_000.0,
            "steps_per_pass": 50, "usual": { "answer": 400.0 }, "hop_ms": 0.1,
        });
        let value = json!({
            "version": config.version, "routes": routes, "tenants": tenants,
            "services": [{ "name": "engines", "engine": engine }, { "name": "app" }],
        });
        self.store.write("op/config", Some(&value));
    }

    fn draw_key(&self, random: &mut SmallRng) -> String {
        let config = lock(&self.config);
        let is_revoked = random.random_range(0..REVOKED_KEY_ODDS) == 0;
        match is_revoked.then(|| config.revoked.last()).flatten() {
            Some(key) => key.clone(),
            None => config.keys[random.random_range(0..config.keys.len())].0.clone(),
        }
    }

    fn request_id(&self) -> String {
        format!("r{}", self.next_request.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends requests sequentially, on connections that mostly stay open until a host closes them.
    pub(crate) async fn send_requests(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut connection: Option<Connection> = None;
        loop {
            sleep(Duration::from_millis(random.random_range(5..70))).await;
            if let Some(mut open) = connection.take()
                && random.random_range(0..RECONNECT_ODDS) > 0
                && open.is_open().await
            {
                connection = Some(open);
            }
            if connection.is_none() {
                let open: Vec<&Host> =
                    self.hosts.iter().filter(|one| one.is_in_rotation()).collect();
                let host = match open.is_empty() {
                    true => &self.hosts[random.random_range(0..self.hosts.len())],
                    false => open[random.random_range(0..open.len())],
                };
                connection = Connection::open(host.target()).await;
            }
            let Some(open) = connection.take() else { continue };
            let key = self.draw_key(&mut random);
            let request =
                CallerRequest::draw(&mut random, self.request_id(), key, self.has_crashing);
            connection = open.send(request, &self.evidence).await;
        }
    }

    /// Probes the newest routes on each host.
    pub(crate) async fn probe(&self) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let extra = lock(&self.config).extra;
            for number in extra.saturating_sub(PROBED_ROUTES)..extra {
                let asks = self.hosts.iter().map(|host| async move {
                    let key = lock(&self.config).keys.last().map(|(key, _)| key.clone())?;
                    let path = format!("/extra-{number}/probe");
                    let request = CallerRequest {
                        id: self.request_id(),
                        kind: None,
                        path,
                        key,
                        parts: String::new(),
                        cancel_after: None,
                    };
                    Connection::open(host.target()).await?.send(request, &self.evidence).await
                });
                join_all(asks).await;
            }
        }
    }

    /// Checks for memory reservations that are not released.
    pub(crate) async fn watch_memory(&self) {
        loop {
            sleep(MEMORY_INTERVAL).await;
            let servers: Vec<Arc<Server>> = lock(&self.servers).clone();
            for text in servers.iter().flat_map(|server| server.leaked_tickets()) {
                self.evidence.record_violation(format!("reserved memory was not released: {text}"));
            }
        }
    }
}

/// Returns a route's entry in the configuration.
fn route(name: &str, kind: Option<Kind>) -> Value {
    let wire_kind = match kind {
        Some(kind) if kind.is_stream() => "streaming",
        Some(Kind::Once) => "non_idempotent",
        _ => "idempotent",
    };
    let is_stream = kind.is_some_and(Kind::is_stream);
    let timeout = kind.map_or(Duration::from_millis(800), Kind::timeout);
    json!({
        "name": name, "host": "soak.example", "prefix": format!("/{name}/"), "kind": wire_kind,
        "timeout_ms": timeout.as_millis() as u64, "target_latency_ms": 300,
        "service": if is_stream { "engines" } else { "app" },
        "max_attempts": if kind == Some(Kind::Once) { 1 } else { 2 },
        "resumable": kind.is_some_and(|kind| is_stream && kind.may_repeat()), "gap_aim_ms": 200,
    })
}

/// Spawns each of `tasks` and waits until all have finished or one fails.
pub(crate) async fn run_all(
    tasks: impl IntoIterator<Item = impl Future<Output = io::Result<()>> + Send + 'static>,
) -> io::Result<()> {
    let mut running: JoinSet<io::Result<()>> = tasks.into_iter().collect();
    while let Some(done) = running.join_next().await {
        done.map_err(io::Error::other)??;
    }
    Ok(())
}
