//! Which start of each host is the latest that was heard.
//!
//! A process that was frozen and replaced may wake up and go on sending; its frames are dropped
//! once a later start of the same host has been heard. Starts are ordered by the wall clock at
//! which they began. A host whose clock was set back is accepted again once the later start has
//! been silent for [`SENDER_MEMORY`].
//!
//! While no list of entry hosts is known, any host that has the fleet's key is heard.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::Moment;
use crate::state::WallTime;

use super::FrameError;
use super::Sender;

/// How long the latest start of a silent host bars earlier ones.
pub const SENDER_MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy)]
struct Latest {
    incarnation: Incarnation,
    started: WallTime,
    heard: Moment,
}

/// The most hosts that are remembered while no list of entry hosts is known.
const MAX_UNLISTED: usize = 4096;

/// The latest start heard of each entry host.
///
/// ```
/// use wasabicrank_lib::protocol::{FrameError, Sender, SenderTable};
/// use wasabicrank_lib::state::{HostName, Incarnation, Moment, WallTime};
/// let host = HostName::new("entry-1");
/// let old = Sender { host: host.clone(), incarnation: Incarnation(9), started: WallTime(100) };
/// let new = Sender { host: host.clone(), incarnation: Incarnation(4), started: WallTime(200) };
/// let mut senders = SenderTable::default();
/// senders.set_known([host]);
/// assert_eq!(senders.hear(&old, Moment(1)), Ok(()));
/// assert_eq!(senders.hear(&new, Moment(2)), Ok(()));
/// assert_eq!(senders.hear(&old, Moment(3)), Err(FrameError::OldIncarnation));
/// ```
#[derive(Debug, Default)]
pub struct SenderTable {
    hosts: HashMap<HostName, Option<Latest>>,
    listed: bool,
}

impl SenderTable {
    /// Takes `known` as the published entry hosts and forgets all others.
    pub fn set_known(&mut self, known: impl IntoIterator<Item = HostName>) {
        let mut old = std::mem::take(&mut self.hosts);
        for host in known {
            let latest = old.remove(&host).flatten();
            self.hosts.insert(host, latest);
        }
        self.listed = true;
    }

    /// Notes that something with a right tag came from `sender`, or says why it is dropped.
    pub fn hear(&mut self, sender: &Sender, now: Moment) -> Result<(), FrameError> {
        if !self.listed && self.hosts.len() < MAX_UNLISTED {
            self.hosts.entry(sender.host.clone()).or_default();
        }
        let slot = self.hosts.get_mut(&sender.host).ok_or(FrameError::UnknownSender)?;
        if let Some(latest) = slot
            && latest.incarnation != sender.incarnation
            && latest.order() > (sender.started, sender.incarnation)
            && now.since(latest.heard) < SENDER_MEMORY
        {
            return Err(FrameError::OldIncarnation);
        }
        let (incarnation, started) = (sender.incarnation, sender.started);
        *slot = Some(Latest { incarnation, started, heard: now });
        Ok(())
    }
}

impl Latest {
    fn order(&self) -> (WallTime, Incarnation) {
        (self.started, self.incarnation)
    }
}
