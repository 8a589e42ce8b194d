//! Faults of an engine's event stream: pieces that come twice, late, crossed or not at all.

use wasabicrank_lib::state::AttemptId;

use crate::text::answer_text;

/// Which pieces of an answer go wrong; zero and `None` are never.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Each piece of this number is sent twice.
    pub duplicate_every: u32,
    /// After each piece of this number, the answer's first piece is sent again.
    pub late_every: u32,
    /// After each piece of this number, a piece of another attempt is sent.
    pub crossed_every: u32,
    /// Each piece of this number is left out.
    pub gap_every: u32,
    /// Each piece of this number has another answer's text, which no reader can tell.
    pub corrupt_every: u32,
    /// The stream ends without its closing events after this many pieces.
    pub cut_after: Option<u32>,
    /// The stream stays open but says nothing more after this many pieces.
    pub stall_after: Option<u32>,
}

/// What becomes of a stream after a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFate {
    /// It goes on.
    Open,
    /// It ends at once.
    Cut,
    /// It says nothing more.
    Stalled,
}

/// Writes the events of one answer, with the faults that are switched on.
#[derive(Debug)]
pub(crate) struct StreamWriter {
    attempt: AttemptId,
    hash: u64,
    first: Option<u32>,
    pieces: u32,
}

impl StreamWriter {
    /// Writes for `attempt`, whose prompt's text has `hash`.
    pub(crate) fn new(attempt: AttemptId, hash: u64) -> StreamWriter {
        StreamWriter { attempt, hash, first: None, pieces: 0 }
    }

    /// Writes the event that prefill is over.
    pub(crate) fn start(&self, out: &mut String, cached: u32, prefill_ms: u64) {
        let attempt = self.attempt;
        out.push_str(&format!(
            "data: {{\"attempt\":\"{attempt}\",\"start\":true,\"cached\":{cached},\
             \"prefill_ms\":{prefill_ms}}}\n\n"
        ));
    }

    /// Writes one piece of the answer, or what its faults make of it.
    pub(crate) fn piece(
        &mut self,
        out: &mut String,
        offset: u32,
        tokens: u32,
        faults: &StreamFaults,
    ) -> StreamFate {
        self.pieces += 1;
        let first = *self.first.get_or_insert(offset);
        let count = self.pieces;
        if !is_nth(count, faults.gap_every) {
            let hash = if is_nth(count, faults.corrupt_every) { !self.hash } else { self.hash };
            self.write(out, self.attempt, offset, tokens, hash);
        }
        if is_nth(count, faults.duplicate_every) {
            self.write(out, self.attempt, offset, tokens, self.hash);
        }
        if is_nth(count, faults.late_every) {
            self.write(out, self.attempt, first, 1, self.hash);
        }
        if is_nth(count, faults.crossed_every) {
            let mut other = self.attempt;
            other.request.seq += 1;
            // The piece would fit in place, so that only its attempt tells it from the next one.
            self.write(out, other, offset + tokens, 1, !self.hash);
        }
        self.fate(faults)
    }

    /// Writes the closing events.
    pub(crate) fn done(&self, out: &mut String, tokens: u32, finish: &str) {
        let attempt = self.attempt;
        out.push_str(&format!(
            "data: {{\"attempt\":\"{attempt}\",\"done\":true,\"finish\":\"{finish}\",\
             \"tokens\":{tokens}}}\n\ndata: [DONE]\n\n"
        ));
    }

    fn fate(&self, faults: &StreamFaults) -> StreamFate {
        if faults.cut_after.is_some_and(|pieces| self.pieces >= pieces) {
            return StreamFate::Cut;
        }
        if faults.stall_after.is_some_and(|pieces| self.pieces >= pieces) {
            return StreamFate::Stalled;
        }
        StreamFate::Open
    }

    fn write(&self, out: &mut String, attempt: AttemptId, offset: u32, tokens: u32, hash: u64) {
        let text = answer_text(hash, offset, tokens);
        out.push_str(&format!(
            "data: {{\"attempt\":\"{attempt}\",\"offset\":{offset},\"tokens\":{tokens},\
             \"text\":\"{text}\"}}\n\n"
        ));
    }
}

/// Tells whether piece `count` is one of every `every`.
fn is_nth(count: u32, every: u32) -> bool {
    every != 0 && count.is_multiple_of(every)
}
