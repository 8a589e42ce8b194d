//! Parses one line into a rule, before it is checked against the other lines.

use std::time::Duration;

use super::error::ErrorList;
use super::error::RuleErrorKind;
use super::limits::LIMIT_WORDS;
use super::limits::Limits;
use super::line::Line;
use super::line::Word;
use super::options::Options;
use super::options::known_words;
use super::options::push_missing_at_end;
use super::value;
use crate::state::CallPattern;
use crate::state::EngineRole;
use crate::state::EngineRule;
use crate::state::ModelName;
use crate::state::ModelRule;
use crate::state::ServiceRule;

/// The first words of rules, one for each kind.
const RULE_KINDS: &[&str] = &["customer", "limit", "model", "service", "repeatable", "engine"];

/// The option words of a customer rule.
const CUSTOMER_WORDS: &[&str] = &["token", "weight", "rate", "in-flight", "priority"];

/// The option words of a model rule.
const MODEL_WORDS: &[&str] = &["revision", "max-prompt", "max-output", "deadline", "adapters"];

/// The option words of a service rule.
const SERVICE_WORDS: &[&str] = &["path", "deadline"];

/// The option words of an engine rule.
const ENGINE_WORDS: &[&str] = &["role", "models"];

/// The longest prompt that a model rule may allow.
const MAX_PROMPT_TOKENS: u32 = 10_000_000;

/// The longest prompt if the rule does not set it.
const DEFAULT_MAX_PROMPT_TOKENS: u32 = 1_000_000;

/// The longest answer that a model rule may allow.
const MAX_OUTPUT_TOKENS: u32 = 1_000_000;

/// The longest answer if the rule does not set it.
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 4_096;

/// The deadline of a model's requests if neither the request nor the rule sets one.
const DEFAULT_MODEL_DEADLINE: Duration = Duration::from_secs(120);

/// The deadline of a service's calls if neither the call nor the rule sets one.
const DEFAULT_SERVICE_DEADLINE: Duration = Duration::from_secs(10);

/// The rule of one line; a `None` part was invalid and has been reported.
#[derive(Debug)]
pub(crate) enum ParsedRule<'a> {
    /// A customer with the hash of its token.
    Customer { name: Word<'a>, token: Option<Token<'a>>, limits: Limits<'a> },
    /// Limits of a customer that another line defines.
    Limit { customer: Word<'a>, limits: Limits<'a> },
    /// A model.
    Model { name: Word<'a>, rule: Option<ModelRule> },
    /// A plain service.
    Service { name: Word<'a>, path: Option<Word<'a>>, rule: Option<ServiceRule> },
    /// Calls of a service that may be retried.
    Repeatable { service: Word<'a>, call: Option<RepeatableCall<'a>> },
    /// The role of engines and the models that they load.
    Engine { pattern: Option<Word<'a>>, models: Vec<Word<'a>>, rule: Option<EngineRule> },
}

/// The hash of a customer's bearer token and its position.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Token<'a> {
    /// The word in the text.
    pub(crate) word: Word<'a>,
    /// The hash.
    pub(crate) hash: [u8; 32],
}

/// A call pattern and the position of its path.
#[derive(Debug, Clone)]
pub(crate) struct RepeatableCall<'a> {
    /// The path in the text.
    pub(crate) word: Word<'a>,
    /// The method and path prefix.
    pub(crate) pattern: CallPattern,
}

/// Parses the rule in `line`; returns `None` without a known kind and a valid name.
pub(crate) fn parse_rule<'a>(line: &'a Line<'a>, errors: &mut ErrorList) -> Option<ParsedRule<'a>> {
    check_comment(line, errors);
    let kind = *line.words.first()?;
    if !RULE_KINDS.contains(&kind.text) {
        errors.push_word(kind, RuleErrorKind::UnknownWord, known_words(kind.text, RULE_KINDS));
        return None;
    }
    let Some(name) = line.words.get(1).copied() else {
        push_missing_at_end(line, &format!("a name after `{}`", kind.text), errors);
        return None;
    };
    if kind.text == "engine" {
        return Some(read_engine(line, name, errors));
    }
    value::name(name, errors)?;
    Some(match kind.text {
        "customer" => read_customer(line, name, errors),
        "limit" => read_limit(line, name, errors),
        "model" => read_model(line, name, errors),
        "service" => read_service(line, name, errors),
        _ => read_repeatable(line, name, errors),
    })
}

/// Reports an error for a rule whose comment does not name who requested it.
fn check_comment(line: &Line<'_>, errors: &mut ErrorList) {
    const EXPECTED: &str = "`#` and the name of who asked for the rule";
    let found = match line.comment {
        None => "the end of the line",
        Some(comment) if !comment.chars().any(char::is_alphanumeric) => "an empty comment",
        Some(_) => return,
    };
    errors.push(line.end, RuleErrorKind::MissingComment, found, EXPECTED);
}

