//! A server of a service, as published in the list of live servers.

use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::state::ServiceName;
use crate::state::ZoneName;

/// Identifies one start of a server: its published id and its start time.
///
/// A server that restarts under the same id is a different one, without the state of the previous
/// one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerId {
    id: Arc<str>,
    born: u64,
    digest: u32,
}

impl Hash for ServerId {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl ServerId {
    /// Creates the identity of the start at `born`, in Unix milliseconds (0 if it is not published), of
    /// the server with the published id `id`.
    pub fn new(id: impl Into<Arc<str>>, born: u64) -> ServerId {
        let id = id.into();
        let digest = short_digest(&[id.as_bytes(), &born.to_le_bytes()]);
        ServerId { id, born, digest }
    }

    /// Returns the published id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the start time, in Unix milliseconds; 0 if it is not published.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Returns the number that identifies this server in messages between entry hosts.
    ///
    /// ```
    /// use wasabicrank_lib::state::ServerId;
    /// let first = ServerId::new("i-1", 1);
    /// let second = ServerId::new("i-1", 2);
    /// assert_ne!(first.digest(), second.digest());
    /// ```
    pub fn digest(&self) -> u32 {
        self.digest
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
    /// How long it is still cold, from when its entry is received; `None` if the entry does not state it.
    pub cold_left: Option<Duration>,
}
