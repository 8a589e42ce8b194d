//! The border to the source of the configuration and of the list of servers.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::ServerChange;
use crate::state::Catalog;
use crate::state::Moment;
use crate::state::Server;

/// How many updates may wait for the gateway.
pub(crate) const UPDATE_RING: usize = 64;

/// What a source tells the gateway.
#[derive(Debug)]
pub enum FleetUpdate {
    /// A configuration, as a read sent at `sent` returned it.
    Catalog {
        /// The configuration.
        catalog: Box<Catalog>,
        /// When the read was sent.
        sent: Moment,
    },
    /// A read sent at `sent` showed that this version is still the newest.
    CatalogVerified {
        /// The version.
        version: u64,
        /// When the read was sent.
        sent: Moment,
    },
    /// A read sent at this time found no configuration.
    NoCatalog(Moment),
    /// A configuration that cannot be used, and why.
    CatalogRejected(String),
    /// The whole list of servers.
    Servers {
        /// The servers.
        listed: Vec<Server>,
        /// The source's revision up to which the list is complete.
        list_revision: u64,
        /// The revision of the newest of its entries.
        newest_entry: u64,
        /// Whether the source was away before.
        had_outage: bool,
    },
    /// One change of the list.
    Server {
        /// The change.
        change: ServerChange,
        /// The source's revision at which it happened.
        revision: u64,
    },
    /// The list is complete up to this revision of the source.
    ServersProgress(u64),
    /// An entry that names no usable server, and why; the others hold.
    EntrySkipped {
        /// The entry's key.
        key: String,
        /// What is wrong with it.
        fault: String,
    },
    /// The list of servers is read anew, and why.
    WatchEnded(String),
    /// The source no longer answers, and what was seen.
    SourceUnavailable(String),
    /// The source answers again.
    SourceRecovered,
}

/// A task that runs as long as the process.
pub type LocalTask = Pin<Box<dyn Future<Output = ()>>>;

/// When the source is to be read, which the gateway decides: hosts share what they read.
pub trait ReadSchedule {
    /// Returns in how long the configuration is to be read.
    fn catalog_read_in(&self) -> Duration;

    /// Returns how soon a server must get no more requests after the list said that it leaves.
    fn drain_bound(&self) -> Duration;

    /// Returns how long a watch of the list of servers may wait.
    fn watch_wait(&self) -> Duration;

    /// Returns whether the list misses a change that another host knows of.
    fn misses_server_change(&self) -> bool;

    /// Returns how many outages of the source were over so far: what was asked before may never be
    /// answered.
    fn outages(&self) -> u64;

    /// Ends when another answer of this schedule is to be expected.
    fn changed(&self) -> Pin<Box<dyn Future<Output = ()> + '_>>;
}

/// Follows the configuration and the list of servers.
pub trait FleetSource {
    /// Follows the source by `schedule` and sends what it tells to `updates`, until that is closed.
    fn follow(
        self: Box<Self>,
        updates: mpsc::Sender<FleetUpdate>,
        schedule: Rc<dyn ReadSchedule>,
    ) -> LocalTask;
}
