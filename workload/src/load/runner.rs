//! Runs a load with one task per arrival, and collects a single report.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Builder;

use crate::load::Arrival;
use crate::load::ArrivalPlan;
use crate::load::Ask;
use crate::load::Broken;
use crate::load::CallAsk;
use crate::load::CallEnd;
use crate::load::CallStory;
use crate::load::CompletionAsk;
use crate::load::CompletionEnd;
use crate::load::CompletionStory;
use crate::load::LoadConfig;
use crate::load::LoadReport;
use crate::load::PromptPlan;
use crate::load::Refused;
use crate::load::ask_call;
use crate::load::ask_completion;
use crate::load::evidence::Evidence;
use crate::load::length_index;
use wasabicrank_testutils::server::lock;

/// The timeout of a reservation.
const CALL_DEADLINE: Duration = Duration::from_secs(10);

/// A running load.
#[derive(Debug)]
pub struct Load {
    shared: Arc<Shared>,
    arrivals: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    config: LoadConfig,
    client: Client,
    running: AtomicUsize,
    report: Mutex<LoadReport>,
    evidence: Mutex<Evidence>,
}

impl Load {
    /// Starts a load on the caller's runtime.
    pub fn start(config: LoadConfig) -> Load {
        let shared = Arc::new(Shared {
            config,
            client: Client::new(),
            running: AtomicUsize::new(0),
            report: Mutex::default(),
            evidence: Mutex::default(),
        });
        let arrivals = tokio::spawn(shared.clone().send_all());
        Load { shared, arrivals }
    }

    /// Returns the report so far, before the comparison with what ran.
    pub fn report(&self) -> LoadReport {
        lock(&self.shared.report).clone()
    }

    /// Returns how many requests are in progress.
    pub fn running(&self) -> usize {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Waits until every request has ended, and compares what callers were told with what ran.
    pub async fn finish(self) -> LoadReport {
        // If the sending task panics, requests are missing, which the counts then show.
        let _ = self.arrivals.await;
        let mut report = lock(&self.shared.report).clone();
        let evidence = lock(&self.shared.evidence);
        if let Some(runs) = &self.shared.config.engine_runs {
            evidence.check_requests(runs, &mut report);
        }
        if let Some(runs) = &self.shared.config.service_runs {
            evidence.check_calls(&runs.by_key, &mut report);
        }
        report
    }
}

impl Shared {
    /// Sends each arrival at its time and waits for the last to end.
    async fn send_all(self: Arc<Self>) {
        let config = &self.config;
        let plan =
            ArrivalPlan::new(config.seed, config.mix.clone(), &config.customers, config.rate);
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for arrival in plan.take_while(|arrival| arrival.at < config.span) {
            tokio::time::sleep_until(start + arrival.at).await;
            while tasks.try_join_next().is_some() {}
            if self.running.load(Ordering::Relaxed) >= config.most_running {
                lock(&self.report).left_out += 1;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let shared = self.clone();
            tasks.spawn(async move {
                shared.send(arrival).await;
                shared.running.fetch_sub(1, Ordering::Relaxed);
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn send(&self, arrival: Arrival) {
        match arrival.ask {
            Ask::Completion { prompt, answer_tokens } => {
                self.send_completion(&arrival, prompt, answer_tokens).await;
            }
            Ask::Reservation { key_seed, double } => {
                self.send_reservation(&arrival, key_seed, double).await;
            }
        }
    }

    async fn send_completion(&self, arrival: &Arrival, prompt: PromptPlan, answer_tokens: u32) {
        let config = &self.config;
        let ask = CompletionAsk {
            token: config.customers[arrival.customer].token.clone(),
            model: config.model.clone(),
            prompt,
            answer_tokens,
            deadline: config.deadline + config.deadline_token * prompt.tokens,
        };
        lock(&self.report).lengths[length_index(prompt.tokens)].sent += 1;
        let story = ask_completion(&self.client, &config.hosts, arrival.host, &ask).await;
        self.note_completion(&ask, story);
    }

    fn note_completion(&self, ask: &CompletionAsk, story: CompletionStory) {
        let mut report = lock(&self.report);
        report.came_back += u64::from(story.came_back);
        report.tokens += u64::from(story.tokens);
        for between in &story.between {
            report.between.add(*between);
        }
        let length = &mut report.lengths[length_index(ask.prompt.tokens)];
        if let Some(first) = story.first_token {
            length.first_token.add(first);
        }
        let late = story.took.saturating_sub(ask.deadline);
        let mut broken = None;
        match story.end {
            CompletionEnd::Answered { right } => {
                length.answered += 1;
                if !right {
                    broken = Some(Broken::WrongAnswer { request: story.request });
                }
            }
            CompletionEnd::Refused(refused) => {
                length.refused += 1;
                if is_not_run(&refused) {
                    lock(&self.evidence).add_not_run(&story.request);
                }
                report.add_refused(refused);
            }
            CompletionEnd::Silent => {
                length.lost += 1;
                broken = Some(Broken::Late { request: story.request, by: late });
            }
            CompletionEnd::Lost => length.lost += 1,
        }
        if let Some(broken) = broken {
            report.add_broken(broken);
        }
    }

    async fn send_reservation(&self, arrival: &Arrival, key_seed: u64, double: bool) {
        let config = &self.config;
        let ask = CallAsk {
            token: config.customers[arrival.customer].token.clone(),
            path: format!("{}/reservations", config.service_path),
            key: new_key(key_seed),
            deadline: CALL_DEADLINE,
        };
        let send = |host| self.send_call(&ask, host);
        if double {
            tokio::join!(send(arrival.host), send(arrival.host + 1));
        } else {
            send(arrival.host).await;
        }
    }

    async fn send_call(&self, ask: &CallAsk, host: usize) {
        lock(&self.report).calls.sent += 1;
        let story = ask_call(&self.client, &self.config.hosts, host, ask).await;
        self.note_call(ask, story);
    }

    fn note_call(&self, ask: &CallAsk, story: CallStory) {
        let answered = matches!(story.end, CallEnd::Answered { .. });
        let not_run = matches!(&story.end, CallEnd::Refused(refused) if is_not_run(refused));
        lock(&self.evidence).add_call(&ask.key, answered, not_run);
        let mut report = lock(&self.report);
        report.came_back += u64::from(story.came_back);
        match story.end {
            CallEnd::Answered { own } => {
                report.calls.answered += 1;
                report.calls.took.add(story.took);
                if !own {
                    report.add_broken(Broken::WrongReply { key: ask.key.clone() });
                }
            }
            CallEnd::Refused(refused) => {
                report.calls.refused += 1;
                report.add_refused(refused);
            }
            CallEnd::Silent => {
                report.calls.lost += 1;
                let by = story.took.saturating_sub(ask.deadline);
                report.add_broken(Broken::Late { request: ask.key.clone(), by });
            }
            CallEnd::Lost => report.calls.lost += 1,
        }
    }
}

fn is_not_run(refused: &Refused) -> bool {
    refused.outcome == "not_run"
}

/// Returns a UUIDv7 for the current time, with random bits derived from `seed`.
pub fn new_key(seed: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let mut random = [0; 10];
    random[..8].copy_from_slice(&seed.to_le_bytes());
    Builder::from_unix_timestamp_millis(millis, &random).into_uuid().to_string()
}
