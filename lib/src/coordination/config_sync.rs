//! Configuration sync: determines the configuration in force and distributes it to all entry hosts.
//!
//! The version in force only increases, even if the service or a peer later offers an older one.
//! One reader in each zone watches the configuration service; the other hosts learn of a newer
//! version from heartbeats and pull it from a peer.

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

/// The number of earlier texts kept as bases for deltas.
const MAX_KEPT_TEXTS: usize = 4;

/// How long a starting process waits for its peers before it trusts the service.
pub const STARTUP_PEER_WAIT: Duration = Duration::from_secs(2);

/// How long to wait for the answer to a pull before sending another.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a refused configuration is sent to the peers until it is superseded.
const REFUSAL_RESEND_INTERVAL: Duration = Duration::from_secs(10);

/// The maximum length of a configuration text, in bytes.
pub const MAX_CONFIG_BYTES: usize = 1 << 20;

/// Parses the text of a configuration.
pub trait RulesParser {
    /// Returns the rules, or all errors as `file:line:column: …`.
    fn parse(&self, version: u64, text: &str) -> Result<Rules, Vec<String>>;
}

impl<F: Fn(u64, &str) -> Result<Rules, Vec<String>>> RulesParser for F {
    fn parse(&self, version: u64, text: &str) -> Result<Rules, Vec<String>> {
        self(version, text)
    }
}

/// The result of a read or watch at the configuration service.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigReadResult {
    /// A version of the configuration with its text.
    Value { version: u64, text: Arc<str> },
    /// No newer version was published within the wait.
    Unchanged,
    /// The service's rate limit was exceeded.
    RateLimited,
    /// The service did not answer.
    Failed,
}

/// An action for the driver of the configuration sync.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigOutput {
    /// Send a message to another entry host.
    Send { to: HostName, message: PeerMessage },
    /// Call the service once and report the result to `ConfigSync::on_read_result`.
    Read { after: u64, wait: Duration },
    /// Put these rules in force.
    Apply(Arc<Rules>),
    /// Record an event.
    Event(Event),
}

/// A configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptedConfig {
    /// Its version.
    pub version: u64,
    /// The hash of its text.
    pub hash: u64,
    /// Its text.
    pub text: Arc<str>,
    /// The rules parsed from the text.
    pub rules: Arc<Rules>,
    /// When it came into force at this host.
    pub since: Moment,
}

/// A configuration that was refused.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedConfig {
    /// Its version.
    pub version: u64,
    /// The hash of its text.
    pub hash: u64,
    /// All errors in it.
    pub errors: Vec<String>,
    text: Arc<str>,
}

/// A pull that waits for an answer.
#[derive(Debug, Clone)]
struct PendingPull {
    sent: Moment,
}

/// The configuration state of one entry host.
pub struct ConfigSync {
    started: Moment,
    parser: Box<dyn RulesParser + Send>,
    reader: ServiceReader,
    accepted: Option<AcceptedConfig>,
    refused: Option<RefusedConfig>,
    /// Earlier configurations in force, latest last.
    earlier: VecDeque<AcceptedConfig>,
    pull: Option<PendingPull>,
    /// A service result received before the startup wait for peers has ended.
    deferred_result: Option<ConfigReadResult>,
    /// When the refused configuration is next sent to the peers.
    resend_at: Option<Moment>,
}

impl ConfigSync {
    /// Creates the state without a configuration; `seed` varies the retry times between processes.
    ///
    /// ```
    /// use wasabicrank_lib::coordination::ConfigSync;
    /// use wasabicrank_lib::state::{Moment, Rules};
    /// let parser = |version, _: &str| Ok(Rules { version, ..Rules::default() });
    /// let sync = ConfigSync::new(Box::new(parser), 7, Moment(0));
    /// assert!(sync.accepted().is_none());
    /// ```
    pub fn new(parser: Box<dyn RulesParser + Send>, seed: u64, now: Moment) -> ConfigSync {
        ConfigSync {
            started: now,
            parser,
            reader: ServiceReader::new(seed, now),
            accepted: None,
            refused: None,
            earlier: VecDeque::new(),
            pull: None,
            deferred_result: None,
            resend_at: None,
        }
    }

