//! Parses the values of a rule's words: names, numbers, durations, token hashes, paths and lists.

use std::collections::HashSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use winnow::ModalResult;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::preceded;
use winnow::combinator::separated;
use winnow::token::rest;
use winnow::token::take_while;

use super::error::ErrorList;
use super::error::RuleErrorKind;
use super::error::quoted;
use super::line::Word;
use crate::protocol::position::Position;
use crate::state::EngineRole;
use crate::state::Priority;

/// The maximum number of characters of a name.
const MAX_NAME_CHARS: usize = 64;

/// The maximum number of characters of a path.
const MAX_PATH_CHARS: usize = 200;

/// The HTTP methods that a call may have.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// The shortest deadline that a rule may give.
const MIN_DEADLINE: Duration = Duration::from_millis(100);

/// The longest deadline that a rule may give.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Parses a name.
pub(crate) fn name<'a>(word: Word<'a>, errors: &mut ErrorList) -> Option<&'a str> {
    check(word, name_text.parse(word.text).ok(), errors, || {
        format!("a name of 1 to {MAX_NAME_CHARS} letters, digits, `-`, `_` or `.`")
    })
}

/// Parses a whole number in `range`; `unit` is what it counts.
pub(crate) fn count(
    word: Word<'_>,
    range: RangeInclusive<u32>,
    unit: &str,
    errors: &mut ErrorList,
) -> Option<u32> {
    let value = digits.parse(word.text).ok().filter(|value| range.contains(value));
    let (min, max) = (range.start(), range.end());
    check(word, value, errors, || format!("a whole number of {unit} from {min} to {max}"))
}

/// Parses a rate in tokens per second, such as `20000/s`.
pub(crate) fn rate(
    word: Word<'_>,
    range: RangeInclusive<u32>,
    errors: &mut ErrorList,
) -> Option<u32> {
    let value = per_second.parse(word.text).ok().filter(|value| range.contains(value));
    let (min, max) = (range.start(), range.end());
    check(word, value, errors, || format!("tokens a second from {min}/s to {max}/s"))
}

/// Parses a deadline, such as `120s`.
pub(crate) fn deadline(word: Word<'_>, errors: &mut ErrorList) -> Option<Duration> {
    let range = MIN_DEADLINE..=MAX_DEADLINE;
    let value = duration.parse(word.text).ok().filter(|value| range.contains(value));
    check(word, value, errors, || "a time from 100ms to 60m in `ms`, `s` or `m`".to_owned())
}

/// Parses the hash of a bearer token.
pub(crate) fn token_hash(word: Word<'_>, errors: &mut ErrorList) -> Option<[u8; 32]> {
    let value = hash.parse(word.text).ok();
    check(word, value, errors, || {
        "`blake3:` and 64 hex digits, as `wasabicrank hash-token` prints them".to_owned()
    })
}

/// Parses a priority.
pub(crate) fn priority(word: Word<'_>, errors: &mut ErrorList) -> Option<Priority> {
    let value = match word.text {
        "low" => Some(Priority::Low),
        "normal" => Some(Priority::Normal),
        "high" => Some(Priority::High),
        _ => None,
    };
    check(word, value, errors, || "`low`, `normal` or `high`".to_owned())
}

/// Parses the role of engines.
pub(crate) fn role(word: Word<'_>, errors: &mut ErrorList) -> Option<EngineRole> {
    let value = match word.text {
        "any" => Some(EngineRole::Any),
        "short" => Some(EngineRole::Short),
        "long" => Some(EngineRole::Long),
        _ => None,
    };
    check(word, value, errors, || "`any`, `short` or `long`".to_owned())
}

/// Parses an HTTP method.
pub(crate) fn method<'a>(word: Word<'a>, errors: &mut ErrorList) -> Option<&'a str> {
    let value = METHODS.contains(&word.text).then_some(word.text);
    check(word, value, errors, || format!("one of `{}`", METHODS.join("`, `")))
}

