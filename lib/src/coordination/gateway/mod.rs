//! The gateway's decisions: which requests are admitted, where they are sent, and what is retried.
//!
//! [`Gateway`] takes times and messages as input and returns decisions as values. It reads no
//! clock, opens no socket and starts no thread, so the transport and the tests drive it in the same
//! way.

pub(crate) mod admission;
pub(crate) mod candidates;
pub(crate) mod cells;
pub(crate) mod cluster_view;
pub(crate) mod cold_servers;
pub(crate) mod departures;
pub(crate) mod evacuations;
pub(crate) mod guests;
pub(crate) mod health_checks;
pub(crate) mod hedging;
pub(crate) mod isolation;
pub(crate) mod limits;
pub(crate) mod moves;
pub(crate) mod news_rounds;
pub(crate) mod pauses;
pub(crate) mod peer_summary;
pub(crate) mod peers;
pub(crate) mod permit_queue;
pub(crate) mod permits;
pub(crate) mod placement;
pub(crate) mod queue;
pub(crate) mod read_schedule;
pub(crate) mod refusal;
pub(crate) mod request;
pub(crate) mod retry;
pub(crate) mod servers;
pub(crate) mod source_view;
pub(crate) mod stop;

pub use admission::AdmissionInputs;
pub use candidates::PlacementInputs;
pub use candidates::PrefillInputs;
pub use cells::*;
pub use cluster_view::*;
pub use cold_servers::*;
pub use evacuations::*;
pub use health_checks::*;
pub use hedging::*;
pub use isolation::*;
pub use limits::*;
pub use moves::*;
pub use peer_summary::*;
pub use peers::*;
pub use permits::*;
pub use placement::*;
pub use queue::*;
pub use refusal::*;
pub use request::*;
pub use retry::*;
pub use servers::*;
pub use stop::*;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::state::Catalog;
use crate::state::Freshness;
use crate::state::GatewayRetryBudget;
use crate::state::GuestTable;
use crate::state::LimitChange;
use crate::state::LimitTable;
use crate::state::LoadTable;
use crate::state::MemoryBounds;
use crate::state::Moment;
use crate::state::PrefillDemand;
use crate::state::RetryBounds;
use crate::state::ServerHealth;
use crate::state::ServerId;
use crate::state::ServerLoad;
use crate::state::ServerPauses;
use crate::state::ServiceName;
use crate::state::ZoneName;

/// The bounds that the platform publishes and the gateway must keep.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// This host's availability zone.
    pub zone: ZoneName,
    /// The time after which a revoked key must be refused by every host.
    pub revoke: Duration,
    /// The time within which a change of the configuration must be in force.
    pub config: Duration,
    /// The time after which a draining server must receive no more requests.
    pub drain: Duration,
    /// The bounds of reserved engine memory.
    pub memory: MemoryBounds,
    /// The bounds of retries.
    pub budget: RetryBounds,
    /// The time after which an evacuated availability zone must receive no more requests; `None` if
    /// zones are not evacuated.
    pub evacuate: Option<Duration>,
    /// The hedged requests that are allowed per request; 0 if none are sent.
    pub hedge_ratio: f64,
    /// Whether a customer whose demand is far above that of the others is refused first.
    pub fair_customers: bool,
    /// Whether the expected time to the first event includes the slots and the sequences in use.
    pub engine_model: bool,
}

/// The state and decisions of one entry host.
#[derive(Debug)]
pub struct Gateway {
    bounds: GatewayBounds,
    catalog: Option<Arc<Catalog>>,
    freshness: Freshness,
    /// The number of outages of the configuration source that have ended.
    outages: u64,
    /// When the last read that found no configuration was sent.
    empty_read: Option<Moment>,
    servers: ServerList,
    loads: LoadTable,
    health: HashMap<ServerId, ServerHealth>,
    departures: departures::Departures,
    evacuations: evacuations::Evacuations,
    cold: cold_servers::ColdServers,
    pauses: ServerPauses,
    limits: LimitTable,
    /// The changes of limits that are not logged yet.
    limit_changes: Vec<LimitChange>,
    /// When hosts of other cells are sent changes of limits.
    limit_rounds: news_rounds::NewsRounds,
    permits: permits::Permits,
    moves: moves::Moves,
    guests: GuestTable<GuestGrant>,
    isolations: isolation::Isolations,
    hedging: hedging::Hedging,
    budgets: HashMap<ServiceName, GatewayRetryBudget>,
    peers: Peers,
    source: source_view::SourceView,
    queue: WaitQueue,
    demand: PrefillDemand,
    admission: admission::Admission,
    next_send: u64,
    stop: Option<stop::Stop>,
    random: SmallRng,
}

impl Gateway {
    /// Creates a gateway without a configuration and servers. `seed` seeds its random choices and
    /// identifies this start among its peers.
    pub fn new(bounds: GatewayBounds, seed: u64) -> Gateway {
        Gateway {
            freshness: Freshness::new(bounds.revoke),
            peers: Peers::new(seed, &bounds.zone),
            bounds,
            catalog: None,
            outages: 0,
            empty_read: None,
            servers: ServerList::default(),
            loads: LoadTable::default(),
            health: HashMap::new(),
            departures: departures::Departures::default(),
            evacuations: evacuations::Evacuations::default(),
            cold: cold_servers::ColdServers::default(),
            pauses: ServerPauses::default(),
            limits: LimitTable::default(),
            limit_changes: Vec::new(),
            limit_rounds: news_rounds::NewsRounds::default(),
            permits: permits::Permits::default(),
            moves: moves::Moves::new(seed as u32),
            guests: GuestTable::default(),
            isolations: isolation::Isolations::default(),
            hedging: hedging::Hedging::new(seed),
            budgets: HashMap::new(),
            source: source_view::SourceView::default(),
            queue: WaitQueue::default(),
            demand: PrefillDemand::default(),
            admission: admission::Admission::new(seed),
            next_send: 0,
            stop: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the list of known servers.
    pub fn servers(&self) -> &ServerList {
        &self.servers
    }

    /// Returns the load of a server from all hosts.
    pub fn load(&self, server: &ServerId, now: Moment) -> ServerLoad {
        self.loads.load(server, now)
    }

    /// Returns the bounds of reserved engine memory.
    pub fn memory_bounds(&self) -> MemoryBounds {
        self.bounds.memory
    }

    /// Replaces the bounds after the settings were reloaded.
    pub fn set_bounds(&mut self, bounds: GatewayBounds) {
        self.freshness.set_revoke_bound(bounds.revoke);
        self.bounds = bounds;
    }

    fn budget(&mut self, service: &ServiceName) -> &mut GatewayRetryBudget {
        let bounds = self.bounds.budget;
        self.budgets.entry(service.clone()).or_insert_with(|| GatewayRetryBudget::new(bounds))
    }

    fn is_degraded(&self, server: &ServerId, now: Moment) -> bool {
        self.health.get(server).is_some_and(|health| {
            health.is_avoided(now) || health.is_degraded() || health.is_slow(now)
        })
    }
}
