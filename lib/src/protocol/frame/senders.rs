//! Tracks the latest known incarnation of each sending host.
//!
//! A process that was suspended and replaced may resume and continue to send; its frames are
//! dropped once a frame of a later incarnation of the same host has been received. Incarnations
//! are ordered by the wall-clock time at which they started. A host whose clock was set back is
//! accepted again once the later incarnation has been silent for [`INCARNATION_TIMEOUT`].
//!
//! While no list of entry hosts is known, any host that has the fleet key is accepted.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::Moment;
use crate::state::WallTime;

use super::FrameError;
use super::Sender;

/// How long earlier incarnations stay rejected after the latest one was last heard from.
pub const INCARNATION_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct LatestIncarnation {
    incarnation: Incarnation,
    started: WallTime,
    last_heard: Moment,
}

/// Maximum number of hosts that are tracked while no list of entry hosts is known.
const MAX_UNLISTED_HOSTS: usize = 4096;

/// The latest known incarnation of each entry host.
///
/// ```
/// use wasabicrank_lib::protocol::{FrameError, Sender, SenderTable};
/// use wasabicrank_lib::state::{HostName, Incarnation, Moment, WallTime};
/// let host = HostName::new("entry-1");
/// let old = Sender { host: host.clone(), incarnation: Incarnation(9), started: WallTime(100) };
/// let new = Sender { host: host.clone(), incarnation: Incarnation(4), started: WallTime(200) };
/// let mut senders = SenderTable::default();
/// senders.set_known([host]);
/// assert_eq!(senders.observe(&old, Moment(1)), Ok(()));
/// assert_eq!(senders.observe(&new, Moment(2)), Ok(()));
/// assert_eq!(senders.observe(&old, Moment(3)), Err(FrameError::OldIncarnation));
/// ```
#[derive(Debug, Default)]
pub struct SenderTable {
    hosts: HashMap<HostName, Option<LatestIncarnation>>,
    has_list: bool,
}

impl SenderTable {
    /// Sets the published entry hosts to `known` and forgets all others.
    pub fn set_known(&mut self, known: impl IntoIterator<Item = HostName>) {
        let mut previous = std::mem::take(&mut self.hosts);
        for host in known {
            let latest = previous.remove(&host).flatten();
            self.hosts.insert(host, latest);
        }
        self.has_list = true;
    }

    /// Records an authenticated frame from `sender`, or returns why it is dropped.
    pub fn observe(&mut self, sender: &Sender, now: Moment) -> Result<(), FrameError> {
        if !self.has_list && self.hosts.len() < MAX_UNLISTED_HOSTS {
            self.hosts.entry(sender.host.clone()).or_default();
        }
        let entry = self.hosts.get_mut(&sender.host).ok_or(FrameError::UnknownSender)?;
        if let Some(latest) = entry
            && latest.incarnation != sender.incarnation
            && latest.order_key() > (sender.started, sender.incarnation)
            && now.since(latest.last_heard) < INCARNATION_TIMEOUT
        {
            return Err(FrameError::OldIncarnation);
        }
        let (incarnation, started) = (sender.incarnation, sender.started);
        *entry = Some(LatestIncarnation { incarnation, started, last_heard: now });
        Ok(())
    }
}

impl LatestIncarnation {
    fn order_key(&self) -> (WallTime, Incarnation) {
        (self.started, self.incarnation)
    }
}
