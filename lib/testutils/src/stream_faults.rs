//! Fault injection for an engine's event stream: duplicate, late, misrouted, corrupt or missing
//! pieces, and streams that end early or stall.

use wasabicrank_lib::state::AttemptId;

use crate::text::answer_text;

/// Which faults to inject into an answer; zero and `None` disable a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Sends every nth piece twice.
    pub duplicate_every: u32,
    /// Sends the answer's first piece again after every nth piece.
    pub late_every: u32,
    /// Sends a piece of another attempt after every nth piece.
    pub crossed_every: u32,
    /// Omits every nth piece.
    pub gap_every: u32,
    /// Replaces the text of every nth piece with another answer's, which no reader can detect.
    pub corrupt_every: u32,
    /// The stream ends without its closing events after this many pieces.
    pub cut_after: Option<u32>,
    /// The stream stays open but sends nothing more after this many pieces.
    pub stall_after: Option<u32>,
}

/// The state of a stream after a piece was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFate {
    /// The stream continues.
    Open,
    /// The stream ends immediately, without closing events.
    Cut,
    /// The stream stays open but sends nothing more.
    Stalled,
}

/// Writes the events of one answer, with the enabled faults.
#[derive(Debug)]
pub(crate) struct StreamWriter {
    attempt: AttemptId,
    hash: u64,
    first: Option<u32>,
    pieces: u32,
}

impl StreamWriter {
    /// Creates a writer for `attempt`, whose prompt text has `hash`.
    pub(crate) fn new(attempt: AttemptId, hash: u64) -> StreamWriter {
        StreamWriter { attempt, hash, first: None, pieces: 0 }
    }

    /// Writes the event for the end of prefill.
    pub(crate) fn start(&self, out: &mut String, cached: u32, prefill_ms: u64) {
        let attempt = self.attempt;
        out.push_str(&format!(
            "data: {{\"attempt\":\"{attempt}\",\"start\":true,\"cached\":{cached},\
             \"prefill_ms\":{prefill_ms}}}\n\n"
        ));
    }

    /// Writes one piece of the answer, applying the enabled faults.
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
            // The offset is that of the next piece, so only the attempt ID distinguishes the two.
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

/// Returns whether `every` is nonzero and divides `count`.
fn is_nth(count: u32, every: u32) -> bool {
    every != 0 && count.is_multiple_of(every)
}
