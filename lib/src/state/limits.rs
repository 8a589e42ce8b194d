//! Limits per customer over all entry hosts, without shared state.
//!
//! Each entry host takes a share of a customer's limit that follows the demand that all of them
//! report in their heartbeats. Every host works from what was reported, its own demand included, so
//! that the shares add up to the limit but for the lag of one heartbeat. A host that is not heard
//! keeps its share for a while; during a partition each side comes to the whole limit after that, so
//! the sum over `n` sides is at most `n` times the limit.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;

use super::attempt_messages::CustomerUsage;
use super::limits_bucket::Bucket;
use super::limits_bucket::DemandMeter;
use super::names::CustomerName;
use super::names::HostName;
use super::outcome::Outcome;
use super::outcome::Reason;
use super::outcome::Refusal;
use super::rules::CustomerRule;
use super::time::Moment;

/// How long the last report of a host that is not heard counts.
pub const REPORT_HOLD: Duration = Duration::from_secs(10);

/// The part of a limit that is spread evenly, so that a host that gets busy can start at once.
const FLOOR_PART: f64 = 0.15;

/// When a customer at its limit of requests in flight is told to come back.
const IN_FLIGHT_RETRY: Duration = Duration::from_secs(1);

/// The capacity of the fleet, as far as it matters to fair shares.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetPressure {
    /// Whether the engines have more work than they can do soon.
    pub full: bool,
    /// What the engines do together, in tokens a second.
    pub capacity: f64,
}

/// What one customer uses at this entry host.
#[derive(Debug, Clone)]
struct Local {
    bucket: Bucket,
    demand: DemandMeter,
    in_flight: u32,
    /// What the last heartbeat said.
    reported: CustomerUsage,
}

/// What a peer reported.
#[derive(Debug, Clone)]
struct PeerReport {
    at: Moment,
    usage: BTreeMap<CustomerName, CustomerUsage>,
}

/// The limits of all customers at one entry host.
#[derive(Debug, Clone, Default)]
pub struct CustomerLimits {
    rules: IndexMap<CustomerName, CustomerRule>,
    local: BTreeMap<CustomerName, Local>,
    peers: BTreeMap<HostName, PeerReport>,
    pressure: FleetPressure,
    fair: BTreeMap<CustomerName, f64>,
}

impl CustomerLimits {
    /// Makes limits without any rule, which refuse everybody.
    ///
    /// ```
    /// use wasabicrank_lib::state::{CustomerLimits, CustomerName, Moment, Reason};
    /// let mut limits = CustomerLimits::new();
    /// let refusal = limits.admit(Moment(0), &CustomerName::new("cotisa"), 100).unwrap_err();
    /// assert_eq!(refusal.reason, Reason::NoConfiguration);
    /// ```
    pub fn new() -> CustomerLimits {
        CustomerLimits::default()
    }

    /// Takes the customers' rules of an accepted configuration.
    pub fn set_rules(&mut self, rules: &IndexMap<CustomerName, CustomerRule>) {
        self.rules = rules.clone();
        self.local.retain(|name, local| rules.contains_key(name) || local.in_flight > 0);
    }

    /// Takes what a peer reported in its heartbeat.
    pub fn record_peer_usage(&mut self, now: Moment, peer: &HostName, usage: &[CustomerUsage]) {
        let usage = usage.iter().map(|item| (item.customer.clone(), item.clone())).collect();
        self.peers.insert(peer.clone(), PeerReport { at: now, usage });
    }

    /// Forgets a peer that is known to have stopped; its share goes to the others at once.
    pub fn peer_gone(&mut self, peer: &HostName) {
        self.peers.remove(peer);
    }

    /// Returns what to report in the next heartbeat; shares follow from what was reported.
    pub fn usage(&mut self, now: Moment) -> Vec<CustomerUsage> {
        self.peers.retain(|_, report| now.since(report.at) < REPORT_HOLD);
        for (name, local) in &mut self.local {
            local.reported = CustomerUsage {
                customer: name.clone(),
                demand: local.demand.rate(now) as u32,
                in_flight: local.in_flight,
            };
        }
        self.local.retain(|_, local| {
            local.in_flight > 0 || local.reported.demand > 0 || !local.bucket.is_full(now)
        });
        self.update_fair();
        self.local.values().map(|local| local.reported.clone()).collect()
    }

    /// Sets whether the fleet is full; then customers get fair shares of its capacity by weight.
    pub fn set_pressure(&mut self, pressure: FleetPressure) {
        self.pressure = pressure;
    }

