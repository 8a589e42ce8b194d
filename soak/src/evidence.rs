//! What callers and servers saw, with times; the checks are made from nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use wasabicrank_testutils::server::lock;

/// Milliseconds since the soak began.
pub(crate) type Millis = u64;

/// The kinds of routes that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// A stream that may be resumed.
    Stream,
    /// A stream that must not run twice.
    SingleStream,
    /// A resumable stream whose prompt no engine holds alone.
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

    /// Returns how long callers wait, which is also the route's time.
    pub(crate) fn patience(self) -> Duration {
        match self {
            Kind::LongStream => Duration::from_secs(12),
            Kind::Stream | Kind::SingleStream => Duration::from_secs(6),
            Kind::Once | Kind::Often => Duration::from_millis(1_500),
        }
    }
}

/// How a request ended at its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// With this status; a success that is marked whole was complete and right.
    Answered { status: u16, is_whole: bool },
    /// The connection ended without a complete answer.
    Broken,
    /// The caller left.
    Left,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) kind: Option<Kind>,
    pub(crate) path: String,
    pub(crate) host: usize,
    /// The start of the host's process.
    pub(crate) start: u64,
    pub(crate) key: String,
    pub(crate) at: Millis,
    pub(crate) end: Option<(Millis, End)>,
}

/// A request as a server saw it.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) request: String,
    pub(crate) server: String,
    pub(crate) service: String,
    pub(crate) customer: Option<String>,
    pub(crate) has_key: bool,
    pub(crate) patience: Option<u64>,
    pub(crate) at: Millis,
    /// Whether the server declined: it did not run and never will.
    pub(crate) is_declined: bool,
}

/// What is disturbed, and so excuses what depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Scope {
    Host(usize),
    /// The way between a host and the store.
    StoreOf(usize),
    /// The store, for all.
    Store,
    Server(usize),
}

/// All that was seen.
#[derive(Default)]
pub(crate) struct Seen {
    pub(crate) sent: HashMap<String, Sent>,
    pub(crate) runs: Vec<Run>,
    /// Disturbances with their beginning and end.
    pub(crate) disturbed: Vec<(Scope, Millis, Millis)>,
    /// When the leaving of a server was in the store, by the server's id.
    pub(crate) left: HashMap<String, Millis>,
    /// When a key's removal was in the store.
    pub(crate) revoked: HashMap<String, Millis>,
    /// When a route was in the store, by its path.
    pub(crate) added: HashMap<String, Millis>,
    /// Planned stops: the host, its start, when it was told, and when it ended, if it did in time.
    pub(crate) stops: Vec<(usize, u64, Millis, Option<Millis>)>,
    pub(crate) broken: Vec<String>,
}

impl Seen {
    /// Returns whether nothing of `scopes` was disturbed from `from` to `to`.
    pub(crate) fn is_calm(&self, scopes: &[Scope], from: Millis, to: Millis) -> bool {
        !self
            .disturbed
            .iter()
            .any(|(scope, begin, end)| scopes.contains(scope) && *begin <= to && *end >= from)
    }
}

/// The evidence, shared by all that take part.
#[derive(Clone)]
pub(crate) struct Evidence {
    begun: Instant,
    seen: Arc<Mutex<Seen>>,
}

impl Evidence {
    pub(crate) fn new() -> Evidence {
        Evidence { begun: Instant::now(), seen: Arc::default() }
    }

    pub(crate) fn now(&self) -> Millis {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub(crate) fn seen(&self) -> MutexGuard<'_, Seen> {
        lock(&self.seen)
    }

    /// Notes that a promise was broken.
    pub(crate) fn break_promise(&self, text: String) {
        let now = self.now();
        self.seen().broken.push(format!("{now} ms: {text}"));
    }
}
