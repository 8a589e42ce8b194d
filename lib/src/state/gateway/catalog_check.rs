//! Checks of a configuration before it is in force: entries that never match, limits that contradict each
//! other, and the differences from another version.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;

use super::CatalogParts;
use super::Route;
use super::RouteKind;
use super::ServiceSpec;

/// The class of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingKind {
    /// Hosts would reject or ignore the configuration, or an entry refers to one that is missing.
    Error,
    /// An entry never has an effect.
    NeverMatches,
    /// Two limits cannot both have an effect.
    Contradiction,
}

impl FindingKind {
    /// Returns the name of the class, for reports.
    ///
    /// ```
    /// use wasabicrank_lib::state::FindingKind;
    /// assert_eq!(FindingKind::NeverMatches.name(), "never_matches");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            FindingKind::Error => "error",
            FindingKind::NeverMatches => "never_matches",
            FindingKind::Contradiction => "contradiction",
        }
    }
}

/// A fault of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogFinding {
    pub kind: FindingKind,
    /// The entry, such as `route chat`.
    pub subject: String,
    /// What is wrong with it.
    pub detail: String,
}

impl CatalogFinding {
    pub fn new(kind: FindingKind, subject: impl Into<String>, detail: impl Into<String>) -> Self {
        CatalogFinding { kind, subject: subject.into(), detail: detail.into() }
    }
}

impl fmt::Display for CatalogFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} {}", self.kind.name(), self.subject, self.detail)
    }
}

/// A difference between two versions of a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogDifference {
    /// The entry, such as `route chat`.
    pub subject: String,
    /// The field that differs; empty if the whole entry was added or removed.
    pub field: &'static str,
    /// The value before; `None` if there was none.
    pub before: Option<String>,
    /// The value now; `None` if there is none.
    pub after: Option<String>,
}

impl fmt::Display for CatalogDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let CatalogDifference { subject, field, before, after } = self;
        match (before, after) {
            (_, _) if field.is_empty() && before.is_none() => write!(f, "added: {subject}"),
            (_, _) if field.is_empty() => write!(f, "removed: {subject}"),
            (before, after) => {
                let value = |value: &Option<String>| value.clone().unwrap_or("none".to_owned());
                write!(f, "changed: {subject} {field}: {} -> {}", value(before), value(after))
            }
        }
    }
}

/// Returns the entries of a configuration that never match, and the limits that contradict each other.
///
/// ```
/// use wasabicrank_lib::state::{CallerLimits, CatalogParts, ServiceName, ServiceSpec};
/// use std::time::Duration;
/// let time = Duration::from_secs(1);
/// let limits =
///     CallerLimits { head_bytes: 1, body_bytes: 1, head_timeout: time, idle_timeout: time };
/// let service = ServiceSpec { name: ServiceName::new("app"), engine: None, cold: None };
/// let parts =
///     CatalogParts { version: 1, routes: Vec::new(), services: vec![service], limits, keys: None };
/// let findings = wasabicrank_lib::state::check_catalog(&parts);
/// assert_eq!(findings[0].to_string(), "never_matches: service app has no route");
/// ```
pub fn check_catalog(parts: &CatalogParts) -> Vec<CatalogFinding> {
    let mut findings = Vec::new();
    for (position, route) in parts.routes.iter().enumerate() {
        findings.extend(shadow(&parts.routes, position));
        findings.extend(check_backends(parts, route));
        findings.extend(check_limits(route));
    }
    findings.extend(check_services(parts));
    findings
}

fn route_finding(kind: FindingKind, route: &Route, detail: String) -> CatalogFinding {
    CatalogFinding::new(kind, format!("route {}", route.name), detail)
}

/// Returns whether each path with the prefix `inner` has the prefix `outer`; paths begin with a slash.
fn covers(outer: &str, inner: &str) -> bool {
    inner.starts_with(outer) || (inner.is_empty() && outer == "/")
}

/// Of the routes of a host that match a path, the one with the longest prefix is used, and of equal ones
/// the first.
fn shadow(routes: &[Route], position: usize) -> Option<CatalogFinding> {
    let route = &routes[position];
    let never = |detail| Some(route_finding(FindingKind::NeverMatches, route, detail));
    if !route.prefix.is_empty() && !route.prefix.starts_with('/') {
        return never(format!("has the prefix {:?}, with which no path begins", route.prefix));
    }
    let is_preferred = |(other_position, other): &(usize, &Route)| {
        let (length, own_length) = (other.prefix.len(), route.prefix.len());
        other.host.eq_ignore_ascii_case(&route.host)
            && (length > own_length || (length == own_length && *other_position < position))
            && covers(&other.prefix, &route.prefix)
    };
    let (_, other) = routes.iter().enumerate().find(is_preferred)?;
    never(format!("is shadowed by route {}", other.name))
}

fn check_backends(parts: &CatalogParts, route: &Route) -> Vec<CatalogFinding> {
    let mut findings = Vec::new();
    for backend in &route.backends {
        let service = backend.service.as_str();
        if backend.weight == 0 {
            let detail = format!("has the service {service} with weight 0");
            findings.push(route_finding(FindingKind::NeverMatches, route, detail));
        }
        if !parts.services.iter().any(|spec| spec.name == backend.service) {
            let detail = format!("has the service {service}, which is not listed");
            findings.push(route_finding(FindingKind::Error, route, detail));
        }
    }
    if route.backends.iter().all(|backend| backend.weight == 0) {
        let detail = "has no service with a weight, so that all requests are refused".to_owned();
        findings.push(route_finding(FindingKind::Error, route, detail));
    }
    findings
}

