//! Permits for requests to servers that name a limit.
//!
//! One host, the arbiter, grants all permits for a limited server, from one token bucket. Each host
//! chooses it by hash among the live hosts of a cell and states its choice in its messages. The bucket
//! fills in proportion to the hosts that chose it, so that several arbiters, which hosts choose that
//! cannot hear each other, together grant no more than one. See docs/design/limited-servers.md.

use std::net::Ipv4Addr;
use std::time::Duration;

use rand::Rng;
use rustc_hash::FxHashMap;

use super::Delegation;
use super::Dispatch;
use super::Gateway;
use super::GatewayPlacement;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use super::limits::MAX_NEWS_LIMITS;
use super::lost_if_may_have_run;
use super::permit_queue::PermitQueue;
use crate::state::Moment;
use crate::state::RateBucket;
use crate::state::RequestRate;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServiceName;
use crate::state::prompt_value;

/// The rate at which a server that names a lower limit is still sent requests: only a response can show
/// that the limit has ended.
const MIN_RATE: RequestRate = RequestRate::from_micros(100_000);
/// By how much more than the share of the hosts that chose it an arbiter grants, up to the whole limit, so that
/// a few hosts that don't come back don't lower it. Hosts that are split may exceed a limit by as much.
const LOST_HOSTS_FACTOR: f64 = 1.1;
/// How long a permit may be kept before its request is sent. The bound of a cold server holds in each second,
/// so that its permits must not gather.
const PERMIT_TTL: Duration = Duration::from_millis(500);
const COLD_PERMIT_TTL: Duration = Duration::from_millis(200);
/// The number of hosts that one assumes which receives no message of any seed: it does not know how many
/// other hosts grant permits for the same server.
const UNCONNECTED_HOSTS: f64 = 128.0;
/// By how much more than its part of the seeds a host grants, up to the whole limit, so that a seed that is
/// gone lowers the rate of cold servers little. Hosts that are split may exceed it by as much.
const LOST_SEEDS_FACTOR: f64 = 1.2;
/// How long a bucket is kept for a server that only other hosts take as cold, after the last question.
const ASKED_TTL: Duration = Duration::from_secs(10);
/// The timeout of an arbiter's answer: several times the latency between two availability zones.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);
/// The bounds of the time after a denial in which this host does not ask again.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);
const MAX_ASK_INTERVAL: Duration = Duration::from_secs(1);
/// The same after an arbiter did not answer; those of the cell are soon known to be silent.
const UNANSWERED_INTERVAL: Duration = Duration::from_millis(200);
/// How long an arbiter of another cell that did not answer is not chosen.
const UNAVAILABLE_TIME: Duration = Duration::from_secs(5);
/// The longest random delay between the end of a wait and the next question.
const ASK_JITTER: Duration = Duration::from_millis(20);
/// How long a request whose response is late already may wait for a permit.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(100);
/// The bounds of the retry delay for callers that no permit is left for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The first step towards a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitStep {
    /// The server is not limited, so that none is needed.
    NotLimited,
    /// This host is the arbiter and granted one.
    Granted,
    /// There is none now.
    Denied,
    /// The arbiter must be asked.
    Ask(Ipv4Addr),
}

/// An arbiter's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitAnswer {
    Granted,
    /// There is none now; one may be left after this time.
    Denied(Duration),
}

/// What this host knows of the permits of each limited server, by the server's digest.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    /// The buckets from which this host grants permits.
    buckets: FxHashMap<u32, RateBucket>,
    /// Until when no permit is expected for this host.
    waits: FxHashMap<u32, Moment>,
    /// When this host was last asked for a permit for a server that it does not take as limited.
    asked: FxHashMap<u32, Moment>,
    /// The requests that wait for permits.
    pub(crate) queue: PermitQueue,
    /// The hosts of other cells that did not answer, and when.
    unanswered: FxHashMap<Ipv4Addr, Moment>,
}

