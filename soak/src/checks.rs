//! Checks the platform's guarantees against what callers and servers observed.

use std::collections::HashMap;

use crate::crashing::sent_after_crashes;
use crate::evacuations::sent_to_evacuated;
use crate::evidence::Kind;
use crate::evidence::Millis;
use crate::evidence::Observations;
use crate::evidence::Outcome;
use crate::evidence::Run;
use crate::evidence::Scope;
use crate::evidence::Sent;
use crate::fleet::CONFIG_MS;
use crate::fleet::DRAIN_MS;
use crate::fleet::RETRY_RATIO;
use crate::fleet::RETRY_SLACK;
use crate::fleet::RETRY_WINDOW_MS;
use crate::fleet::REVOKE_MS;
use crate::limits::exceeded_limits;
use crate::pauses::ignored_pauses;

/// Time without disturbances that must precede a server's departure, a planned stop, or the last
/// `CONFIG_MS` before a request for an added route, for the check of it to apply.
const STABILIZATION_MS: Millis = 3_000;
/// Time after a request's deadline within which its final response must arrive.
const RESPONSE_SLACK_MS: Millis = 500;
/// Scheduling delay allowed before the soak records an event, on a machine with few cores.
const SCHEDULING_SLACK_MS: Millis = 250;
/// Maximum number of servers that one caller request may be sent to.
const MAX_SERVERS: usize = 2;
/// Time after the last fault within which the fleet must serve again, and the minimum ratio served.
const RECOVERY_MS: Millis = 12_000;
const MIN_SERVED_RATIO: f64 = 0.25;
/// Statuses which state that a request was not executed and never will be.
const NOT_EXECUTED: [u16; 4] = [408, 421, 429, 503];

/// The input of the checks.
pub(crate) struct Checker<'a> {
    pub(crate) observations: &'a Observations,
    /// The customer of each key.
    pub(crate) customers: &'a HashMap<String, String>,
    /// When the last fault ended.
    pub(crate) faults_ended: Millis,
}

