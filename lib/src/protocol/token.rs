//! Hashes of bearer tokens; the rules and the system never store the tokens themselves.

/// Returns the hash of a bearer token as it appears in the rules.
///
/// ```
/// use wasabicrank_lib::protocol::hash_token;
/// assert_ne!(hash_token("example-token-of-acme"), hash_token("example-token-of-globex"));
/// ```
pub fn hash_token(token: &str) -> [u8; 32] {
    *blake3::hash(token.trim().as_bytes()).as_bytes()
}