impl Permits {
    /// Forgets the servers that `is_listed` does not hold for.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.buckets.retain(|server, _| is_listed(*server));
        self.waits.retain(|server, _| is_listed(*server));
        self.asked.retain(|server, _| is_listed(*server));
    }

    /// Lets this host ask at once, since the limit is another one.
    pub(crate) fn reset_wait(&mut self, server: u32) {
        self.waits.remove(&server);
    }

    fn wait_left(&self, now: Moment, server: &ServerId) -> Duration {
        self.waits.get(&server.digest()).map_or(Duration::ZERO, |until| until.since(now))
    }
}

impl Gateway {
    /// Takes a permit for a request to `server` from this host's own bucket, or returns whom to ask.
    pub fn request_permit(&mut self, now: Moment, server: &ServerId) -> PermitStep {
        if self.send_rate(now, server).is_none() {
            return PermitStep::NotLimited;
        }
        if self.lacks_permit(now, server) {
            return PermitStep::Denied;
        }
        match self.arbiter(now, server.digest()) {
            Some(arbiter) if self.peers.is_own(arbiter) => match self.grant(now, server.digest()) {
                PermitAnswer::Granted => PermitStep::Granted,
                PermitAnswer::Denied(wait) => {
                    self.record_denial(now, server, wait);
                    PermitStep::Denied
                }
            },
            Some(arbiter) => {
                // Other requests of this host wait for this answer.
                self.permits.waits.insert(server.digest(), now + PERMIT_TIMEOUT);
                PermitStep::Ask(arbiter)
            }
            None => {
                self.record_denial(now, server, UNANSWERED_INTERVAL);
                PermitStep::Denied
            }
        }
    }

    /// Answers another host, or a request of this one, as the arbiter of the server with this digest.
    pub fn grant(&mut self, now: Moment, server: u32) -> PermitAnswer {
        if self.send_rate_of(now, server).is_none() && self.cold_start_of(server).is_some() {
            self.permits.asked.insert(server, now);
        }
        let Some(bucket) = self.filled_bucket(now, server) else {
            return PermitAnswer::Denied(UNANSWERED_INTERVAL);
        };
        match bucket.take(now) {
            Ok(()) => PermitAnswer::Granted,
            Err(wait) => PermitAnswer::Denied(wait),
        }
    }

    /// Takes back a permit that this host granted and that was not used.
    pub fn take_back_permit(&mut self, now: Moment, server: u32) {
        if let Some(bucket) = self.filled_bucket(now, server) {
            bucket.give_back(now);
        }
    }

    /// Counts a request that was sent without a permit, so that fewer are granted.
    pub fn charge_permit(&mut self, now: Moment, server: u32) {
        if let Some(bucket) = self.filled_bucket(now, server) {
            bucket.charge(now);
        }
    }

    /// Records that the arbiter granted a permit for `server`; other requests may ask again.
    pub fn record_permit(&mut self, server: &ServerId) {
        self.permits.reset_wait(server.digest());
    }

    /// Records that there is no permit for `server` for `wait`.
    pub fn record_denial(&mut self, now: Moment, server: &ServerId, wait: Duration) {
        let jitter = ASK_JITTER.mul_f64(self.random.random_range(0.0..1.0));
        let wait = wait.clamp(MIN_ASK_INTERVAL, MAX_ASK_INTERVAL) + jitter;
        self.permits.waits.insert(server.digest(), now + wait);
    }

    /// Records that the arbiter of `server` did not answer.
    pub fn record_unanswered(&mut self, now: Moment, server: &ServerId, arbiter: Ipv4Addr) {
        self.permits.unanswered.retain(|_, at| now.since(*at) < UNAVAILABLE_TIME);
        self.permits.unanswered.insert(arbiter, now);
        self.record_denial(now, server, UNANSWERED_INTERVAL);
    }

    /// Returns whether a permit that was granted at `granted` may still be used.
    pub fn is_permit_valid(&self, now: Moment, granted: Moment, server: &ServerId) -> bool {
        let is_cold = self.cold_rate(now, server.digest()).is_some();
        now.since(granted) < if is_cold { COLD_PERMIT_TTL } else { PERMIT_TTL }
    }

