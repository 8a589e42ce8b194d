//! One soak: hosts, store, servers and callers, and the faults that meet them.

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
use wasabicrank_testutils::process::Signal;
use wasabicrank_testutils::relay::Link;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::server::lock;

use crate::SoakSetup;
use crate::caller::Ask;
use crate::caller::Connection;
use crate::evidence::Evidence;
use crate::evidence::Kind;
use crate::evidence::Scope;
use crate::fleet::Disturbance;
use crate::fleet::GRACE;
use crate::fleet::Host;
use crate::http_server::Listening;
use crate::schedule::Fault;
use crate::schedule::LinkFault;
use crate::server::Manner;
use crate::server::Registry;
use crate::server::Server;
use crate::store::Store;

/// The customers, and the keys of each.
const CUSTOMERS: usize = 4;
const KEYS_EACH: usize = 12;
/// One request in so many is sent with a key that was taken away.
const REVOKED_KEY: u32 = 6;
/// One request in so many is sent on a new connection though the open one is good.
const MOVES: u32 = 30;
/// The servers of each service.
const ENGINES: usize = 4;
const PLAIN: usize = 2;
/// How long a server that leaves goes on serving after its entry said so.
const LEAVING: Duration = Duration::from_millis(3_000);
/// How long the entry of a silent server stays.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);
/// The pause of a planned restart, and the longest after a kill.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
const DOWN_MAX_MS: u64 = 2_500;
/// How often routes that were added are asked for, and how many of the newest.
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
const PROBED: usize = 2;
/// How often memory that is set aside is looked at.
const MEMORY_INTERVAL: Duration = Duration::from_millis(500);
/// The changes of a storm, and the pause between them.
const STORM: usize = 8;
const STORM_PAUSE: Duration = Duration::from_millis(120);

struct Config {
    version: u64,
    extra: usize,
    /// Keys that are in force, with their customers; the first is taken away next.
    keys: Vec<(String, String)>,
    revoked: Vec<String>,
}

/// All that takes part in one soak.
pub(crate) struct World {
    pub(crate) evidence: Evidence,
    pub(crate) hosts: Vec<Host>,
    pub(crate) customers: HashMap<String, String>,
    servers: Mutex<Vec<Arc<Server>>>,
    registry: Registry,
    store: Store,
    _store_listening: Listening,
    config: Mutex<Config>,
    next_server: AtomicU64,
    next_request: AtomicU64,
}

