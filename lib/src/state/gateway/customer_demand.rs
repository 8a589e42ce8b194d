//! The demand of each customer for one service, and the max-min fair share of what is scarce.
//!
//! A host sees only its own requests: of n requests that it counts, the share of a customer with the true
//! share x has a standard error of the square root of x (1 - x) / n.

use std::collections::HashMap;
use std::time::Duration;

use super::DecayingSum;
use crate::state::CustomerName;
use crate::state::Moment;

/// The time constant of demand. A host of a large fleet gets a request every two seconds.
const DEMAND_TIME: Duration = Duration::from_secs(30);
/// The time constant of the count of refused requests, after which a service counts as having capacity.
const REFUSAL_TIME: Duration = Duration::from_secs(5);
/// The decayed number of refused requests from which on customers are treated by their demand.
const MIN_REFUSED: f64 = 0.5;
/// The decayed number of requests from which on shares are compared.
const MIN_REQUESTS: f64 = 8.0;
/// How much larger than an equal share the largest customer's share must be.
const UNEVEN_FACTOR: f64 = 2.0;
/// The decayed number of requests below which a customer is removed.
const MIN_DEMAND: f64 = 0.01;
/// The most customers with counted demand; the demand of others is not counted.
const MAX_CUSTOMERS: usize = 256;

/// The demand of customers for one service, in requests.
#[derive(Debug, Clone, Default)]
pub struct CustomerDemand {
    customers: HashMap<CustomerName, DecayingSum>,
    refused: DecayingSum,
}

impl CustomerDemand {
    /// Counts a request of `customer`.
    pub fn count(&mut self, now: Moment, customer: &CustomerName) {
        if !self.customers.contains_key(customer) {
            self.customers.retain(|_, sum| sum.get(now, DEMAND_TIME) >= MIN_DEMAND);
            if self.customers.len() >= MAX_CUSTOMERS {
                return;
            }
        }
        self.customers.entry(customer.clone()).or_default().add(now, DEMAND_TIME, 1.0);
    }

    /// Counts a request that was refused since the service lacks capacity.
    pub fn count_refusal(&mut self, now: Moment) {
        self.refused.add(now, REFUSAL_TIME, 1.0);
    }

    /// Returns whether the service refuses requests while one customer has far more than an equal share of
    /// the demand.
    pub fn is_contested(&self, now: Moment) -> bool {
        if self.refused.get(now, REFUSAL_TIME) < MIN_REFUSED {
            return false;
        }
        let (total, largest) = self
            .demands(now)
            .fold((0.0, 0.0_f64), |(total, largest), one| (total + one, largest.max(one)));
        let equal = total / self.customers.len().max(1) as f64;
        total >= MIN_REQUESTS && largest > equal * UNEVEN_FACTOR
    }

    /// Returns the fraction of the demand that would be left if no customer asked for more than
    /// `customer`: 1 for the largest.
    ///
    /// ```
    /// use wasabicrank_lib::state::{CustomerDemand, CustomerName, Moment};
    /// let mut demand = CustomerDemand::default();
    /// let (large, small) = (CustomerName::new("large"), CustomerName::new("small"));
    /// (0..9).for_each(|_| demand.count(Moment(0), &large));
    /// demand.count(Moment(0), &small);
    /// assert_eq!(demand.load_share(Moment(0), &large), 1.0);
    /// assert_eq!(demand.load_share(Moment(0), &small), 0.2);
    /// ```
    pub fn load_share(&self, now: Moment, customer: &CustomerName) -> f64 {
        let own = self.demand(now, customer);
        let total: f64 = self.demands(now).sum();
        if total > 0.0 {
            self.demands(now).map(|one| one.min(own)).sum::<f64>() / total
        } else {
            1.0
        }
    }

    /// Returns the share of the requests of `customer` that is served if the service can serve the share
    /// `capacity` of all and each customer gets at most the same number.
    ///
    /// ```
    /// # use wasabicrank_lib::state::{CustomerDemand, CustomerName, Moment};
    /// # let mut demand = CustomerDemand::default();
    /// # let (large, small) = (CustomerName::new("large"), CustomerName::new("small"));
    /// # (0..9).for_each(|_| demand.count(Moment(0), &large));
    /// # demand.count(Moment(0), &small);
    /// // Of ten requests, nine by the large customer, five can be served.
    /// assert_eq!(demand.admitted_share(Moment(0), &small, 0.5), 1.0);
    /// assert_eq!(demand.admitted_share(Moment(0), &large, 0.5), 4.0 / 9.0);
    /// ```
    pub fn admitted_share(&self, now: Moment, customer: &CustomerName, capacity: f64) -> f64 {
        let own = self.demand(now, customer);
        let mut sizes: Vec<f64> = self.demands(now).collect();
        sizes.sort_by(f64::total_cmp);
        let mut left = sizes.iter().sum::<f64>() * capacity;
        let mut limit = f64::INFINITY;
        for (position, size) in sizes.iter().enumerate() {
            let equal = left / (sizes.len() - position) as f64;
            if *size > equal {
                limit = equal;
                break;
            }
            left -= size;
        }
        if own > limit { limit / own } else { 1.0 }
    }

    fn demand(&self, now: Moment, customer: &CustomerName) -> f64 {
        self.customers.get(customer).map_or(0.0, |sum| sum.get(now, DEMAND_TIME))
    }

    fn demands(&self, now: Moment) -> impl Iterator<Item = f64> {
        self.customers.values().map(move |sum| sum.get(now, DEMAND_TIME))
    }
}
