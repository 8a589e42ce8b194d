//! Callers who ask at the same time, each through its own entry host, and are heard to the end.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinSet;

use crate::load::CompletionAsk;
use crate::load::CompletionEnd;
use crate::load::CompletionStory;
use crate::load::PromptPlan;
use crate::load::Refused;
use crate::load::ask_completion;

/// Callers whose streams run at the same time.
#[derive(Debug, Default)]
pub struct Crowd {
    client: Client,
    tasks: JoinSet<CompletionStory>,
    sent: u64,
}

/// What one crowd asks for; each caller has its own prompt.
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
    /// The time that each request is given.
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
            self.tasks.spawn(async move { ask_through_stops(&client, &hosts, first, &ask).await });
        }
    }

    /// Waits until every caller has heard the end.
    pub async fn finish(self) -> Vec<CompletionStory> {
        self.tasks.join_all().await
    }
}

/// Asks as `ask_completion` does, and goes to the next entry host if one says that it is stopping.
async fn ask_through_stops(
    client: &Client,
    hosts: &[SocketAddr],
    first: usize,
    ask: &CompletionAsk,
) -> CompletionStory {
    let mut tried = 0;
    loop {
        let story = ask_completion(client, hosts, first + tried, ask).await;
        tried += 1;
        if tried >= hosts.len() || !is_stopping(&story.end) {
            return story;
        }
    }
}

fn is_stopping(end: &CompletionEnd) -> bool {
    let stopping = Refused { outcome: "not_run".to_owned(), reason: "stopping".to_owned() };
    *end == CompletionEnd::Refused(stopping)
}
