//! Token counts, block hashes and answer texts of the stand-ins' prompts and answers.

/// Bytes of text per token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 1_024;

/// Bytes of text per block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;

/// Returns the number of tokens of `text`: four bytes each, rounded up.
///
/// ```
/// assert_eq!(wasabicrank_testutils::text::token_count("Where is my file?"), 5);
/// ```
pub fn token_count(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// A running hash of text, which determines block hashes and the answer.
///
/// It continues across the segments of a split prompt, so that their hashes and answer equal those
/// of the whole prompt.
#[derive(Debug, Clone, Default)]
pub struct TextHash {
    hasher: blake3::Hasher,
    bytes: usize,
}

impl TextHash {
    /// Appends `text` and returns the hash at each block boundary within it.
    pub fn read(&mut self, text: &str) -> Vec<u64> {
        let mut blocks = Vec::with_capacity(text.len() / BLOCK_BYTES + 1);
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let left = BLOCK_BYTES - self.bytes % BLOCK_BYTES;
            let (part, after) = rest.split_at(left.min(rest.len()));
            self.hasher.update(part);
            self.bytes += part.len();
            if self.bytes.is_multiple_of(BLOCK_BYTES) {
                blocks.push(self.value());
            }
            rest = after;
        }
        blocks
    }

    /// Returns the hash of all text so far.
    pub fn value(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(first)
    }
}

/// Returns the text of answer token `index` for the prompt whose text has `hash`.
pub fn answer_token(hash: u64, index: u32) -> [u8; TOKEN_BYTES] {
    let mixed = mix(hash ^ mix(u64::from(index)));
    let letter = |shift: u32| b'a' + ((mixed >> shift) % 26) as u8;
    [letter(0), letter(16), letter(32), b' ']
}

/// Returns the text of `count` answer tokens starting at `offset`.
pub fn answer_text(hash: u64, offset: u32, count: u32) -> String {
    let mut text = Vec::with_capacity(count as usize * TOKEN_BYTES);
    for index in offset..offset.saturating_add(count) {
        text.extend_from_slice(&answer_token(hash, index));
    }
    String::from_utf8(text).expect("tokens are ASCII")
}

/// Returns the first `tokens` answer tokens that every engine generates for `prompt`.
///
/// ```
/// use wasabicrank_testutils::text::expected_answer;
/// let whole = expected_answer("Where is my file?", 8);
/// assert!(whole.starts_with(&expected_answer("Where is my file?", 3)));
/// assert_ne!(whole, expected_answer("Where is my seat?", 8));
/// ```
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    let mut hash = TextHash::default();
    hash.read(prompt);
    answer_text(hash.value(), 0, tokens)
}

/// Spreads the bits of `value` (the finaliser of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