    /// Returns whether a server of `dispatch` needs a permit, besides the first one if `has_permit`.
    pub fn needs_permit(&self, now: Moment, dispatch: &Dispatch, has_permit: bool) -> bool {
        let servers = dispatch.servers().skip(usize::from(has_permit));
        servers.into_iter().any(|server| self.send_rate(now, &server.id).is_some())
    }

    /// Returns the host that grants permits for the server with this digest.
    pub fn arbiter(&self, now: Moment, server: u32) -> Option<Ipv4Addr> {
        let service = &self.servers.with_digest(server)?.service;
        let servers = self.servers.of_service(service).len();
        let cell = self.peers.cells().arbitrating_cell(server, servers);
        let is_available = |address: &Ipv4Addr| {
            let unanswered = self.permits.unanswered.get(address);
            unanswered.is_none_or(|at| now.since(*at) >= UNAVAILABLE_TIME)
        };
        self.peers.arbiter(now, server, cell, is_available)
    }

    /// Returns whether `address` is this host's own.
    pub(crate) fn is_own_address(&self, address: Ipv4Addr) -> bool {
        self.peers.is_own(address)
    }

    /// Returns this host's choices of other hosts as arbiters.
    pub(crate) fn delegations(&self, now: Moment) -> Vec<Delegation> {
        let named = self.limits.iter().filter(|(_, known)| known.limit.rate.is_some());
        let named = named.map(|(server, _)| server);
        let cold = self.known_cold().map(|(server, _)| server).filter(|server| {
            self.limits.rate_of(*server).is_none() && self.cold_rate(now, *server).is_some()
        });
        let choices = named.chain(cold).filter_map(|server| {
            let arbiter = self.arbiter(now, server)?;
            (!self.peers.is_own(arbiter)).then_some(Delegation { arbiter, server })
        });
        choices.take(MAX_NEWS_LIMITS).collect()
    }

    /// Fills the buckets up to `now`; called when the hosts that chose this one may have changed.
    pub fn fill_buckets(&mut self, now: Moment) {
        let servers: Vec<u32> = self.permits.buckets.keys().copied().collect();
        for server in servers {
            if self.is_bucket_idle(now, server) {
                self.permits.buckets.remove(&server);
                self.permits.asked.remove(&server);
            } else {
                self.filled_bucket(now, server);
            }
        }
    }

    /// Returns whether the server with this digest is not limited any more, after a cold period, and no
    /// host asks for permits.
    fn is_bucket_idle(&self, now: Moment, server: u32) -> bool {
        let is_asked = self.permits.asked.get(&server).is_some_and(|at| now.since(*at) < ASKED_TTL);
        let is_limited = self.send_rate_of(now, server).is_some();
        !is_limited && !is_asked && self.cold_start_of(server).is_some()
    }

    /// Returns the bucket of the server with this digest, filled up to `now`; `None` if no host chose this
    /// one as its arbiter, or if the server is not limited.
    fn filled_bucket(&mut self, now: Moment, server: u32) -> Option<&mut RateBucket> {
        // Another host may know that the server is cold, and this one not yet or not any more.
        let is_named = self.limits.rate_of(server).is_some();
        let cold = self.cold_rate(now, server);
        let asked = || self.cold_start_of(server).map(|spec| spec.rate);
        let limit = self.send_rate_of(now, server).or_else(asked)?;
        let lapses = cold.is_some() || !is_named;
        let is_own_choice =
            self.arbiter(now, server).is_some_and(|arbiter| self.peers.is_own(arbiter));
        let share = self.peers.delegated_share(now, server, is_own_choice);
        let mut share = (share * LOST_HOSTS_FACTOR).min(1.0);
        if lapses {
            let live = self.peers.live_seed_share(now) * LOST_SEEDS_FACTOR;
            share = share.min(live.max(1.0 / UNCONNECTED_HOSTS));
        }
        let random = &mut self.random;
        let bucket = self.permits.buckets.entry(server).or_insert_with(|| match lapses {
            true => RateBucket::with_part(now, random.random_range(0.0..1.0)),
            false => RateBucket::new(now),
        });
        bucket.set_lapse(lapses);
        bucket.set_rate(now, limit.max(MIN_RATE).per_second() * share);
        (share > 0.0).then_some(bucket)
    }

