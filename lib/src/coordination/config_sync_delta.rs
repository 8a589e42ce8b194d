//! Line deltas between two configuration texts.
//!
//! The search for the shortest edit script is bounded; beyond the bound, sending the whole text is
//! cheaper.

use super::message::LineEdit;
use super::rendezvous::first_u64;

/// The maximum number of lines added and removed in one delta.
const MAX_CHANGED_LINES: usize = 256;

/// Returns the hash that identifies a configuration's text.
///
/// ```
/// use wasabicrank_lib::coordination::text_hash;
/// assert_ne!(text_hash("a\n"), text_hash("b\n"));
/// ```
pub fn text_hash(text: &str) -> u64 {
    first_u64(&blake3::hash(text.as_bytes()))
}

/// Returns the edits that turn `old` into `new`, or `None` if there are too many.
///
/// ```
/// use wasabicrank_lib::coordination::{apply_edits, line_edits};
/// let (old, new) = ("one\ntwo\nthree\n", "one\n2\nthree\nfour\n");
/// let edits = line_edits(old, new).unwrap();
/// assert_eq!(edits.len(), 2);
/// assert_eq!(apply_edits(old, &edits).as_deref(), Some(new));
/// ```
pub fn line_edits(old: &str, new: &str) -> Option<Vec<LineEdit>> {
    let old: Vec<_> = old.split('\n').collect();
    let new: Vec<_> = new.split('\n').collect();
    let start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old_rest, new_rest) = (&old[start..], &new[start..]);
    let end = old_rest.iter().rev().zip(new_rest.iter().rev()).take_while(|(a, b)| a == b).count();
    let old_rest = &old_rest[..old_rest.len() - end];
    let new_rest = &new_rest[..new_rest.len() - end];
    let steps = shortest_edit_script(old_rest, new_rest)?;
    Some(group_steps(&steps, start, new_rest))
}

/// Returns the new text, or `None` if the edits do not fit the old one.
pub fn apply_edits(old: &str, edits: &[LineEdit]) -> Option<String> {
    let lines: Vec<_> = old.split('\n').collect();
    let mut text = Vec::new();
    let mut next = 0;
    for edit in edits {
        let at = usize::try_from(edit.at).ok()?;
        text.extend_from_slice(lines.get(next..at)?);
        text.extend(edit.insert.iter().map(String::as_str));
        next = at.checked_add(usize::try_from(edit.remove).ok()?)?;
    }
    text.extend_from_slice(lines.get(next..)?);
    Some(text.join("\n"))
}

/// One step from the old lines to the new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Keep,
    Remove,
    Insert,
}

/// Finds a shortest edit script with Myers's greedy algorithm.
fn shortest_edit_script(old: &[&str], new: &[&str]) -> Option<Vec<Step>> {
    let offset = MAX_CHANGED_LINES + 1;
    // For each diagonal, the furthest position reached in the old lines.
    let mut reach = vec![0; 2 * offset + 1];
    let mut history = Vec::new();
    for changes in 0..=MAX_CHANGED_LINES {
        history.push(reach[offset - changes..=offset + changes].to_vec());
        for diagonal in (0..=changes).map(|step| offset + 2 * step - changes) {
            let is_insertion = ends_with_insertion(&reach, diagonal, offset, changes);
            let mut x = if is_insertion { reach[diagonal + 1] } else { reach[diagonal - 1] + 1 };
            while let Some(y) = (x + offset).checked_sub(diagonal)
                && x < old.len()
                && y < new.len()
                && old[x] == new[y]
            {
                x += 1;
            }
            reach[diagonal] = x;
            if x >= old.len() && x + offset >= diagonal + new.len() {
                return Some(trace_back(&history, old.len(), new.len()));
            }
        }
    }
    None
}

/// Returns whether the furthest path to `diagonal` ends with an insertion.
fn ends_with_insertion(reach: &[usize], diagonal: usize, offset: usize, changes: usize) -> bool {
    let lowest = diagonal + changes == offset;
    let highest = diagonal == offset + changes;
    lowest || (!highest && reach[diagonal - 1] < reach[diagonal + 1])
}

/// Reconstructs the steps by tracing the search back from the end of both texts.
fn trace_back(history: &[Vec<usize>], old: usize, new: usize) -> Vec<Step> {
    let (mut x, mut y) = (old, new);
    let mut steps = Vec::new();
    for (changes, reach) in history.iter().enumerate().rev() {
        if changes == 0 {
            break;
        }
        // `reach` holds the diagonals from `-changes` to `changes` as they were before this round.
        let offset = changes;
        let diagonal = offset + x - y;
        let is_insertion = ends_with_insertion(reach, diagonal, offset, changes);
        let previous = if is_insertion { diagonal + 1 } else { diagonal - 1 };
        let from_x = reach[previous];
        let from_y = from_x + offset - previous;
        let (to_x, to_y) = if is_insertion { (from_x, from_y + 1) } else { (from_x + 1, from_y) };
        steps.extend(std::iter::repeat_n(Step::Keep, x - to_x));
        debug_assert_eq!(x - to_x, y - to_y);
        steps.push(if is_insertion { Step::Insert } else { Step::Remove });
        (x, y) = (from_x, from_y);
    }
    steps.extend(std::iter::repeat_n(Step::Keep, x));
    steps.reverse();
    steps
}

/// Merges consecutive changes into edits.
fn group_steps(steps: &[Step], start: usize, new: &[&str]) -> Vec<LineEdit> {
    let mut edits: Vec<LineEdit> = Vec::new();
    let (mut x, mut y) = (start, 0);
    let mut open = false;
    for step in steps {
        if *step == Step::Keep {
            open = false;
            x += 1;
            y += 1;
            continue;
        }
        if !open {
            let at = u32::try_from(x).unwrap_or(u32::MAX);
            edits.push(LineEdit { at, remove: 0, insert: Vec::new() });
            open = true;
        }
        let Some(edit) = edits.last_mut() else {
            continue;
        };
        if *step == Step::Remove {
            edit.remove += 1;
            x += 1;
        } else {
            edit.insert.push(new[y].to_owned());
            y += 1;
        }
    }
    edits
}
