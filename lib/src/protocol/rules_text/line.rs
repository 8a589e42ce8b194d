//! Splits a line of a rules text into its words and its comment.

use winnow::LocatingSlice;
use winnow::ModalResult;
use winnow::Parser;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::token::rest;
use winnow::token::take_while;

use crate::protocol::place::Place;

/// A line as the parser sees it, with byte offsets.
type Input<'a> = LocatingSlice<&'a str>;

/// A word with its offset in the line, in bytes.
type Located<'a> = (&'a str, std::ops::Range<usize>);

/// A word and where it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Word<'a> {
    /// Its text, which is not empty.
    pub(crate) text: &'a str,
    /// Where it starts.
    pub(crate) place: Place,
}

/// A line that is neither blank nor only a comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line<'a> {
    /// Its words; there is at least one.
    pub(crate) words: Vec<Word<'a>>,
    /// The text after the `#`, if there is one.
    pub(crate) comment: Option<&'a str>,
    /// Where the words end.
    pub(crate) end: Place,
}

/// Reads the line with the number `number`; a line without words is `None`.
pub(crate) fn read_line(number: usize, text: &str) -> Option<Line<'_>> {
    let (located, comment) = split.parse(LocatingSlice::new(text)).ok()?;
    let mut offset = 0;
    let mut place = Place { line: number, column: 1 };
    let mut words = Vec::with_capacity(located.len());
    for (word, range) in located {
        place.column += text[offset..range.start].chars().count();
        words.push(Word { text: word, place });
        place.column += word.chars().count();
        offset = range.end;
    }
    let whole = !words.is_empty();
    whole.then_some(Line { words, comment, end: place })
}

/// Reads all words of a line, then its comment.
fn split<'a>(input: &mut Input<'a>) -> ModalResult<(Vec<Located<'a>>, Option<&'a str>)> {
    let words = repeat(0.., preceded(blanks, word.with_span())).parse_next(input)?;
    blanks.parse_next(input)?;
    let comment = opt(preceded('#', rest)).parse_next(input)?;
    Ok((words, comment))
}

/// Reads characters up to a blank or a comment.
fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(1.., |char| !is_blank(char) && char != '#').parse_next(input)
}

/// Skips blanks.
fn blanks<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    take_while(0.., is_blank).parse_next(input)
}

/// Tells whether a character stands between words.
fn is_blank(char: char) -> bool {
    char == ' ' || char == '\t'
}
