//! Finds the parts of prompts that crash servers, from the crashes and answers that all hosts see.
//!
//! A crash has many suspects: the parts of all prompts that its server may have begun to answer. A part
//! under which answers are written is sound. Of the others, the one that explains the most crashes is
//! isolated, and the crashes that it explains count against no other part.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use super::prompt_part::MAX_PARTS;
use crate::state::AnsweredParts;
use crate::state::Moment;
use crate::state::PartId;

/// The weight of a crash under a request of which no event had come, and of one that had just begun: its
/// answer was written for a while without a crash.
const FULL_WEIGHT: u32 = 2;
const BEGUN_WEIGHT: u32 = 1;
/// The weight at which a part is isolated under which nothing was ever answered. Three crashes may meet
/// the same seldom used part by chance while servers crash for other reasons.
const WEIGHT_OF_NEW_PART: u32 = 3 * FULL_WEIGHT + BEGUN_WEIGHT;
/// The weight since the last answer at which a part is isolated that was sound before.
const WEIGHT_OF_ANSWERED_PART: u32 = 5 * FULL_WEIGHT;
/// The weight for which a part that was never answered stays isolated, or is isolated again after its
/// isolation has lapsed. Crashes that another part explains do not count, so two parts that crash the same
/// servers both stay isolated as long as each has a crash of its own.
const WEIGHT_OF_KNOWN_PART: u32 = BEGUN_WEIGHT;
/// The weight from which a request is not sent again after its server crashed.
const WEIGHT_OF_SUSPECTED_PART: u32 = FULL_WEIGHT + BEGUN_WEIGHT;
/// Reports on one server within this time are on one crash.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Crashes within this time may have a cause in common that is no prompt, and count once.
const COMMON_CAUSE: Duration = Duration::from_millis(100);
/// How long a report waits for other hosts' answers under its parts before it counts.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// How long a crash counts, and thus the time without crashes after which an isolation lapses.
const REPORT_TTL: Duration = Duration::from_secs(600);
/// How long after an isolation has lapsed one crash suffices for the next one.
const LAPSED_TTL: Duration = Duration::from_secs(3_600);
const MAX_LAPSED: usize = 256;
/// The most reports that are kept, and the most parts in them: those of more of the longest prompts than it
/// takes to isolate a part.
const MAX_REPORTS: usize = 256;
const MAX_REPORTED_PARTS: usize = 8 * MAX_PARTS;

/// A time by this process's clock, in microseconds; it may be before the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventTime(i64);

impl EventTime {
    /// Returns the time that was `age` before `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{EventTime, Moment};
    /// let time = EventTime::before(Moment(500), Duration::from_millis(2));
    /// assert_eq!(time.age(Moment(1_500)), Duration::from_millis(3));
    /// ```
    pub fn before(now: Moment, age: Duration) -> EventTime {
        EventTime(now.0 as i64 - age.as_micros() as i64)
    }

    /// Returns the time since then, or zero if it is later than `now`.
    pub fn age(self, now: Moment) -> Duration {
        EventTime::from(now).since(self)
    }

    fn since(self, earlier: EventTime) -> Duration {
        Duration::from_micros(u64::try_from(self.0 - earlier.0).unwrap_or(0))
    }
}

impl From<Moment> for EventTime {
    fn from(moment: Moment) -> EventTime {
        EventTime(moment.0 as i64)
    }
}

/// A part of the prompts for one service, by the digest of the service's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServicePart {
    pub service: u32,
    pub part: PartId,
}

/// One request that was at a server when it crashed and may be the cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Identifies the report among those of all hosts.
    pub id: u64,
    /// The digest of the service's name.
    pub service: u32,
    /// The digest of the server's id and start.
    pub server: u32,
    /// The digest of the customer's name; 0 without a customer.
    pub customer: u32,
    pub at: EventTime,
    /// Whether an event of the answer had come.
    pub has_begun: bool,
    /// The shared parts of the prompt, in its order.
    pub parts: Vec<PartId>,
}

/// A report that this host has received or made.
#[derive(Debug, Clone)]
pub(crate) struct KnownReport {
    pub(crate) report: CrashReport,
    pub(crate) learned: Moment,
    pub(crate) is_own: bool,
}