    /// Returns the configuration in force.
    pub fn accepted(&self) -> Option<&AcceptedConfig> {
        self.accepted.as_ref()
    }

    /// Returns the latest refused configuration, unless one of its version or later was accepted
    /// since.
    pub fn refused(&self) -> Option<&RefusedConfig> {
        self.refused.as_ref()
    }

    /// Returns the version in force; zero if none.
    pub fn version(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |accepted| accepted.version)
    }

    /// Returns the hash of the text in force; zero if none.
    pub fn hash(&self) -> u64 {
        self.accepted.as_ref().map_or(0, |accepted| accepted.hash)
    }

    /// Returns the number of calls to the service.
    pub fn service_calls(&self) -> u64 {
        self.reader.calls()
    }

    /// Pulls the configuration from a peer whose heartbeat announces a newer version.
    pub fn on_heartbeat(
        &mut self,
        now: Moment,
        from: &HostName,
        version: u64,
        hash: u64,
    ) -> Vec<ConfigOutput> {
        if version == self.version() && version > 0 && hash != self.hash() {
            return self.report_conflict(version, hash);
        }
        let is_waiting = self.pull.as_ref().is_some_and(|pull| now.since(pull.sent) < PULL_TIMEOUT);
        if version <= self.version() || is_waiting {
            return Vec::new();
        }
        self.pull = Some(PendingPull { sent: now });
        let pull = ConfigPull { have: self.version(), have_hash: self.hash() };
        vec![ConfigOutput::Send { to: from.clone(), message: PeerMessage::ConfigPull(pull) }]
    }

    /// Answers a peer's pull with the configuration in force, if it is newer.
    pub fn on_pull(&self, from: &HostName, pull: &ConfigPull) -> Vec<ConfigOutput> {
        let Some(accepted) = self.accepted.as_ref().filter(|accepted| accepted.version > pull.have)
        else {
            return Vec::new();
        };
        let base = self.earlier.iter().find(|old| old.hash == pull.have_hash);
        let base = base.map(|old| old.text.clone());
        vec![send(from, accepted.version, accepted.hash, &accepted.text, base)]
    }

    /// Handles a configuration from a peer.
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
                self.find_text(*base).and_then(|old| apply_edits(&old, edits)).map(Arc::from)
            }
        };
        if let Some(text) = text.filter(|text| text_hash(text) == update.hash) {
            return self.apply_text(now, update.version, text);
        }
        if matches!(update.body, ConfigBody::Whole(_)) {
            return Vec::new();
        }
        // With hash zero the peer finds no base for a delta and sends the whole text.
        let whole = ConfigPull { have: self.version(), have_hash: 0 };
        vec![ConfigOutput::Send { to: from.clone(), message: PeerMessage::ConfigPull(whole) }]
    }

    /// Handles the result of a call to the service.
    pub fn on_read_result(
        &mut self,
        now: Moment,
        members: &Members,
        result: ConfigReadResult,
    ) -> Vec<ConfigOutput> {
        self.reader.on_result(now, &result);
        if !self.may_trust_service(now, members) {
            if matches!(result, ConfigReadResult::Value { .. }) {
                self.deferred_result = Some(result);
            }
            return Vec::new();
        }
        self.apply_result(now, result)
    }

    /// Calls the service if this host is due to, and applies a deferred result once the startup
    /// wait for peers has ended.
    pub fn on_tick(&mut self, now: Moment, members: &Members) -> Vec<ConfigOutput> {
        let mut out = Vec::new();
        if self.may_trust_service(now, members)
            && let Some(deferred_result) = self.deferred_result.take()
        {
            out.extend(self.apply_result(now, deferred_result));
        }
        out.extend(self.send_refused(now, members));
        let after = self.version().max(self.refused.as_ref().map_or(0, |refused| refused.version));
        out.extend(self.reader.on_tick(now, members, after));
        out
    }

    /// Returns whether enough peers have reported their version to trust the service.
    ///
    /// A starting process first pulls from peers that have a newer version, because the service may
    /// serve an older one.
    fn may_trust_service(&self, now: Moment, members: &Members) -> bool {
        if now.since(self.started) >= STARTUP_PEER_WAIT || self.accepted.is_some() {
            return true;
        }
        let mut peers = members.peers().map(|(_, peer)| peer).peekable();
        let has_peers = peers.peek().is_some();
        has_peers && peers.all(|peer| peer.alive && peer.config <= self.version())
    }

    fn apply_result(&mut self, now: Moment, result: ConfigReadResult) -> Vec<ConfigOutput> {
        let ConfigReadResult::Value { version, text } = result else {
            return Vec::new();
        };
        if version == self.version() && text_hash(&text) != self.hash() {
            return self.report_conflict(version, text_hash(&text));
        }
        let out = self.apply_text(now, version, text);
        if self.refused.as_ref().is_some_and(|refused| refused.version == version) {
            self.resend_at.get_or_insert(now);
        }
        out
    }

    /// Accepts or refuses a text as a whole; a version that is not newer is ignored.
    fn apply_text(&mut self, now: Moment, version: u64, text: Arc<str>) -> Vec<ConfigOutput> {
        if version <= self.version() {
            return Vec::new();
        }
        let hash = text_hash(&text);
        let same = |refused: &RefusedConfig| refused.version == version && refused.hash == hash;
        if self.refused.as_ref().is_some_and(same) {
            return Vec::new();
        }
        let checked = match text.len() <= MAX_CONFIG_BYTES {
            true => self.parser.parse(version, &text),
            false => Err(vec![too_long_error(text.len())]),
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
        let next = AcceptedConfig { version, hash, text, rules: rules.clone(), since: now };
        if let Some(old) = self.accepted.replace(next) {
            self.earlier.push_back(old);
        }
        if self.earlier.len() > MAX_KEPT_TEXTS {
            self.earlier.pop_front();
        }
        if self.refused.as_ref().is_some_and(|refused| refused.version <= version) {
            self.refused = None;
            self.resend_at = None;
        }
        let event = Event::ConfigAccepted { version };
        vec![ConfigOutput::Apply(rules), ConfigOutput::Event(event)]
    }

    fn refuse(
        &mut self,
        version: u64,
        hash: u64,
        text: Arc<str>,
        errors: Vec<String>,
    ) -> Vec<ConfigOutput> {
        // A delayed copy of an earlier refused configuration must not replace the latest one.
        if self.refused.as_ref().is_some_and(|refused| refused.version > version) {
            return Vec::new();
        }
        self.refused = Some(RefusedConfig { version, hash, errors: errors.clone(), text });
        self.resend_at = None;
        vec![ConfigOutput::Event(Event::ConfigRefused { version, errors })]
    }

    /// Sends a refused configuration to the peers, so that each host can show its errors.
    fn send_refused(&mut self, now: Moment, members: &Members) -> Vec<ConfigOutput> {
        let (Some(due), Some(refused)) = (self.resend_at, &self.refused) else {
            return Vec::new();
        };
        if now < due {
            return Vec::new();
        }
        self.resend_at = Some(now + REFUSAL_RESEND_INTERVAL);
        let base = self.accepted.as_ref().map(|accepted| accepted.text.clone());
        let live = members.peers().filter(|(_, peer)| peer.alive);
        live.map(|(to, _)| send(to, refused.version, refused.hash, &refused.text, base.clone()))
            .collect()
    }

    /// Reports that a version was published with a second text; the first one stays in force.
    fn report_conflict(&mut self, version: u64, hash: u64) -> Vec<ConfigOutput> {
        let same = |refused: &RefusedConfig| refused.version == version && refused.hash == hash;
        if self.refused.as_ref().is_some_and(same) {
            return Vec::new();
        }
        let error = format!("version {version} was published with two different texts");
        self.refuse(version, hash, Arc::from(""), vec![error])
    }

    fn find_text(&self, hash: u64) -> Option<Arc<str>> {
        let all = self.accepted.iter().chain(&self.earlier);
        all.into_iter().find(|old| old.hash == hash).map(|old| old.text.clone())
    }
}

fn too_long_error(len: usize) -> String {
    format!("the text is {len} bytes long: expected at most {MAX_CONFIG_BYTES}")
}

/// Creates an update, as a delta if the base is known and few lines differ.
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
