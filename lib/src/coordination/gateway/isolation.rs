//! Requests with parts that crash servers: they are refused, and hosts exchange
//! reports on crashes.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use super::Dispatch;
use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use super::news_rounds::NewsRounds;
use crate::state::CrashEvidence;
use crate::state::CrashReport;
use crate::state::EventTime;
use crate::state::IsolationChange;
use crate::state::KnownReport;
use crate::state::MAX_PARTS;
use crate::state::Moment;
use crate::state::PartId;
use crate::state::ServicePart;
use crate::state::short_digest;

/// How long own reports and answers are in each message to the hosts of the cell.
const FRESH_TIME: Duration = Duration::from_millis(1_500);
/// The longest delay before a host announces an answer; another host may do so meanwhile.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(150);
/// How often the isolated parts are worked out again while the evidence stays the same but gets older.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// The most reports and answers in one message; what is left over goes with the next messages.
pub(crate) const MAX_NEWS_REPORTS: usize = 40;
pub(crate) const MAX_NEWS_ANSWERS: usize = 512;
/// The most parts in all reports of one message, so that a report on the longest prompt fits. Together
/// with the answers and the loads they stay below the longest datagram.
pub(crate) const MAX_NEWS_PARTS: usize = MAX_PARTS;
/// The age that is added to an answer in a message that acknowledges none of this host's: it may have
/// been in transit for long.
const UNKNOWN_TRANSIT: Duration = Duration::from_secs(15);

/// A report on a crash, in a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashNotice {
    pub report: CrashReport,
    /// How long before the message the server crashed; `report.at` is by the sender's clock.
    pub age: Duration,
}

/// An answer under a suspected part, in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerNotice {
    pub part: ServicePart,
    /// How long before the message the answer began.
    pub age: Duration,
}

/// What a message says of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashNews {
    /// The reports, the sender's own fresh ones first.
    pub reports: Vec<CrashNotice>,
    /// The answers, the sender's own fresh ones first.
    pub answers: Vec<AnswerNotice>,
    /// The number of fresh reports and answers.
    pub fresh: (usize, usize),
    /// The number of reports that are fresh or on an isolated part.
    pub lasting: usize,
}

impl CrashNews {
    /// Keeps what a host lacks that has received all earlier messages.
    pub(crate) fn retain_fresh(&mut self) {
        self.reports.truncate(self.fresh.0);
        self.answers.truncate(self.fresh.1);
    }

    /// Keeps what a host needs that receives messages seldom.
    pub(crate) fn retain_lasting(&mut self) {
        self.reports.truncate(self.lasting);
        self.answers.truncate(self.fresh.1);
    }

    /// Returns whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.answers.is_empty()
    }
}

/// What this host knows of crashes, and what it has to announce to others.
#[derive(Debug, Default)]
pub(crate) struct Isolations {
    pub(crate) evidence: CrashEvidence,
    last_report: u64,
    /// The number of messages so far. They begin with different reports if not all fit.
    messages: usize,
    /// The answers that this host has announced, and when.
    announced: HashMap<ServicePart, (EventTime, Moment)>,
    /// When this host announces the answers that no host has announced.
    announce_at: Option<Moment>,
    /// When hosts of other cells are sent the next messages.
    pub(crate) rounds: NewsRounds,
    /// When the isolated parts were worked out last; `None` if the evidence has changed since.
    reviewed: Option<Moment>,
    /// The changes that are not logged yet.
    changes: Vec<IsolationChange>,
}

impl Isolations {
    fn review(&mut self, now: Moment, delay: impl FnOnce() -> Duration) {
        if self.reviewed.is_some_and(|at| now.since(at) < REVIEW_INTERVAL) {
            return;
        }
        self.announce_answers(now, delay);
        self.reviewed = Some(now);
        self.changes.extend(self.evidence.review(now));
    }

    /// Announces this host's answers that no host has announced, after a delay.
    fn announce_answers(&mut self, now: Moment, delay: impl FnOnce() -> Duration) {
        self.announced.retain(|_, (_, announced)| now.since(*announced) <= FRESH_TIME);
        let unannounced = self.evidence.unannounced_answers();
        if unannounced.is_empty() {
            self.announce_at = None;
            return;
        }
        if *self.announce_at.get_or_insert_with(|| now + delay()) > now {
            return;
        }
        self.announce_at = None;
        let room = MAX_NEWS_ANSWERS.saturating_sub(self.announced.len());
        for (part, began) in unannounced.into_iter().take(room) {
            self.evidence.learn_answer(part, began);
            self.announced.insert(part, (began, now));
        }
        self.rounds.begin(now);
    }

