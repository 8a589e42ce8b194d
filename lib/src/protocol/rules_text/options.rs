//! Reads the pairs of word and value that follow a rule's name.

use super::error::Faults;
use super::error::RuleFault;
use super::error::quoted;
use super::line::Line;
use super::line::Word;
use crate::protocol::spelling::nearest;

/// A word that a rule may have, with its value.
#[derive(Debug, Clone, Copy)]
struct Choice<'a> {
    word: Word<'a>,
    value: Word<'a>,
}

/// The pairs of word and value of one rule, each word at most once.
#[derive(Debug)]
pub(crate) struct Options<'a> {
    choices: Vec<Choice<'a>>,
    line: &'a Line<'a>,
}

impl<'a> Options<'a> {
    /// Reads the words of `line` from the one numbered `start` on; `known` are the words allowed.
    pub(crate) fn read(
        line: &'a Line<'a>,
        start: usize,
        known: &'static [&'static str],
        faults: &mut Faults,
    ) -> Options<'a> {
        let mut options = Options { choices: Vec::new(), line };
        let mut words = line.words.iter().copied().skip(start).peekable();
        while let Some(word) = words.next() {
            // A misspelt word still takes its value along, so that one mistake is told once.
            let value = words.next_if(|next| !known.contains(&next.text));
            match value {
                _ if !known.contains(&word.text) => {
                    faults.push_word(word, RuleFault::UnknownWord, known_words(word.text, known));
                }
                Some(value) => options.add(Choice { word, value }, faults),
                None => push_no_value(line, word, words.peek().copied(), faults),
            }
        }
        options
    }

    /// Returns the value of `word`, if the rule has it.
    pub(crate) fn get(&self, word: &str) -> Option<Word<'a>> {
        self.choice(word).map(|choice| choice.value)
    }

    /// Returns `word` itself, if the rule has it.
    pub(crate) fn word(&self, word: &str) -> Option<Word<'a>> {
        self.choice(word).map(|choice| choice.word)
    }

    /// Returns the value of a word that the rule must have.
    pub(crate) fn require(&self, word: &str, faults: &mut Faults) -> Option<Word<'a>> {
        let value = self.get(word);
        // A word that stands last without its value was told already.
        if value.is_none() && !self.line.words.iter().any(|given| given.text == word) {
            self.push_missing(&format!("`{word}` and its value"), faults);
        }
        value
    }

    /// Tells whether the rule has any pair.
    pub(crate) fn is_empty(&self) -> bool {
        self.choices.is_empty()
    }

    /// Says that something is missing at the end of the rule.
    pub(crate) fn push_missing(&self, expected: &str, faults: &mut Faults) {
        push_end(self.line, expected, faults);
    }

    fn choice(&self, word: &str) -> Option<&Choice<'a>> {
        self.choices.iter().find(|choice| choice.word.text == word)
    }

    fn add(&mut self, choice: Choice<'a>, faults: &mut Faults) {
        if self.choice(choice.word.text).is_some() {
            let found = format!("{} a second time", quoted(choice.word.text));
            faults.push(choice.word.place, RuleFault::Duplicate, found, "each word once");
            return;
        }
        self.choices.push(choice);
    }
}

/// Says that `word` has no value, since `next` or the end of the rule follows it.
fn push_no_value(line: &Line<'_>, word: Word<'_>, next: Option<Word<'_>>, faults: &mut Faults) {
    let expected = format!("a value after `{}`", word.text);
    match next {
        Some(next) => faults.push_word(next, RuleFault::MissingWord, expected),
        None => push_end(line, &expected, faults),
    }
}

/// Says that something is missing at the end of a line's rule.
pub(crate) fn push_end(line: &Line<'_>, expected: &str, faults: &mut Faults) {
    faults.push(line.end, RuleFault::MissingWord, "the end of the rule", expected);
}

/// Returns what to expect in place of an unknown word.
pub(crate) fn known_words(word: &str, known: &'static [&'static str]) -> String {
    match nearest(word, known.iter().copied()) {
        Some(near) => format!("`{near}`"),
        None => format!("one of `{}`", known.join("`, `")),
    }
}
