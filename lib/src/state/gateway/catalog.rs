//! The operator's configuration: which requests go to which service, and for which customers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::EngineProfile;
use crate::state::CustomerName;
use crate::state::ServiceName;

/// What may be repeated of a request on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs once at most.
    NonIdempotent,
    /// The answer is a stream of events with rising ids.
    Stream {
        /// Whether another server may go on with a stream that broke off.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    ///
    /// ```
    /// use wasabicrank_lib::state::RouteKind;
    /// assert!(RouteKind::Idempotent.is_repeatable());
    /// assert!(!RouteKind::Stream { resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Returns whether the answer is a stream of events.
    ///
    /// ```
    /// use wasabicrank_lib::state::RouteKind;
    /// assert!(RouteKind::Stream { resumable: true }.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service's name.
    pub service: ServiceName,
    /// Its share, relative to the other shares of the route.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: String,
    /// The start of the paths that it takes; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be kept waiting for its answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub gap: Option<Duration>,
    /// Its rank; 0 comes first.
    pub priority: u8,
    /// The services that share its requests.
    pub backends: Vec<Backend>,
    /// The most servers that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no customer's key.
    pub public: bool,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// What its engines do in which time; nothing for a plain service.
    pub engine: Option<EngineProfile>,
}

/// What a caller may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The most bytes of a request's body.
    pub body_bytes: usize,
    /// The longest time that a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// A customer as a request's key names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerName,
    /// Its rank, which goes before the route's; 0 comes first.
    pub priority: Option<u8>,
}

/// The parts that a catalog is made of.
#[derive(Debug, Clone)]
pub struct CatalogParts {
    /// The version; later ones are greater.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The customers by key; without any, requests need no key.
    pub keys: HashMap<String, Customer>,
}

/// One version of the operator's configuration, ready for look-ups.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
    keys: HashMap<String, Customer>,
}

impl Catalog {
    /// Makes the look-up tables of a configuration.
    pub fn new(parts: CatalogParts) -> Catalog {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        Catalog { version: parts.version, hosts, services, limits: parts.limits, keys: parts.keys }
    }

    /// Returns the version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether requests need a customer's key, public routes aside.
    pub fn needs_keys(&self) -> bool {
        !self.keys.is_empty()
    }

    /// Returns the customer that holds `key`.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.keys.get(key)
    }

    /// Returns what the configuration says of the service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }
}