    fn news(&mut self, now: Moment) -> CrashNews {
        self.messages = self.messages.wrapping_add(1);
        let is_fresh = |at: Moment| now.since(at) <= FRESH_TIME;
        let (fresh, known): (Vec<_>, Vec<_>) = self
            .evidence
            .reports()
            .rev()
            .partition(|known| known.is_own && is_fresh(known.learned));
        // A host that starts needs the reports on isolated parts most.
        let (isolating, other): (Vec<_>, Vec<_>) =
            known.into_iter().partition(|known| self.evidence.supports_isolation(&known.report));
        let mut reports = ReportList::default();
        let fresh = reports.fill(now, self.rotated(&fresh), &self.evidence);
        let isolating = reports.fill(now, self.rotated(&isolating), &self.evidence);
        reports.fill(now, other.into_iter(), &self.evidence);
        let reports = reports.notices;
        let own = self.announced.iter().filter(|(_, (_, announced))| is_fresh(*announced));
        let mut answers: Vec<AnswerNotice> = own
            .map(|(part, (began, _))| AnswerNotice { part: *part, age: began.age(now) })
            .collect();
        let lasting = fresh + isolating;
        let fresh = (fresh, answers.len());
        let announced = self.evidence.announced();
        answers.extend(announced.map(|(part, began)| AnswerNotice { part, age: began.age(now) }));
        answers.truncate(MAX_NEWS_ANSWERS);
        CrashNews { reports, answers, fresh, lasting }
    }

    /// Returns `reports`, each message beginning with another one if not all of them fit.
    fn rotated<'a>(
        &self,
        reports: &'a [&'a KnownReport],
    ) -> impl Iterator<Item = &'a KnownReport> + use<'a> {
        let parts: usize = reports.iter().map(|known| known.report.parts.len()).sum();
        let is_full = reports.len() > MAX_NEWS_REPORTS || parts > MAX_NEWS_PARTS;
        let first = if is_full { self.messages % reports.len() } else { 0 };
        reports[first..].iter().chain(&reports[..first]).copied()
    }
}

/// The reports in one message.
#[derive(Default)]
struct ReportList {
    notices: Vec<CrashNotice>,
    parts: usize,
}

impl ReportList {
    /// Adds those of `reports` that fit, without the parts that explain nothing; returns their number.
    fn fill<'a>(
        &mut self,
        now: Moment,
        reports: impl Iterator<Item = &'a KnownReport>,
        evidence: &CrashEvidence,
    ) -> usize {
        let before = self.notices.len();
        for KnownReport { report, .. } in reports {
            let parts = evidence.open_suspects(report);
            let has_room =
                self.notices.len() < MAX_NEWS_REPORTS && self.parts + parts.len() <= MAX_NEWS_PARTS;
            if has_room && !parts.is_empty() {
                self.parts += parts.len();
                let report = CrashReport { parts, ..report.clone() };
                self.notices.push(CrashNotice { age: report.at.age(now), report });
            }
        }
        self.notices.len() - before
    }
}

impl Gateway {
    /// Records that the server of `dispatch` crashed while it may just have begun to answer `request`;
    /// `has_begun` if an event had come.
    pub fn record_crash(
        &mut self,
        now: Moment,
        request: &GatewayRequest,
        dispatch: &Dispatch,
        has_begun: bool,
    ) {
        let parts = request.parts.as_slice();
        if parts.is_empty() {
            return;
        }
        let (service, customer) = digests(request);
        self.isolations.last_report += 1;
        let number = self.isolations.last_report.to_le_bytes();
        let incarnation = self.peers.incarnation().to_le_bytes();
        let id = u64::from(short_digest(&[&incarnation, &number])) << 32
            | u64::from(short_digest(&[&number, &incarnation]));
        let server = &dispatch.server.id;
        let report = CrashReport {
            id,
            service,
            server: short_digest(&[server.id().as_bytes(), &server.born().to_le_bytes()]),
            customer,
            at: now.into(),
            has_begun,
            parts: parts.to_vec(),
        };
        self.isolations.evidence.record_crash(now, report, true);
        self.isolations.reviewed = None;
        self.isolations.rounds.begin(now);
        self.review_isolations(now);
    }