/// Why requests with a part are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Isolation {
    /// When this host isolated the part.
    pub since: Moment,
    /// The number of crashes that it explains.
    pub crashes: u32,
    /// The customers under whose requests servers crashed. Others are refused once there are two.
    customers: BTreeSet<u32>,
    last_crash: EventTime,
}

impl Isolation {
    /// Returns the number of customers under whose requests servers crashed.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Returns how long the isolation lasts from `now` if no further server crashes.
    pub fn time_left(&self, now: Moment) -> Duration {
        REPORT_TTL.saturating_sub(self.last_crash.age(now))
    }

    /// A single customer can't have the requests of another one refused.
    fn concerns(&self, customer: u32) -> bool {
        self.customers.len() > 1 || self.customers.contains(&customer)
    }
}

/// Why a part is no longer isolated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClearReason {
    /// An answer was written under it after the last crash.
    Answered,
    /// Another part explains its crashes.
    Explained,
    /// No server crashed for a long time.
    Lapsed,
    /// The settings say that it is never isolated.
    Trusted,
}

impl ClearReason {
    /// Returns the reason's name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ClearReason::Answered => "answered",
            ClearReason::Explained => "explained",
            ClearReason::Lapsed => "lapsed",
            ClearReason::Trusted => "trusted",
        }
    }
}

/// A change of the isolated parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IsolationChange {
    Isolated { part: ServicePart, isolation: Isolation },
    Cleared { part: ServicePart, isolation: Isolation, reason: ClearReason },
}

/// What is known of one part as the cause of one crash.
#[derive(Debug)]
struct Suspicion {
    weight: u32,
    position: usize,
    learned: Moment,
    customers: BTreeSet<u32>,
}

#[derive(Debug)]
struct Crash {
    server: u32,
    at: EventTime,
    suspects: BTreeMap<ServicePart, Suspicion>,
    /// Whether an isolated part is among the suspects.
    is_explained: bool,
}

/// The crashes and answers that are known, and the parts that are isolated because of them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    reports: VecDeque<KnownReport>,
    /// The crashes that the reports are on, in their order.
    crashes: Vec<Crash>,
    /// The suspects of all crashes, each with the newest answer that this host saw under it. Long
    /// prompts can't displace these answers.
    suspects: FxHashMap<ServicePart, Option<Moment>>,
    /// The parts under which this host saw answers.
    answered: AnsweredParts,
    /// The newest answers under suspected parts that hosts have announced.
    announced: HashMap<ServicePart, EventTime>,
    isolated: BTreeMap<ServicePart, Isolation>,
    lapsed: HashMap<ServicePart, Moment>,
    trusted: BTreeSet<PartId>,
    dropped_reports: u64,
}

impl CrashEvidence {
    /// Sets the parts that are never isolated.
    pub fn set_trusted(&mut self, parts: impl IntoIterator<Item = PartId>) {
        self.trusted = parts.into_iter().collect();
    }

    /// Records a report; returns whether it is new.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{CrashEvidence, CrashReport, EventTime, Moment, PartId};
    /// let mut evidence = CrashEvidence::default();
    /// let (at, parts) = (EventTime::from(Moment(0)), vec![PartId(1)]);
    /// let has_begun = false;
    /// let report = CrashReport { id: 1, service: 1, server: 1, customer: 1, at, has_begun, parts };
    /// assert!(evidence.record_crash(Moment(0), report.clone(), true));
    /// assert!(!evidence.record_crash(Moment(9), report, false));
    /// ```
    pub fn record_crash(&mut self, now: Moment, report: CrashReport, is_own: bool) -> bool {
        let is_known = self.reports.iter().any(|known| known.report.id == report.id);
        if is_known || report.at.age(now) >= REPORT_TTL {
            return false;
        }
        self.reports.push_back(KnownReport { report, learned: now, is_own });
        let mut parts: usize = self.reports.iter().map(|known| known.report.parts.len()).sum();
        while self.reports.len() > MAX_REPORTS || parts > MAX_REPORTED_PARTS {
            parts -= self.drop_report();
        }
        self.rebuild_crashes();
        true
    }

    /// Drops the oldest report that no isolation is due to; returns the number of its parts.
    fn drop_report(&mut self) -> usize {
        let position =
            self.reports.iter().position(|known| !self.supports_isolation(&known.report));
        self.dropped_reports += 1;
        let dropped = self.reports.remove(position.unwrap_or(0));
        dropped.map_or(0, |known| known.report.parts.len())
    }

