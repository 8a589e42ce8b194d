//! One caller that asks for an answer, and comes back when its entry host goes away.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Client;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::load::PromptPlan;
use crate::load::Refused;
use wasabicrank_testutils::text::TOKEN_BYTES;
use wasabicrank_testutils::text::expected_answer;

/// How long after its deadline an answer may still arrive, for the way over the network.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// The pause before a caller comes back.
const RETURN_PAUSE: Duration = Duration::from_millis(50);

/// A request for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionAsk {
    /// The customer's bearer token.
    pub token: String,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: PromptPlan,
    /// The answer's length in tokens.
    pub answer_tokens: u32,
    /// The time that the request is given.
    pub deadline: Duration,
}

/// How a request for an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompletionEnd {
    /// The answer came to its end; whether it is the right one.
    Answered { right: bool },
    /// The caller was told that it was refused or failed.
    Refused(Refused),
    /// Nothing more was heard by the deadline, though an entry host was there.
    Silent,
    /// No entry host was there any more.
    Lost,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionStory {
    /// How it ended.
    pub end: CompletionEnd,
    /// The last identifier that the request had, if one was told.
    pub request: String,
    /// The time to the first token.
    pub first_token: Option<Duration>,
    /// The times between the pieces after the first.
    pub between: Vec<Duration>,
    /// The answer tokens that came.
    pub tokens: u32,
    /// How often the caller came back to another entry host.
    pub came_back: u32,
    /// The time to the end.
    pub took: Duration,
}

/// A request that is ready to be sent, with the answer that belongs to it.
#[derive(Debug, Clone)]
struct Prepared {
    body: Bytes,
    expected: String,
}

impl CompletionAsk {
    /// Makes the request's body and the answer that belongs to it, away from the threads that send
    /// and read.
    async fn prepare(&self) -> Prepared {
        let ask = self.clone();
        let made = tokio::task::spawn_blocking(move || {
            let prompt = ask.prompt.text();
            let expected = expected_answer(&prompt, ask.answer_tokens);
            Prepared { body: ask.body(&prompt, None), expected }
        });
        made.await.expect("making a request does not fail")
    }

    fn body(&self, prompt: &str, resume: Option<&Resume<'_>>) -> Bytes {
        let mut body = json!({
            "model": self.model,
            "prompt": prompt,
            "max_tokens": self.answer_tokens,
            "stream": true,
        });
        if let Some(Resume { token, text }) = resume {
            body["resume"] = json!({ "token": token, "text": text });
        }
        Bytes::from(body.to_string())
    }
}

/// What a caller has of an answer that broke off.
struct Resume<'a> {
    token: &'a str,
    text: &'a str,
}

/// How one connection ended.
enum Leg {
    Ended(CompletionEnd),
    /// The connection broke or was refused.
    Broke,
}

/// What is known of an answer so far.
struct Progress {
    start: Instant,
    last: Instant,
    text: String,
    /// The identifier of the last event, with which a caller goes on elsewhere.
    resume: Option<String>,
    story: CompletionStory,
}

/// Asks `hosts` from `first` on, going on with the next one when a connection breaks.
pub async fn ask_completion(
    client: &Client,
    hosts: &[SocketAddr],
    first: usize,
    ask: &CompletionAsk,
) -> CompletionStory {
    let prepared = ask.prepare().await;
    let mut progress = Progress::new();
    let last_moment = progress.start + ask.deadline + DEADLINE_GRACE;
    let mut tried = 0;
    let end = loop {
        let host = hosts[(first + tried) % hosts.len()];
        match timeout_at(last_moment, progress.run_leg(client, host, ask, &prepared)).await {
            Err(_) => break CompletionEnd::Silent,
            Ok(Leg::Ended(end)) => break end,
            Ok(Leg::Broke) => {}
        }
        tried += 1;
        progress.story.came_back += 1;
        if Instant::now() + RETURN_PAUSE >= last_moment {
            break CompletionEnd::Lost;
        }
        tokio::time::sleep(RETURN_PAUSE).await;
    };
    progress.story.end = end;
    progress.story.took = progress.start.elapsed();
    progress.story
}

