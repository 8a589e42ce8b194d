//! A caller of a plain service that sends a run-once call and repeats it if no response arrives.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::timeout_at;
use uuid::Uuid;

use crate::load::DEADLINE_GRACE;
use crate::load::Refused;
use wasabicrank_testutils::text::TextHash;

/// How many consecutive calls must be answered before all homes of keys are considered ready.
const PROBES: usize = 20;

/// The timeout of each of those calls.
const PROBE_DEADLINE: Duration = Duration::from_secs(2);

/// The delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A call that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallAsk {
    /// The customer's bearer token.
    pub token: String,
    /// The path.
    pub path: String,
    /// The idempotency key.
    pub key: String,
    /// The timeout of the call.
    pub deadline: Duration,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// It was answered; the flag says whether the answer belongs to this call.
    Answered { own: bool },
    /// The caller was told that it was refused or failed.
    Refused(Refused),
    /// No response arrived by the deadline, although an entry host was reachable.
    Silent,
    /// No entry host was reachable any more.
    Lost,
}

/// The outcome of one call as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallStory {
    /// How it ended.
    pub end: CallEnd,
    /// How often the caller retried at another entry host.
    pub came_back: u32,
    /// The time until the call ended.
    pub took: Duration,
}

impl CallAsk {
    /// Returns the body, which differs for each key.
    fn body(&self) -> String {
        json!({ "reserve": self.key }).to_string()
    }

    /// Returns whether `reply` is the service's answer to this call.
    fn is_own(&self, reply: &Value) -> bool {
        let mut hash = TextHash::default();
        hash.read(&self.body());
        let body_hash = format!("{:016x}", hash.value());
        reply["key"] == self.key.as_str() && reply["body_hash"] == body_hash.as_str()
    }
}

/// Sends a call to `hosts`, starting at `first`, and repeats it with the same key when a connection
/// breaks.
pub async fn ask_call(
    client: &Client,
    hosts: &[SocketAddr],
    first: usize,
    ask: &CallAsk,
) -> CallStory {
    let start = Instant::now();
    let last_moment = start + ask.deadline + DEADLINE_GRACE;
    let mut came_back = 0;
    let end = loop {
        let host = hosts[(first + came_back as usize) % hosts.len()];
        let left = ask.deadline.saturating_sub(start.elapsed());
        match timeout_at(last_moment, send(client, host, ask, left)).await {
            Err(_) => break CallEnd::Silent,
            Ok(Some(end)) => break end,
            Ok(None) => {}
        }
        came_back += 1;
        if Instant::now() + RETRY_DELAY >= last_moment {
            break CallEnd::Lost;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    CallStory { end, came_back, took: start.elapsed() }
}

/// Sends a call over one connection; `None` if that broke.
async fn send(client: &Client, host: SocketAddr, ask: &CallAsk, left: Duration) -> Option<CallEnd> {
    let request = client
        .post(format!("http://{host}{}", ask.path))
        .bearer_auth(&ask.token)
        .header("idempotency-key", &ask.key)
        .header("x-deadline-ms", left.as_millis().max(1).to_string())
        .header("content-type", "application/json")
        .body(ask.body());
    let response = request.send().await.ok()?;
    let is_answer = response.status().is_success();
    let reply: Value = response.json().await.ok()?;
    if is_answer {
        return Some(CallEnd::Answered { own: ask.is_own(&reply) });
    }
    Some(CallEnd::Refused(Refused::read(&reply)))
}

/// Sends calls with new keys until enough consecutive ones are answered. Returns how long that
/// took, or `None` if it took longer than `limit`.
///
/// Homes that have just started cannot know whether a key was used before, and refuse it.
pub async fn wait_for_calls(
    hosts: &[SocketAddr],
    token: &str,
    path: &str,
    limit: Duration,
) -> Option<Duration> {
    let client = Client::new();
    let start = Instant::now();
    let mut answered = 0;
    while answered < PROBES {
        if start.elapsed() >= limit {
            return None;
        }
        let ask = CallAsk {
            token: token.to_owned(),
            path: path.to_owned(),
            key: Uuid::now_v7().to_string(),
            deadline: PROBE_DEADLINE,
        };
        let story = ask_call(&client, hosts, answered, &ask).await;
        if matches!(story.end, CallEnd::Answered { .. }) {
            answered += 1;
        } else {
            answered = 0;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
    Some(start.elapsed())
}
