//! Placement of prompts that exceed the memory of every single engine.

use std::time::Duration;

use super::outcome::Reason;
use super::placement::Candidate;
use super::placement::Placement;
use super::placement::PlacementQuery;
use super::placement::SegmentPlan;
use super::prefix::BLOCK_TOKENS;

/// The longest prompt, in percent of the largest engine's memory.
const MAX_PROMPT_PERCENT: u64 = 250;

/// The maximum number of engines in a group.
const MAX_ENGINES: usize = 4;

/// The retry delay returned when too little memory is free.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Splits a prompt over as few engines as possible.
///
/// `free` lists the engines with their free memory, the best first; `memory` is the memory of the
/// largest engine.
pub(crate) fn plan_group(
    query: &PlacementQuery,
    free: &[(&Candidate, u32)],
    memory: u32,
) -> Placement {
    if u64::from(query.prompt_tokens) * 100 > u64::from(memory) * MAX_PROMPT_PERCENT {
        return Placement::Refuse { reason: Reason::PromptTooLong, retry_after: None };
    }
    if free.is_empty() {
        return Placement::Refuse { reason: Reason::NoTarget, retry_after: Some(FULL_RETRY_AFTER) };
    }
    for count in 2..=MAX_ENGINES {
        let Some(segments) = split(query, free, count) else { continue };
        return Placement::Group(segments);
    }
    Placement::Refuse { reason: Reason::MemoryFull, retry_after: Some(FULL_RETRY_AFTER) }
}

/// Splits a prompt into `count` segments of nearly equal length, on the first engines with enough
/// free memory for one.
fn split(
    query: &PlacementQuery,
    free: &[(&Candidate, u32)],
    count: usize,
) -> Option<Vec<SegmentPlan>> {
    let parts = u32::try_from(count).ok()?;
    let blocks = query.prompt_tokens.div_ceil(BLOCK_TOKENS).div_ceil(parts);
    let size = blocks * BLOCK_TOKENS;
    let need = size.saturating_add(query.output_tokens);
    let fitting = free.iter().filter(|(_, free)| *free >= need).take(count);
    let engines: Vec<&Candidate> = fitting.map(|(candidate, _)| *candidate).collect();
    if engines.len() < count {
        return None;
    }
    let mut left = query.prompt_tokens;
    let mut segments = Vec::new();
    for (index, candidate) in engines.into_iter().enumerate() {
        let tokens = left.min(size);
        left -= tokens;
        let last = index + 1 == count;
        let output_tokens = if last { query.output_tokens } else { 0 };
        segments.push(SegmentPlan { engine: candidate.engine.clone(), tokens, output_tokens });
    }
    Some(segments)
}
