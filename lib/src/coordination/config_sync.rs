//! Which configuration is in force, and how it reaches every entry host.
//!
//! Versions only rise, whatever the service or a peer says later. One reader in each zone watches
//! the service; the others learn from heartbeats that there is more, and pull it from a peer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::config_sync_delta::apply_edits;
use super::config_sync_delta::line_edits;
use super::config_sync_delta::text_hash;
use super::config_sync_reader::ServiceReader;
use super::members::Members;
use super::message::ConfigBody;
use super::message::ConfigPull;
use super::message::ConfigUpdate;
use super::message::PeerMessage;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::Rules;

/// How many earlier texts are kept as bases of deltas.
const KEPT_TEXTS: usize = 4;

/// How long a starting process asks its peers before it believes the service.
pub const START_WAIT: Duration = Duration::from_secs(2);

/// How long an answer to a pull is awaited before another peer may be asked.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often peers are told of a refused configuration while it stands.
const REFUSED_REPEAT: Duration = Duration::from_secs(10);

/// The longest configuration text, in bytes.
pub const MAX_CONFIG_BYTES: usize = 1 << 20;

/// Reads a configuration's text, or says all that is wrong with it.
pub trait RulesParser {
    /// Returns the rules, or the errors as `file:line:column: …`.
    fn parse(&self, version: u64, text: &str) -> Result<Rules, Vec<String>>;
}

impl<F: Fn(u64, &str) -> Result<Rules, Vec<String>>> RulesParser for F {
    fn parse(&self, version: u64, text: &str) -> Result<Rules, Vec<String>> {
        self(version, text)
    }
}

/// What the configuration service answered to a read or watch.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigReadResult {
    /// A version with its text.
    Value { version: u64, text: Arc<str> },
    /// There was nothing newer within the wait.
    Unchanged,
    /// The service's rate is used up.
    RateLimited,
    /// The service did not answer.
    Failed,
}

/// What the spread asks its driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigOutput {
    /// Send a message to another entry host.
    Send { to: HostName, message: PeerMessage },
    /// Call the service once and report with `ConfigSync::on_service`.
    Watch { after: u64, wait: Duration },
    /// These rules are in force from now on.
    InForce(Arc<Rules>),
    /// Something worth telling happened.
    Event(Event),
}

/// A configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Accepted {
    /// Its version.
    pub version: u64,
    /// The hash of its text.
    pub hash: u64,
    /// Its text.
    pub text: Arc<str>,
    /// The rules that the text says.
    pub rules: Arc<Rules>,
    /// When it came into force here.
    pub since: Moment,
}

/// A configuration that was refused.
#[derive(Debug, Clone, PartialEq)]
pub struct Refused {
    /// Its version.
    pub version: u64,
    /// The hash of its text.
    pub hash: u64,
    /// All that is wrong with it.
    pub errors: Vec<String>,
    text: Arc<str>,
}

/// A pull whose answer is awaited.
#[derive(Debug, Clone)]
struct Pull {
    sent: Moment,
}

/// The configuration of one entry host.
pub struct ConfigSync {
    started: Moment,
    parser: Box<dyn RulesParser + Send>,
    reader: ServiceReader,
    accepted: Option<Accepted>,
    refused: Option<Refused>,
    /// Earlier texts, latest last.
    kept: VecDeque<Accepted>,
    pull: Option<Pull>,
    /// What the service said while peers were still being asked.
    held: Option<ConfigReadResult>,
    /// When peers are to be told of the refused configuration next.
    tell_at: Option<Moment>,
}

impl ConfigSync {
    /// Starts with no configuration; `seed` makes the retries of many processes differ.
    ///
    /// ```
    /// use wasabicrank_lib::coordination::ConfigSync;
    /// use wasabicrank_lib::state::{Moment, Rules};
    /// let check = |version, _: &str| Ok(Rules { version, ..Rules::default() });
    /// let spread = ConfigSync::new(Box::new(check), 7, Moment(0));
    /// assert!(spread.accepted().is_none());
    /// ```
    pub fn new(parser: Box<dyn RulesParser + Send>, seed: u64, now: Moment) -> ConfigSync {
        ConfigSync {
            started: now,
            parser,
            reader: ServiceReader::new(seed, now),
            accepted: None,
            refused: None,
            kept: VecDeque::new(),
            pull: None,
            held: None,
            tell_at: None,
        }
    }

    /// Returns the configuration in force.
    pub fn accepted(&self) -> Option<&Accepted> {
        self.accepted.as_ref()
    }

