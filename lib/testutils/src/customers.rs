//! Customers in today's number and sizes, and the rules text that admits it.

use std::fmt::Write;

/// A customer that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name in the rules.
    pub name: String,
    /// Its bearer token.
    pub token: String,
    /// Its share of the load, relative to the other customers' shares.
    pub share: u32,
    /// Its weight in the rules.
    pub weight: u32,
    /// Its rate limit, in tokens per second.
    pub rate: u32,
    /// Its limit on requests in flight.
    pub in_flight: u32,
}

/// The load share of a large customer; a small customer's is 1.
const LARGE_SHARE: u32 = 10;

/// The total number of customers and the number of large ones.
const CUSTOMER_COUNTS: (usize, usize) = (10, 3);

/// A rate limit above any test's load, in tokens per second.
const UNREACHED_RATE: u32 = 100_000_000;

/// A limit on requests in flight above any test's load.
const UNREACHED_IN_FLIGHT: u32 = 10_000;

/// Returns ten customers, three of them large, with limits above any test's load.
pub fn todays_customers() -> Vec<Customer> {
    let (count, large) = CUSTOMER_COUNTS;
    let customer = |index: usize| Customer {
        name: format!("customer-{}", index + 1),
        token: format!("token-{}", index + 1),
        share: if index < large { LARGE_SHARE } else { 1 },
        weight: 1,
        rate: UNREACHED_RATE,
        in_flight: UNREACHED_IN_FLIGHT,
    };
    (0..count).map(customer).collect()
}

/// The contents of the rules apart from the customers.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetRules {
    /// The model's name.
    pub model: String,
    /// The version of its weights.
    pub revision: String,
    /// The default request deadline, in seconds.
    pub deadline_s: u32,
    /// The plain service's name; its path is `/` followed by this name.
    pub service: String,
}

impl Default for FleetRules {
    fn default() -> Self {
        FleetRules {
            model: "assist".to_owned(),
            revision: "1".to_owned(),
            deadline_s: 120,
            service: "enrolment".to_owned(),
        }
    }
}

impl FleetRules {
    /// Returns the rules text for `customers`; all engines have the model.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::parse_rules;
    /// use wasabicrank_testutils::customers::{FleetRules, todays_customers};
    /// let text = FleetRules::default().text(&todays_customers());
    /// assert_eq!(parse_rules(1, "rules", &text).unwrap().customers.len(), 10);
    /// ```
    pub fn text(&self, customers: &[Customer]) -> String {
        let mut text = String::new();
        for customer in customers {
            let Customer { name, token, weight, rate, in_flight, .. } = customer;
            let hash = blake3::hash(token.as_bytes()).to_hex();
            let _ = writeln!(
                text,
                "customer {name} token blake3:{hash} weight {weight} rate {rate}/s \
                 in-flight {in_flight} priority normal  # Jo"
            );
        }
        let FleetRules { model, revision, deadline_s, service } = self;
        let _ = writeln!(
            text,
            "model {model} revision {revision} max-prompt 1000000 max-output 4096 \
             deadline {deadline_s}s  # Ann"
        );
        let _ = writeln!(text, "service {service} path /{service} deadline 10s  # Ann");
        let _ = writeln!(text, "repeatable {service} GET /  # Jo");
        let _ = writeln!(text, "engine engine-* role any models {model}  # Sam");
        text
    }
}
