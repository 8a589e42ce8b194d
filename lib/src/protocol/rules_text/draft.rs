//! Reads one line into a draft of its rule, before it is compared with the other lines.

use std::time::Duration;

use super::error::Faults;
use super::error::RuleFault;
use super::limits::LIMIT_WORDS;
use super::limits::Limits;
use super::line::Line;
use super::line::Word;
use super::options::Options;
use super::options::known_words;
use super::options::push_end;
use super::value;
use crate::state::CallPattern;
use crate::state::EngineRole;
use crate::state::EngineRule;
use crate::state::ModelName;
use crate::state::ModelRule;
use crate::state::ServiceRule;

/// The words with which a rule starts.
const KINDS: &[&str] = &["customer", "limit", "model", "service", "repeatable", "engine"];

/// The words of a customer rule.
const CUSTOMER_WORDS: &[&str] = &["token", "weight", "rate", "in-flight", "priority"];

/// The words of a model rule.
const MODEL_WORDS: &[&str] = &["revision", "max-prompt", "max-output", "deadline", "adapters"];

/// The words of a service rule.
const SERVICE_WORDS: &[&str] = &["path", "deadline"];

/// The words of an engine rule.
const ENGINE_WORDS: &[&str] = &["role", "models"];

/// The longest prompt that a model rule may allow, in tokens.
const MOST_PROMPT: u32 = 10_000_000;

/// The longest prompt where the rule names none, in tokens.
const DEFAULT_PROMPT: u32 = 1_000_000;

/// The longest answer that a model rule may allow, in tokens.
const MOST_OUTPUT: u32 = 1_000_000;

/// The longest answer where the rule names none, in tokens.
const DEFAULT_OUTPUT: u32 = 4_096;

/// The deadline of a model's requests where neither they nor the rule name one.
const MODEL_DEADLINE: Duration = Duration::from_secs(120);

/// The deadline of a service's calls where neither they nor the rule name one.
const SERVICE_DEADLINE: Duration = Duration::from_secs(10);

/// A rule by itself; what is `None` was wrong and has been told.
#[derive(Debug)]
pub(crate) enum Draft<'a> {
    /// A customer with its token's hash.
    Customer { name: Word<'a>, token: Option<Token<'a>>, limits: Limits<'a> },
    /// Limits of a customer that another line defines.
    Limit { customer: Word<'a>, limits: Limits<'a> },
    /// A model.
    Model { name: Word<'a>, rule: Option<ModelRule> },
    /// A plain service.
    Service { name: Word<'a>, path: Option<Word<'a>>, rule: Option<ServiceRule> },
    /// Calls of a service that may be repeated.
    Repeatable { service: Word<'a>, call: Option<RepeatableCall<'a>> },
    /// What engines are to load and do.
    Engine { pattern: Option<Word<'a>>, models: Vec<Word<'a>>, rule: Option<EngineRule> },
}

/// The hash of a customer's bearer token and where it stands.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Token<'a> {
    /// Where it stands.
    pub(crate) word: Word<'a>,
    /// The hash.
    pub(crate) hash: [u8; 32],
}

/// A kind of call and where its path stands.
#[derive(Debug, Clone)]
pub(crate) struct RepeatableCall<'a> {
    /// Where its path stands.
    pub(crate) word: Word<'a>,
    /// The kind of call.
    pub(crate) pattern: CallPattern,
}

/// Reads `line` into a draft; without a known kind and a name there is none.
pub(crate) fn read_draft<'a>(line: &'a Line<'a>, faults: &mut Faults) -> Option<Draft<'a>> {
    check_comment(line, faults);
    let kind = *line.words.first()?;
    if !KINDS.contains(&kind.text) {
        faults.push_word(kind, RuleFault::UnknownWord, known_words(kind.text, KINDS));
        return None;
    }
    let Some(name) = line.words.get(1).copied() else {
        push_end(line, &format!("a name after `{}`", kind.text), faults);
        return None;
    };
    if kind.text == "engine" {
        return Some(read_engine(line, name, faults));
    }
    value::name(name, faults)?;
    Some(match kind.text {
        "customer" => read_customer(line, name, faults),
        "limit" => read_limit(line, name, faults),
        "model" => read_model(line, name, faults),
        "service" => read_service(line, name, faults),
        _ => read_repeatable(line, name, faults),
    })
}

/// Refuses a rule that does not say who asked for it.
fn check_comment(line: &Line<'_>, faults: &mut Faults) {
    const EXPECTED: &str = "`#` and the name of who asked for the rule";
    let found = match line.comment {
        None => "the end of the line",
        Some(comment) if !comment.chars().any(char::is_alphanumeric) => "an empty comment",
        Some(_) => return,
    };
    faults.push(line.end, RuleFault::MissingComment, found, EXPECTED);
}

