//! Plans for prompts that are longer than any one engine's memory.

use std::time::Duration;

use super::outcome::Reason;
use super::placement::Candidate;
use super::placement::Placement;
use super::placement::PlacementQuery;
use super::placement::SegmentPlan;
use super::prefix::BLOCK_TOKENS;

/// The longest prompt, in hundredths of the largest engine's memory.
const GROUP_MAX_PERCENT: u64 = 250;

/// The most engines in a group.
const ENGINES_MAX: usize = 4;

/// When a caller is told to come back if the memory is taken.
const FULL_RETRY: Duration = Duration::from_secs(10);

/// Splits a prompt over the fewest of the engines in `free`, the best first, that have room now; the
/// largest engine has `memory`.
pub(crate) fn plan_group(
    query: &PlacementQuery,
    free: &[(&Candidate, u32)],
    memory: u32,
) -> Placement {
    if u64::from(query.prompt_tokens) * 100 > u64::from(memory) * GROUP_MAX_PERCENT {
        return Placement::Refuse { reason: Reason::PromptTooLong, retry_after: None };
    }
    if free.is_empty() {
        return Placement::Refuse { reason: Reason::NoTarget, retry_after: Some(FULL_RETRY) };
    }
    for count in 2..=ENGINES_MAX {
        let Some(segments) = split(query, free, count) else { continue };
        return Placement::Group(segments);
    }
    Placement::Refuse { reason: Reason::MemoryFull, retry_after: Some(FULL_RETRY) }
}

/// Splits a prompt into `count` near-equal segments on the first engines with room for one each.
fn split(
    query: &PlacementQuery,
    free: &[(&Candidate, u32)],
    count: usize,
) -> Option<Vec<SegmentPlan>> {
    let parts = u32::try_from(count).ok()?;
    let blocks = query.prompt_tokens.div_ceil(BLOCK_TOKENS).div_ceil(parts);
    let size = blocks * BLOCK_TOKENS;
    let room = size.saturating_add(query.output_tokens);
    let fitting = free.iter().filter(|(_, free)| *free >= room).take(count);
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
