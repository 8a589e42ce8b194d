//! Customers of today's size and the rules text that lets them in.

use std::fmt::Write;

/// A customer that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name in the rules.
    pub name: String,
    /// Its bearer token.
    pub token: String,
    /// Its share of the load, beside the other customers' shares.
    pub share: u32,
    /// Its weight in the rules.
    pub weight: u32,
    /// Its limit, in tokens a second.
    pub rate: u32,
    /// Its limit of requests in flight.
    pub in_flight: u32,
}

/// The share of a large customer beside that of a small one.
const LARGE_SHARE: u32 = 10;

/// How many of today's customers there are, and how many of them are large.
const TODAY: (usize, usize) = (10, 3);

/// A limit that no test's load reaches, in tokens a second.
const AMPLE_RATE: u32 = 100_000_000;

/// A limit of requests in flight that no test's load reaches.
const AMPLE_IN_FLIGHT: u32 = 10_000;

/// Returns ten customers, three of them large, with limits that no load reaches.
pub fn todays_customers() -> Vec<Customer> {
    let (count, large) = TODAY;
    let customer = |index: usize| Customer {
        name: format!("customer-{}", index + 1),
        token: format!("token-{}", index + 1),
        share: if index < large { LARGE_SHARE } else { 1 },
        weight: 1,
        rate: AMPLE_RATE,
        in_flight: AMPLE_IN_FLIGHT,
    };
    (0..count).map(customer).collect()
}

/// What the rules say beside the customers.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetRules {
    /// The model's name.
    pub model: String,
    /// The version of its weights.
    pub revision: String,
    /// The deadline of requests that name none, in seconds.
    pub deadline_s: u32,
    /// The plain service's name; its path is this name below the root.
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
