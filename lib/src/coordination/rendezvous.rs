//! Rendezvous hashing: every entry host ranks the same hosts for a key in the same order.
//!
//! When a host joins or leaves, only the keys for which it ranks first move.

use crate::state::HostName;

/// Returns the weight of `host` for `key`; the highest weight ranks first.
fn weight(key: &str, host: &HostName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(host.as_str().as_bytes());
    first_u64(&hasher.finalize())
}

/// Returns the first eight bytes of a BLAKE3 hash as a little-endian number.
pub(crate) fn first_u64(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns `hosts` in descending order of preference for `key`.
///
/// ```
/// use wasabicrank_lib::coordination::rank;
/// use wasabicrank_lib::state::HostName;
/// let hosts = ["a", "b", "c"].map(HostName::new);
/// let all = rank("shard-3", &hosts);
/// let without_first = rank("shard-3", all[1..].iter().copied());
/// assert_eq!(without_first, all[1..]);
/// ```
pub fn rank<'a>(key: &str, hosts: impl IntoIterator<Item = &'a HostName>) -> Vec<&'a HostName> {
    let mut weighted: Vec<_> = hosts.into_iter().map(|host| (weight(key, host), host)).collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, host)| host).collect()
}

/// Returns the host that ranks first for `key`.
pub fn first_ranked<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostName>,
) -> Option<&'a HostName> {
    hosts.into_iter().max_by_key(|host| (weight(key, host), *host))
}
