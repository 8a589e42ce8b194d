//! The operator's configuration: routes from requests to services, caller limits and customer keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::EngineProfile;
use crate::state::CustomerName;
use crate::state::RequestRate;
use crate::state::ServiceName;

/// Whether and how a request on a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The response is a stream of events with increasing ids.
    Stream {
        /// Whether another server can resume a stream that broke off.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    ///
    /// ```
    /// use wasabicrank_lib::state::RouteKind;
    /// assert!(RouteKind::Idempotent.is_retryable());
    /// assert!(!RouteKind::Stream { resumable: false }.is_retryable());
    /// ```
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    ///
    /// ```
    /// use wasabicrank_lib::state::RouteKind;
    /// assert!(RouteKind::Stream { resumable: true }.is_stream());
    /// ```
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The service's name.
    pub service: ServiceName,
    /// Its share, relative to the weights of the route's other backends.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// The host that requests must name, compared without case.
    pub host: String,
    /// The prefix of the paths that it matches; it begins and ends with a slash.
    pub prefix: String,
    /// Whether and how its requests may be retried.
    pub kind: RouteKind,
    /// The longest time that a caller may wait for the response.
    pub timeout: Duration,
    /// The time within which a response, or a stream's first event, is on time.
    pub objective: Duration,
    /// The longest gap between two events of a stream that is still on time.
    pub gap: Option<Duration>,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The services that its requests are distributed over.
    pub backends: Vec<Backend>,
    /// The maximum number of sends per request, the first one included.
    pub attempts: u32,
    /// Whether requests are accepted without a customer key.
    pub public: bool,
}

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: ServiceName,
    /// The performance figures of its engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// How its servers behave after a start; `None` if they accept all requests at once.
    pub cold: Option<ColdStart>,
}

/// How the servers of a service behave after a start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ColdStart {
    /// How long a server is cold.
    pub time: Duration,
    /// The rate of requests that a cold server accepts from all hosts.
    pub rate: RequestRate,
    /// The path of the server's health check, whose response states how long it stays cold.
    pub health_path: Arc<str>,
}

/// Limits on the size of callers' requests and on the time that they take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's head.
    pub head_bytes: usize,
    /// The maximum size of a request's body.
    pub body_bytes: usize,
    /// The longest time that a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

/// A customer that is identified by a request's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name.
    pub name: CustomerName,
    /// Its priority, which overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// The contents of a configuration, from which a [`Catalog`] is built.
#[derive(Debug, Clone)]
pub struct CatalogParts {
    /// The version, which increases with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// The limits on callers' requests.
    pub limits: CallerLimits,
    /// The customers by key, outside public routes; `None` if requests need no key. An empty table
    /// admits no request.
    pub keys: Option<HashMap<String, Customer>>,
}

/// One version of the operator's configuration, indexed for lookups.
#[derive(Debug)]
pub struct Catalog {
    version: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    priorities: HashMap<ServiceName, Vec<u8>>,
    limits: CallerLimits,
    keys: Option<HashMap<String, Customer>>,
}

impl Catalog {
    /// Builds the lookup tables of a configuration.
    pub fn new(parts: CatalogParts) -> Catalog {
        let priorities = service_priorities(&parts);
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = parts.services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
        let CatalogParts { version, limits, keys, .. } = parts;
        Catalog { version, hosts, services, priorities, limits, keys }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns the route of `host` with the longest matching prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether requests need a customer key, except on public routes.
    pub fn requires_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the customer that `key` belongs to.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns the configuration of the service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the priorities that requests to the service called `name` may have, the most urgent first.
    pub fn priorities(&self, name: &ServiceName) -> &[u8] {
        self.priorities.get(name).map_or(&[], Vec::as_slice)
    }
}

/// Returns the priorities that the requests to each service may have, in order: those of its routes and,
/// outside public routes, of the customers.
fn service_priorities(parts: &CatalogParts) -> HashMap<ServiceName, Vec<u8>> {
    let mut priorities: HashMap<ServiceName, Vec<u8>> = HashMap::new();
    for route in &parts.routes {
        let of_route = |customer: &Customer| customer.priority.unwrap_or(route.priority);
        let keys = parts.keys.as_ref().filter(|_| !route.public);
        let found: Vec<u8> = match keys {
            Some(keys) => keys.values().map(of_route).collect(),
            None => vec![route.priority],
        };
        for backend in route.backends.iter().filter(|backend| backend.weight > 0) {
            priorities.entry(backend.service.clone()).or_default().extend(&found);
        }
    }
    for found in priorities.values_mut() {
        found.sort_unstable();
        found.dedup();
    }
    priorities
}
