//! The gateway's view of its source: the era that is known, what was read in it, and reads that
//! returned less than was known before.

use super::Gateway;
use crate::state::Moment;
use crate::state::SourceEra;
use crate::state::SourcePoint;

/// A read of the configuration that returned an older version than a host has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OutdatedRead {
    /// When the read was sent.
    pub(crate) sent: Moment,
    /// The newest version that this host or a live peer had then.
    pub(crate) newest: u64,
}

/// What is known of the source.
#[derive(Debug, Default)]
pub(crate) struct SourceView {
    /// The highest era that a response or a peer has stated.
    era: Option<SourceEra>,
    /// The era in which this host last read the configuration, or the first known one.
    read_era: SourceEra,
    rewinds: u64,
    /// The revision up to which the server list is complete, in the known era.
    servers_revision: u64,
    /// The revision of the newest change of the server list, in the known era.
    servers_change: u64,
    /// Whether the server list has not been read since the last rewind.
    pub(crate) awaits_list: bool,
    /// The revision up to which entries may be those of the older copy, after a rewind.
    pub(crate) copied_revision: Option<u64>,
    pub(crate) outdated_read: Option<OutdatedRead>,
}

impl SourceView {
    /// Returns whether the configuration has not been read in the known era.
    pub(crate) fn is_unread(&self) -> bool {
        self.era.is_some_and(|era| era > self.read_era)
    }

    fn observe(&mut self, era: SourceEra) -> bool {
        let Some(known) = self.era else {
            self.era = Some(era);
            self.read_era = era;
            return true;
        };
        if era > known {
            self.era = Some(era);
            self.rewinds += 1;
            self.servers_revision = 0;
            self.servers_change = 0;
            self.awaits_list = true;
            self.copied_revision = None;
            self.outdated_read = None;
        }
        era >= known
    }
}

impl Gateway {
    /// Records the era that a response of the source or a peer states; returns whether it is the
    /// newest known one. What an older era states must not be applied.
    ///
    /// On a higher era, the configuration and the server list count as unread.
    pub fn observe_source_era(&mut self, era: SourceEra) -> bool {
        self.source.observe(era)
    }

    /// Returns the newest known era of the source; 0 if none is known.
    pub fn source_era(&self) -> SourceEra {
        self.source.era.unwrap_or_default()
    }

    /// Returns how often the era of the source was seen to rise.
    pub fn source_rewinds(&self) -> u64 {
        self.source.rewinds
    }

    /// Records that the configuration was read in `era`; returns the era of the read before if the
    /// source was restored since.
    pub fn record_catalog_read(&mut self, era: SourceEra) -> Option<SourceEra> {
        let before = self.source.read_era;
        (era > before).then(|| {
            self.source.read_era = era;
            before
        })
    }

    /// Returns whether a peer knows of a server list change that this host has not received.
    pub fn misses_server_change(&self, now: Moment) -> bool {
        let revision = self.source.servers_revision;
        self.peers.newest_server_change(now) > SourcePoint { era: self.source_era(), revision }
    }

    /// Records that the server list is complete up to the source's revision `list_revision` of the
    /// known era, and the revision of its newest change.
    pub fn record_server_revisions(&mut self, list_revision: u64, change: Option<u64>) {
        let source = &mut self.source;
        source.servers_revision = source.servers_revision.max(list_revision);
        source.servers_change = source.servers_change.max(change.unwrap_or(0));
    }

    pub(crate) fn servers_change(&self) -> SourcePoint {
        SourcePoint { era: self.source_era(), revision: self.source.servers_change }
    }

    /// Returns the newest server list change that a peer states. A peer of an older build states no
    /// era; its revision is comparable as long as the source was not restored.
    pub(crate) fn comparable_change(&self, change: SourcePoint) -> SourcePoint {
        match change.era == SourceEra::default() && self.source.rewinds == 0 {
            true => SourcePoint { era: self.source_era(), ..change },
            false => change,
        }
    }

    pub(crate) fn record_outdated_read(&mut self, sent: Moment) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version());
        let newest = self.peers.newest_version(sent).max(version);
        self.source.outdated_read = Some(OutdatedRead { sent, newest });
    }
}