impl World {
    pub(crate) async fn start(setup: &SoakSetup) -> io::Result<World> {
        let evidence = Evidence::new();
        let store = Store::default();
        let listening = store.serve().await?;
        let mut hosts = Vec::new();
        for index in 0..setup.hosts {
            let host =
                Host::prepare(index, setup.net, setup.hosts, &setup.binary, listening.address);
            hosts.push(host.await?);
        }
        let key = |customer: usize, key: usize| {
            (format!("key-{customer}-{key}"), format!("c-{customer}"))
        };
        let keys: Vec<(String, String)> = (0..KEYS_EACH)
            .flat_map(|number| (0..CUSTOMERS).map(move |customer| key(customer, number)))
            .collect();
        let world = World {
            evidence,
            hosts,
            customers: keys.iter().cloned().collect(),
            servers: Mutex::default(),
            registry: Registry::default(),
            store,
            _store_listening: listening,
            config: Mutex::new(Config { version: 0, extra: 0, keys, revoked: Vec::new() }),
            next_server: AtomicU64::new(0),
            next_request: AtomicU64::new(0),
        };
        for position in 0..ENGINES + PLAIN {
            let server = world.start_server(position).await?;
            world.list(&server, false);
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
        ENGINES + PLAIN
    }

    async fn start_server(&self, position: usize) -> io::Result<Arc<Server>> {
        let number = self.next_server.fetch_add(1, Ordering::SeqCst);
        let service = if position < ENGINES { "engines" } else { "app" };
        let id = format!("i-{number}");
        Ok(Arc::new(Server::start(id, service, &self.registry, &self.evidence).await?))
    }

    fn list(&self, server: &Server, is_draining: bool) {
        let entry = server.entry(is_draining);
        self.store.write(&format!("servers/{}", server.state.id), Some(&entry));
    }

    fn unlist(&self, server: &Server) {
        self.store.write(&format!("servers/{}", server.state.id), None);
    }

    fn server(&self, position: usize) -> Arc<Server> {
        lock(&self.servers)[position].clone()
    }

    /// Writes a new version of the configuration.
    fn publish(&self) {
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
        let is_revoked = random.random_range(0..REVOKED_KEY) == 0;
        match is_revoked.then(|| config.revoked.last()).flatten() {
            Some(key) => key.clone(),
            None => config.keys[random.random_range(0..config.keys.len())].0.clone(),
        }
    }

    fn request_id(&self) -> String {
        format!("r{}", self.next_request.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends requests one after the other, on connections that stay open until a host closes them.
    pub(crate) async fn call(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut connection: Option<Connection> = None;
        loop {
            sleep(Duration::from_millis(random.random_range(5..70))).await;
            if let Some(mut open) = connection.take()
                && random.random_range(0..MOVES) > 0
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
            let ask = Ask::draw(&mut random, self.request_id(), key);
            connection = open.send(ask, &self.evidence).await;
        }
    }

    /// Asks each host for the routes that were added last.
    pub(crate) async fn probe(&self) {
        loop {
            sleep(PROBE_INTERVAL).await;
            let extra = lock(&self.config).extra;
            for number in extra.saturating_sub(PROBED)..extra {
                let asks = self.hosts.iter().map(|host| async move {
                    let key = lock(&self.config).keys.last().map(|(key, _)| key.clone())?;
                    let path = format!("/extra-{number}/probe");
                    let ask = Ask { id: self.request_id(), kind: None, path, key, leave: None };
                    Connection::open(host.target()).await?.send(ask, &self.evidence).await
                });
                join_all(asks).await;
            }
        }
    }

    /// Looks for memory that stays set aside.
    pub(crate) async fn watch_memory(&self) {
        loop {
            sleep(MEMORY_INTERVAL).await;
            let servers: Vec<Arc<Server>> = lock(&self.servers).clone();
            for text in servers.iter().flat_map(|server| server.leaked()) {
                self.evidence.break_promise(format!("memory stays set aside at {text}"));
            }
        }
    }

    /// Lets one fault happen, and waits until it is over.
    pub(crate) async fn suffer(&self, fault: Fault, seed: u64) -> io::Result<()> {
        let evidence = &self.evidence;
        match fault {
            Fault::Kill { host } => {
                let down = Duration::from_millis(seed % DOWN_MAX_MS);
                self.kill(host, down).await
            }
            Fault::Pause { host, span } => {
                let Some(_taken) = self.hosts[host].take() else { return Ok(()) };
                let _disturbance = Disturbance::begin(evidence, Scope::Host(host));
                self.hosts[host].signal(Signal::Stop)?;
                sleep(span).await;
                self.hosts[host].signal(Signal::Continue)
            }
            Fault::Stop { host } => self.stop(host).await,
            Fault::Reload { host } => {
                let Some(_taken) = self.hosts[host].take() else { return Ok(()) };
                self.hosts[host].reload()
            }
            Fault::CallerLink { host, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Host(host));
                hurt(&self.hosts[host].front, link, span).await
            }
            Fault::StoreLink { host, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::StoreOf(host));
                hurt(&self.hosts[host].store, link, span).await
            }
            Fault::StoreAway { link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Store);
                let links = self.hosts.iter().map(|host| hurt(&host.store, link, span));
                join_all(links).await.into_iter().collect()
            }
            Fault::StoreBusy { span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Store);
                self.store.set_busy(true);
                sleep(span).await;
                self.store.set_busy(false);
                Ok(())
            }
            Fault::Compact => {
                self.store.compact();
                Ok(())
            }
            Fault::ServerLink { server, link, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Server(server));
                hurt(&self.server(server).relay, link, span).await
            }
            Fault::ServerManner { server, manner, span } => {
                let _disturbance = Disturbance::begin(evidence, Scope::Server(server));
                let hurt = self.server(server);
                hurt.set_manner(manner);
                sleep(span).await;
                hurt.set_manner(Manner::Good);
                Ok(())
            }
            Fault::ServerCrash { server, span } => self.crash(server, span).await,
            Fault::ServerLeaves { server, in_silence } => self.leave(server, in_silence).await,
            Fault::AddRoute => {
                self.add_route();
                Ok(())
            }
            Fault::Storm => {
                for _ in 0..STORM {
                    self.add_route();
                    sleep(STORM_PAUSE).await;
                }
                Ok(())
            }
            Fault::Revoke => {
                self.revoke();
                Ok(())
            }
        }
    }

    async fn kill(&self, host: usize, down: Duration) -> io::Result<()> {
        let killed = &self.hosts[host];
        let Some(_taken) = killed.take() else { return Ok(()) };
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Host(host));
        killed.signal(Signal::Kill)?;
        killed.wait_ended(GRACE).await;
        sleep(down).await;
        killed.start_process()?;
        killed.wait_ready().await;
        Ok(())
    }

    async fn stop(&self, host: usize) -> io::Result<()> {
        let stopped = &self.hosts[host];
        let Some(_taken) = stopped.take() else { return Ok(()) };
        let told = self.evidence.now();
        let start = stopped.target().start;
        stopped.signal(Signal::Term)?;
        let ended = stopped.wait_ended(GRACE).await;
        match ended {
            Some(status) if status.success() => {}
            Some(status) => {
                self.evidence.break_promise(format!("host {host} ended a stop with {status}"));
            }
            None => {
                self.evidence.break_promise(format!("host {host} did not stop in {GRACE:?}"));
                stopped.signal(Signal::Kill)?;
                stopped.wait_ended(GRACE).await;
            }
        }
        let now = self.evidence.now();
        self.evidence.seen().stops.push((host, start, told, ended.map(|_| now)));
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Host(host));
        sleep(RESTART_PAUSE).await;
        stopped.start_process()?;
        stopped.wait_ready().await;
        Ok(())
    }

    async fn crash(&self, position: usize, span: Duration) -> io::Result<()> {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Server(position));
        let server = self.server(position);
        server.relay.refuse();
        server.forget();
        sleep(span.min(ENTRY_LIFE)).await;
        if span > ENTRY_LIFE {
            self.unlist(&server);
            sleep(span - ENTRY_LIFE).await;
            self.list(&server, false);
        }
        server.relay.listen().await
    }

    async fn leave(&self, position: usize, in_silence: bool) -> io::Result<()> {
        let _disturbance = Disturbance::begin(&self.evidence, Scope::Server(position));
        let successor = self.start_server(position).await?;
        let server = {
            let mut servers = lock(&self.servers);
            std::mem::replace(&mut servers[position], successor.clone())
        };
        self.list(&successor, false);
        match in_silence {
            true => self.unlist(&server),
            false => self.list(&server, true),
        }
        let now = self.evidence.now();
        self.evidence.seen().left.insert(server.state.id.clone(), now);
        sleep(LEAVING).await;
        self.unlist(&server);
        server.relay.refuse();
        Ok(())
    }

    fn add_route(&self) {
        let number = {
            let mut config = lock(&self.config);
            config.extra += 1;
            config.extra - 1
        };
        self.publish();
        let now = self.evidence.now();
        self.evidence.seen().added.insert(format!("/extra-{number}/probe"), now);
    }

    fn revoke(&self) {
        let key = {
            let mut config = lock(&self.config);
            if config.keys.len() <= CUSTOMERS {
                return;
            }
            let (key, _) = config.keys.remove(0);
            config.revoked.push(key.clone());
            key
        };
        self.publish();
        let now = self.evidence.now();
        self.evidence.seen().revoked.insert(key, now);
    }

    /// Ends what is left of faults, and starts the hosts that ended by themselves.
    pub(crate) async fn heal(&self) -> io::Result<()> {
        self.store.set_busy(false);
        for (index, host) in self.hosts.iter().enumerate() {
            if let Some(status) = host.ended() {
                self.evidence.break_promise(format!("host {index} ended by itself with {status}"));
                host.start_process()?;
            }
        }
        Ok(())
    }
}

