//! Puts the drafts of all lines together into the rules, and checks them against each other.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::draft::Draft;
use super::draft::RepeatableCall;
use super::draft::Token;
use super::error::Faults;
use super::error::RuleFault;
use super::error::quoted;
use super::limits::Limits;
use super::line::Word;
use super::paths::check_paths;
use super::paths::check_patterns;
use super::paths::check_repeatable;
use crate::state::CustomerName;
use crate::state::EngineRule;
use crate::state::ModelName;
use crate::state::ModelRule;
use crate::state::Rules;
use crate::state::ServiceName;
use crate::state::ServiceRule;

/// The drafts of all lines, sorted by their kind.
///
/// Rules with a mistake of their own are here too, so that a reference to them is not told as a
/// second mistake.
#[derive(Debug, Default)]
pub(crate) struct Whole<'a> {
    customers: IndexMap<&'a str, Customer<'a>>,
    limits: Vec<LimitDraft<'a>>,
    models: IndexMap<&'a str, Named<'a, ModelRule>>,
    services: IndexMap<&'a str, Service<'a>>,
    repeatable: Vec<RepeatableDraft<'a>>,
    engines: Vec<Engine<'a>>,
}

/// A rule and the word that names it.
#[derive(Debug)]
struct Named<'a, T> {
    name: Word<'a>,
    rule: Option<T>,
}

#[derive(Debug)]
struct Customer<'a> {
    name: Word<'a>,
    token: Option<Token<'a>>,
    limits: Limits<'a>,
}

#[derive(Debug)]
struct LimitDraft<'a> {
    customer: Word<'a>,
    limits: Limits<'a>,
}

#[derive(Debug)]
struct Service<'a> {
    name: Word<'a>,
    path: Option<Word<'a>>,
    rule: Option<ServiceRule>,
    calls: Vec<RepeatableCall<'a>>,
}

#[derive(Debug)]
struct RepeatableDraft<'a> {
    service: Word<'a>,
    call: Option<RepeatableCall<'a>>,
}

#[derive(Debug)]
struct Engine<'a> {
    pattern: Option<Word<'a>>,
    models: Vec<Word<'a>>,
    rule: Option<EngineRule>,
}

impl<'a> Whole<'a> {
    /// Adds the draft of one line; a name may be defined only once.
    pub(crate) fn add(&mut self, draft: Draft<'a>, faults: &mut Faults) {
        match draft {
            Draft::Customer { name, token, limits } => {
                let first = self.customers.get(name.text).map(|first| first.name);
                if is_first(name, first, "customer", faults) {
                    self.customers.insert(name.text, Customer { name, token, limits });
                }
            }
            Draft::Model { name, rule } => {
                let first = self.models.get(name.text).map(|first| first.name);
                if is_first(name, first, "model", faults) {
                    self.models.insert(name.text, Named { name, rule });
                }
            }
            Draft::Service { name, path, rule } => {
                let first = self.services.get(name.text).map(|first| first.name);
                if is_first(name, first, "service", faults) {
                    let calls = Vec::new();
                    self.services.insert(name.text, Service { name, path, rule, calls });
                }
            }
            Draft::Limit { customer, limits } => self.limits.push(LimitDraft { customer, limits }),
            Draft::Repeatable { service, call } => {
                self.repeatable.push(RepeatableDraft { service, call });
            }
            Draft::Engine { pattern, models, rule } => {
                self.engines.push(Engine { pattern, models, rule });
            }
        }
    }

    /// Checks the rules against each other.
    pub(crate) fn check(&mut self, faults: &mut Faults) {
        self.merge_limits(faults);
        self.merge_repeatable(faults);
        self.check_tokens(faults);
        self.check_models(faults);
        check_paths(self.services.values().filter_map(|service| service.path), faults);
        check_patterns(self.engines.iter().filter_map(|engine| engine.pattern), faults);
    }

    /// Returns the rules; what was wrong has been told and is left out.
    pub(crate) fn into_rules(self, version: u64) -> Rules {
        let mut rules = Rules { version, ..Rules::default() };
        for (name, customer) in self.customers {
            let rule = customer.token.and_then(|token| customer.limits.rule(token.hash));
            rules.customers.extend(rule.map(|rule| (CustomerName::new(name), rule)));
        }
        for (name, model) in self.models {
            rules.models.extend(model.rule.map(|rule| (ModelName::new(name), rule)));
        }
        for (name, service) in self.services {
            let Some(mut rule) = service.rule else { continue };
            rule.repeatable = service.calls.into_iter().map(|call| call.pattern).collect();
            rules.services.insert(ServiceName::new(name), rule);
        }
        rules.engines = self.engines.into_iter().filter_map(|engine| engine.rule).collect();
        rules
    }

    fn merge_limits(&mut self, faults: &mut Faults) {
        for LimitDraft { customer, limits } in std::mem::take(&mut self.limits) {
            match self.customers.get_mut(customer.text) {
                Some(rule) => rule.limits.merge(limits, faults),
                None => push_unknown(customer, "customer", faults),
            }
        }
    }

    fn merge_repeatable(&mut self, faults: &mut Faults) {
        for RepeatableDraft { service, call } in std::mem::take(&mut self.repeatable) {
            match self.services.get_mut(service.text) {
                Some(rule) => rule.calls.extend(call),
                None => push_unknown(service, "service", faults),
            }
        }
        for service in self.services.values() {
            check_repeatable(&service.calls, faults);
        }
    }

    /// Refuses a token of two customers, since a request could not tell whose it is.
    fn check_tokens(&self, faults: &mut Faults) {
        let mut owners: HashMap<[u8; 32], Word<'a>> = HashMap::new();
        for customer in self.customers.values() {
            let Some(Token { word, hash }) = customer.token else { continue };
            if let Some(owner) = owners.get(&hash) {
                let found = format!("the token of customer {}", quoted(owner.text));
                faults.push(word.place, RuleFault::Contradiction, found, "a token of its own");
                continue;
            }
            owners.insert(hash, customer.name);
        }
    }

    fn check_models(&self, faults: &mut Faults) {
        for model in self.engines.iter().flat_map(|engine| &engine.models) {
            if !self.models.contains_key(model.text) {
                push_unknown(*model, "model", faults);
            }
        }
    }
}

/// Tells whether `name` is defined for the first time, or says where it was before.
fn is_first(name: Word<'_>, first: Option<Word<'_>>, kind: &str, faults: &mut Faults) -> bool {
    if let Some(first) = first {
        let found = format!("{kind} {} a second time", quoted(name.text));
        let line = first.place.line;
        let expected = format!("one rule for each {kind}; the first is on line {line}");
        faults.push(name.place, RuleFault::Duplicate, found, expected);
    }
    first.is_none()
}

/// Says that a rule refers to something that no rule defines.
fn push_unknown(word: Word<'_>, kind: &str, faults: &mut Faults) {
    let found = format!("unknown {kind} {}", quoted(word.text));
    let expected = format!("a {kind} that has a `{kind}` rule");
    faults.push(word.place, RuleFault::UnknownName, found, expected);
}
