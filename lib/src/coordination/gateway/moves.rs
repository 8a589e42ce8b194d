//! Requests that this host's cell has no capacity for: which host of another cell is queried, and what its
//! answer means. See docs/design/cross-cell-load.md.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::Dispatch;
use super::Gateway;
use super::GatewayPlacement;
use super::GatewayRequest;
use super::StopPhase;
use super::candidates::EngineOutcome;
use super::candidates::ServerChoice;
use super::peers::MENTION_TTL;
use crate::state::CellRoom;
use crate::state::GapClass;
use crate::state::GuestKey;
use crate::state::Moment;
use crate::state::PromptSize;
use crate::state::RateBucket;
use crate::state::Server;
use crate::state::ServiceName;

/// The timeout of a queried host's answer: several times the latency between two availability zones.
pub const MOVE_TIMEOUT: Duration = Duration::from_millis(60);
/// The most cells that are queried for one request and placement.
const MAX_QUERIES: usize = 2;
/// The most queries of a host per second, and half a second's worth of them at once. A moved request takes four
/// datagrams, so that queries add at most a third to the 123 datagrams that a host of a full cell receives per
/// second without them.
const QUERY_RATE: f64 = 10.0;
/// How long a cell is not queried whose answer cannot be used.
const UNUSABLE_WAIT: Duration = Duration::from_millis(200);

/// What a query states of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuestQuery {
    pub service: ServiceName,
    /// Its size, if it is for a model engine.
    pub size: Option<PromptSize>,
    /// How sensitive the response is to gaps between its events.
    pub gap_class: GapClass,
    /// How long from now the first event is still on time.
    pub objective_left: Duration,
    /// How long from now the caller waits for the first event.
    pub abandon_after: Duration,
    /// How long from now the request may run.
    pub time_left: Duration,
    /// The servers, by digest, that it was sent to.
    pub tried: Vec<u32>,
}

/// An engine that prefills a guest request's prompt jointly with its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantedHelper {
    /// The digest of the engine.
    pub server: u32,
    /// The tokens of the prompt that its memory holds.
    pub held_tokens: u64,
}

/// The servers that a queried host chose for a guest request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuestGrant {
    /// The digest of the server that produces the response.
    pub server: u32,
    pub helpers: Vec<GrantedHelper>,
    /// The expected time from the answer to the first event.
    pub first_event: Duration,
}

/// A queried host's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GuestAnswer {
    Granted(GuestGrant),
    /// There is no room for the request; there may be some after this time.
    NoRoom(Duration),
}

/// A query to a host of another cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveQuery {
    /// The queried host, and the number of the query.
    pub key: GuestKey,
    /// The cell of the queried host.
    pub cell: usize,
    pub query: GuestQuery,
}

/// The first step towards the placement of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementStep {
    /// The placement at this host's own cell.
    Placed(GatewayPlacement),
    /// A host of another cell must be queried first; then the request is placed again.
    Query(Box<MoveQuery>),
}

/// The queries of one host.
#[derive(Debug)]
pub(crate) struct Moves {
    room: CellRoom,
    /// The queries that this host may send.
    bucket: RateBucket,
    /// The number of the last query. It starts at random, so that a host that restarts does not repeat
    /// the numbers of queries whose requests are still counted elsewhere.
    last: u32,
}

impl Moves {
    pub(crate) fn new(first: u32) -> Moves {
        let mut bucket = RateBucket::new(Moment::default());
        bucket.set_rate(Moment::default(), QUERY_RATE);
        Moves { room: CellRoom::default(), bucket, last: first }
    }
}

impl Gateway {
    /// Places `request` as [`Gateway::place`] does, unless this cell has no capacity for it and a host of
    /// another one can be queried.
    pub fn place_or_query(&mut self, now: Moment, request: &mut GatewayRequest) -> PlacementStep {
        let choice = match self.choose_unless_refused(now, request) {
            Ok(choice) => choice,
            Err(refusal) => return PlacementStep::Placed(self.refuse(now, request, refusal)),
        };
        if self.cell_count() > 1
            && self.lacks_capacity(now, request, &choice)
            && let Some(query) = self.cross_cell_query(now, request)
        {
            return PlacementStep::Query(Box::new(query));
        }
        request.queried.clear();
        PlacementStep::Placed(self.place_by_choice(now, request, choice))
    }

    /// Returns the dispatch that a granted query yields; `None` if one of its servers must not be used.
    pub fn accept_grant(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        query: &MoveQuery,
        grant: &GuestGrant,
    ) -> Option<Dispatch> {
        let server = self.granted_server(now, request, grant.server);
        let helpers: Option<Vec<(Server, u64)>> = grant
            .helpers
            .iter()
            .map(|helper| {
                let server = self.granted_server(now, request, helper.server)?;
                Some((server, helper.held_tokens))
            })
            .collect();
        let (Some(server), Some(helpers)) = (server, helpers) else {
            self.moves.room.record_denial(now, query.cell, UNUSABLE_WAIT);
            return None;
        };
        self.moves.room.record_grant(query.cell);
        request.queried.clear();
        Some(self.dispatch_guest(now, request, query.key, server, helpers, grant.first_event))
    }

    /// Records that the queried cell has no room for `wait`.
    pub fn record_no_room(&mut self, now: Moment, query: &MoveQuery, wait: Duration) {
        self.moves.room.record_denial(now, query.cell, wait);
    }

    /// Records that the queried host did not answer; `request` is then placed without another query.
    pub fn record_query_unanswered(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        query: &MoveQuery,
    ) {
        self.moves.room.record_unanswered(now, query.key.host);
        request.queried.resize(MAX_QUERIES, query.cell);
    }