    /// Records that the answer to `request` that began at `began` went on for long enough, or to its end,
    /// that its prompt crashes no server.
    pub fn record_sound_answer(&mut self, request: &GatewayRequest, began: Moment) {
        let (service, _) = digests(request);
        self.isolations.evidence.record_answer(service, request.parts.as_slice(), began);
    }

    /// Works out which parts are isolated now.
    pub fn review_isolations(&mut self, now: Moment) {
        if self.isolations.evidence.is_empty() {
            return;
        }
        let random = &mut self.random;
        let delay = || MAX_ANSWER_DELAY.mul_f64(random.random_range(0.0..1.0));
        self.isolations.review(now, delay);
    }

    /// Returns the changes of the isolated parts since the last call.
    pub fn take_isolation_changes(&mut self) -> Vec<IsolationChange> {
        std::mem::take(&mut self.isolations.changes)
    }

    /// Returns the number of crash reports that were dropped because too many came.
    pub fn dropped_crash_reports(&self) -> u64 {
        self.isolations.evidence.dropped_reports()
    }

    /// Returns the number of isolated parts.
    pub fn isolated_count(&self) -> usize {
        self.isolations.evidence.isolated().len()
    }

    /// Sets the parts that are never isolated, by the settings.
    pub fn set_trusted_parts(&mut self, now: Moment, parts: impl IntoIterator<Item = PartId>) {
        self.isolations.evidence.set_trusted(parts);
        self.isolations.reviewed = None;
        self.review_isolations(now);
    }

    /// Returns the refusal of a request with an isolated part.
    pub(crate) fn isolation_refusal(
        &self,
        now: Moment,
        request: &GatewayRequest,
    ) -> Option<GatewayRefusal> {
        let (service, customer) = digests(request);
        let parts = request.parts.as_slice();
        let (part, isolation) = self.isolations.evidence.isolation(service, parts, customer)?;
        let left = isolation.time_left(now);
        let refusal = GatewayRefusal::retry_after(RefusalReason::PartIsolated, left);
        Some(GatewayRefusal { part: Some(part), ..refusal })
    }

    /// Returns whether `request` has an isolated part.
    pub(crate) fn is_isolated(&self, now: Moment, request: &GatewayRequest) -> bool {
        self.isolation_refusal(now, request).is_some()
    }

    /// Returns whether `request` has a part that may have crashed several servers, so that it isn't sent
    /// to another one after it was lost.
    pub(crate) fn is_suspected(&self, request: &GatewayRequest) -> bool {
        if self.isolations.evidence.is_empty() {
            return false;
        }
        let (service, _) = digests(request);
        self.isolations.evidence.is_suspected(service, request.parts.as_slice())
    }

    pub(crate) fn crash_news(&mut self, now: Moment) -> CrashNews {
        if self.isolations.evidence.is_empty() {
            return CrashNews::default();
        }
        self.review_isolations(now);
        self.isolations.news(now)
    }

    /// Applies what a host's message says of crashes. The message was sent after `sent`, if that is known.
    pub(crate) fn apply_crash_news(&mut self, now: Moment, news: CrashNews, sent: Option<Moment>) {
        if news.is_empty() {
            return;
        }
        self.isolations.reviewed = None;
        for CrashNotice { report, age } in news.reports {
            let report = CrashReport { at: EventTime::before(now, age), ..report };
            self.isolations.evidence.record_crash(now, report, false);
        }
        for AnswerNotice { part, age } in news.answers {
            let began = match sent {
                Some(sent) => EventTime::before(sent, age),
                None => EventTime::before(now, age + UNKNOWN_TRANSIT),
            };
            self.isolations.evidence.learn_answer(part, began);
        }
        self.review_isolations(now);
    }
}

/// Returns the digests of the service and of the customer of a request.
fn digests(request: &GatewayRequest) -> (u32, u32) {
    let customer =
        request.customer.as_ref().map_or(0, |name| short_digest(&[name.as_str().as_bytes()]));
    (short_digest(&[request.service.as_str().as_bytes()]), customer)
}