    /// Returns the number of reports that were dropped because too many came.
    pub fn dropped_reports(&self) -> u64 {
        self.dropped_reports
    }

    /// Returns the parts of a report under which no answer began after the crash. The others explain
    /// it to nobody.
    pub(crate) fn open_suspects(&self, report: &CrashReport) -> Vec<PartId> {
        let is_open = |part: &ServicePart| self.last_answer(*part).is_none_or(|at| at < report.at);
        let parts = service_parts(report.service, &report.parts).into_iter();
        parts.filter(is_open).map(|part| part.part).collect()
    }

    /// Returns whether a report is on a crash under an isolated part.
    pub(crate) fn supports_isolation(&self, report: &CrashReport) -> bool {
        let parts = service_parts(report.service, &report.parts);
        parts.into_iter().any(|part| self.isolated.contains_key(&part))
    }

    /// Records that this host received an answer under `parts`, which began at `began` and went on for
    /// long enough that it crashes no server.
    pub fn record_answer(&mut self, service: u32, parts: &[PartId], began: Moment) {
        for part in service_parts(service, parts) {
            if let Some(newest) = self.suspects.get_mut(&part) {
                *newest = (*newest).max(Some(began));
            }
            self.answered.insert(part, began);
        }
    }

    /// Records that another host received an answer under a part.
    pub fn learn_answer(&mut self, part: ServicePart, began: EventTime) {
        if self.is_watched(part) {
            let announced = self.announced.entry(part).or_insert(began);
            *announced = began.max(*announced);
        }
    }

