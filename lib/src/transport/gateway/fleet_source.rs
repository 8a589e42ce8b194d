//! The interface to the source of the configuration and the server list.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::ListedServer;
use crate::coordination::ServerChange;
use crate::coordination::ZoneEvent;
use crate::state::Catalog;
use crate::state::Moment;
use crate::state::SourceEra;
use crate::state::SourcePoint;
use crate::state::ZoneName;

/// How many updates may be queued for the gateway.
pub(crate) const UPDATE_QUEUE_LEN: usize = 64;

/// An update from a fleet source.
#[derive(Debug)]
pub enum FleetUpdate {
    /// A configuration that was read.
    Catalog {
        /// The configuration.
        catalog: Box<Catalog>,
        /// When the read was sent.
        sent: Moment,
        /// Where it stands in the history of the source.
        point: SourcePoint,
    },
    /// A read showed that this version of the configuration is still the newest.
    CatalogVerified {
        /// The version.
        version: u64,
        /// When the read was sent.
        sent: Moment,
        /// Where it stands in the history of the source.
        point: SourcePoint,
    },
    /// A read found no configuration.
    NoCatalog {
        /// When the read was sent.
        sent: Moment,
        /// The era of the source.
        era: SourceEra,
    },
    /// The configuration is invalid.
    CatalogRejected {
        /// Why it is invalid.
        fault: String,
        /// Where it stands in the history of the source.
        point: SourcePoint,
    },
    /// The complete server list.
    Servers {
        /// The servers.
        listed: Vec<ListedServer>,
        /// The source's revision that the list reflects.
        list_revision: u64,
        /// The revision of the list's newest entry.
        newest_entry: u64,
        /// Whether the source was unavailable before this read.
        had_outage: bool,
        /// The era of the source.
        era: SourceEra,
    },
    /// One change of the server list.
    Server {
        /// The change.
        change: ServerChange,
        /// Where it stands in the history of the source.
        point: SourcePoint,
    },
    /// The complete list of evacuated availability zones.
    Zones {
        /// The zones.
        zones: Vec<ZoneName>,
        /// The point of the source that the list reflects.
        point: SourcePoint,
    },
    /// Evacuations that began or ended.
    ZoneEvents {
        /// The changes, oldest first.
        events: Vec<ZoneEvent>,
        /// The point of the source up to which all changes have been reported.
        point: SourcePoint,
    },
    /// All changes of the server list up to this point of the source have been reported.
    ServersProgress(SourcePoint),
    /// A response of the source states this era, which is higher than the known one.
    EraSeen(SourceEra),
    /// An invalid entry of the server list was skipped; the other entries are used.
    EntrySkipped {
        /// The entry's key.
        key: String,
        /// Why the entry is invalid.
        fault: String,
    },
    /// The watch of the server list ended for this reason; the list is read again.
    WatchEnded(String),
    /// The source does not respond, with the error.
    SourceUnavailable(String),
    /// The source responds again.
    SourceRecovered,
}

impl FleetUpdate {
    /// Returns the era of the source that the update is from.
    ///
    /// ```
    /// use wasabicrank_lib::state::SourceEra;
    /// use wasabicrank_lib::transport::FleetUpdate;
    /// assert_eq!(FleetUpdate::EraSeen(SourceEra(3)).era(), Some(SourceEra(3)));
    /// assert_eq!(FleetUpdate::SourceRecovered.era(), None);
    /// ```
    pub fn era(&self) -> Option<SourceEra> {
        match self {
            FleetUpdate::Catalog { point, .. }
            | FleetUpdate::CatalogVerified { point, .. }
            | FleetUpdate::CatalogRejected { point, .. }
            | FleetUpdate::Server { point, .. }
            | FleetUpdate::Zones { point, .. }
            | FleetUpdate::ZoneEvents { point, .. }
            | FleetUpdate::ServersProgress(point) => Some(point.era),
            FleetUpdate::NoCatalog { era, .. }
            | FleetUpdate::Servers { era, .. }
            | FleetUpdate::EraSeen(era) => Some(*era),
            FleetUpdate::EntrySkipped { .. }
            | FleetUpdate::WatchEnded(_)
            | FleetUpdate::SourceUnavailable(_)
            | FleetUpdate::SourceRecovered => None,
        }
    }
}

/// A task that runs as long as the process.
pub type LocalTask = Pin<Box<dyn Future<Output = ()>>>;

/// The schedule of reads from the source. The gateway decides it, because hosts share what they read.
pub trait ReadSchedule {
    /// Returns the time until the next read of the configuration.
    fn catalog_read_in(&self) -> Duration;

    /// Returns the time limit for a server to get no new requests after it is listed as leaving.
    fn drain_bound(&self) -> Duration;

    /// Returns the timeout for a watch of the server list.
    fn watch_wait(&self) -> Duration;

    /// Returns whether evacuations of availability zones are to be followed.
    fn follows_evacuations(&self) -> bool;

    /// Returns whether the server list lacks a change that another host has seen.
    fn misses_server_change(&self) -> bool;

    /// Returns how many outages of the source have ended. A read sent before the end of an outage may
    /// never be answered.
    fn outages(&self) -> u64;

    /// Returns the newest era of the source that this host or a peer has seen. Responses of an older
    /// era must not be used.
    fn source_era(&self) -> SourceEra;

    /// Completes when the results of the other methods may have changed.
    fn changed(&self) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// A source of the configuration and the server list.
pub trait FleetSource {
    /// Reads and watches the source by `schedule` and sends its updates to `updates` until that closes.
    fn follow(
        self: Box<Self>,
        updates: mpsc::Sender<FleetUpdate>,
        schedule: Rc<dyn ReadSchedule>,
    ) -> LocalTask;
}