impl Checker<'_> {
    /// Returns a description of each violated guarantee.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.observations.runs {
            runs.entry(&run.request).or_default().push(run);
        }
        let mut violations = self.observations.violations.clone();
        for (id, sent) in &self.observations.sent {
            let runs = runs.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let describe = |text: String| format!("{} ms: {id} {text}: {sent:?} {runs:?}", sent.at);
            violations.extend(self.request_violations(sent, runs).into_iter().map(describe));
        }
        violations.extend(self.unknown_runs());
        violations.extend(self.lost_routes());
        violations.extend(self.exceeded_retry_budget());
        violations.extend(self.aborted_by_stops(&runs));
        violations.extend(self.not_recovered());
        violations.extend(ignored_pauses(self.observations));
        violations.extend(sent_after_crashes(self.observations));
        violations.extend(exceeded_limits(self.observations));
        violations.extend(sent_to_evacuated(self.observations));
        violations
    }

    fn request_violations(&self, sent: &Sent, runs: &[&Run]) -> Vec<String> {
        let mut violations = Vec::new();
        let ran = runs.iter().filter(|run| !run.is_declined).count();
        let may_repeat = sent.kind.is_none_or(Kind::may_repeat);
        if !may_repeat && ran > 1 {
            violations.push(format!("was executed {ran} times"));
        }
        if runs.len() > MAX_SERVERS {
            violations.push(format!("was sent to {} servers", runs.len()));
        }
        let status = match &sent.end {
            Some((_, Outcome::Answered { status, .. })) => *status,
            _ => 0,
        };
        if !may_repeat && ran > 0 && NOT_EXECUTED.contains(&status) {
            violations
                .push("was executed, but its caller got a status that rules this out".to_owned());
        }
        let revoked = self.observations.revoked.get(&sent.key);
        if ran > 0 && revoked.is_some_and(|at| sent.at > at + REVOKE_MS) {
            violations.push("was executed with a revoked key".to_owned());
        }
        let is_denied = (400..500).contains(&status) && !NOT_EXECUTED.contains(&status);
        if sent.kind.is_some() && revoked.is_none() && is_denied {
            violations.push(format!("was rejected with status {status}"));
        }
        violations.extend(self.missed_deadline(sent));
        violations.extend(self.unknown_route(sent, status));
        for run in runs {
            violations.extend(self.wrong_run(sent, run));
            violations.extend(self.run_at_leaving(sent, run));
        }
        violations
    }

    fn missed_deadline(&self, sent: &Sent) -> Option<String> {
        let due = sent.at + sent.kind.map_or(800, |kind| kind.timeout().as_millis() as Millis);
        let end = match &sent.end {
            Some((_, Outcome::Left | Outcome::Broken)) => return None,
            Some((at, Outcome::Answered { .. })) => *at,
            None => Millis::MAX,
        };
        let is_undisturbed = self.observations.is_undisturbed(
            &[Scope::Host(sent.host)],
            sent.at,
            due + RESPONSE_SLACK_MS,
        );
        // The soak ends without waiting for requests sent shortly before its end.
        let was_awaited = due + RESPONSE_SLACK_MS < self.faults_ended + RECOVERY_MS;
        (end > due + RESPONSE_SLACK_MS + SCHEDULING_SLACK_MS && is_undisturbed && was_awaited)
            .then(|| "got no final response in time".to_owned())
    }

    fn unknown_route(&self, sent: &Sent, status: u16) -> Option<String> {
        let added = self.observations.added.get(&sent.path)?;
        let from = sent.at.saturating_sub(STABILIZATION_MS + CONFIG_MS);
        let is_late = sent.at > added + CONFIG_MS + SCHEDULING_SLACK_MS;
        (status == 404 && is_late && self.is_connected(sent.host, from, sent.at))
            .then(|| "was sent to a host that does not know an added route".to_owned())
    }

    fn wrong_run(&self, sent: &Sent, run: &Run) -> Option<String> {
        if run.has_key || run.customer.as_ref() != self.customers.get(&sent.key) {
            return Some("reached a server with the wrong customer or with its API key".to_owned());
        }
        let timeout = sent.kind.map_or(800, |kind| kind.timeout().as_millis() as u64);
        if run.patience.is_none_or(|left| left > timeout) {
            return Some(
                "reached a server without a deadline or with more time than its timeout".to_owned(),
            );
        }
        let left = self.observations.left.get(&run.server)?;
        let known = left + DRAIN_MS + SCHEDULING_SLACK_MS;
        let is_late = run.at > known && !run.is_declined;
        let from = left.saturating_sub(STABILIZATION_MS);
        let is_rewound = |at: &Millis| *at > known && *at < sent.at;
        if is_late
            && self.observations.rewinds.iter().any(is_rewound)
            && self.is_connected(sent.host, from, known)
            && self.observations.is_undisturbed(&[Scope::Host(sent.host)], from, run.at)
        {
            return Some(format!(
                "reached server {} after a rewind; it departed at {left} ms",
                run.server
            ));
        }
        (is_late && self.is_connected(sent.host, from, run.at))
            .then(|| format!("reached server {}, which departed at {left} ms", run.server))
    }

    /// Finds a request that was sent to a host after the host had passed on that a server leaves, and
    /// that reached the server or had it as a helper, whatever else was disturbed. The platform allows
    /// `DRAIN_MS` more, and says nothing of helpers.
    fn run_at_leaving(&self, sent: &Sent, run: &Run) -> Option<String> {
        run.helpers.iter().chain([&run.server]).find_map(|server| {
            let passed_on = (server.clone(), sent.host, sent.start);
            let at = self.observations.passed_on.get(&passed_on)?;
            (sent.at > *at).then(|| {
                format!("used server {server}, whose leaving its host passed on at {at} ms")
            })
        })
    }

    fn is_connected(&self, host: usize, from: Millis, to: Millis) -> bool {
        self.observations.is_undisturbed(
            &[Scope::Host(host), Scope::StoreOf(host), Scope::Store],
            from,
            to,
        )
    }

    fn unknown_runs(&self) -> Vec<String> {
        let unknown_runs = self
            .observations
            .runs
            .iter()
            .filter(|run| !self.observations.sent.contains_key(&run.request));
        unknown_runs
            .map(|run| format!("a server received a request that no caller sent: {run:?}"))
            .collect()
    }

    /// Finds hosts that lost a route which the same process had already served.
    fn lost_routes(&self) -> Vec<String> {
        let mut known: HashMap<(usize, u64, &str), Millis> = HashMap::new();
        let probes = self.observations.sent.values().filter(|sent| sent.kind.is_none());
        for sent in probes.clone() {
            if let Some((at, Outcome::Answered { status: 200, .. })) = &sent.end {
                let first = known.entry((sent.host, sent.start, &sent.path)).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        let is_lost = |sent: &&Sent| {
            let is_unknown = matches!(sent.end, Some((_, Outcome::Answered { status: 404, .. })));
            let before = known.get(&(sent.host, sent.start, sent.path.as_str()));
            is_unknown && before.is_some_and(|at| sent.at > *at)
        };
        probes
            .filter(is_lost)
            .map(|sent| format!("a host lost a route that it had served: {sent:?}"))
            .collect()
    }

    /// Finds windows in which a service got more retries than all hosts together may send.
    fn exceeded_retry_budget(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for service in ["engines", "app"] {
            let mut first: HashMap<&str, Millis> = HashMap::new();
            let mut repeats: Vec<Millis> = Vec::new();
            let mut runs: Vec<&Run> =
                self.observations.runs.iter().filter(|run| run.service == service).collect();
            runs.sort_by_key(|run| run.at);
            for run in runs {
                if first.insert(&run.request, run.at).is_some() {
                    repeats.push(run.at);
                }
            }
            let requests: Vec<Millis> = first.values().copied().collect();
            for end in &repeats {
                let begin = end.saturating_sub(RETRY_WINDOW_MS);
                let within = |times: &[Millis], from: Millis| {
                    times.iter().filter(|at| **at > from && *at <= end).count() as f64
                };
                let asked = within(&requests, begin.saturating_sub(RETRY_WINDOW_MS / 2));
                let repeated = within(&repeats, begin);
                if repeated > RETRY_RATIO * asked + RETRY_SLACK {
                    violations.push(format!(
                        "{end} ms: {repeated} retries of {asked} requests to {service}"
                    ));
                    break;
                }
            }
        }
        violations
    }

    /// Finds requests aborted by a planned stop while nothing else was disturbed.
    fn aborted_by_stops(&self, runs: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
        let mut violations = Vec::new();
        for (host, start, signalled, ended) in &self.observations.stops {
            let ended = ended.unwrap_or(signalled + 8_000);
            let is_undisturbed = self
                .observations
                .disturbed
                .iter()
                .all(|(_, begin, end)| *begin > ended || *end + STABILIZATION_MS < *signalled);
            let aborted = self.observations.sent.iter().filter(|(id, sent)| {
                sent.host == *host
                    && sent.start == *start
                    && sent.at + 3_000 > *signalled
                    && matches!(sent.end, Some((at, Outcome::Broken)) if at >= *signalled)
                    && runs.contains_key(id.as_str())
            });
            if is_undisturbed {
                violations.extend(aborted.map(|(id, sent)| {
                    format!("{signalled} ms: a planned stop aborted {id}: {sent:?}")
                }));
            }
        }
        violations
    }

    fn not_recovered(&self) -> Option<String> {
        let (served, asked) = self.recovered();
        (f64::from(served) < MIN_SERVED_RATIO * f64::from(asked) || asked == 0)
            .then(|| format!("{served} of {asked} requests served after the last fault"))
    }

    /// Returns how many requests were served after the last fault, and how many were sent.
    pub(crate) fn recovered(&self) -> (u32, u32) {
        let is_late = |sent: &&Sent| {
            sent.at > self.faults_ended + RECOVERY_MS
                && sent.kind.is_some()
                && !self.observations.revoked.contains_key(&sent.key)
                && !matches!(sent.end, Some((_, Outcome::Left)) | None)
        };
        let late: Vec<&Sent> = self.observations.sent.values().filter(is_late).collect();
        let is_served =
            |sent: &&&Sent| matches!(sent.end, Some((_, Outcome::Answered { is_whole: true, .. })));
        (late.iter().filter(is_served).count() as u32, late.len() as u32)
    }
}
