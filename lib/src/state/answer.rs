//! Assembles an answer from pieces that may be late, duplicated, reordered or missing.

use std::collections::BTreeMap;

/// The maximum number of pieces that are buffered behind a gap.
const MAX_BUFFERED_PIECES: usize = 64;

/// A piece of an answer from an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    /// The number of answer tokens before it.
    pub offset: u32,
    /// The number of its tokens.
    pub tokens: u32,
    /// Its text.
    pub text: String,
}

/// The stream cannot deliver the complete answer and must be restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamBroken {
    /// A piece is missing and too many later ones are buffered.
    Gap,
    /// A piece partly overlaps the delivered tokens.
    Overlap,
    /// The stream ended before the answer was complete.
    Short,
    /// The stream reports an answer that is shorter than the delivered tokens.
    Long,
}

/// The delivered part of an answer, and the pieces that are buffered behind a gap.
#[derive(Debug, Clone, Default)]
pub struct AnswerAssembler {
    sent: u32,
    text: String,
    buffered: BTreeMap<u32, Piece>,
}

impl AnswerAssembler {
    /// Creates the assembler of an answer of which the caller already has `tokens` with the text
    /// `text`.
    ///
    /// ```
    /// use wasabicrank_lib::state::{AnswerAssembler, Piece};
    /// let mut answer = AnswerAssembler::resume(0, "");
    /// let late = Piece { offset: 1, tokens: 1, text: "b".into() };
    /// assert!(answer.accept(late.clone()).unwrap().is_empty());
    /// let first = Piece { offset: 0, tokens: 1, text: "a".into() };
    /// assert_eq!(answer.accept(first.clone()).unwrap(), vec![first.clone(), late]);
    /// assert!(answer.accept(first).unwrap().is_empty(), "a duplicate is dropped");
    /// ```
    pub fn resume(tokens: u32, text: &str) -> AnswerAssembler {
        AnswerAssembler { sent: tokens, text: text.to_owned(), buffered: BTreeMap::new() }
    }

    /// Returns the number of delivered answer tokens.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the text of the delivered tokens.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Adds a piece and returns the pieces that can now be delivered, in order.
    pub fn accept(&mut self, piece: Piece) -> Result<Vec<Piece>, StreamBroken> {
        if piece.offset + piece.tokens <= self.sent {
            return Ok(Vec::new());
        }
        if piece.offset < self.sent {
            return Err(StreamBroken::Overlap);
        }
        if piece.offset > self.sent {
            return self.buffer(piece);
        }
        let mut ready = vec![self.deliver(piece)];
        while let Some(next) = self.buffered.remove(&self.sent) {
            ready.push(self.deliver(next));
        }
        self.buffered.retain(|_, buffered| buffered.offset + buffered.tokens > self.sent);
        Ok(ready)
    }

    /// Checks that all tokens of an answer of `tokens` tokens were delivered.
    pub fn finish(&self, tokens: u32) -> Result<(), StreamBroken> {
        match tokens.cmp(&self.sent) {
            std::cmp::Ordering::Equal => Ok(()),
            std::cmp::Ordering::Greater => Err(StreamBroken::Short),
            std::cmp::Ordering::Less => Err(StreamBroken::Long),
        }
    }

    /// Drops the buffered pieces of an abandoned stream.
    pub fn restart(&mut self) {
        self.buffered.clear();
    }

    fn buffer(&mut self, piece: Piece) -> Result<Vec<Piece>, StreamBroken> {
        if self.buffered.len() >= MAX_BUFFERED_PIECES {
            return Err(StreamBroken::Gap);
        }
        self.buffered.entry(piece.offset).or_insert(piece);
        Ok(Vec::new())
    }

    fn deliver(&mut self, piece: Piece) -> Piece {
        self.sent = piece.offset + piece.tokens;
        self.text.push_str(&piece.text);
        piece
    }
}
