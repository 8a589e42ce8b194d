//! Concurrent callers, spread over the entry hosts, each of which runs until its request ends.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::load::CompletionAsk;
use crate::load::CompletionEnd;
use crate::load::CompletionStory;
use crate::load::PromptPlan;
use crate::load::Refused;
use crate::load::ask_completion;

/// The reasons of temporary refusals: the entry host is stopping, or the engines' memory is full.
const PASSING_REASONS: [&str; 2] = ["stopping", "memory_full"];

/// The delay before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A group of callers with concurrent streams.
#[derive(Debug, Default)]
pub struct Crowd {
    client: Client,
    tasks: JoinSet<CompletionStory>,
    sent: u64,
}

/// The requests of a crowd; each caller has its own prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrowdAsk {
    /// The customer's bearer token.
    pub token: String,
    /// The number of callers.
    pub callers: usize,
    /// The length of each prompt, in tokens.
    pub prompt_tokens: u32,
    /// The length of each answer, in tokens.
    pub answer_tokens: u32,
    /// The timeout of each request.
    pub deadline: Duration,
}

impl Crowd {
    /// Sends requests to `hosts` in turn.
    pub fn send(&mut self, hosts: &[SocketAddr], ask: &CrowdAsk) {
        for first in 0..ask.callers {
            self.sent += 1;
            let ask = CompletionAsk {
                token: ask.token.clone(),
                model: "assist".to_owned(),
                prompt: PromptPlan { seed: self.sent, tokens: ask.prompt_tokens },
                answer_tokens: ask.answer_tokens,
                deadline: ask.deadline,
            };
            let (client, hosts) = (self.client.clone(), hosts.to_vec());
            self.tasks.spawn(async move { ask_until_taken(&client, &hosts, first, &ask).await });
        }
    }

    /// Waits until every caller's request has ended.
    pub async fn finish(self) -> Vec<CompletionStory> {
        self.tasks.join_all().await
    }
}

/// Sends a request like `ask_completion`, and retries at the next entry host after a temporary
/// refusal.
async fn ask_until_taken(
    client: &Client,
    hosts: &[SocketAddr],
    first: usize,
    ask: &CompletionAsk,
) -> CompletionStory {
    let start = Instant::now();
    let mut tried = 0;
    loop {
        let story = ask_completion(client, hosts, first + tried, ask).await;
        tried += 1;
        if start.elapsed() >= ask.deadline || !is_to_come_back(&story.end) {
            return story;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns whether a request was not run and may be accepted elsewhere or a little later.
fn is_to_come_back(end: &CompletionEnd) -> bool {
    let CompletionEnd::Refused(Refused { outcome, reason }) = end else { return false };
    outcome == "not_run" && PASSING_REASONS.contains(&reason.as_str())
}