impl Progress {
    fn new() -> Progress {
        let start = Instant::now();
        let story = CompletionStory {
            end: CompletionEnd::Lost,
            request: String::new(),
            first_token: None,
            between: Vec::new(),
            tokens: 0,
            came_back: 0,
            took: Duration::ZERO,
        };
        Progress { start, last: start, text: String::new(), resume: None, story }
    }

    /// Sends the request over one connection and reads its answer.
    async fn run_leg(
        &mut self,
        client: &Client,
        host: SocketAddr,
        ask: &CompletionAsk,
        prepared: &Prepared,
    ) -> Leg {
        let left = ask.deadline.saturating_sub(self.start.elapsed());
        let request = client
            .post(format!("http://{host}/v1/completions"))
            .bearer_auth(&ask.token)
            .header("x-deadline-ms", left.as_millis().max(1).to_string())
            .header("content-type", "application/json")
            .body(self.body(ask, prepared));
        match request.send().await {
            Err(_) => Leg::Broke,
            Ok(response) if response.status().is_success() => {
                self.read_events(response, prepared).await
            }
            Ok(response) => match response.json::<Value>().await {
                Ok(refusal) => Leg::Ended(self.refused(&refusal)),
                Err(_) => Leg::Broke,
            },
        }
    }

    /// Returns the body, which asks for the rest if a part of the answer is here.
    fn body(&self, ask: &CompletionAsk, prepared: &Prepared) -> Bytes {
        match &self.resume {
            None => prepared.body.clone(),
            Some(token) => {
                let resume = Resume { token, text: &self.text };
                ask.body(&ask.prompt.text(), Some(&resume))
            }
        }
    }

    async fn read_events(&mut self, mut response: Response, prepared: &Prepared) -> Leg {
        let mut buffer = Vec::new();
        while let Ok(Some(bytes)) = response.chunk().await {
            buffer.extend_from_slice(&bytes);
            let Some(end) = buffer.iter().rposition(|byte| *byte == b'\n') else { continue };
            let lines: Vec<u8> = buffer.drain(..=end).collect();
            let lines = String::from_utf8_lossy(&lines);
            for line in lines.lines() {
                if let Some(leg) = self.read_line(line, prepared) {
                    return leg;
                }
            }
        }
        Leg::Broke
    }

    /// Reads one line of an event; returns the end if it is one.
    fn read_line(&mut self, line: &str, prepared: &Prepared) -> Option<Leg> {
        if let Some(id) = line.strip_prefix("id: ") {
            self.resume = Some(id.to_owned());
        }
        let data = line.strip_prefix("data: ")?;
        if data == "[DONE]" {
            let right = self.text == prepared.expected;
            return Some(Leg::Ended(CompletionEnd::Answered { right }));
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["outcome"].is_string() {
            return Some(Leg::Ended(self.refused(&event)));
        }
        if let Some(id) = event["id"].as_str() {
            id.clone_into(&mut self.story.request);
        }
        if let Some(text) = event["choices"][0]["text"].as_str().filter(|text| !text.is_empty()) {
            self.add_text(text);
        }
        None
    }

    fn add_text(&mut self, text: &str) {
        let now = Instant::now();
        match self.story.first_token {
            None => self.story.first_token = Some(now - self.start),
            Some(_) => self.story.between.push(now - self.last),
        }
        self.last = now;
        self.text.push_str(text);
        self.story.tokens = u32::try_from(self.text.len() / TOKEN_BYTES).unwrap_or(u32::MAX);
    }

    fn refused(&mut self, refusal: &Value) -> CompletionEnd {
        if let Some(id) = refusal["request_id"].as_str().filter(|id| !id.is_empty()) {
            id.clone_into(&mut self.story.request);
        }
        CompletionEnd::Refused(Refused::read(refusal))
    }
}

impl Refused {
    /// Reads the JSON of a refusal.
    pub fn read(refusal: &Value) -> Refused {
        let word = |name: &str| refusal[name].as_str().unwrap_or("missing").to_owned();
        Refused { outcome: word("outcome"), reason: word("reason") }
    }
}