    /// Admits a request of `tokens`, prompt and expected answer, or refuses it.
    pub fn admit(
        &mut self,
        now: Moment,
        customer: &CustomerName,
        tokens: u32,
    ) -> Result<(), Refusal> {
        let Some(rule) = self.rules.get(customer) else {
            return Err(refuse(Reason::NoConfiguration, None));
        };
        let (limit, slots) = (f64::from(rule.rate), rule.in_flight);
        let fair = self.fair.get(customer).copied().filter(|fair| *fair < limit);
        let part = self.part(customer, fair.unwrap_or(limit));
        let may_start = self.may_start(customer, slots);
        let local = self.local.entry(customer.clone()).or_insert_with(|| Local::new(now, customer));
        local.demand.add(now, tokens);
        if !may_start {
            return Err(refuse(Reason::InFlightLimit, Some(IN_FLIGHT_RETRY)));
        }
        local.bucket.set_rate(now, part);
        if let Err(wait) = local.bucket.take(now, tokens) {
            let reason = if fair.is_some() { Reason::FairShare } else { Reason::RateLimit };
            return Err(refuse(reason, Some(wait)));
        }
        local.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request ended; `unused` tokens of what it was admitted for go back.
    pub fn release(&mut self, now: Moment, customer: &CustomerName, unused: u32) {
        let Some(local) = self.local.get_mut(customer) else { return };
        local.in_flight = local.in_flight.saturating_sub(1);
        local.bucket.give_back(now, unused);
    }

    /// Returns this host's part of a customer's `rate`, in tokens a second.
    ///
    /// While the demand is below the rate, each host has what it needs and an even part of the rest,
    /// so that a host with few requests can serve them; above it, the parts follow the demand.
    fn part(&self, customer: &CustomerName, rate: f64) -> f64 {
        let hosts = 1.0 + self.peers.len() as f64;
        let own = self.local.get(customer).map_or(0, |local| local.reported.demand);
        let own = f64::from(own);
        let others = self.peer_uses(customer).map(|item| f64::from(item.demand)).sum::<f64>();
        let all = own + others;
        let floor = rate * FLOOR_PART / hosts;
        let shared = rate * (1.0 - FLOOR_PART);
        if all <= shared {
            return floor + own + (shared - all) / hosts;
        }
        floor + shared * own / all
    }

    /// Tells whether one more request may start.
    ///
    /// Between two heartbeats a host takes at most half of its part of the free slots, since it does
    /// not know yet what the others took, but at least one. So the sum is above the limit by at most
    /// one slot for each other host, and only for that long.
    fn may_start(&self, customer: &CustomerName, slots: u32) -> bool {
        let hosts = 1 + u32::try_from(self.peers.len()).unwrap_or(u32::MAX - 1);
        let others = self.peer_uses(customer).map(|item| item.in_flight).sum::<u32>();
        let local = self.local.get(customer);
        let own = local.map_or(0, |local| local.in_flight);
        let reported = local.map_or(0, |local| local.reported.in_flight);
        if own.saturating_add(others) >= slots {
            return false;
        }
        let free = slots.saturating_sub(reported.saturating_add(others));
        own < reported.saturating_add((free / hosts / 2).max(1)) || own == 0
    }

    fn peer_uses<'a>(
        &'a self,
        customer: &'a CustomerName,
    ) -> impl Iterator<Item = &'a CustomerUsage> + 'a {
        self.peers.values().filter_map(|report| report.usage.get(customer))
    }

    /// Works out the fair rate of each customer when the fleet is full: the capacity goes round by
    /// weight, and what one customer does not need goes to the others.
    fn update_fair(&mut self) {
        self.fair.clear();
        if !self.pressure.full {
            return;
        }
        let mut open = self.demands();
        let mut left = self.pressure.capacity;
        while !open.is_empty() {
            let weights = open.iter().map(|item| item.weight).sum::<f64>();
            let each = left / weights;
            let content = |item: &Demand| item.rate <= each * item.weight;
            let (done, rest): (Vec<Demand>, Vec<Demand>) = open.into_iter().partition(content);
            if done.is_empty() {
                let shares = rest.into_iter().map(|item| (item.customer, each * item.weight));
                self.fair.extend(shares);
                return;
            }
            left = (left - done.iter().map(|item| item.rate).sum::<f64>()).max(0.0);
            open = rest;
        }
    }

    /// Returns the demand of each active customer over all hosts, at most its limit.
    fn demands(&self) -> Vec<Demand> {
        let known = self.rules.iter().map(|(customer, rule)| {
            let own = self.local.get(customer).map_or(0, |local| local.reported.demand);
            let others = self.peer_uses(customer).map(|item| f64::from(item.demand));
            let rate = (f64::from(own) + others.sum::<f64>()).min(f64::from(rule.rate));
            Demand { customer: customer.clone(), rate, weight: f64::from(rule.weight.max(1)) }
        });
        known.filter(|item| item.rate > 0.0).collect()
    }
}

/// What a customer wants of the fleet.
#[derive(Debug, Clone)]
struct Demand {
    customer: CustomerName,
    rate: f64,
    weight: f64,
}

impl Local {
    fn new(now: Moment, customer: &CustomerName) -> Local {
        let reported = CustomerUsage { customer: customer.clone(), demand: 0, in_flight: 0 };
        Local { bucket: Bucket::new(now), demand: DemandMeter::new(now), in_flight: 0, reported }
    }
}

fn refuse(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome: Outcome::NotRun, reason, retry_after }
}
