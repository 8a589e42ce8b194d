//! Splits a line of a rules text into its words and its comment.

use winnow::LocatingSlice;
use winnow::ModalResult;
use winnow::Parser;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::token::rest;
use winnow::token::take_while;

use crate::protocol::position::Position;

/// The parser's input: a line with byte offsets.
type Input<'a> = LocatingSlice<&'a str>;

/// A word with its byte range in the line.
type Located<'a> = (&'a str, std::ops::Range<usize>);

/// A word and its position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Word<'a> {
    /// Its text, which is not empty.
    pub(crate) text: &'a str,
    /// The position of its first character.
    pub(crate) position: Position,
}

/// A line that is neither blank nor only a comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line<'a> {
    /// Its words; there is at least one.
    pub(crate) words: Vec<Word<'a>>,
    /// The text after the `#`, if there is one.
    pub(crate) comment: Option<&'a str>,
    /// The position after the last word.
    pub(crate) end: Position,
}

/// Parses line `number`; returns `None` for a line without words.
pub(crate) fn read_line(number: usize, text: &str) -> Option<Line<'_>> {
    let (located, comment) = split_line.parse(LocatingSlice::new(text)).ok()?;
    let mut offset = 0;
    let mut position = Position { line: number, column: 1 };
    let mut words = Vec::with_capacity(located.len());
    for (word, range) in located {
        position.column += text[offset..range.start].chars().count();
        words.push(Word { text: word, position });
        position.column += word.chars().count();
        offset = range.end;
    }
    let has_words = !words.is_empty();
    has_words.then_some(Line { words, comment, end: position })
}

/// Reads all words of a line, then its comment.
fn split_line<'a>(input: &mut Input<'a>) -> ModalResult<(Vec<Located<'a>>, Option<&'a str>)> {
    let words = repeat(0.., preceded(separators, word.with_span())).parse_next(input)?;
    separators.parse_next(input)?;
    let comment = opt(preceded('#', rest)).parse_next(input)?;
    Ok((words, comment))
}

/// Reads characters up to the next separator or a comment.
fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., |char| !is_separator(char) && char != '#').parse_next(input)
}

/// Skips separators between words.
fn separators<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(0.., is_separator).parse_next(input)
}

/// Returns whether `char` separates words.
fn is_separator(char: char) -> bool {
    char == ' ' || char == '\t'
}
