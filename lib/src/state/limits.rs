//! Limits per customer over all entry hosts, without shared state.
//!
//! Each entry host takes a share of a customer's limit that is proportional to its part of the
//! demand that all hosts report in their heartbeats. A host calculates from reported values only,
//! including its own reported demand, so that the shares add up to the limit except for the lag of
//! one heartbeat. The last report of an unreachable host counts for `REPORT_HOLD`. After that, each
//! side of a partition uses the whole limit, so `n` sides together use at most `n` times the limit.

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

/// How long the last report of an unreachable host counts.
pub const REPORT_HOLD: Duration = Duration::from_secs(10);

/// The fraction of a limit that is divided evenly, so that a host with new demand can admit at
/// once.
const EVEN_FRACTION: f64 = 0.15;

/// The retry delay returned at the limit of requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The load and capacity of the fleet, from which fair shares are calculated.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct FleetPressure {
    /// Whether the engines have more work than they can finish soon.
    pub full: bool,
    /// The total capacity of the engines, in tokens a second.
    pub capacity: f64,
}

/// The usage of one customer at this entry host.
#[derive(Debug, Clone)]
struct LocalUsage {
    bucket: Bucket,
    demand: DemandMeter,
    in_flight: u32,
    /// What the last heartbeat reported.
    reported: CustomerUsage,
}

/// The last report of a peer.
#[derive(Debug, Clone)]
struct PeerReport {
    received_at: Moment,
    usage: BTreeMap<CustomerName, CustomerUsage>,
}

/// The limits of all customers at one entry host.
#[derive(Debug, Clone, Default)]
pub struct CustomerLimits {
    rules: IndexMap<CustomerName, CustomerRule>,
    local: BTreeMap<CustomerName, LocalUsage>,
    peers: BTreeMap<HostName, PeerReport>,
    pressure: FleetPressure,
    fair_rates: BTreeMap<CustomerName, f64>,
}

impl CustomerLimits {
    /// Creates limits without rules, which refuse every customer.
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

    /// Sets the customers' rules from an accepted configuration.
    pub fn set_rules(&mut self, rules: &IndexMap<CustomerName, CustomerRule>) {
        self.rules = rules.clone();
        self.local.retain(|name, local| rules.contains_key(name) || local.in_flight > 0);
    }

    /// Records the usage that a peer reported in its heartbeat.
    pub fn record_peer_usage(&mut self, now: Moment, peer: &HostName, usage: &[CustomerUsage]) {
        let usage = usage.iter().map(|item| (item.customer.clone(), item.clone())).collect();
        self.peers.insert(peer.clone(), PeerReport { received_at: now, usage });
    }

    /// Removes a peer that is known to have stopped, so that its share passes to the others at
    /// once.
    pub fn peer_gone(&mut self, peer: &HostName) {
        self.peers.remove(peer);
    }

    /// Returns the usage to report in the next heartbeat. Shares are calculated from reported
    /// usage.
    pub fn usage(&mut self, now: Moment) -> Vec<CustomerUsage> {
        self.peers.retain(|_, report| now.since(report.received_at) < REPORT_HOLD);
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
        self.update_fair_rates();
        self.local.values().map(|local| local.reported.clone()).collect()
    }

    /// Sets the load of the fleet. While it is full, customers get fair shares of its capacity by
    /// weight.
    pub fn set_pressure(&mut self, pressure: FleetPressure) {
        self.pressure = pressure;
    }

    /// Admits or refuses a request of `tokens`, for the prompt and the expected answer.
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
        let fair = self.fair_rates.get(customer).copied().filter(|fair| *fair < limit);
        let share = self.host_share(customer, fair.unwrap_or(limit));
        let has_slot = self.has_slot(customer, slots);
        let local =
            self.local.entry(customer.clone()).or_insert_with(|| LocalUsage::new(now, customer));
        local.demand.add(now, tokens);
        if !has_slot {
            return Err(refuse(Reason::InFlightLimit, Some(IN_FLIGHT_RETRY_AFTER)));
        }
        local.bucket.set_rate(now, share);
        if let Err(wait) = local.bucket.take(now, tokens) {
            let reason = if fair.is_some() { Reason::FairShare } else { Reason::RateLimit };
            return Err(refuse(reason, Some(wait)));
        }
        local.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request ended and returns its `unused` tokens to the limit.
    pub fn release(&mut self, now: Moment, customer: &CustomerName, unused: u32) {
        let Some(local) = self.local.get_mut(customer) else { return };
        local.in_flight = local.in_flight.saturating_sub(1);
        local.bucket.give_back(now, unused);
    }