    /// Returns whether nothing is known of any crash.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.isolated.is_empty()
    }

    /// Returns the isolated part of a prompt, if there is one that concerns `customer`.
    pub fn isolation(
        &self,
        service: u32,
        parts: &[PartId],
        customer: u32,
    ) -> Option<(PartId, &Isolation)> {
        if self.isolated.is_empty() {
            return None;
        }
        service_parts(service, parts).into_iter().find_map(|part| {
            let isolation = self.isolated.get(&part)?;
            isolation.concerns(customer).then_some((part.part, isolation))
        })
    }

    /// Returns all isolated parts.
    pub fn isolated(&self) -> &BTreeMap<ServicePart, Isolation> {
        &self.isolated
    }

    /// Returns whether a prompt has a part that may have crashed several servers.
    pub fn is_suspected(&self, service: u32, parts: &[PartId]) -> bool {
        let own: FxHashSet<ServicePart> = service_parts(service, parts)
            .into_iter()
            .filter(|part| self.is_watched(*part))
            .collect();
        let tallies = self.tallies(|part, _| own.contains(part));
        tallies.into_iter().any(|(part, tally)| {
            tally.weight >= WEIGHT_OF_SUSPECTED_PART.min(self.weight_needed(part))
        })
    }

    /// Works out again which parts are isolated; returns what changed.
    pub fn review(&mut self, now: Moment) -> Vec<IsolationChange> {
        if self.is_empty() {
            return Vec::new();
        }
        let known = self.reports.len();
        self.reports.retain(|known| known.report.at.age(now) < REPORT_TTL);
        self.lapsed.retain(|_, at| now.since(*at) < LAPSED_TTL);
        if self.reports.len() < known {
            self.rebuild_crashes();
        }
        let isolated = self.isolate(now);
        let before = std::mem::replace(&mut self.isolated, isolated);
        let mut changes = Vec::new();
        for (part, isolation) in &before {
            if !self.isolated.contains_key(part) {
                let reason = self.clear_reason(*part, isolation);
                if reason == ClearReason::Lapsed && self.lapsed.len() < MAX_LAPSED {
                    self.lapsed.insert(*part, now);
                }
                let isolation = isolation.clone();
                changes.push(IsolationChange::Cleared { part: *part, isolation, reason });
            }
        }
        for (part, isolation) in &mut self.isolated {
            match before.get(part) {
                Some(before) => isolation.since = before.since,
                None => changes
                    .push(IsolationChange::Isolated { part: *part, isolation: isolation.clone() }),
            }
        }
        changes
    }

    /// Returns the parts that explain the crashes.
    fn isolate(&mut self, now: Moment) -> BTreeMap<ServicePart, Isolation> {
        self.crashes.iter_mut().for_each(|crash| crash.is_explained = false);
        let mut isolated = BTreeMap::new();
        while let Some((part, tally)) = self.best_explanation(now) {
            for crash in &mut self.crashes {
                crash.is_explained |= crash.suspects.contains_key(&part);
            }
            let Tally { crashes, customers, last_crash, .. } = tally;
            let isolation = Isolation { since: now, crashes, customers, last_crash };
            isolated.insert(part, isolation);
        }
        isolated
    }

    /// Returns the part that explains the most crashes that no other one explains yet.
    ///
    /// Of parts that explain as many, one that was never answered goes first, and then the one further
    /// back in the prompts: fewer requests share it.
    fn best_explanation(&self, now: Moment) -> Option<(ServicePart, Tally)> {
        let is_settled = |part: &ServicePart, suspicion: &Suspicion| {
            self.lapsed.contains_key(part) || now.since(suspicion.learned) >= SETTLE_TIME
        };
        let counts = |part: &ServicePart, suspicion: &Suspicion| {
            !self.trusted.contains(&part.part) && is_settled(part, suspicion)
        };
        self.tallies(counts)
            .into_iter()
            .filter(|(part, tally)| tally.weight >= self.weight_needed(*part))
            .max_by_key(|(part, tally)| {
                (tally.weight, self.last_answer(*part).is_none(), tally.position, *part)
            })
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_explained)
    }

    /// Counts the unexplained crashes under each part since its last answer.
    fn tallies(
        &self,
        counts: impl Fn(&ServicePart, &Suspicion) -> bool,
    ) -> FxHashMap<ServicePart, Tally> {
        let mut tallies: FxHashMap<ServicePart, Tally> = FxHashMap::default();
        // In the order of the crashes, which the tally of each part needs.
        for crash in self.unexplained() {
            for (part, suspicion) in crash.suspects.iter().filter(|(part, one)| counts(part, one)) {
                if self.last_answer(*part).is_none_or(|at| crash.at > at) {
                    tallies.entry(*part).or_default().add(crash.at, suspicion);
                }
            }
        }
        tallies
    }

    fn weight_needed(&self, part: ServicePart) -> u32 {
        let is_answered = self.last_answer(part).is_some();
        let was_isolated = self.isolated.contains_key(&part) && !is_answered;
        if was_isolated || self.lapsed.contains_key(&part) {
            WEIGHT_OF_KNOWN_PART
        } else if is_answered {
            WEIGHT_OF_ANSWERED_PART
        } else {
            WEIGHT_OF_NEW_PART
        }
    }

    /// Returns when the last answer under a part began that any host has announced.
    fn last_answer(&self, part: ServicePart) -> Option<EventTime> {
        self.own_answer(part).max(self.announced.get(&part).copied())
    }

    fn own_answer(&self, part: ServicePart) -> Option<EventTime> {
        let known = self.suspects.get(&part).copied().flatten();
        known.max(self.answered.get(part)).map(EventTime::from)
    }

    fn clear_reason(&self, part: ServicePart, isolation: &Isolation) -> ClearReason {
        if self.trusted.contains(&part.part) {
            ClearReason::Trusted
        } else if self.last_answer(part).is_some_and(|at| at >= isolation.last_crash) {
            ClearReason::Answered
        } else if self.is_watched(part) {
            ClearReason::Explained
        } else {
            ClearReason::Lapsed
        }
    }

    /// Returns whether a part is a suspect of any crash.
    fn is_watched(&self, part: ServicePart) -> bool {
        self.suspects.contains_key(&part)
    }

    fn rebuild_crashes(&mut self) {
        let mut crashes: Vec<Crash> = Vec::new();
        for KnownReport { report, learned, .. } in &self.reports {
            let is_same = |crash: &&mut Crash| {
                let distance = crash.at.since(report.at).max(report.at.since(crash.at));
                crash.server == report.server && distance < SAME_CRASH
            };
            let crash = match crashes.iter_mut().find(is_same) {
                Some(crash) => crash,
                None => {
                    let suspects = BTreeMap::new();
                    let (server, at) = (report.server, report.at);
                    crashes.push(Crash { server, at, suspects, is_explained: false });
                    let last = crashes.len() - 1;
                    &mut crashes[last]
                }
            };
            for (position, part) in
                service_parts(report.service, &report.parts).into_iter().enumerate()
            {
                let suspicion = crash.suspects.entry(part).or_insert_with(|| Suspicion {
                    weight: 0,
                    position,
                    learned: *learned,
                    customers: BTreeSet::new(),
                });
                let weight = if report.has_begun { BEGUN_WEIGHT } else { FULL_WEIGHT };
                suspicion.weight = suspicion.weight.max(weight);
                suspicion.position = suspicion.position.max(position);
                suspicion.learned = suspicion.learned.min(*learned);
                suspicion.customers.insert(report.customer);
            }
        }
        crashes.sort_by_key(|crash| crash.at);
        self.crashes = crashes;
        let before = std::mem::take(&mut self.suspects);
        let parts = self.crashes.iter().flat_map(|crash| crash.suspects.keys().copied());
        self.suspects = parts
            .map(|part| {
                let answer = before.get(&part).copied().flatten();
                (part, answer.or_else(|| self.answered.get(part)))
            })
            .collect();
        for crash in &mut self.crashes {
            let is_isolated = |part: &ServicePart| self.isolated.contains_key(part);
            crash.is_explained = crash.suspects.keys().any(is_isolated);
        }
        let mut announced = std::mem::take(&mut self.announced);
        announced.retain(|part, _| self.is_watched(*part));
        self.announced = announced;
    }

    /// Returns the known reports.
    pub(crate) fn reports(&self) -> impl DoubleEndedIterator<Item = &KnownReport> {
        self.reports.iter()
    }

    /// Returns the newest answers under suspected parts that hosts have announced.
    pub(crate) fn announced(&self) -> impl Iterator<Item = (ServicePart, EventTime)> {
        self.announced.iter().map(|(part, began)| (*part, *began))
    }

    /// Returns the answers of this host that may clear a suspected part, and that no host has announced.
    pub(crate) fn unannounced_answers(&self) -> Vec<(ServicePart, EventTime)> {
        let mut last_crashes: BTreeMap<ServicePart, EventTime> = BTreeMap::new();
        // Also of crashes that are explained here: another host may explain them by a sound part.
        for crash in &self.crashes {
            last_crashes.extend(crash.suspects.keys().map(|part| (*part, crash.at)));
        }
        for (part, isolation) in &self.isolated {
            last_crashes.insert(*part, isolation.last_crash);
        }
        let unannounced = |(part, last_crash): (ServicePart, EventTime)| {
            let began = self.own_answer(part)?;
            let announced = self.announced.get(&part).copied();
            let is_news = match announced {
                None => true,
                Some(announced) => announced <= last_crash && began > last_crash,
            };
            is_news.then_some((part, began))
        };
        last_crashes.into_iter().filter_map(unannounced).collect()
    }
}

