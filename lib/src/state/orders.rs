//! Orders to engines: what is to be loaded or changed so that an engine follows the rules.
//!
//! Orders follow from the accepted rules and the engine's own report alone, so that two entry hosts
//! give the same order, and an order that is repeated or late asks for what is already there. The
//! configuration's version is the fencing number.

use std::collections::BTreeMap;
use std::time::Duration;

use super::names::EngineName;
use super::names::ModelName;
use super::rules::EngineRole;
use super::rules::EngineRule;
use super::rules::Rules;
use super::time::Moment;

/// How long an order may take before it is given again.
const REPEAT_AFTER: Duration = Duration::from_secs(30);

/// The span over which weight loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(60);

/// A model as an engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub revision: String,
    /// The adapters loaded with it.
    pub adapters: Vec<String>,
}

/// What an engine reports of itself that orders can change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Its role.
    pub role: EngineRole,
    /// Its models.
    pub models: Vec<LoadedModel>,
    /// Whether it leaves, so that orders are pointless.
    pub leaving: bool,
}

/// What an engine is told to do.
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
    /// Tells whether the weight store is read.
    pub fn is_load(&self) -> bool {
        matches!(self, OrderAction::LoadModel { .. } | OrderAction::LoadAdapter { .. })
    }
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The engine.
    pub engine: EngineName,
    /// The fencing number: the version of the configuration that asks for it.
    pub fence: u64,
    /// What to do.
    pub action: OrderAction,
}

impl Order {
    /// Tells whether the order still follows from the configuration in force, to be asked just before
    /// it is sent.
    pub fn is_current(&self, version: u64) -> bool {
        self.fence == version
    }
}

/// Returns the next order that brings the engine called `name` nearer to `rules`, if it needs one.
///
/// A new version is loaded before the old one is unloaded, so that the model stays served.
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

/// The part of the fleet that one dispatcher orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderShare {
    /// The engines that it dispatches for.
    pub owned: u32,
    /// The engines of the fleet.
    pub total: u32,
}

/// Paces the orders of one dispatcher within its share of the weight store's rate.
#[derive(Debug, Clone)]
pub struct OrderPacer {
    loads_per_minute: u32,
    given: BTreeMap<EngineName, (Moment, OrderAction, u64)>,
    credit: f64,
    updated: Moment,
}

impl OrderPacer {
    /// Makes a pacer for a weight store that allows `loads_per_minute` over all entry hosts.
    pub fn new(now: Moment, loads_per_minute: u32) -> OrderPacer {
        OrderPacer { loads_per_minute, given: BTreeMap::new(), credit: 0.0, updated: now }
    }

    /// Passes `order` if it may be given now; it is given again only after a while.
    ///
    /// A dispatcher's loads are never above its share of the rate, with one load saved at most. So
    /// within any minute all dispatchers together give at most the rate and one load each, while
    /// they agree on who dispatches for what.
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
        let given = (now, order.action.clone(), order.fence);
        self.given.insert(order.engine.clone(), given);
        Some(order)
    }

    /// Forgets an engine for which another entry host dispatches now.
    pub fn forget(&mut self, engine: &EngineName) {
        self.given.remove(engine);
    }

    fn is_pending(&self, now: Moment, order: &Order) -> bool {
        self.given.get(&order.engine).is_some_and(|(at, action, fence)| {
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