    fn cross_cell_query(&mut self, now: Moment, request: &mut GatewayRequest) -> Option<MoveQuery> {
        let left = request.objective_left(now).min(request.deadline.since(now));
        let may_query = request.queried.len() < MAX_QUERIES
            && left > MOVE_TIMEOUT
            && self.stop_phase(now) == StopPhase::Running;
        if !may_query {
            return None;
        }
        let cells = self.open_cells(now, request);
        let (cell, host) = self.pick_host(now, cells)?;
        self.moves.bucket.take(now).ok()?;
        request.queried.push(cell);
        self.moves.last = self.moves.last.wrapping_add(1);
        let key = GuestKey { host, query: self.moves.last };
        Some(MoveQuery { key, cell, query: guest_query(now, request) })
    }

    /// Returns the other cells that may be queried for `request`. Cells that share the servers of this one
    /// have no others, and know less of the load there.
    fn open_cells(&mut self, now: Moment, request: &GatewayRequest) -> Vec<usize> {
        let cells = self.peers.cells();
        self.moves.room.set_count(cells.count());
        let servers = self.servers.of_service(&request.service).len();
        let has_other_servers = |cell: &usize| !cells.shares_servers(*cell, servers);
        (0..cells.count())
            .filter(|cell| *cell != cells.own_cell() && !request.queried.contains(cell))
            .filter(|cell| self.moves.room.is_open(now, *cell))
            .filter(has_other_servers)
            .collect()
    }

    /// Picks a host at random in the cell that last had room, or in a random one of `cells`.
    fn pick_host(&mut self, now: Moment, mut cells: Vec<usize>) -> Option<(usize, Ipv4Addr)> {
        while !cells.is_empty() {
            let granting = cells.iter().position(|cell| self.moves.room.granting() == Some(*cell));
            let position = granting.unwrap_or_else(|| self.random.random_range(0..cells.len()));
            let cell = cells.swap_remove(position);
            let hosts = self.available_hosts(now, cell);
            if let Some(host) = hosts.choose(&mut self.random) {
                return Some((cell, *host));
            }
        }
        None
    }

    /// Returns the hosts of another cell that may be queried: those that are live, or all that are known if
    /// none is.
    fn available_hosts(&self, now: Moment, cell: usize) -> Vec<Ipv4Addr> {
        let mut hosts = self.peers.addresses(now);
        hosts.retain(|address| {
            self.cell_of(*address) == cell && self.moves.room.is_available(now, address)
        });
        let is_live = |address: &Ipv4Addr| self.peers.is_recent(now, address, MENTION_TTL);
        if hosts.iter().any(is_live) {
            hosts.retain(is_live);
        }
        hosts
    }

    /// Returns whether this cell has no capacity for `request` now, by the choice that was made for it.
    fn lacks_capacity(&self, now: Moment, request: &GatewayRequest, choice: &ServerChoice) -> bool {
        match choice {
            ServerChoice::NoServer | ServerChoice::Plain(None) => true,
            ServerChoice::AllPaused | ServerChoice::NoPermit => false,
            ServerChoice::Yield(_) => true,
            ServerChoice::Plain(Some(_)) => self.free_plain_slots(now, &request.service) == 0,
            ServerChoice::Engines(choice) => match &choice.outcome {
                EngineOutcome::Send(group) => {
                    let is_deferred = choice.is_behind && request.gap_class() != GapClass::Tight;
                    is_deferred || group.first_event > choice.query.objective_left
                }
                EngineOutcome::Wait(_)
                | EngineOutcome::TooLate(_)
                | EngineOutcome::TooCostly
                | EngineOutcome::Yield(_) => true,
                EngineOutcome::TooLarge | EngineOutcome::NoEngine => false,
            },
        }
    }

    /// Returns the dispatch of a request to servers of another cell, whose work the host of `guest`
    /// counts; each of `helpers` is with the tokens that its memory holds.
    fn dispatch_guest(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        guest: GuestKey,
        server: Server,
        helpers: Vec<(Server, u64)>,
        expected: Duration,
    ) -> Dispatch {
        self.leave_queue(request);
        let send = self.new_send();
        let service = self.catalog.as_ref().and_then(|catalog| catalog.service(&request.service));
        let has_engines = service.is_some_and(|service| service.engine.is_some());
        let mut dispatch = match has_engines && request.size.is_some() {
            true => self.engine_dispatch(now, request, send, server, helpers, expected),
            false => self.plain_dispatch(now, request, send, server),
        };
        dispatch.guest = Some(guest);
        dispatch
    }

    /// Returns the server with this digest if `request` may be sent to it.
    fn granted_server(&self, now: Moment, request: &GatewayRequest, digest: u32) -> Option<Server> {
        let server = self.servers.with_digest(digest)?;
        let may_be_used = server.service == request.service
            && !server.draining
            && !self.has_left(&server.id)
            && !self.is_evacuated(&server.zone)
            && !self.is_paused(now, &server.id)
            && !self.is_limited(now, server)
            && !self.is_avoided(server, now)
            && !request.tried.contains(&server.id);
        may_be_used.then(|| server.clone())
    }
}

fn guest_query(now: Moment, request: &GatewayRequest) -> GuestQuery {
    GuestQuery {
        service: request.service.clone(),
        size: request.size,
        gap_class: request.gap_class(),
        objective_left: request.objective_left(now),
        abandon_after: request.abandon_at.since(now),
        time_left: request.deadline.since(now),
        tried: request.tried.iter().map(|server| server.digest()).collect(),
    }
}