/// The crashes that count against one part.
#[derive(Debug)]
struct Tally {
    crashes: u32,
    weight: u32,
    position: usize,
    customers: BTreeSet<u32>,
    /// The first crash of the last group that counts once, and the weight of the group.
    group: Option<(EventTime, u32)>,
    last_crash: EventTime,
}

impl Default for Tally {
    fn default() -> Tally {
        let last_crash = EventTime(i64::MIN);
        let customers = BTreeSet::new();
        Tally { crashes: 0, weight: 0, position: 0, customers, group: None, last_crash }
    }
}

impl Tally {
    fn add(&mut self, at: EventTime, suspicion: &Suspicion) {
        let (first, counted) = match self.group {
            Some((first, counted)) if at.since(first) < COMMON_CAUSE => (first, counted),
            _ => {
                self.crashes += 1;
                (at, 0)
            }
        };
        self.weight += suspicion.weight.saturating_sub(counted);
        self.group = Some((first, counted.max(suspicion.weight)));
        self.position = self.position.max(suspicion.position);
        self.customers.extend(&suspicion.customers);
        self.last_crash = self.last_crash.max(at);
    }
}

fn service_parts(service: u32, parts: &[PartId]) -> impl IntoIterator<Item = ServicePart> {
    parts.iter().map(move |part| ServicePart { service, part: *part })
}
