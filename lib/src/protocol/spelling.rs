//! Suggests the known word closest to a misspelt one, for error messages.

/// The maximum number of characters of an unknown word that are compared.
const MAX_COMPARED_CHARS: usize = 64;

/// The maximum edit distance between a misspelt word and a suggestion.
const MAX_EDITS: usize = 2;

/// Returns the word of `known` with the smallest edit distance to `word`, if it is close enough.
pub(crate) fn nearest(
    word: &str,
    known: impl IntoIterator<Item = &'static str>,
) -> Option<&'static str> {
    known
        .into_iter()
        .map(|candidate| (edit_distance(candidate, word), candidate))
        .filter(|(edits, candidate)| *edits <= MAX_EDITS && *edits < candidate.len())
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance from `a` to `b`.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().take(MAX_COMPARED_CHARS).collect();
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