fn check_limits(route: &Route) -> Vec<CatalogFinding> {
    let timeout = route.timeout;
    let mut details = Vec::new();
    if route.objective > timeout {
        let objective = route.objective;
        details.push(format!("has an objective of {objective:?} over its timeout of {timeout:?}"));
    }
    if let Some(gap) = route.gap.filter(|gap| *gap > timeout) {
        details.push(format!("allows a gap of {gap:?} over its timeout of {timeout:?}"));
    }
    if route.kind == (RouteKind::Stream { resumable: true }) && route.attempts <= 1 {
        details.push("is resumable and has one attempt, so that nothing is resumed".to_owned());
    }
    let contradiction = |detail| route_finding(FindingKind::Contradiction, route, detail);
    details.into_iter().map(contradiction).collect()
}

fn check_services(parts: &CatalogParts) -> Vec<CatalogFinding> {
    let mut findings = Vec::new();
    let mut seen = BTreeSet::new();
    for spec in &parts.services {
        let name = spec.name.as_str();
        let subject = format!("service {name}");
        if !seen.insert(name) {
            let detail = "is listed again, and the last entry counts";
            findings.push(CatalogFinding::new(FindingKind::NeverMatches, subject, detail));
            continue;
        }
        let mut backends = parts.routes.iter().flat_map(|route| &route.backends);
        if !backends.any(|backend| backend.service == spec.name) {
            let detail = "has no route";
            findings.push(CatalogFinding::new(FindingKind::NeverMatches, subject, detail));
        }
    }
    findings
}

type Fields = Vec<(&'static str, String)>;

/// Returns the differences of `after` from `before`, by entry. Keys of customers are counted, not shown.
pub fn compare_catalogs(before: &CatalogParts, after: &CatalogParts) -> Vec<CatalogDifference> {
    let mut differences = compare_keys(before, after);
    let (before, after) = (entries(before), entries(after));
    let subjects: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for subject in subjects {
        let whole = |before: Option<&Fields>, after: Option<&Fields>| CatalogDifference {
            subject: subject.clone(),
            field: "",
            before: before.map(|_| subject.clone()),
            after: after.map(|_| subject.clone()),
        };
        match (before.get(subject), after.get(subject)) {
            (Some(old), Some(new)) => {
                let changed = old.iter().zip(new).filter(|(old, new)| old != new);
                differences.extend(changed.map(|(old, new)| CatalogDifference {
                    subject: subject.clone(),
                    field: new.0,
                    before: Some(old.1.clone()),
                    after: Some(new.1.clone()),
                }));
            }
            (old, new) => differences.push(whole(old, new)),
        }
    }
    differences.sort_by(|one, other| one.subject.cmp(&other.subject));
    differences
}

/// Returns the fields of each entry, by the entry's name.
fn entries(parts: &CatalogParts) -> BTreeMap<String, Fields> {
    let limits = &parts.limits;
    let general = vec![
        ("version", parts.version.to_string()),
        ("requires keys", parts.keys.is_some().to_string()),
        ("head bytes", limits.head_bytes.to_string()),
        ("body bytes", limits.body_bytes.to_string()),
        ("head timeout", format!("{:?}", limits.head_timeout)),
        ("idle timeout", format!("{:?}", limits.idle_timeout)),
    ];
    let mut entries = BTreeMap::from([("configuration".to_owned(), general)]);
    for route in &parts.routes {
        entries.insert(format!("route {}", route.name), route_fields(route));
    }
    for spec in &parts.services {
        entries.insert(format!("service {}", spec.name.as_str()), service_fields(spec));
    }
    for customer in parts.keys.iter().flat_map(HashMap::values) {
        let priority = customer.priority.map_or("none".to_owned(), |priority| priority.to_string());
        entries
            .insert(format!("customer {}", customer.name.as_str()), vec![("priority", priority)]);
    }
    entries
}

/// Returns the keys of each customer.
fn keys_by_customer(parts: &CatalogParts) -> BTreeMap<&str, BTreeSet<&str>> {
    let mut customers: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for (key, customer) in parts.keys.iter().flatten() {
        customers.entry(customer.name.as_str()).or_default().insert(key);
    }
    customers
}

/// Returns the differences between the keys of customers that both versions have.
fn compare_keys(before: &CatalogParts, after: &CatalogParts) -> Vec<CatalogDifference> {
    let (before, after) = (keys_by_customer(before), keys_by_customer(after));
    let both = before.iter().filter_map(|(name, old)| Some((name, old, after.get(name)?)));
    let changed = both.filter(|(_, old, new)| old != new);
    changed
        .map(|(name, old, new)| {
            let (added, removed) = (new.difference(old).count(), old.difference(new).count());
            CatalogDifference {
                subject: format!("customer {name}"),
                field: "keys",
                before: Some(old.len().to_string()),
                after: Some(format!("{} ({added} added, {removed} removed)", new.len())),
            }
        })
        .collect()
}

fn route_fields(route: &Route) -> Fields {
    let backends = route.backends.iter();
    let backends: Vec<String> =
        backends.map(|one| format!("{} {}", one.service.as_str(), one.weight)).collect();
    vec![
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("kind", format!("{:?}", route.kind)),
        ("timeout", format!("{:?}", route.timeout)),
        ("objective", format!("{:?}", route.objective)),
        ("gap", route.gap.map_or("none".to_owned(), |gap| format!("{gap:?}"))),
        ("priority", route.priority.to_string()),
        ("services", backends.join(", ")),
        ("attempts", route.attempts.to_string()),
        ("public", route.public.to_string()),
    ]
}

fn service_fields(spec: &ServiceSpec) -> Fields {
    vec![("engine", format!("{:?}", spec.engine)), ("cold start", format!("{:?}", spec.cold))]
}