    /// Returns this host's share of a customer's `rate`, in tokens a second.
    ///
    /// While the total demand is below the rate, each host gets its own demand and an even part of
    /// the rest, so that a host with few requests can serve them. Above it, shares are proportional
    /// to demand.
    fn host_share(&self, customer: &CustomerName, rate: f64) -> f64 {
        let hosts = 1.0 + self.peers.len() as f64;
        let own = self.local.get(customer).map_or(0, |local| local.reported.demand);
        let own = f64::from(own);
        let others = self.peer_usages(customer).map(|item| f64::from(item.demand)).sum::<f64>();
        let total = own + others;
        let even = rate * EVEN_FRACTION / hosts;
        let shared = rate * (1.0 - EVEN_FRACTION);
        if total <= shared {
            return even + own + (shared - total) / hosts;
        }
        even + shared * own / total
    }

    /// Returns whether the limit of requests in flight allows one more.
    ///
    /// Between two heartbeats a host takes at most half of its part of the free slots, because it
    /// does not know yet how many the others took, but at least one. So the total exceeds the limit
    /// by at most one slot for each other host, and only until the next heartbeat.
    fn has_slot(&self, customer: &CustomerName, slots: u32) -> bool {
        let hosts = 1 + u32::try_from(self.peers.len()).unwrap_or(u32::MAX - 1);
        let others = self.peer_usages(customer).map(|item| item.in_flight).sum::<u32>();
        let local = self.local.get(customer);
        let own = local.map_or(0, |local| local.in_flight);
        let reported = local.map_or(0, |local| local.reported.in_flight);
        if own.saturating_add(others) >= slots {
            return false;
        }
        let free = slots.saturating_sub(reported.saturating_add(others));
        own < reported.saturating_add((free / hosts / 2).max(1)) || own == 0
    }

    fn peer_usages<'a>(
        &'a self,
        customer: &'a CustomerName,
    ) -> impl Iterator<Item = &'a CustomerUsage> + 'a {
        self.peers.values().filter_map(|report| report.usage.get(customer))
    }

    /// Updates the fair rate of each customer while the fleet is full: a weighted max-min fair
    /// division of the capacity, in which what one customer does not need is divided among the
    /// others.
    fn update_fair_rates(&mut self) {
        self.fair_rates.clear();
        if !self.pressure.full {
            return;
        }
        let mut unsatisfied = self.demands();
        let mut left = self.pressure.capacity;
        while !unsatisfied.is_empty() {
            let weights = unsatisfied.iter().map(|item| item.weight).sum::<f64>();
            let unit = left / weights;
            let is_satisfied = |item: &Demand| item.rate <= unit * item.weight;
            let (satisfied, rest): (Vec<Demand>, Vec<Demand>) =
                unsatisfied.into_iter().partition(is_satisfied);
            if satisfied.is_empty() {
                let shares = rest.into_iter().map(|item| (item.customer, unit * item.weight));
                self.fair_rates.extend(shares);
                return;
            }
            left = (left - satisfied.iter().map(|item| item.rate).sum::<f64>()).max(0.0);
            unsatisfied = rest;
        }
    }

    /// Returns the demand of each active customer over all hosts, capped at its limit.
    fn demands(&self) -> Vec<Demand> {
        let known = self.rules.iter().map(|(customer, rule)| {
            let own = self.local.get(customer).map_or(0, |local| local.reported.demand);
            let others = self.peer_usages(customer).map(|item| f64::from(item.demand));
            let rate = (f64::from(own) + others.sum::<f64>()).min(f64::from(rule.rate));
            Demand { customer: customer.clone(), rate, weight: f64::from(rule.weight.max(1)) }
        });
        known.filter(|item| item.rate > 0.0).collect()
    }
}

/// The demand of one customer, in tokens a second.
#[derive(Debug, Clone)]
struct Demand {
    customer: CustomerName,
    rate: f64,
    weight: f64,
}

impl LocalUsage {
    fn new(now: Moment, customer: &CustomerName) -> LocalUsage {
        let reported = CustomerUsage { customer: customer.clone(), demand: 0, in_flight: 0 };
        LocalUsage {
            bucket: Bucket::new(now),
            demand: DemandMeter::new(now),
            in_flight: 0,
            reported,
        }
    }
}

fn refuse(reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome: Outcome::NotRun, reason, retry_after }
}
