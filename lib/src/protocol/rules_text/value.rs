//! Reads the values of a rule's words: names, numbers, time spans, token hashes, paths and lists.

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

use super::error::Faults;
use super::error::RuleFault;
use super::error::quoted;
use super::line::Word;
use crate::protocol::place::Place;
use crate::state::EngineRole;
use crate::state::Priority;

/// The most characters of a name.
const NAME_CHARS: usize = 64;

/// The most characters of a path.
const PATH_CHARS: usize = 200;

/// The methods that a call may have.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// The shortest deadline that a rule may give.
const SHORTEST_DEADLINE: Duration = Duration::from_millis(100);

/// The longest deadline that a rule may give.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);

/// Reads a name.
pub(crate) fn name<'a>(word: Word<'a>, faults: &mut Faults) -> Option<&'a str> {
    check(word, name_text.parse(word.text).ok(), faults, || {
        format!("a name of 1 to {NAME_CHARS} letters, digits, `-`, `_` or `.`")
    })
}

/// Reads a whole number in `range`, which counts `unit`.
pub(crate) fn count(
    word: Word<'_>,
    range: RangeInclusive<u32>,
    unit: &str,
    faults: &mut Faults,
) -> Option<u32> {
    let value = digits.parse(word.text).ok().filter(|value| range.contains(value));
    let (least, most) = (range.start(), range.end());
    check(word, value, faults, || format!("a whole number of {unit} from {least} to {most}"))
}

/// Reads a rate in tokens a second, such as `20000/s`.
pub(crate) fn rate(word: Word<'_>, range: RangeInclusive<u32>, faults: &mut Faults) -> Option<u32> {
    let value = per_second.parse(word.text).ok().filter(|value| range.contains(value));
    let (least, most) = (range.start(), range.end());
    check(word, value, faults, || format!("tokens a second from {least}/s to {most}/s"))
}

/// Reads a deadline, such as `120s`.
pub(crate) fn deadline(word: Word<'_>, faults: &mut Faults) -> Option<Duration> {
    let range = SHORTEST_DEADLINE..=LONGEST_DEADLINE;
    let value = span.parse(word.text).ok().filter(|value| range.contains(value));
    check(word, value, faults, || "a time from 100ms to 60m in `ms`, `s` or `m`".to_owned())
}

/// Reads the hash of a bearer token.
pub(crate) fn token_hash(word: Word<'_>, faults: &mut Faults) -> Option<[u8; 32]> {
    let value = hash.parse(word.text).ok();
    check(word, value, faults, || {
        "`blake3:` and 64 hex digits, as `wasabicrank hash-token` prints them".to_owned()
    })
}

/// Reads a priority.
pub(crate) fn priority(word: Word<'_>, faults: &mut Faults) -> Option<Priority> {
    let value = match word.text {
        "low" => Some(Priority::Low),
        "normal" => Some(Priority::Normal),
        "high" => Some(Priority::High),
        _ => None,
    };
    check(word, value, faults, || "`low`, `normal` or `high`".to_owned())
}

/// Reads the role of engines.
pub(crate) fn role(word: Word<'_>, faults: &mut Faults) -> Option<EngineRole> {
    let value = match word.text {
        "any" => Some(EngineRole::Any),
        "short" => Some(EngineRole::Short),
        "long" => Some(EngineRole::Long),
        _ => None,
    };
    check(word, value, faults, || "`any`, `short` or `long`".to_owned())
}

/// Reads a method.
pub(crate) fn method<'a>(word: Word<'a>, faults: &mut Faults) -> Option<&'a str> {
    let value = METHODS.contains(&word.text).then_some(word.text);
    check(word, value, faults, || format!("one of `{}`", METHODS.join("`, `")))
}

/// Reads a path below which a service is reached.
pub(crate) fn service_path<'a>(word: Word<'a>, faults: &mut Faults) -> Option<&'a str> {
    let value = path_text.parse(word.text).ok().filter(|path| path.len() <= PATH_CHARS);
    check(word, value, faults, || {
        format!("a path of up to {PATH_CHARS} characters, such as `/enrolment`")
    })
}

/// Reads the start of a path below a service's own; `/` stands for every path.
pub(crate) fn call_path<'a>(word: Word<'a>, faults: &mut Faults) -> Option<&'a str> {
    match word.text {
        "/" => Some("/"),
        _ => service_path(word, faults),
    }
}

/// Reads the pattern of an engine rule: a name, or the start of one and a `*`.
pub(crate) fn pattern<'a>(word: Word<'a>, faults: &mut Faults) -> Option<&'a str> {
    let start = word.text.strip_suffix('*');
    let good = start == Some("") || name_text.parse(start.unwrap_or(word.text)).is_ok();
    check(word, good.then_some(word.text), faults, || {
        "an engine's name, or the start of one and `*`".to_owned()
    })
}

/// Reads a list of different names with commas between them and no blanks.
pub(crate) fn names<'a>(word: Word<'a>, faults: &mut Faults) -> Option<Vec<Word<'a>>> {
    let list: Vec<&str> = check(word, name_list.parse(word.text).ok(), faults, || {
        "names with a comma and no blank between them, such as `a,b`".to_owned()
    })?;
    let mut names = Vec::with_capacity(list.len());
    let mut seen = HashSet::with_capacity(list.len());
    let mut column = word.place.column;
    for text in list {
        let place = Place { column, ..word.place };
        column += text.len() + 1;
        if !seen.insert(text) {
            let found = format!("{} a second time", quoted(text));
            faults.push(place, RuleFault::Duplicate, found, "each name once");
            continue;
        }
        names.push(Word { text, place });
    }
    Some(names)
}

/// Passes a value on, or says what the word should have been.
fn check<T>(
    word: Word<'_>,
    value: Option<T>,
    faults: &mut Faults,
    expected: impl FnOnce() -> String,
) -> Option<T> {
    if value.is_none() {
        faults.push_word(word, RuleFault::BadValue, expected());
    }
    value
}

fn name_text<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let allowed = |char: char| char.is_ascii_alphanumeric() || "-_.".contains(char);
    take_while(1..=NAME_CHARS, allowed).parse_next(input)
}

fn name_list<'a>(input: &mut &'a str) -> ModalResult<Vec<&'a str>> {
    separated(1.., name_text, ',').parse_next(input)
}

/// Reads digits, in which `_` may stand for readability.
fn digits(input: &mut &str) -> ModalResult<u32> {
    take_while(1.., |char: char| char.is_ascii_digit() || char == '_')
        .verify(|text: &str| text.starts_with(|char: char| char.is_ascii_digit()))
        .verify_map(|text: &str| text.replace('_', "").parse().ok())
        .parse_next(input)
}

fn per_second(input: &mut &str) -> ModalResult<u32> {
    (digits, "/s").map(|(count, _)| count).parse_next(input)
}

fn span(input: &mut &str) -> ModalResult<Duration> {
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

/// Reads segments that each start with `/`; dot segments are refused.
fn path_text<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    let allowed = |char: char| char.is_ascii_alphanumeric() || "-_.~".contains(char);
    let segment =
        preceded('/', take_while(1.., allowed)).verify(|text: &str| text != "." && text != "..");
    winnow::combinator::repeat::<_, _, (), _, _>(1.., segment).take().parse_next(input)
}
