//! A server of a service, as the list of live servers names it.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::state::ServiceName;
use crate::state::ZoneName;

/// One start of one server: its published id and when it started.
///
/// A server that starts again under the same id is another one, which holds nothing of before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId {
    /// The published id.
    pub id: Arc<str>,
    /// When it started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
}

impl ServerId {
    /// Returns a number that stands for this server in messages between entry hosts.
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

/// Returns the first bytes of a hash, for messages in which a rare collision does little harm.
pub(crate) fn short_digest(parts: &[&[u8]]) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut first = [0; 4];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..4]);
    u32::from_le_bytes(first)
}

/// A server that takes requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Which start of which server.
    pub id: ServerId,
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new requests.
    pub draining: bool,
}