/// Disturbs a link for a while.
async fn hurt(relay: &Relay, fault: LinkFault, span: Duration) -> io::Result<()> {
    let link = match fault {
        LinkFault::Cut => Link { forth_cut: true, back_cut: true, ..Link::default() },
        LinkFault::ForthCut => Link { forth_cut: true, ..Link::default() },
        LinkFault::BackCut => Link { back_cut: true, ..Link::default() },
        LinkFault::Delay(ms) => Link { delay: Duration::from_millis(ms), ..Link::default() },
        LinkFault::Reset => {
            relay.drop_connections();
            return Ok(());
        }
        LinkFault::Refuse => {
            relay.refuse();
            sleep(span).await;
            return relay.listen().await;
        }
    };
    relay.set_link(link);
    sleep(span).await;
    relay.heal();
    Ok(())
}

/// Returns a route's place in the configuration.
fn route(name: &str, kind: Option<Kind>) -> Value {
    let wire_kind = match kind {
        Some(kind) if kind.is_stream() => "streaming",
        Some(Kind::Once) => "non_idempotent",
        _ => "idempotent",
    };
    let is_stream = kind.is_some_and(Kind::is_stream);
    let patience = kind.map_or(Duration::from_millis(800), Kind::patience);
    json!({
        "name": name, "host": "soak.example", "prefix": format!("/{name}/"), "kind": wire_kind,
        "timeout_ms": patience.as_millis() as u64, "target_latency_ms": 300,
        "service": if is_stream { "engines" } else { "app" },
        "max_attempts": if kind == Some(Kind::Once) { 1 } else { 2 },
        "resumable": kind.is_some_and(|kind| is_stream && kind.may_repeat()), "gap_aim_ms": 200,
    })
}

/// Spawns a task for each of `tasks` and waits until all are over.
pub(crate) async fn run_all(
    tasks: impl IntoIterator<Item = impl Future<Output = io::Result<()>> + Send + 'static>,
) -> io::Result<()> {
    let mut running: JoinSet<io::Result<()>> = tasks.into_iter().collect();
    while let Some(done) = running.join_next().await {
        done.map_err(io::Error::other)??;
    }
    Ok(())
}
