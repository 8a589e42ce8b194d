//! The promises, checked from what callers and servers saw.

use std::collections::HashMap;

use crate::evidence::End;
use crate::evidence::Kind;
use crate::evidence::Millis;
use crate::evidence::Run;
use crate::evidence::Scope;
use crate::evidence::Seen;
use crate::evidence::Sent;
use crate::fleet::CONFIG_MS;
use crate::fleet::DRAIN_MS;
use crate::fleet::REPEAT_RATIO;
use crate::fleet::REPEAT_SLACK;
use crate::fleet::REPEAT_WINDOW_MS;
use crate::fleet::REVOKE_MS;

/// How long after a disturbance hosts are held to bounds of time again.
const STABLE_MS: Millis = 3_000;
/// How late after its time a final answer may come.
const FINAL_MS: Millis = 500;
/// How late a request that was sent in time may be seen here, on a machine with few cores.
const CLOCK_MS: Millis = 250;
/// The servers that one attempt of a caller may be sent to.
const ATTEMPTS: usize = 2;
/// How long after the last fault the fleet must serve again, and the share that must be served.
const RECOVER_MS: Millis = 12_000;
const RECOVERED: f64 = 0.25;
/// Statuses that say that a request has not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What the checks go by.
pub(crate) struct Checked<'a> {
    pub(crate) seen: &'a Seen,
    /// The customer of each key.
    pub(crate) customers: &'a HashMap<String, String>,
    /// When the last fault was over.
    pub(crate) healed: Millis,
}

