//! Combines the parsed rules of all lines and checks them against each other.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::error::ErrorList;
use super::error::RuleErrorKind;
use super::error::quoted;
use super::limits::Limits;
use super::line::Word;
use super::parsed_rule::ParsedRule;
use super::parsed_rule::RepeatableCall;
use super::parsed_rule::Token;
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

/// The parsed rules of all lines, grouped by kind.
///
/// Includes rules with errors, so that a reference to one is not reported as a second error.
#[derive(Debug, Default)]
pub(crate) struct RuleSet<'a> {
    customers: IndexMap<&'a str, Customer<'a>>,
    limits: Vec<ParsedLimit<'a>>,
    models: IndexMap<&'a str, Named<'a, ModelRule>>,
    services: IndexMap<&'a str, Service<'a>>,
    repeatable: Vec<ParsedRepeatable<'a>>,
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
struct ParsedLimit<'a> {
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
struct ParsedRepeatable<'a> {
    service: Word<'a>,
    call: Option<RepeatableCall<'a>>,
}

#[derive(Debug)]
struct Engine<'a> {
    pattern: Option<Word<'a>>,
    models: Vec<Word<'a>>,
    rule: Option<EngineRule>,
}

impl<'a> RuleSet<'a> {
    /// Adds the rule of one line; a name may be defined only once.
    pub(crate) fn add(&mut self, rule: ParsedRule<'a>, errors: &mut ErrorList) {
        match rule {
            ParsedRule::Customer { name, token, limits } => {
                let first = self.customers.get(name.text).map(|first| first.name);
                if is_first(name, first, "customer", errors) {
                    self.customers.insert(name.text, Customer { name, token, limits });
                }
            }
            ParsedRule::Model { name, rule } => {
                let first = self.models.get(name.text).map(|first| first.name);
                if is_first(name, first, "model", errors) {
                    self.models.insert(name.text, Named { name, rule });
                }
            }
            ParsedRule::Service { name, path, rule } => {
                let first = self.services.get(name.text).map(|first| first.name);
                if is_first(name, first, "service", errors) {
                    let calls = Vec::new();
                    self.services.insert(name.text, Service { name, path, rule, calls });
                }
            }
            ParsedRule::Limit { customer, limits } => {
                self.limits.push(ParsedLimit { customer, limits })
            }
            ParsedRule::Repeatable { service, call } => {
                self.repeatable.push(ParsedRepeatable { service, call });
            }
            ParsedRule::Engine { pattern, models, rule } => {
                self.engines.push(Engine { pattern, models, rule });
            }
        }
    }

    /// Checks the rules against each other.
    pub(crate) fn check(&mut self, errors: &mut ErrorList) {
        self.merge_limits(errors);
        self.merge_repeatable(errors);
        self.check_tokens(errors);
        self.check_models(errors);
        check_paths(self.services.values().filter_map(|service| service.path), errors);
        check_patterns(self.engines.iter().filter_map(|engine| engine.pattern), errors);
    }

    /// Returns the rules; invalid rules have been reported and are left out.
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

    fn merge_limits(&mut self, errors: &mut ErrorList) {
        for ParsedLimit { customer, limits } in std::mem::take(&mut self.limits) {
            match self.customers.get_mut(customer.text) {
                Some(rule) => rule.limits.merge(limits, errors),
                None => push_unknown(customer, "customer", errors),
            }
        }
    }

    fn merge_repeatable(&mut self, errors: &mut ErrorList) {
        for ParsedRepeatable { service, call } in std::mem::take(&mut self.repeatable) {
            match self.services.get_mut(service.text) {
                Some(rule) => rule.calls.extend(call),
                None => push_unknown(service, "service", errors),
            }
        }
        for service in self.services.values() {
            check_repeatable(&service.calls, errors);
        }
    }

    /// Refuses a token shared by two customers, since it would not tell whose a request is.
    fn check_tokens(&self, errors: &mut ErrorList) {
        let mut owners: HashMap<[u8; 32], Word<'a>> = HashMap::new();
        for customer in self.customers.values() {
            let Some(Token { word, hash }) = customer.token else { continue };
            if let Some(owner) = owners.get(&hash) {
                let found = format!("the token of customer {}", quoted(owner.text));
                errors.push(
                    word.position,
                    RuleErrorKind::Contradiction,
                    found,
                    "a token of its own",
                );
                continue;
            }
            owners.insert(hash, customer.name);
        }
    }

    fn check_models(&self, errors: &mut ErrorList) {
        for model in self.engines.iter().flat_map(|engine| &engine.models) {
            if !self.models.contains_key(model.text) {
                push_unknown(*model, "model", errors);
            }
        }
    }
}

/// Returns whether `name` is defined for the first time, and reports an error if not.
fn is_first(name: Word<'_>, first: Option<Word<'_>>, kind: &str, errors: &mut ErrorList) -> bool {
    if let Some(first) = first {
        let found = format!("{kind} {} a second time", quoted(name.text));
        let line = first.position.line;
        let expected = format!("one rule for each {kind}; the first is on line {line}");
        errors.push(name.position, RuleErrorKind::Duplicate, found, expected);
    }
    first.is_none()
}

/// Reports that a rule refers to a name that no rule defines.
fn push_unknown(word: Word<'_>, kind: &str, errors: &mut ErrorList) {
    let found = format!("unknown {kind} {}", quoted(word.text));
    let expected = format!("a {kind} that has a `{kind}` rule");
    errors.push(word.position, RuleErrorKind::UnknownName, found, expected);
}
