//! The operators' rules as the core uses them, after the text was read and checked.

use std::time::Duration;

use indexmap::IndexMap;

use super::names::CustomerName;
use super::names::ModelName;
use super::names::ServiceName;
use super::request::Priority;

/// A whole accepted configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Rules {
    /// The version under which it was published; it only rises.
    pub version: u64,
    /// The customers, by name.
    pub customers: IndexMap<CustomerName, CustomerRule>,
    /// The models, by name.
    pub models: IndexMap<ModelName, ModelRule>,
    /// The plain services, by name.
    pub services: IndexMap<ServiceName, ServiceRule>,
    /// What engines are to load and do; the first rule whose pattern matches an engine holds.
    pub engines: Vec<EngineRule>,
}

/// What one customer may use.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerRule {
    /// The BLAKE3 hash of its bearer token.
    pub token_hash: [u8; 32],
    /// Its share beside other customers when the fleet is full.
    pub weight: u32,
    /// Its limit over all entry hosts, prompt and answer, in tokens a second.
    pub rate: u32,
    /// Its limit of requests in flight over all entry hosts.
    pub in_flight: u32,
    /// The priority of requests that name none.
    pub priority: Priority,
}

/// What callers may ask of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRule {
    /// The version of its weights that engines are to have.
    pub revision: String,
    /// The longest prompt, in tokens.
    pub max_prompt: u32,
    /// The longest answer, in tokens.
    pub max_output: u32,
    /// The deadline of requests that name none.
    pub deadline: Duration,
    /// The adapters that engines with this model are to have.
    pub adapters: Vec<String>,
}

/// Where calls to one plain service come from.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The path below which callers reach it.
    pub path: String,
    /// The deadline of calls that name none.
    pub deadline: Duration,
    /// Which calls may be repeated; a call that no entry matches may not.
    pub repeatable: Vec<CallPattern>,
}

/// Matches calls by method and the start of their path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPattern {
    /// The method, such as `GET`.
    pub method: String,
    /// The start of the path below the service's own path.
    pub path: String,
}

/// What an engine is used for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EngineRole {
    /// Requests of any length.
    #[default]
    Any,
    /// Short requests only.
    Short,
    /// Long requests first.
    Long,
}

/// What the engines that match a pattern are to load and do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRule {
    /// An engine name, or the start of one followed by `*`.
    pub pattern: String,
    /// What the engines are used for.
    pub role: EngineRole,
    /// The models that the engines are to have.
    pub models: Vec<ModelName>,
}

impl EngineRule {
    /// Tells whether the rule is for the engine called `name`.
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
            Some(start) => name.starts_with(start),
            None => self.pattern == name,
        }
    }
}

impl Rules {
    /// Returns the rule that holds for the engine called `name`, if any does.
    pub fn engine(&self, name: &str) -> Option<&EngineRule> {
        self.engines.iter().find(|rule| rule.matches(name))
    }

    /// Returns the service whose path is the longest start of `path`, with the path below it.
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
    /// Tells whether a call may be repeated.
    ///
    /// A path that a service could read as another one, such as `/plans/../elections`, never may.
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

/// Tells whether `path` can only be read as it stands: no dot segments, empty segments,
/// backslashes, fragments or escaped characters.
fn is_literal(path: &str) -> bool {
    let odd = ["/.", "//", "\\", "%", "#", ";"];
    !odd.iter().any(|part| path.contains(part))
}

/// Returns what follows `start` in `path` if `path` is `start` or lies below it.
fn path_below<'a>(path: &'a str, start: &str) -> Option<&'a str> {
    let rest = path.strip_prefix(start)?;
    let whole = rest.is_empty() || rest.starts_with(['/', '?']) || start.ends_with('/');
    whole.then_some(rest)
}