    /// Returns the last refused configuration, if none was accepted since.
    pub fn refused(&self) -> Option<&Refused> {
        self.refused.as_ref()
    }

    /// Returns the version in force; zero is none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |accepted| accepted.version)
    }

    /// Returns the hash of the text in force; zero is none.
    pub fn hash(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |accepted| accepted.hash)
    }

    /// Returns how often the service was called.
    pub fn service_calls(&self) -> u64 {
        self.reader.calls()
    }

    /// Pulls what a peer's heartbeat shows to be newer.
    pub fn on_heartbeat(
        &mut self,
        now: Moment,
        from: &HostName,
        version: u64,
        hash: u64,
    ) -> Vec<ConfigOutput> {
        if version == self.version() && version > 0 && hash != self.hash() {
            return self.report_fork(version, hash);
        }
        let waiting = self.pull.as_ref().is_some_and(|pull| now.since(pull.sent) < PULL_TIMEOUT);
        if version <= self.version() || waiting {
            return Vec::new();
        }
        self.pull = Some(Pull { sent: now });
        let pull = ConfigPull { have: self.version(), have_hash: self.hash() };
        vec![ConfigOutput::Send { to: from.clone(), message: PeerMessage::ConfigPull(pull) }]
    }

    /// Answers a peer's pull with what is in force, if it is newer.
    pub fn on_pull(&self, from: &HostName, pull: &ConfigPull) -> Vec<ConfigOutput> {
        let Some(accepted) = self.accepted.as_ref().filter(|at| at.version > pull.have) else {
            return Vec::new();
        };
        let base = self.kept.iter().find(|old| old.hash == pull.have_hash);
        let base = base.map(|old| old.text.clone());
        vec![send(from, accepted.version, accepted.hash, &accepted.text, base)]
    }

    /// Takes a configuration from a peer in.
    pub fn on_update(
        &mut self,
        now: Moment,
        from: &HostName,
        update: &ConfigUpdate,
    ) -> Vec<ConfigOutput> {
        if update.version <= self.version() {
            return Vec::new();
        }
        self.pull = None;
        let text = match &update.body {
            ConfigBody::Whole(text) => Some(text.clone()),
            ConfigBody::Delta { base, edits } => {
                self.base_text(*base).and_then(|old| apply_edits(&old, edits)).map(Arc::from)
            }
        };
        if let Some(text) = text.filter(|text| text_hash(text) == update.hash) {
            return self.offer(now, update.version, text);
        }
        if matches!(update.body, ConfigBody::Whole(_)) {
            return Vec::new();
        }
        // Without a hash the peer knows no base and sends the whole text.
        let whole = ConfigPull { have: self.version(), have_hash: 0 };
        vec![ConfigOutput::Send { to: from.clone(), message: PeerMessage::ConfigPull(whole) }]
    }

    /// Takes the service's answer in.
    pub fn on_service(
        &mut self,
        now: Moment,
        members: &Members,
        answer: ConfigReadResult,
    ) -> Vec<ConfigOutput> {
        self.reader.on_answer(now, &answer);
        if !self.is_settled(now, members) {
            if matches!(answer, ConfigReadResult::Value { .. }) {
                self.held = Some(answer);
            }
            return Vec::new();
        }
        self.take_value(now, answer)
    }

    /// Calls the service if that is this host's duty, and lets a starting process settle.
    pub fn on_tick(&mut self, now: Moment, members: &Members) -> Vec<ConfigOutput> {
        let mut out = Vec::new();
        if self.is_settled(now, members)
            && let Some(held) = self.held.take()
        {
            out.extend(self.take_value(now, held));
        }
        out.extend(self.tell_refused(now, members));
        let after = self.version().max(self.refused.as_ref().map_or(0, |bad| bad.version));
        out.extend(self.reader.on_tick(now, members, after));
        out
    }

    /// Tells whether enough was heard of peers to believe the service.
    ///
    /// A peer that has a newer version than the service served is asked first.
    fn is_settled(&self, now: Moment, members: &Members) -> bool {
        if now.since(self.started) >= START_WAIT || self.accepted.is_some() {
            return true;
        }
        let mut peers = members.peers().map(|(_, peer)| peer).peekable();
        let some = peers.peek().is_some();
        some && peers.all(|peer| peer.alive && peer.config <= self.version())
    }

    fn take_value(&mut self, now: Moment, answer: ConfigReadResult) -> Vec<ConfigOutput> {
        let ConfigReadResult::Value { version, text } = answer else {
            return Vec::new();
        };
        if version == self.version() && text_hash(&text) != self.hash() {
            return self.report_fork(version, text_hash(&text));
        }
        let out = self.offer(now, version, text);
        if self.refused.as_ref().is_some_and(|bad| bad.version == version) {
            self.tell_at.get_or_insert(now);
        }
        out
    }

    /// Accepts a text whole or refuses it whole; an older version is ignored.
    fn offer(&mut self, now: Moment, version: u64, text: Arc<str>) -> Vec<ConfigOutput> {
        if version <= self.version() {
            return Vec::new();
        }
        let hash = text_hash(&text);
        let known = |bad: &Refused| bad.version == version && bad.hash == hash;
        if self.refused.as_ref().is_some_and(known) {
            return Vec::new();
        }
        let checked = match text.len() <= MAX_CONFIG_BYTES {
            true => self.parser.parse(version, &text),
            false => Err(vec![too_long(text.len())]),
        };
        match checked {
            Ok(rules) => self.accept(now, Rules { version, ..rules }, hash, text),
            Err(errors) => self.refuse(version, hash, text, errors),
        }
    }

    fn accept(
        &mut self,
        now: Moment,
        rules: Rules,
        hash: u64,
        text: Arc<str>,
    ) -> Vec<ConfigOutput> {
        let (version, rules) = (rules.version, Arc::new(rules));
        let next = Accepted { version, hash, text, rules: rules.clone(), since: now };
        if let Some(old) = self.accepted.replace(next) {
            self.kept.push_back(old);
        }
        if self.kept.len() > KEPT_TEXTS {
            self.kept.pop_front();
        }
        if self.refused.as_ref().is_some_and(|bad| bad.version <= version) {
            self.refused = None;
            self.tell_at = None;
        }
        let event = Event::ConfigAccepted { version };
        vec![ConfigOutput::InForce(rules), ConfigOutput::Event(event)]
    }

    fn refuse(
        &mut self,
        version: u64,
        hash: u64,
        text: Arc<str>,
        errors: Vec<String>,
    ) -> Vec<ConfigOutput> {
        // A late copy of an earlier mistake does not hide the latest one.
        if self.refused.as_ref().is_some_and(|bad| bad.version > version) {
            return Vec::new();
        }
        self.refused = Some(Refused { version, hash, errors: errors.clone(), text });
        self.tell_at = None;
        vec![ConfigOutput::Event(Event::ConfigRefused { version, errors })]
    }

    /// Tells the peers of a refused configuration, so that each host can show what is wrong.
    fn tell_refused(&mut self, now: Moment, members: &Members) -> Vec<ConfigOutput> {
        let (Some(at), Some(bad)) = (self.tell_at, &self.refused) else {
            return Vec::new();
        };
        if now < at {
            return Vec::new();
        }
        self.tell_at = Some(now + REFUSED_REPEAT);
        let base = self.accepted.as_ref().map(|accepted| accepted.text.clone());
        let live = members.peers().filter(|(_, peer)| peer.alive);
        live.map(|(to, _)| send(to, bad.version, bad.hash, &bad.text, base.clone())).collect()
    }

    /// Keeps the first text of a version and says that there was another.
    fn report_fork(&mut self, version: u64, hash: u64) -> Vec<ConfigOutput> {
        let known = |bad: &Refused| bad.version == version && bad.hash == hash;
        if self.refused.as_ref().is_some_and(known) {
            return Vec::new();
        }
        let error = format!("version {version} was published with two different texts");
        self.refuse(version, hash, Arc::from(""), vec![error])
    }

    fn base_text(&self, hash: u64) -> Option<Arc<str>> {
        let all = self.accepted.iter().chain(&self.kept);
        all.into_iter().find(|old| old.hash == hash).map(|old| old.text.clone())
    }
}

fn too_long(len: usize) -> String {
    format!("the text is {len} bytes long: expected at most {MAX_CONFIG_BYTES}")
}

/// Makes an update, as a delta where the base is known and few lines differ.
fn send(
    to: &HostName,
    version: u64,
    hash: u64,
    text: &Arc<str>,
    base: Option<Arc<str>>,
) -> ConfigOutput {
    let edits = base.as_ref().and_then(|base| line_edits(base, text));
    let body = match (base, edits) {
        (Some(base), Some(edits)) => ConfigBody::Delta { base: text_hash(&base), edits },
        _ => ConfigBody::Whole(text.clone()),
    };
    let update = ConfigUpdate { version, hash, body };
    ConfigOutput::Send { to: to.clone(), message: PeerMessage::Config(Box::new(update)) }
}
