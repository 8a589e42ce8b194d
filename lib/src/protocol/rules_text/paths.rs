//! Finds paths and patterns that overlap, so that no rule hides another.

use std::collections::HashMap;

use super::draft::RepeatableCall;
use super::error::Faults;
use super::error::RuleFault;
use super::error::quoted;
use super::line::Word;

/// The paths that every entry host serves itself.
const RESERVED: &[&str] = &["/v1", "/health"];

/// Refuses service paths that equal or contain each other or a reserved path.
pub(crate) fn check_paths<'a>(paths: impl Iterator<Item = Word<'a>> + Clone, faults: &mut Faults) {
    let mut taken: HashMap<&str, Word<'a>> = HashMap::new();
    for path in paths.clone() {
        if let Some(reserved) = RESERVED.iter().find(|reserved| contains(reserved, path.text)) {
            let expected = format!("a path outside `{reserved}`, which entry hosts serve");
            faults.push_word(path, RuleFault::Contradiction, expected);
        }
        if let Some(first) = taken.get(path.text) {
            push_overlap(path, *first, faults);
            continue;
        }
        taken.insert(path.text, path);
    }
    for path in paths {
        let above = parents(path.text).find_map(|parent| taken.get(parent));
        if let Some(above) = above {
            push_overlap(path, *above, faults);
        }
    }
}

/// Refuses calls that an earlier or wider entry of the same service covers.
pub(crate) fn check_repeatable(calls: &[RepeatableCall<'_>], faults: &mut Faults) {
    let mut taken: HashMap<(&str, &str), Word<'_>> = HashMap::new();
    for call in calls {
        let key = (call.pattern.method.as_str(), call.word.text);
        if let Some(first) = taken.insert(key, call.word) {
            let found = format!("`{} {}` a second time", key.0, key.1);
            let expected = format!("each call once; the first is on line {}", first.place.line);
            faults.push(call.word.place, RuleFault::Duplicate, found, expected);
        }
    }
    for call in calls {
        let method = call.pattern.method.as_str();
        let above =
            parents(call.word.text).find_map(|parent| taken.get(&(method, parent)).copied());
        if let Some(above) = above {
            push_covered(call.word, above, faults);
        }
    }
}

/// Refuses engine patterns that can never hold because an earlier one matches all that they do.
pub(crate) fn check_patterns<'a>(patterns: impl Iterator<Item = Word<'a>>, faults: &mut Faults) {
    let mut names: HashMap<&str, Word<'a>> = HashMap::new();
    let mut starts: HashMap<&str, Word<'a>> = HashMap::new();
    for pattern in patterns {
        let start = pattern.text.strip_suffix('*');
        let fixed = start.unwrap_or(pattern.text);
        let wider = (0..=fixed.len()).find_map(|len| starts.get(fixed.get(..len)?));
        let same = names.get(pattern.text);
        if let Some(first) = wider.or(same) {
            push_covered(pattern, *first, faults);
            continue;
        }
        match start {
            Some(start) => starts.insert(start, pattern),
            None => names.insert(pattern.text, pattern),
        };
    }
}

/// Returns the paths that lie above `path`, the nearest first; `/` is above all others.
fn parents(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.rmatch_indices('/').map(|(at, _)| if at == 0 { 1 } else { at });
    slashes.map(|at| &path[..at]).filter(move |parent| *parent != path)
}

/// Tells whether `path` is `start` or lies below it.
fn contains(start: &str, path: &str) -> bool {
    path.strip_prefix(start).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn push_overlap(path: Word<'_>, other: Word<'_>, faults: &mut Faults) {
    let found = format!("a path in that of another service, {}", quoted(other.text));
    let expected = format!("paths apart from each other; the other is on line {}", line(other));
    faults.push(path.place, RuleFault::Contradiction, found, expected);
}

fn push_covered(word: Word<'_>, first: Word<'_>, faults: &mut Faults) {
    let found = format!("{}, which {} covers", quoted(word.text), quoted(first.text));
    let expected = format!("a rule that can take effect beside line {}", line(first));
    faults.push(word.place, RuleFault::Unreachable, found, expected);
}

fn line(word: Word<'_>) -> usize {
    word.place.line
}
