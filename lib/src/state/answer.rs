//! Puts an answer together from pieces that may be late, doubled, crossed or missing.

use std::collections::BTreeMap;

/// How many pieces may wait for one before them.
const EARLY_PIECES: usize = 64;

/// A piece of an answer as an engine's stream brought it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The answer tokens before it.
    pub offset: u32,
    /// Its tokens.
    pub tokens: u32,
    /// Its text.
    pub text: String,
}

/// Says that a stream can no longer give the whole answer and must be started anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamBroken {
    /// Too many pieces came before one that is missing.
    Gap,
    /// A piece overlaps what was already passed on.
    Overlap,
    /// The stream ended before the answer was whole.
    Short,
    /// The stream says that the answer is shorter than what was passed on.
    Long,
}

/// The part of an answer that has been passed on, and the pieces that wait behind a gap.
#[derive(Debug, Clone, Default)]
pub struct AnswerAssembler {
    sent: u32,
    text: String,
    early: BTreeMap<u32, Piece>,
}

impl AnswerAssembler {
    /// Starts an answer of which the caller already has `tokens`, with their text.
    ///
    /// ```
    /// use wasabicrank_lib::state::{AnswerAssembler, Piece};
    /// let mut log = AnswerAssembler::resume(0, "");
    /// let late = Piece { offset: 1, tokens: 1, text: "b".into() };
    /// assert!(log.accept(late.clone()).unwrap().is_empty());
    /// let first = Piece { offset: 0, tokens: 1, text: "a".into() };
    /// assert_eq!(log.accept(first.clone()).unwrap(), vec![first.clone(), late]);
    /// assert!(log.accept(first).unwrap().is_empty(), "a doubled piece is dropped");
    /// ```
    pub fn resume(tokens: u32, text: &str) -> AnswerAssembler {
        AnswerAssembler { sent: tokens, text: text.to_owned(), early: BTreeMap::new() }
    }

    /// Returns the answer tokens that were passed on.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the text of the tokens that were passed on.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Takes a piece and returns those that can now be passed on, in order.
    pub fn accept(&mut self, piece: Piece) -> Result<Vec<Piece>, StreamBroken> {
        if piece.offset + piece.tokens <= self.sent {
            return Ok(Vec::new());
        }
        if piece.offset < self.sent {
            return Err(StreamBroken::Overlap);
        }
        if piece.offset > self.sent {
            return self.keep_early(piece);
        }
        let mut ready = vec![self.pass(piece)];
        while let Some(next) = self.early.remove(&self.sent) {
            ready.push(self.pass(next));
        }
        self.early.retain(|_, early| early.offset + early.tokens > self.sent);
        Ok(ready)
    }

    /// Checks that an answer that is said to have `tokens` tokens is whole.
    pub fn finish(&self, tokens: u32) -> Result<(), StreamBroken> {
        match tokens.cmp(&self.sent) {
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Greater => Err(StreamBroken::Short),
            std::cmp::Ordering::Less => Err(StreamBroken::Long),
        }
    }

    /// Forgets the pieces of a stream that is given up.
    pub fn restart(&mut self) {
        self.early.clear();
    }

    fn keep_early(&mut self, piece: Piece) -> Result<Vec<Piece>, StreamBroken> {
        if self.early.len() >= EARLY_PIECES {
            return Err(StreamBroken::Gap);
        }
        self.early.entry(piece.offset).or_insert(piece);
        Ok(Vec::new())
    }

    fn pass(&mut self, piece: Piece) -> Piece {
        self.sent = piece.offset + piece.tokens;
        self.text.push_str(&piece.text);
        piece
    }
}
