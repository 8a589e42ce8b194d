//! Finds the known word that an unknown one was meant to be, for messages to operators.

/// The most characters of an unknown word that are compared.
const COMPARED_CHARS: usize = 64;

/// The most edits between a misspelt word and the one that was meant.
const MOST_EDITS: usize = 2;

/// Returns the word among `known` that differs least from `word`, if it is close.
pub(crate) fn nearest(
    word: &str,
    known: impl IntoIterator<Item = &'static str>,
) -> Option<&'static str> {
    known
        .into_iter()
        .map(|candidate| (edit_distance(candidate, word), candidate))
        .filter(|(edits, candidate)| *edits <= MOST_EDITS && *edits < candidate.len())
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns how many characters must be inserted, removed or replaced to turn `a` into `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(COMPARED_CHARS).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
