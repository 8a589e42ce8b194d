//! What callers and servers observed, with times; the checks use no other evidence.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use wasabicrank_testutils::server::lock;

use crate::evacuations::Evacuation;
use crate::limits::NamedLimit;

/// Milliseconds since the soak began.
pub(crate) type Millis = u64;

/// The kinds of routes that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// A stream that may be resumed.
    Stream,
    /// A stream that must not run twice.
    SingleStream,
    /// A resumable stream whose prompt does not fit into the memory of one engine.
    LongStream,
    /// A call that must not run twice.
    Once,
    /// A call that may be repeated.
    Often,
}

impl Kind {
    pub(crate) const ALL: [Kind; 5] =
        [Kind::Stream, Kind::SingleStream, Kind::LongStream, Kind::Once, Kind::Often];

    /// Returns the route's name, which is also the first part of its path.
    pub(crate) fn route(self) -> &'static str {
        match self {
            Kind::Stream => "stream",
            Kind::SingleStream => "single",
            Kind::LongStream => "long",
            Kind::Once => "once",
            Kind::Often => "often",
        }
    }

    /// Returns the kind of a path's route; probes of other routes have none.
    pub(crate) fn of_path(path: &str) -> Option<Kind> {
        let first = path.split('/').nth(1)?;
        Kind::ALL.into_iter().find(|kind| kind.route() == first)
    }

    pub(crate) fn may_repeat(self) -> bool {
        matches!(self, Kind::Stream | Kind::LongStream | Kind::Often)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::SingleStream | Kind::LongStream)
    }

    /// Returns how long callers wait, which is also the route's timeout.
    pub(crate) fn timeout(self) -> Duration {
        match self {
            Kind::LongStream => Duration::from_secs(12),
            Kind::Stream | Kind::SingleStream => Duration::from_secs(6),
            Kind::Once | Kind::Often => Duration::from_millis(1_500),
        }
    }
}

/// How a request ended at its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Answered with this status; a success is marked whole if it was complete and correct.
    Answered { status: u16, is_whole: bool },
    /// The connection ended without a complete response.
    Broken,
    /// The caller cancelled the request.
    Left,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) kind: Option<Kind>,
    pub(crate) path: String,
    pub(crate) host: usize,
    /// The start count of the host's process.
    pub(crate) start: u64,
    pub(crate) key: String,
    pub(crate) at: Millis,
    pub(crate) end: Option<(Millis, Outcome)>,
}

/// A request as a server saw it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) server: String,
    pub(crate) service: String,
    /// The ids of the servers that prefill the prompt jointly with `server`.
    pub(crate) helpers: Vec<String>,
    pub(crate) customer: Option<String>,
    pub(crate) has_key: bool,
    pub(crate) patience: Option<u64>,
    pub(crate) at: Millis,
    /// Whether the server declined the request: it was not executed and never will be.
    pub(crate) is_declined: bool,
    /// Whether its prompt crashes the server.
    pub(crate) is_crashing: bool,
    /// The pause that the server asked for when it declined the request.
    pub(crate) pause: Option<Millis>,
    /// The holder of the request's reservations, if it has any.
    pub(crate) holder: Option<String>,
}

/// An order as a server saw it.
#[derive(Debug, Clone)]
pub(crate) struct OrderSeen {
    pub(crate) server: String,
    /// The part of the reservation's name that identifies the process that ordered it.
    pub(crate) holder: String,
    pub(crate) at: Millis,
    /// The pause that the server asked for when it declined the order.
    pub(crate) pause: Option<Millis>,
}

/// What a disturbance affects; checks that depend on it do not apply meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Scope {
    Host(usize),
    /// The link between a host and the store.
    StoreOf(usize),
    /// The store, for all hosts.
    Store,
    Server(usize),
}

/// All observations of a soak.
#[derive(Default)]
pub(crate) struct Observations {
    pub(crate) sent: HashMap<String, Sent>,
    pub(crate) runs: Vec<Run>,
    pub(crate) orders: Vec<OrderSeen>,
    /// When the link of a server was disturbed, by the server's id.
    pub(crate) disturbed_links: Vec<(String, Millis, Millis)>,
    /// Disturbances with their beginning and end.
    pub(crate) disturbed: Vec<(Scope, Millis, Millis)>,
    /// When a server's departure was written to the store, by the server's id.
    pub(crate) left: HashMap<String, Millis>,
    /// When a caller first received a response of a server that stated its leaving, by the server's
    /// id, the host that passed it on, and the start count of the host's process.
    pub(crate) passed_on: HashMap<(String, usize, u64), Millis>,
    /// When a key's revocation was written to the store.
    pub(crate) revoked: HashMap<String, Millis>,
    /// When a route was written to the store, by its path.
    pub(crate) added: HashMap<String, Millis>,
    /// When the store was restored from an older copy.
    pub(crate) rewinds: Vec<Millis>,
    /// Planned stops: the host, its start count, when it was signalled, and when it exited, if in time.
    pub(crate) stops: Vec<(usize, u64, Millis, Option<Millis>)>,
    /// The limits that servers named.
    pub(crate) limits: Vec<NamedLimit>,
    /// The times for which zones were evacuated.
    pub(crate) evacuations: Vec<Evacuation>,
    /// The engines that crash now because of a prompt, and when such crashes happened.
    pub(crate) crashing: Vec<String>,
    pub(crate) crashes: Vec<Millis>,
    pub(crate) violations: Vec<String>,
}

impl Observations {
    /// Returns whether the link to `server` was not disturbed from `from` to `to`.
    pub(crate) fn is_link_sound(&self, server: &str, from: Millis, to: Millis) -> bool {
        !self
            .disturbed_links
            .iter()
            .any(|(one, begin, end)| one == server && *begin <= to && *end >= from)
    }

    /// Returns whether nothing of `scopes` was disturbed from `from` to `to`.
    pub(crate) fn is_undisturbed(&self, scopes: &[Scope], from: Millis, to: Millis) -> bool {
        !self
            .disturbed
            .iter()
            .any(|(scope, begin, end)| scopes.contains(scope) && *begin <= to && *end >= from)
    }
}

/// The observations, shared by all components.
#[derive(Clone)]
pub(crate) struct Evidence {
    begun: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Evidence {
    pub(crate) fn new() -> Evidence {
        Evidence { begun: Instant::now(), observations: Arc::default() }
    }

    pub(crate) fn now(&self) -> Millis {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, Observations> {
        lock(&self.observations)
    }

    /// Records the violation of a guarantee.
    pub(crate) fn record_violation(&self, text: String) {
        let now = self.now();
        self.observations().violations.push(format!("{now} ms: {text}"));
    }
}
