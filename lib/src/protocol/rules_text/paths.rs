//! Checks for overlapping paths and patterns, so that no rule shadows another.

use std::collections::HashMap;

use super::error::ErrorList;
use super::error::RuleErrorKind;
use super::error::quoted;
use super::line::Word;
use super::parsed_rule::RepeatableCall;

/// The path prefixes that every entry host serves itself.
const RESERVED: &[&str] = &["/v1", "/health"];

/// Refuses service paths that equal or contain each other or a reserved path.
pub(crate) fn check_paths<'a>(
    paths: impl Iterator<Item = Word<'a>> + Clone,
    errors: &mut ErrorList,
) {
    let mut seen: HashMap<&str, Word<'a>> = HashMap::new();
    for path in paths.clone() {
        if let Some(reserved) = RESERVED.iter().find(|reserved| contains(reserved, path.text)) {
            let expected = format!("a path outside `{reserved}`, which entry hosts serve");
            errors.push_word(path, RuleErrorKind::Contradiction, expected);
        }
        if let Some(first) = seen.get(path.text) {
            push_overlap(path, *first, errors);
            continue;
        }
        seen.insert(path.text, path);
    }
    for path in paths {
        let ancestor = ancestors(path.text).find_map(|ancestor| seen.get(ancestor));
        if let Some(ancestor) = ancestor {
            push_overlap(path, *ancestor, errors);
        }
    }
}

/// Refuses repeatable calls that duplicate an earlier one or lie below the path of another one of
/// the same service.
pub(crate) fn check_repeatable(calls: &[RepeatableCall<'_>], errors: &mut ErrorList) {
    let mut seen: HashMap<(&str, &str), Word<'_>> = HashMap::new();
    for call in calls {
        let key = (call.pattern.method.as_str(), call.word.text);
        if let Some(first) = seen.insert(key, call.word) {
            let found = format!("`{} {}` a second time", key.0, key.1);
            let expected = format!("each call once; the first is on line {}", first.position.line);
            errors.push(call.word.position, RuleErrorKind::Duplicate, found, expected);
        }
    }
    for call in calls {
        let method = call.pattern.method.as_str();
        let ancestor =
            ancestors(call.word.text).find_map(|ancestor| seen.get(&(method, ancestor)).copied());
        if let Some(ancestor) = ancestor {
            push_covered(call.word, ancestor, errors);
        }
    }
}

/// Refuses engine patterns that can never apply because an earlier one matches every name that they
/// match.
pub(crate) fn check_patterns<'a>(patterns: impl Iterator<Item = Word<'a>>, errors: &mut ErrorList) {
    let mut names: HashMap<&str, Word<'a>> = HashMap::new();
    let mut prefixes: HashMap<&str, Word<'a>> = HashMap::new();
    for pattern in patterns {
        let prefix = pattern.text.strip_suffix('*');
        let literal = prefix.unwrap_or(pattern.text);
        let wider = (0..=literal.len()).find_map(|len| prefixes.get(literal.get(..len)?));
        let same = names.get(pattern.text);
        if let Some(first) = wider.or(same) {
            push_covered(pattern, *first, errors);
            continue;
        }
        match prefix {
            Some(prefix) => prefixes.insert(prefix, pattern),
            None => names.insert(pattern.text, pattern),
        };
    }
}

/// Returns the ancestors of `path`, nearest first; `/` is an ancestor of all other paths.
fn ancestors(path: &str) -> impl Iterator<Item = &str> {
    let slashes = path.rmatch_indices('/').map(|(at, _)| if at == 0 { 1 } else { at });
    slashes.map(|at| &path[..at]).filter(move |ancestor| *ancestor != path)
}

/// Returns whether `path` equals `prefix` or lies below it.
fn contains(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn push_overlap(path: Word<'_>, other: Word<'_>, errors: &mut ErrorList) {
    let found = format!("a path in that of another service, {}", quoted(other.text));
    let expected = format!("paths apart from each other; the other is on line {}", line(other));
    errors.push(path.position, RuleErrorKind::Contradiction, found, expected);
}

fn push_covered(word: Word<'_>, first: Word<'_>, errors: &mut ErrorList) {
    let found = format!("{}, which {} covers", quoted(word.text), quoted(first.text));
    let expected = format!("a rule that can take effect beside line {}", line(first));
    errors.push(word.position, RuleErrorKind::Unreachable, found, expected);
}

fn line(word: Word<'_>) -> usize {
    word.position.line
}