    /// Returns whether `server` is limited and no permit is expected for this host now.
    pub(crate) fn lacks_permit(&self, now: Moment, server: &ServerId) -> bool {
        self.send_rate(now, server).is_some() && !self.permits.wait_left(now, server).is_zero()
    }

    /// Returns whether `server` names a limit, or is or was lately cold.
    pub(crate) fn is_limited(&self, now: Moment, server: &Server) -> bool {
        self.send_rate(now, &server.id).is_some()
    }

    /// Queues a request for a service of which all servers lack permits, or refuses it if its turn would
    /// come too late.
    pub(crate) fn wait_for_permit(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
    ) -> GatewayPlacement {
        let value = request_value(request);
        let ahead = self.permits_ahead(now, request);
        let (next, rate) = self.permit_outlook(now, &request.service);
        let turn = next + Duration::from_secs_f64(ahead as f64 / rate.max(MIN_RATE.per_second()));
        let left = request.objective_left(now).max(MIN_PERMIT_WAIT);
        if turn > left.min(request.deadline.since(now)) {
            return self.refuse(now, request, limit_refusal(request, turn));
        }
        if let Some(refusal) = self.stop_refusal(now, request, turn) {
            return self.refuse(now, request, refusal);
        }
        let placement = self.wait(now, request, value, Duration::ZERO, next, Duration::ZERO);
        if let (GatewayPlacement::Wait(delay), Some(ticket)) = (&placement, request.queue_ticket) {
            self.permits.queue.record_wait(now, ticket, &request.service, value, *delay);
        }
        placement
    }

    /// Returns whether requests that wait at this host get permits before `request`, which would go to
    /// `server`.
    pub(crate) fn yields_permit(
        &self,
        now: Moment,
        request: &GatewayRequest,
        server: &Server,
    ) -> bool {
        self.is_limited(now, server) && self.permits_ahead(now, request) > 0
    }

    fn permits_ahead(&self, now: Moment, request: &GatewayRequest) -> usize {
        let (ticket, value) = (request.queue_ticket, request_value(request));
        self.permits.queue.count_ahead(now, ticket, &request.service, value)
    }

    /// Returns the refusal for a request that needs more servers than those that name no limit.
    pub(crate) fn limited_group_refusal(
        &self,
        now: Moment,
        request: &GatewayRequest,
    ) -> GatewayRefusal {
        let (next, _) = self.permit_outlook(now, &request.service);
        limit_refusal(request, next)
    }

    /// Returns the time until this host may ask for the next permit at one of the servers of `service`, and
    /// the part of all permits per second that it can expect.
    fn permit_outlook(&self, now: Moment, service: &ServiceName) -> (Duration, f64) {
        let servers = self.usable_servers(service);
        let limited = || servers.iter().filter(|server| self.is_limited(now, server));
        let next = limited().map(|server| self.permits.wait_left(now, &server.id)).min();
        let rates = limited().filter_map(|server| self.send_rate(now, &server.id));
        let rate: f64 = rates.map(RequestRate::per_second).sum();
        let hosts = self.peers.live_count(now) + 1;
        (next.unwrap_or_default(), rate / hosts as f64)
    }
}

/// Returns the value of a request when its response is on time.
fn request_value(request: &GatewayRequest) -> f64 {
    prompt_value(request.size.map_or(0, |size| size.prompt))
}

/// Returns the refusal for a request whose turn at the limited servers would come after `turn`.
fn limit_refusal(request: &GatewayRequest, turn: Duration) -> GatewayRefusal {
    let retry_after = turn.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    let refusal = GatewayRefusal::retry_after(RefusalReason::ServersLimited, retry_after);
    lost_if_may_have_run(request, refusal)
}
