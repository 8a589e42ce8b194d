//! The operators' rules, as parsed and validated by the protocol layer.

use std::time::Duration;

use indexmap::IndexMap;

use super::names::CustomerName;
use super::names::ModelName;
use super::names::ServiceName;
use super::request::Priority;

/// A complete accepted configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// The version under which it was published; versions only increase.
    pub version: u64,
    /// The customers, by name.
    pub customers: IndexMap<CustomerName, CustomerRule>,
    /// The models, by name.
    pub models: IndexMap<ModelName, ModelRule>,
    /// The plain services, by name.
    pub services: IndexMap<ServiceName, ServiceRule>,
    /// The roles and models of engines; the first rule whose pattern matches an engine applies.
    pub engines: Vec<EngineRule>,
}

/// The limits and defaults of one customer.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerRule {
    /// The BLAKE3 hash of its bearer token.
    pub token_hash: [u8; 32],
    /// Its weight relative to other customers when the fleet is full.
    pub weight: u32,
    /// Its limit of prompt and answer tokens a second, over all entry hosts.
    pub rate: u32,
    /// Its limit of requests in flight, over all entry hosts.
    pub in_flight: u32,
    /// The priority of requests that specify none.
    pub priority: Priority,
}

/// The limits and contents of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRule {
    /// The version of its weights that engines must load.
    pub revision: String,
    /// The longest prompt, in tokens.
    pub max_prompt: u32,
    /// The longest answer, in tokens.
    pub max_output: u32,
    /// The deadline of requests that specify none.
    pub deadline: Duration,
    /// The adapters that engines with this model must load.
    pub adapters: Vec<String>,
}

/// How calls to one plain service are routed and repeated.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The path prefix of calls to the service.
    pub path: String,
    /// The deadline of calls that specify none.
    pub deadline: Duration,
    /// Which calls may be repeated; a call that no pattern matches may not.
    pub repeatable: Vec<CallPattern>,
}

/// Matches calls by method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPattern {
    /// The method, such as `GET`.
    pub method: String,
    /// The path prefix, relative to the service's own path.
    pub path: String,
}

/// The role of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineRole {
    /// Serves requests of any length.
    #[default]
    Any,
    /// Serves short requests only.
    Short,
    /// Serves long requests first.
    Long,
}

/// The role and models of the engines that match a pattern.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRule {
    /// An engine name, or a prefix of one followed by `*`.
    pub pattern: String,
    /// The role of the engines.
    pub role: EngineRole,
    /// The models that the engines must load.
    pub models: Vec<ModelName>,
}

impl EngineRule {
    /// Returns whether the rule applies to the engine called `name`.
    ///
    /// ```
    /// use wasabicrank_lib::state::{EngineRole, EngineRule};
    /// let rule =
    ///     EngineRule { pattern: "gpu-a*".into(), role: EngineRole::Any, models: Vec::new() };
    /// assert!(rule.matches("gpu-a7"));
    /// assert!(!rule.matches("gpu-b1"));
    /// ```
    pub fn matches(&self, name: &str) -> bool {
        match self.pattern.strip_suffix('*') {
            Some(prefix) => name.starts_with(prefix),
            None => self.pattern == name,
        }
    }
}

impl Rules {
    /// Returns the rule that applies to the engine called `name`, if any does.
    pub fn engine(&self, name: &str) -> Option<&EngineRule> {
        self.engines.iter().find(|rule| rule.matches(name))
    }

    /// Returns the service whose path is the longest prefix of `path`, with the rest of the path.
    pub fn route<'a>(
        &'a self,
        path: &'a str,
    ) -> Option<(&'a ServiceName, &'a ServiceRule, &'a str)> {
        self.services
            .iter()
            .filter_map(|(name, rule)| Some((name, rule, path_below(path, &rule.path)?)))
            .max_by_key(|(_, rule, _)| rule.path.len())
    }
}

impl ServiceRule {
    /// Returns whether a call may be repeated.
    ///
    /// A call whose path a service could normalize to another one, such as `/plans/../elections`,
    /// may never be repeated.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{CallPattern, ServiceRule};
    /// let plans = CallPattern { method: "GET".into(), path: "/plans".into() };
    /// let deadline = Duration::from_secs(10);
    /// let rule = ServiceRule { path: "/enrolment".into(), deadline, repeatable: vec![plans] };
    /// assert!(rule.is_repeatable("GET", "/plans/7?year=2026"));
    /// assert!(!rule.is_repeatable("POST", "/plans/7"));
    /// assert!(!rule.is_repeatable("GET", "/plansheet"));
    /// assert!(!rule.is_repeatable("GET", "/plans/../elections"));
    /// ```
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let matches =
            |call: &CallPattern| call.method == method && path_below(path, &call.path).is_some();
        is_literal(path) && self.repeatable.iter().any(matches)
    }
}

/// Returns whether `path` is already normalized: without dot segments, empty segments, backslashes,
/// fragments, parameters or escaped characters.
fn is_literal(path: &str) -> bool {
    let ambiguous = ["/.", "//", "\\", "%", "#", ";"];
    !ambiguous.iter().any(|part| path.contains(part))
}

/// Returns the rest of `path` after `prefix` if `path` is `prefix` or below it.
fn path_below<'a>(path: &'a str, prefix: &str) -> Option<&'a str> {
    let rest = path.strip_prefix(prefix)?;
    let at_boundary = rest.is_empty() || rest.starts_with(['/', '?']) || prefix.ends_with('/');
    at_boundary.then_some(rest)
}
