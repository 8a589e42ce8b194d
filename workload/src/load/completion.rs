//! A caller that requests a completion and resumes it elsewhere when its entry host goes away.

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

/// How long after its deadline an answer may still arrive, to allow for network delay.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(1);

/// The delay before a caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A completion request.
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
    /// The timeout of the request.
    pub deadline: Duration,
}

/// How a completion request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CompletionEnd {
    /// The answer was completed; the flag says whether it is the expected one.
    Answered { right: bool },
    /// The caller was told that it was refused or failed.
    Refused(Refused),
    /// The answer stopped or no response arrived by the deadline, although an entry host was
    /// reachable.
    Silent,
    /// No entry host was reachable any more.
    Lost,
}

/// The outcome of one request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionStory {
    /// How it ended.
    pub end: CompletionEnd,
    /// The last known identifier of the request, if the caller received one.
    pub request: String,
    /// The time to the first token.
    pub first_token: Option<Duration>,
    /// The times between consecutive pieces of the answer.
    pub between: Vec<Duration>,
    /// The number of answer tokens received.
    pub tokens: u32,
    /// How often the caller retried at another entry host.
    pub came_back: u32,
    /// The time until the request ended.
    pub took: Duration,
}

/// A request that is ready to be sent, with its expected answer.
#[derive(Debug, Clone)]
struct Prepared {
    body: Bytes,
    expected: String,
}

impl CompletionAsk {
    /// Builds the request's body and expected answer, off the threads that send and read.
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

/// The received part of an interrupted answer.
struct Resume<'a> {
    token: &'a str,
    text: &'a str,
}

/// How one connection ended.
enum ConnectionEnd {
    Ended(CompletionEnd),
    /// The connection broke or was refused.
    Broke,
}

/// The state of an answer so far.
struct Progress {
    start: Instant,
    last: Instant,
    text: String,
    /// The identifier of the last event, with which a caller resumes elsewhere.
    resume: Option<String>,
    story: CompletionStory,
}

/// Sends a request to `hosts`, starting at `first`, and continues with the next host when a
/// connection breaks.
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
        match timeout_at(last_moment, progress.run_connection(client, host, ask, &prepared)).await {
            Err(_) => break CompletionEnd::Silent,
            Ok(ConnectionEnd::Ended(end)) => break end,
            Ok(ConnectionEnd::Broke) => {}
        }
        tried += 1;
        progress.story.came_back += 1;
        if Instant::now() + RETRY_DELAY >= last_moment {
            break CompletionEnd::Lost;
        }
        tokio::time::sleep(RETRY_DELAY).await;
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
    async fn run_connection(
        &mut self,
        client: &Client,
        host: SocketAddr,
        ask: &CompletionAsk,
        prepared: &Prepared,
    ) -> ConnectionEnd {
        let left = ask.deadline.saturating_sub(self.start.elapsed());
        let request = client
            .post(format!("http://{host}/v1/completions"))
            .bearer_auth(&ask.token)
            .header("x-deadline-ms", left.as_millis().max(1).to_string())
            .header("content-type", "application/json")
            .body(self.body(ask, prepared));
        match request.send().await {
            Err(_) => ConnectionEnd::Broke,
            Ok(response) if response.status().is_success() => {
                self.read_events(response, prepared).await
            }
            Ok(response) => match response.json::<Value>().await {
                Ok(refusal) => ConnectionEnd::Ended(self.refused(&refusal)),
                Err(_) => ConnectionEnd::Broke,
            },
        }
    }

    /// Returns the body, which requests only the rest if part of the answer was already received.
    fn body(&self, ask: &CompletionAsk, prepared: &Prepared) -> Bytes {
        match &self.resume {
            None => prepared.body.clone(),
            Some(token) => {
                let resume = Resume { token, text: &self.text };
                ask.body(&ask.prompt.text(), Some(&resume))
            }
        }
    }

    async fn read_events(&mut self, mut response: Response, prepared: &Prepared) -> ConnectionEnd {
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
        ConnectionEnd::Broke
    }

    /// Parses one line of an event; returns the end if the line ends the answer.
    fn read_line(&mut self, line: &str, prepared: &Prepared) -> Option<ConnectionEnd> {
        if let Some(id) = line.strip_prefix("id: ") {
            self.resume = Some(id.to_owned());
        }
        let data = line.strip_prefix("data: ")?;
        if data == "[DONE]" {
            let right = self.text == prepared.expected;
            return Some(ConnectionEnd::Ended(CompletionEnd::Answered { right }));
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["outcome"].is_string() {
            return Some(ConnectionEnd::Ended(self.refused(&event)));
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
    /// Parses the JSON body of a refusal.
    pub fn read(refusal: &Value) -> Refused {
        let word = |name: &str| refusal[name].as_str().unwrap_or("missing").to_owned();
        Refused { outcome: word("outcome"), reason: word("reason") }
    }
}