fn read_customer<'a>(line: &'a Line<'a>, name: Word<'a>, errors: &mut ErrorList) -> ParsedRule<'a> {
    let options = Options::read(line, 2, CUSTOMER_WORDS, errors);
    let token = options.require("token", errors).and_then(|word| {
        let hash = value::token_hash(word, errors)?;
        Some(Token { word, hash })
    });
    ParsedRule::Customer { name, token, limits: Limits::read(&options, errors) }
}

fn read_limit<'a>(
    line: &'a Line<'a>,
    customer: Word<'a>,
    errors: &mut ErrorList,
) -> ParsedRule<'a> {
    let options = Options::read(line, 2, LIMIT_WORDS, errors);
    if options.is_empty() && line.words.len() == 2 {
        let expected = format!("one of `{}` and its value", LIMIT_WORDS.join("`, `"));
        options.push_missing(&expected, errors);
    }
    ParsedRule::Limit { customer, limits: Limits::read(&options, errors) }
}

fn read_model<'a>(line: &'a Line<'a>, name: Word<'a>, errors: &mut ErrorList) -> ParsedRule<'a> {
    let options = Options::read(line, 2, MODEL_WORDS, errors);
    let revision = options.require("revision", errors).and_then(|word| value::name(word, errors));
    let max_prompt = or_default(options.get("max-prompt"), DEFAULT_MAX_PROMPT_TOKENS, |word| {
        value::count(word, 1..=MAX_PROMPT_TOKENS, "tokens", errors)
    });
    let max_output = or_default(options.get("max-output"), DEFAULT_MAX_OUTPUT_TOKENS, |word| {
        value::count(word, 1..=MAX_OUTPUT_TOKENS, "tokens", errors)
    });
    let deadline = or_default(options.get("deadline"), DEFAULT_MODEL_DEADLINE, |word| {
        value::deadline(word, errors)
    });
    let adapters =
        or_default(options.get("adapters"), Vec::new(), |word| value::names(word, errors));
    let rule = || {
        Some(ModelRule {
            revision: revision?.to_owned(),
            max_prompt: max_prompt?,
            max_output: max_output?,
            deadline: deadline?,
            adapters: adapters?.iter().map(|word| word.text.to_owned()).collect(),
        })
    };
    ParsedRule::Model { name, rule: rule() }
}

fn read_service<'a>(line: &'a Line<'a>, name: Word<'a>, errors: &mut ErrorList) -> ParsedRule<'a> {
    let options = Options::read(line, 2, SERVICE_WORDS, errors);
    let path =
        options.require("path", errors).filter(|word| value::service_path(*word, errors).is_some());
    let deadline = or_default(options.get("deadline"), DEFAULT_SERVICE_DEADLINE, |word| {
        value::deadline(word, errors)
    });
    let rule = || {
        let path = path?.text.to_owned();
        Some(ServiceRule { path, deadline: deadline?, repeatable: Vec::new() })
    };
    ParsedRule::Service { name, path, rule: rule() }
}

fn read_repeatable<'a>(
    line: &'a Line<'a>,
    service: Word<'a>,
    errors: &mut ErrorList,
) -> ParsedRule<'a> {
    let [method, path] = [line.words.get(2).copied(), line.words.get(3).copied()];
    if method.is_none() || path.is_none() {
        push_missing_at_end(line, "a method and a path, such as `GET /plans`", errors);
    }
    if let Some(extra) = line.words.get(4) {
        errors.push_word(*extra, RuleErrorKind::UnknownWord, "the comment");
    }
    let method = method.and_then(|word| value::method(word, errors));
    let path = path.filter(|word| value::call_path(*word, errors).is_some());
    let call = || {
        let word = path?;
        let pattern = CallPattern { method: method?.to_owned(), path: word.text.to_owned() };
        Some(RepeatableCall { word, pattern })
    };
    ParsedRule::Repeatable { service, call: call() }
}

fn read_engine<'a>(line: &'a Line<'a>, name: Word<'a>, errors: &mut ErrorList) -> ParsedRule<'a> {
    let pattern = value::pattern(name, errors).map(|_| name);
    let options = Options::read(line, 2, ENGINE_WORDS, errors);
    let role = or_default(options.get("role"), EngineRole::Any, |word| value::role(word, errors));
    let models = options.require("models", errors).and_then(|word| value::names(word, errors));
    let rule = || {
        Some(EngineRule {
            pattern: pattern?.text.to_owned(),
            role: role?,
            models: models.as_ref()?.iter().map(|word| ModelName::new(word.text)).collect(),
        })
    };
    let rule = rule();
    ParsedRule::Engine { pattern, models: models.unwrap_or_default(), rule }
}

/// Parses the value of an option, or returns the default if the rule does not have it.
fn or_default<'a, T>(
    word: Option<Word<'a>>,
    default: T,
    read: impl FnOnce(Word<'a>) -> Option<T>,
) -> Option<T> {
    match word {
        Some(word) => read(word),
        None => Some(default),
    }
}
