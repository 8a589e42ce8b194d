//! Orders to engines: the models and roles to change so that an engine complies with the rules.
//!
//! Orders depend only on the accepted rules and the engine's own report, so that two entry hosts
//! send the same order, and a repeated or late order requests a state that the engine already has.
//! The version of the configuration is the fencing token.

use std::collections::BTreeMap;
use std::time::Duration;

use super::names::EngineName;
use super::names::ModelName;
use super::rules::EngineRole;
use super::rules::EngineRule;
use super::rules::Rules;
use super::time::Moment;

/// How long an order may take before it is sent again.
const REPEAT_AFTER: Duration = Duration::from_secs(30);

/// The time to which the rate limit of weight loads refers.
const LOAD_WINDOW: Duration = Duration::from_secs(60);

/// A loaded model, as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub revision: String,
    /// The adapters loaded with it.
    pub adapters: Vec<String>,
}

/// The part of the state of an engine that orders can change, as the engine reports it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Its role.
    pub role: EngineRole,
    /// Its models.
    pub models: Vec<LoadedModel>,
    /// Whether it is leaving, in which case it gets no orders.
    pub leaving: bool,
}

/// The action that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderAction {
    /// Load a version of a model.
    LoadModel { model: ModelName, revision: String },
    /// Unload a version of a model.
    UnloadModel { model: ModelName, revision: String },
    /// Load an adapter of a model.
    LoadAdapter { model: ModelName, adapter: String },
    /// Change the role.
    SetRole { role: EngineRole },
}

impl OrderAction {
    /// Returns whether the action reads from the weight store.
    pub fn is_load(&self) -> bool {
        matches!(self, OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. })
    }
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub engine: EngineName,
    /// The fencing token: the version of the configuration that the order follows from.
    pub fence: u64,
    /// The requested action.
    pub action: OrderAction,
}

impl Order {
    /// Returns whether the order follows from configuration `version`. To be checked against the
    /// current version just before the order is sent.
    pub fn is_current(&self, version: u64) -> bool {
        self.fence == version
    }
}

/// Returns the next order that the engine called `name` needs to comply with `rules`, if any.
///
/// A new version is loaded before the old one is unloaded, so that the model stays available.
///
/// ```
/// use wasabicrank_lib::state::{EngineName, EngineReport, EngineRole, EngineRule, Rules};
/// use wasabicrank_lib::state::{OrderAction, next_order};
/// let rule = EngineRule { pattern: "a*".into(), role: EngineRole::Long, models: Vec::new() };
/// let rules = Rules { version: 7, engines: vec![rule], ..Rules::default() };
/// let order = next_order(&rules, &EngineName::new("a1"), &EngineReport::default()).unwrap();
/// assert_eq!(order.fence, 7);
/// assert_eq!(order.action, OrderAction::SetRole { role: EngineRole::Long });
/// ```
pub fn next_order(rules: &Rules, name: &EngineName, report: &EngineReport) -> Option<Order> {
    let rule = rules.engine(name.as_str())?;
    if report.leaving {
        return None;
    }
    let action = role_change(rule, report)
        .or_else(|| missing_model(rules, rule, report))
        .or_else(|| missing_adapter(rules, rule, report))
        .or_else(|| unwanted_model(rules, rule, report))?;
    Some(Order { engine: name.clone(), fence: rules.version, action })
}

fn role_change(rule: &EngineRule, report: &EngineReport) -> Option<OrderAction> {
    (rule.role != report.role).then_some(OrderAction::SetRole { role: rule.role })
}

fn missing_model(rules: &Rules, rule: &EngineRule, report: &EngineReport) -> Option<OrderAction> {
    let wanted = rule.models.iter().filter_map(|model| Some((model, rules.models.get(model)?)));
    let has = |model: &ModelName, revision: &str| {
        report.models.iter().any(|have| have.model == *model && have.revision == revision)
    };
    let (model, wanted) = wanted.into_iter().find(|(model, want)| !has(model, &want.revision))?;
    Some(OrderAction::LoadModel { model: model.clone(), revision: wanted.revision.clone() })
}

fn missing_adapter(rules: &Rules, rule: &EngineRule, report: &EngineReport) -> Option<OrderAction> {
    for model in &rule.models {
        let Some(want) = rules.models.get(model) else { continue };
        let mut loaded = report.models.iter();
        let Some(have) = loaded.find(|m| m.model == *model && m.revision == want.revision) else {
            continue;
        };
        if let Some(adapter) = want.adapters.iter().find(|name| !have.adapters.contains(name)) {
            return Some(OrderAction::LoadAdapter {
                model: model.clone(),
                adapter: adapter.clone(),
            });
        }
    }
    None
}

fn unwanted_model(rules: &Rules, rule: &EngineRule, report: &EngineReport) -> Option<OrderAction> {
    let is_wanted = |have: &&LoadedModel| {
        let listed = rule.models.contains(&have.model);
        listed && rules.models.get(&have.model).is_some_and(|m| m.revision == have.revision)
    };
    let have = report.models.iter().find(|have| !is_wanted(have))?;
    Some(OrderAction::UnloadModel { model: have.model.clone(), revision: have.revision.clone() })
}

/// The share of the engines that one dispatcher sends orders to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderShare {
    /// The number of engines that it dispatches for.
    pub owned: u32,
    /// The number of engines in the fleet.
    pub total: u32,
}

/// Limits the orders of one dispatcher to its share of the weight store's rate.
#[derive(Debug, Clone)]
pub struct OrderPacer {
    loads_per_minute: u32,
    sent: BTreeMap<EngineName, (Moment, OrderAction, u64)>,
    credit: f64,
    updated: Moment,
}

impl OrderPacer {
    /// Creates a pacer for a weight store that allows `loads_per_minute` over all entry hosts.
    pub fn new(now: Moment, loads_per_minute: u32) -> OrderPacer {
        OrderPacer { loads_per_minute, sent: BTreeMap::new(), credit: 0.0, updated: now }
    }

    /// Returns `order` if it may be sent now. The same order is admitted again only after
    /// `REPEAT_AFTER`.
    ///
    /// A dispatcher's loads stay within its share of the rate, with at most one load accumulated.
    /// So within any minute, all dispatchers together send at most the rate plus one load each, as
    /// long as they agree on who dispatches for which engine.
    pub fn admit(&mut self, now: Moment, order: Order, share: OrderShare) -> Option<Order> {
        self.refill(now, share);
        if self.is_pending(now, &order) {
            return None;
        }
        if order.action.is_load() {
            if self.credit < 1.0 {
                return None;
            }
            self.credit -= 1.0;
        }
        let sent = (now, order.action.clone(), order.fence);
        self.sent.insert(order.engine.clone(), sent);
        Some(order)
    }

    /// Removes an engine for which another entry host now dispatches.
    pub fn forget(&mut self, engine: &EngineName) {
        self.sent.remove(engine);
    }

    fn is_pending(&self, now: Moment, order: &Order) -> bool {
        self.sent.get(&order.engine).is_some_and(|(at, action, fence)| {
            *action == order.action && *fence == order.fence && now.since(*at) < REPEAT_AFTER
        })
    }

    fn refill(&mut self, now: Moment, share: OrderShare) {
        let part = f64::from(share.owned) / f64::from(share.total.max(1));
        let windows = now.since(self.updated).as_secs_f64() / LOAD_WINDOW.as_secs_f64();
        self.updated = self.updated.max(now);
        let earned = windows * f64::from(self.loads_per_minute) * part;
        self.credit = (self.credit + earned).min(1.0);
    }
}