/// Parses the path prefix of a service.
pub(crate) fn service_path<'a>(word: Word<'a>, errors: &mut ErrorList) -> Option<&'a str> {
    let value = path_text.parse(word.text).ok().filter(|path| path.len() <= MAX_PATH_CHARS);
    check(word, value, errors, || {
        format!("a path of up to {MAX_PATH_CHARS} characters, such as `/enrolment`")
    })
}

/// Parses a path prefix below a service's own; `/` matches every path.
pub(crate) fn call_path<'a>(word: Word<'a>, errors: &mut ErrorList) -> Option<&'a str> {
    match word.text {
        "/" => Some("/"),
        _ => service_path(word, errors),
    }
}

/// Parses the pattern of an engine rule: a name, or a prefix followed by `*`.
pub(crate) fn pattern<'a>(word: Word<'a>, errors: &mut ErrorList) -> Option<&'a str> {
    let prefix = word.text.strip_suffix('*');
    let valid = prefix == Some("") || name_text.parse(prefix.unwrap_or(word.text)).is_ok();
    check(word, valid.then_some(word.text), errors, || {
        "an engine's name, or the start of one and `*`".to_owned()
    })
}

/// Parses a list of distinct names separated by commas without spaces.
pub(crate) fn names<'a>(word: Word<'a>, errors: &mut ErrorList) -> Option<Vec<Word<'a>>> {
    let list: Vec<&str> = check(word, name_list.parse(word.text).ok(), errors, || {
        "names with a comma and no blank between them, such as `a,b`".to_owned()
    })?;
    let mut names = Vec::with_capacity(list.len());
    let mut seen = HashSet::with_capacity(list.len());
    let mut column = word.position.column;
    for text in list {
        let position = Position { column, ..word.position };
        column += text.len() + 1;
        if !seen.insert(text) {
            let found = format!("{} a second time", quoted(text));
            errors.push(position, RuleErrorKind::Duplicate, found, "each name once");
            continue;
        }
        names.push(Word { text, position });
    }
    Some(names)
}

/// Returns `value`, and reports what was expected if it is `None`.
fn check<T>(
    word: Word<'_>,
    value: Option<T>,
    errors: &mut ErrorList,
    expected: impl FnOnce() -> String,
) -> Option<T> {
    if value.is_none() {
        errors.push_word(word, RuleErrorKind::BadValue, expected());
    }
    value
}

fn name_text<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let allowed = |char: char| char.is_ascii_alphanumeric() || "-_.".contains(char);
    take_while(1..=MAX_NAME_CHARS, allowed).parse_next(input)
}

fn name_list<'a>(input: &mut &'a str) -> ModalResult<Vec<&'a str>> {
    separated(1.., name_text, ',').parse_next(input)
}

/// Parses digits, which may contain `_` for readability except at the start.
fn digits(input: &mut &str) -> ModalResult<u32> {
    take_while(1.., |char: char| char.is_ascii_digit() || char == '_')
        .verify(|text: &str| text.starts_with(|char: char| char.is_ascii_digit()))
        .verify_map(|text: &str| text.replace('_', "").parse().ok())
        .parse_next(input)
}

fn per_second(input: &mut &str) -> ModalResult<u32> {
    (digits, "/s").map(|(count, _)| count).parse_next(input)
}

fn duration(input: &mut &str) -> ModalResult<Duration> {
    let unit = alt((
        "ms".value(Duration::from_millis(1)),
        "s".value(Duration::from_secs(1)),
        "m".value(Duration::from_secs(60)),
    ));
    (digits, unit).verify_map(|(count, unit)| unit.checked_mul(count)).parse_next(input)
}

fn hash(input: &mut &str) -> ModalResult<[u8; 32]> {
    preceded("blake3:", rest)
        .verify_map(|text: &str| blake3::Hash::from_hex(text).ok())
        .map(|hash| *hash.as_bytes())
        .parse_next(input)
}

/// Parses segments that each start with `/`; `.` and `..` segments are refused.
fn path_text<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let allowed = |char: char| char.is_ascii_alphanumeric() || "-_.~".contains(char);
    let segment =
        preceded('/', take_while(1.., allowed)).verify(|text: &str| text != "." && text != "..");
    winnow::combinator::repeat::<_, _, (), _, _>(1.., segment).take().parse_next(input)
}
