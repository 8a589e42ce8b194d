//! Parses the word-value pairs that follow a rule's name.

use super::error::ErrorList;
use super::error::RuleErrorKind;
use super::error::quoted;
use super::line::Line;
use super::line::Word;
use crate::protocol::spelling::nearest;

/// An option word and its value.
#[derive(Debug, Clone, Copy)]
struct Pair<'a> {
    word: Word<'a>,
    value: Word<'a>,
}

/// The word-value pairs of one rule, each word at most once.
#[derive(Debug)]
pub(crate) struct Options<'a> {
    pairs: Vec<Pair<'a>>,
    line: &'a Line<'a>,
}

impl<'a> Options<'a> {
    /// Parses the words of `line` from index `start` on; `known` lists the allowed words.
    pub(crate) fn read(
        line: &'a Line<'a>,
        start: usize,
        known: &'static [&'static str],
        errors: &mut ErrorList,
    ) -> Options<'a> {
        let mut options = Options { pairs: Vec::new(), line };
        let mut words = line.words.iter().copied().skip(start).peekable();
        while let Some(word) = words.next() {
            // A misspelt word still consumes its value, so that one mistake is reported once.
            let value = words.next_if(|next| !known.contains(&next.text));
            match value {
                _ if !known.contains(&word.text) => {
                    errors.push_word(
                        word,
                        RuleErrorKind::UnknownWord,
                        known_words(word.text, known),
                    );
                }
                Some(value) => options.add(Pair { word, value }, errors),
                None => push_no_value(line, word, words.peek().copied(), errors),
            }
        }
        options
    }

    /// Returns the value of `word`, if the rule has it.
    pub(crate) fn get(&self, word: &str) -> Option<Word<'a>> {
        self.pair(word).map(|pair| pair.value)
    }

    /// Returns `word` itself, if the rule has it.
    pub(crate) fn word(&self, word: &str) -> Option<Word<'a>> {
        self.pair(word).map(|pair| pair.word)
    }

    /// Returns the value of a required word, and reports an error if the word is missing.
    pub(crate) fn require(&self, word: &str, errors: &mut ErrorList) -> Option<Word<'a>> {
        let value = self.get(word);
        // A word at the end of the line without its value has already been reported.
        if value.is_none() && !self.line.words.iter().any(|given| given.text == word) {
            self.push_missing(&format!("`{word}` and its value"), errors);
        }
        value
    }

    /// Returns whether the rule has no pairs.
    pub(crate) fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    /// Reports that something is missing at the end of the rule.
    pub(crate) fn push_missing(&self, expected: &str, errors: &mut ErrorList) {
        push_missing_at_end(self.line, expected, errors);
    }

    fn pair(&self, word: &str) -> Option<&Pair<'a>> {
        self.pairs.iter().find(|pair| pair.word.text == word)
    }

    fn add(&mut self, pair: Pair<'a>, errors: &mut ErrorList) {
        if self.pair(pair.word.text).is_some() {
            let found = format!("{} a second time", quoted(pair.word.text));
            errors.push(pair.word.position, RuleErrorKind::Duplicate, found, "each word once");
            return;
        }
        self.pairs.push(pair);
    }
}

/// Reports that `word` has no value because `next` or the end of the rule follows it.
fn push_no_value(line: &Line<'_>, word: Word<'_>, next: Option<Word<'_>>, errors: &mut ErrorList) {
    let expected = format!("a value after `{}`", word.text);
    match next {
        Some(next) => errors.push_word(next, RuleErrorKind::MissingWord, expected),
        None => push_missing_at_end(line, &expected, errors),
    }
}

/// Reports that something is missing at the end of a line's rule.
pub(crate) fn push_missing_at_end(line: &Line<'_>, expected: &str, errors: &mut ErrorList) {
    errors.push(line.end, RuleErrorKind::MissingWord, "the end of the rule", expected);
}

/// Returns the text of the expected word or words for an unknown word.
pub(crate) fn known_words(word: &str, known: &'static [&'static str]) -> String {
    match nearest(word, known.iter().copied()) {
        Some(near) => format!("`{near}`"),
        None => format!("one of `{}`", known.join("`, `")),
    }
}