fn read_customer<'a>(line: &'a Line<'a>, name: Word<'a>, faults: &mut Faults) -> Draft<'a> {
    let options = Options::read(line, 2, CUSTOMER_WORDS, faults);
    let token = options.require("token", faults).and_then(|word| {
        let hash = value::token_hash(word, faults)?;
        Some(Token { word, hash })
    });
    Draft::Customer { name, token, limits: Limits::read(&options, faults) }
}

fn read_limit<'a>(line: &'a Line<'a>, customer: Word<'a>, faults: &mut Faults) -> Draft<'a> {
    let options = Options::read(line, 2, LIMIT_WORDS, faults);
    if options.is_empty() && line.words.len() == 2 {
        let expected = format!("one of `{}` and its value", LIMIT_WORDS.join("`, `"));
        options.push_missing(&expected, faults);
    }
    Draft::Limit { customer, limits: Limits::read(&options, faults) }
}

fn read_model<'a>(line: &'a Line<'a>, name: Word<'a>, faults: &mut Faults) -> Draft<'a> {
    let options = Options::read(line, 2, MODEL_WORDS, faults);
    let revision = options.require("revision", faults).and_then(|word| value::name(word, faults));
    let max_prompt = or_default(options.get("max-prompt"), DEFAULT_PROMPT, |word| {
        value::count(word, 1..=MOST_PROMPT, "tokens", faults)
    });
    let max_output = or_default(options.get("max-output"), DEFAULT_OUTPUT, |word| {
        value::count(word, 1..=MOST_OUTPUT, "tokens", faults)
    });
    let deadline =
        or_default(options.get("deadline"), MODEL_DEADLINE, |word| value::deadline(word, faults));
    let adapters =
        or_default(options.get("adapters"), Vec::new(), |word| value::names(word, faults));
    let rule = || {
        Some(ModelRule {
            revision: revision?.to_owned(),
            max_prompt: max_prompt?,
            max_output: max_output?,
            deadline: deadline?,
            adapters: adapters?.iter().map(|word| word.text.to_owned()).collect(),
        })
    };
    Draft::Model { name, rule: rule() }
}

fn read_service<'a>(line: &'a Line<'a>, name: Word<'a>, faults: &mut Faults) -> Draft<'a> {
    let options = Options::read(line, 2, SERVICE_WORDS, faults);
    let path =
        options.require("path", faults).filter(|word| value::service_path(*word, faults).is_some());
    let deadline =
        or_default(options.get("deadline"), SERVICE_DEADLINE, |word| value::deadline(word, faults));
    let rule = || {
        let path = path?.text.to_owned();
        Some(ServiceRule { path, deadline: deadline?, repeatable: Vec::new() })
    };
    Draft::Service { name, path, rule: rule() }
}

fn read_repeatable<'a>(line: &'a Line<'a>, service: Word<'a>, faults: &mut Faults) -> Draft<'a> {
    let [method, path] = [line.words.get(2).copied(), line.words.get(3).copied()];
    if method.is_none() || path.is_none() {
        push_end(line, "a method and a path, such as `GET /plans`", faults);
    }
    if let Some(extra) = line.words.get(4) {
        faults.push_word(*extra, RuleFault::UnknownWord, "the comment");
    }
    let method = method.and_then(|word| value::method(word, faults));
    let path = path.filter(|word| value::call_path(*word, faults).is_some());
    let call = || {
        let word = path?;
        let pattern = CallPattern { method: method?.to_owned(), path: word.text.to_owned() };
        Some(RepeatableCall { word, pattern })
    };
    Draft::Repeatable { service, call: call() }
}

fn read_engine<'a>(line: &'a Line<'a>, name: Word<'a>, faults: &mut Faults) -> Draft<'a> {
    let pattern = value::pattern(name, faults).map(|_| name);
    let options = Options::read(line, 2, ENGINE_WORDS, faults);
    let role = or_default(options.get("role"), EngineRole::Any, |word| value::role(word, faults));
    let models = options.require("models", faults).and_then(|word| value::names(word, faults));
    let rule = || {
        Some(EngineRule {
            pattern: pattern?.text.to_owned(),
            role: role?,
            models: models.as_ref()?.iter().map(|word| ModelName::new(word.text)).collect(),
        })
    };
    let rule = rule();
    Draft::Engine { pattern, models: models.unwrap_or_default(), rule }
}

/// Reads a word that the rule has, or takes the default.
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
