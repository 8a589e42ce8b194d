//! The gateway's decisions: which requests are served, where they go, what is sent again.
//!
//! [`Gateway`] takes times and messages as input and returns decisions as values. It reads no
//! clock, opens no socket and starts no thread; the transport and the tests drive it alike.

pub(crate) mod beliefs;
pub(crate) mod peers;
pub(crate) mod place;
pub(crate) mod queue;
pub(crate) mod read_schedule;
pub(crate) mod refusal;
pub(crate) mod request;
pub(crate) mod resend;
pub(crate) mod servers;
pub(crate) mod stop;

pub use beliefs::*;
pub use peers::*;
pub use place::*;
pub use queue::*;
pub use refusal::*;
pub use request::*;
pub use resend::*;
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
use crate::state::LoadBoard;
use crate::state::Moment;
use crate::state::ReadingDemand;
use crate::state::RetryBounds;
use crate::state::ServerHealth;
use crate::state::ServerId;
use crate::state::ServerLoad;
use crate::state::ServiceName;
use crate::state::ZoneName;

/// What the gateway decides by; the platform publishes these bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayBounds {
    /// This host's availability zone.
    pub zone: ZoneName,
    /// The time after which a revoked key must be refused everywhere.
    pub revoke: Duration,
    /// The time within which a change of the configuration must be in force.
    pub config: Duration,
    /// The time after which a server that leaves must get no more requests.
    pub drain: Duration,
    /// The bounds of repeated sends.
    pub budget: RetryBounds,
}

/// The decisions of one entry host.
#[derive(Debug)]
pub struct Gateway {
    bounds: GatewayBounds,
    catalog: Option<Arc<Catalog>>,
    freshness: Freshness,
    /// The outages of the source that were over so far.
    outages: u64,
    /// When a read that found no configuration was sent.
    found_none: Option<Moment>,
    servers: ServerList,
    board: LoadBoard,
    health: HashMap<ServerId, ServerHealth>,
    budgets: HashMap<ServiceName, GatewayRetryBudget>,
    peers: Peers,
    /// The source's revision up to which the list of servers is complete.
    servers_covered: u64,
    /// The source's revision of the newest change of that list.
    servers_change: u64,
    queue: WaitQueue,
    demand: ReadingDemand,
    next_send: u64,
    stop: Option<stop::Stop>,
    random: SmallRng,
}

impl Gateway {
    /// Makes a gateway that knows no configuration and no server yet; `seed` feeds its random
    /// choices and names this start of it among its peers.
    pub fn new(bounds: GatewayBounds, seed: u64) -> Gateway {
        Gateway {
            freshness: Freshness::new(bounds.revoke),
            peers: Peers::new(seed, &bounds.zone),
            bounds,
            catalog: None,
            outages: 0,
            found_none: None,
            servers: ServerList::default(),
            board: LoadBoard::default(),
            health: HashMap::new(),
            budgets: HashMap::new(),
            servers_covered: 0,
            servers_change: 0,
            queue: WaitQueue::default(),
            demand: ReadingDemand::default(),
            next_send: 0,
            stop: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the servers that are known.
    pub fn servers(&self) -> &ServerList {
        &self.servers
    }

    /// Returns the load of a server over all hosts.
    pub fn load(&self, server: &ServerId, now: Moment) -> ServerLoad {
        self.board.load(server, now)
    }

    /// Takes new bounds from reloaded settings.
    pub fn set_bounds(&mut self, bounds: GatewayBounds) {
        self.freshness.set_bound(bounds.revoke);
        self.bounds = bounds;
    }

    fn budget(&mut self, service: &ServiceName) -> &mut GatewayRetryBudget {
        let bounds = self.bounds.budget;
        self.budgets.entry(service.clone()).or_insert_with(|| GatewayRetryBudget::new(bounds))
    }

    fn is_doubtful(&self, server: &ServerId, now: Moment) -> bool {
        self.health.get(server).is_some_and(|health| health.is_avoided(now) || health.is_doubtful())
    }
}