impl Checked<'_> {
    /// Returns each broken promise as text.
    pub(crate) fn broken(&self) -> Vec<String> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &self.seen.runs {
            runs.entry(&run.request).or_default().push(run);
        }
        let mut broken = self.seen.broken.clone();
        for (id, sent) in &self.seen.sent {
            let runs = runs.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let told = |text: String| format!("{} ms: {id} {text}: {sent:?} {runs:?}", sent.at);
            broken.extend(self.broken_by(sent, runs).into_iter().map(told));
        }
        broken.extend(self.unasked());
        broken.extend(self.went_back());
        broken.extend(self.over_budget());
        broken.extend(self.cut_by_stops(&runs));
        broken.extend(self.not_recovered());
        broken
    }

    fn broken_by(&self, sent: &Sent, runs: &[&Run]) -> Vec<String> {
        let mut broken = Vec::new();
        let ran = runs.iter().filter(|run| !run.is_declined).count();
        let may_repeat = sent.kind.is_none_or(Kind::may_repeat);
        if !may_repeat && ran > 1 {
            broken.push(format!("ran {ran} times"));
        }
        if runs.len() > ATTEMPTS {
            broken.push(format!("was sent to {} servers", runs.len()));
        }
        let status = match &sent.end {
            Some((_, End::Answered { status, .. })) => *status,
            _ => 0,
        };
        if !may_repeat && ran > 0 && NOT_RUN.contains(&status) {
            broken.push("ran, though its caller was told that it had not".to_owned());
        }
        let revoked = self.seen.revoked.get(&sent.key);
        if ran > 0 && revoked.is_some_and(|at| sent.at > at + REVOKE_MS) {
            broken.push("ran with a key that was taken away".to_owned());
        }
        let is_denied = (400..500).contains(&status) && !NOT_RUN.contains(&status);
        if sent.kind.is_some() && revoked.is_none() && is_denied {
            broken.push(format!("was denied with {status}"));
        }
        broken.extend(self.late_end(sent));
        broken.extend(self.unknown_route(sent, status));
        for run in runs {
            broken.extend(self.wrong_run(sent, run));
        }
        broken
    }

    fn late_end(&self, sent: &Sent) -> Option<String> {
        let due = sent.at + sent.kind.map_or(800, |kind| kind.patience().as_millis() as Millis);
        let end = match &sent.end {
            Some((_, End::Left | End::Broken)) => return None,
            Some((at, End::Answered { .. })) => *at,
            None => Millis::MAX,
        };
        let is_calm = self.seen.is_calm(&[Scope::Host(sent.host)], sent.at, due + FINAL_MS);
        // What was sent shortly before the end was not waited for.
        let was_awaited = due + FINAL_MS < self.healed + RECOVER_MS;
        (end > due + FINAL_MS + CLOCK_MS && is_calm && was_awaited)
            .then(|| "had no final answer in time".to_owned())
    }

    fn unknown_route(&self, sent: &Sent, status: u16) -> Option<String> {
        let added = self.seen.added.get(&sent.path)?;
        let from = sent.at.saturating_sub(STABLE_MS + CONFIG_MS);
        let is_late = sent.at > added + CONFIG_MS + CLOCK_MS;
        (status == 404 && is_late && self.is_in_touch(sent.host, from, sent.at))
            .then(|| "met a host that does not know a route".to_owned())
    }

    fn wrong_run(&self, sent: &Sent, run: &Run) -> Option<String> {
        if run.has_key || run.customer.as_ref() != self.customers.get(&sent.key) {
            return Some("reached a server with a wrong customer or with its key".to_owned());
        }
        let patience = sent.kind.map_or(800, |kind| kind.patience().as_millis() as u64);
        if run.patience.is_none_or(|left| left > patience) {
            return Some("reached a server with more time than is left".to_owned());
        }
        let left = self.seen.left.get(&run.server)?;
        let is_late = run.at > left + DRAIN_MS + CLOCK_MS && !run.is_declined;
        let from = left.saturating_sub(STABLE_MS);
        (is_late && self.is_in_touch(sent.host, from, run.at))
            .then(|| format!("reached server {} that left at {left} ms", run.server))
    }

    fn is_in_touch(&self, host: usize, from: Millis, to: Millis) -> bool {
        self.seen.is_calm(&[Scope::Host(host), Scope::StoreOf(host), Scope::Store], from, to)
    }

    fn unasked(&self) -> Vec<String> {
        let unasked =
            self.seen.runs.iter().filter(|run| !self.seen.sent.contains_key(&run.request));
        unasked.map(|run| format!("a server ran what no caller sent: {run:?}")).collect()
    }

    /// Finds hosts that forgot a route that they had known in the same start.
    fn went_back(&self) -> Vec<String> {
        let mut known: HashMap<(usize, u64, &str), Millis> = HashMap::new();
        let probes = self.seen.sent.values().filter(|sent| sent.kind.is_none());
        for sent in probes.clone() {
            if let Some((at, End::Answered { status: 200, .. })) = &sent.end {
                let first = known.entry((sent.host, sent.start, &sent.path)).or_insert(*at);
                *first = (*first).min(*at);
            }
        }
        let forgot = |sent: &&Sent| {
            let is_unknown = matches!(sent.end, Some((_, End::Answered { status: 404, .. })));
            let before = known.get(&(sent.host, sent.start, sent.path.as_str()));
            is_unknown && before.is_some_and(|at| sent.at > *at)
        };
        probes.filter(forgot).map(|sent| format!("a host went back: {sent:?}")).collect()
    }

    /// Finds windows with more repeated sends of a service than all hosts together may make.
    fn over_budget(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for service in ["engines", "app"] {
            let mut first: HashMap<&str, Millis> = HashMap::new();
            let mut repeats: Vec<Millis> = Vec::new();
            let mut runs: Vec<&Run> =
                self.seen.runs.iter().filter(|run| run.service == service).collect();
            runs.sort_by_key(|run| run.at);
            for run in runs {
                if first.insert(&run.request, run.at).is_some() {
                    repeats.push(run.at);
                }
            }
            let requests: Vec<Millis> = first.values().copied().collect();
            for end in &repeats {
                let begin = end.saturating_sub(REPEAT_WINDOW_MS);
                let within = |times: &[Millis], from: Millis| {
                    times.iter().filter(|at| **at > from && *at <= end).count() as f64
                };
                let asked = within(&requests, begin.saturating_sub(REPEAT_WINDOW_MS / 2));
                let repeated = within(&repeats, begin);
                if repeated > REPEAT_RATIO * asked + REPEAT_SLACK {
                    broken.push(format!("{end} ms: {repeated} repeats of {asked} at {service}"));
                    break;
                }
            }
        }
        broken
    }

    /// Finds requests that a planned stop cut, where nothing else was disturbed.
    fn cut_by_stops(&self, runs: &HashMap<&str, Vec<&Run>>) -> Vec<String> {
        let mut broken = Vec::new();
        for (host, start, told, ended) in &self.seen.stops {
            let ended = ended.unwrap_or(told + 8_000);
            let is_calm = self
                .seen
                .disturbed
                .iter()
                .all(|(_, begin, end)| *begin > ended || *end + STABLE_MS < *told);
            let cut = self.seen.sent.iter().filter(|(id, sent)| {
                sent.host == *host
                    && sent.start == *start
                    && sent.at + 3_000 > *told
                    && matches!(sent.end, Some((at, End::Broken)) if at >= *told)
                    && runs.contains_key(id.as_str())
            });
            if is_calm {
                broken
                    .extend(cut.map(|(id, sent)| format!("{told} ms: a stop cut {id}: {sent:?}")));
            }
        }
        broken
    }

    fn not_recovered(&self) -> Option<String> {
        let (served, asked) = self.recovered();
        (f64::from(served) < RECOVERED * f64::from(asked) || asked == 0)
            .then(|| format!("{served} of {asked} served after the last fault"))
    }

    /// Returns how many requests were served after the last fault, and how many were sent.
    pub(crate) fn recovered(&self) -> (u32, u32) {
        let is_late = |sent: &&Sent| {
            sent.at > self.healed + RECOVER_MS
                && sent.kind.is_some()
                && !self.seen.revoked.contains_key(&sent.key)
                && !matches!(sent.end, Some((_, End::Left)) | None)
        };
        let late: Vec<&Sent> = self.seen.sent.values().filter(is_late).collect();
        let is_served =
            |sent: &&&Sent| matches!(sent.end, Some((_, End::Answered { is_whole: true, .. })));
        (late.iter().filter(is_served).count() as u32, late.len() as u32)
    }
}
