//! A server of a service, as published in the list of live servers.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::state::ServiceName;
use crate::state::ZoneName;

/// Identifies one start of a server: its published id and its start time.
///
/// A server that restarts under the same id is a different one, without the state of the previous
/// one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId {
    /// The published id.
    pub id: Arc<str>,
    /// The start time, in Unix milliseconds; 0 if it is not published.
    pub born: u64,
}

impl ServerId {
    /// Returns the number that identifies this server in messages between entry hosts.
    ///
    /// ```
    /// use wasabicrank_lib::state::ServerId;
    /// let first = ServerId { id: "i-1".into(), born: 1 };
    /// let second = ServerId { id: "i-1".into(), born: 2 };
    /// assert_ne!(first.digest(), second.digest());
    /// ```
    pub fn digest(&self) -> u32 {
        short_digest(&[self.id.as_bytes(), &self.born.to_le_bytes()])
    }
}

/// Returns the first four bytes of a hash, for messages in which a rare collision does little harm.
pub(crate) fn short_digest(parts: &[&[u8]]) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(first)
}

/// A server that accepts requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its id and start.
    pub id: ServerId,
    /// The service that it runs.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
}
