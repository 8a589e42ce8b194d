//! The interface to the source of the configuration and the server list.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::ServerChange;
use crate::state::Catalog;
use crate::state::Moment;
use crate::state::Server;

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
    },
    /// A read showed that this version of the configuration is still the newest.
    CatalogVerified {
        /// The version.
        version: u64,
        /// When the read was sent.
        sent: Moment,
    },
    /// A read sent at this time found no configuration.
    NoCatalog(Moment),
    /// The configuration is invalid, for this reason.
    CatalogRejected(String),
    /// The complete server list.
    Servers {
        /// The servers.
        listed: Vec<Server>,
        /// The source's revision that the list reflects.
        list_revision: u64,
        /// The revision of the list's newest entry.
        newest_entry: u64,
        /// Whether the source was unavailable before this read.
        had_outage: bool,
    },
    /// One change of the server list.
    Server {
        /// The change.
        change: ServerChange,
        /// The source's revision of the change.
        revision: u64,
    },
    /// All changes of the server list up to this revision of the source have been reported.
    ServersProgress(u64),
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

    /// Returns whether the server list lacks a change that another host has seen.
    fn misses_server_change(&self) -> bool;

    /// Returns how many outages of the source have ended. A read sent before the end of an outage may
    /// never be answered.
    fn outages(&self) -> u64;

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
