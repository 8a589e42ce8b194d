//! Bearer tokens, of which the rules and the system hold only hashes.

/// Returns the hash under which the rules know a bearer token.
///
/// ```
/// use wasabicrank_lib::protocol::hash_token;
/// assert_ne!(hash_token("example-token-of-acme"), hash_token("example-token-of-globex"));
/// ```
pub fn hash_token(token: &str) -> [u8; 32] {
    *blake3::hash(token.trim().as_bytes()).as_bytes()
}
