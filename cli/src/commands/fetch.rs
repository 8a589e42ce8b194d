//! Concurrent HTTP requests for JSON to the operators' addresses of several entry hosts.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Builder;

use crate::output::print_stderr;

/// The timeout of the request to one entry host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry host from which no valid answer was received.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Unreachable {
    /// The operators' address of the entry host.
    pub(crate) addr: SocketAddr,
    /// The cause of the failure.
    pub(crate) error: String,
}

/// The results of one request to each of several entry hosts.
#[derive(Debug)]
pub(crate) struct Answers<T> {
    /// The answers that were received, in the order of the addresses.
    pub(crate) received: Vec<T>,
    /// The entry hosts that failed to answer.
    pub(crate) unreachable: Vec<Unreachable>,
}

impl<T: DeserializeOwned> Answers<T> {
    /// Requests `path`, which may include a query string, from all of `addrs` concurrently.
    pub(crate) fn fetch(addrs: &[SocketAddr], path: &str) -> Result<Answers<T>, Box<dyn Error>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let client = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build()?;
        let requests = addrs.iter().map(|addr| fetch_one(&client, *addr, path));
        let results = runtime.block_on(join_all(requests));
        let mut answers = Answers { received: Vec::new(), unreachable: Vec::new() };
        for result in results {
            match result {
                Ok(answer) => answers.received.push(answer),
                Err(unreachable) => answers.unreachable.push(unreachable),
            }
        }
        Ok(answers)
    }
}

impl<T> Answers<T> {
    /// Reports the entry hosts that failed to answer on standard error.
    pub(crate) fn report_unreachable(&self) {
        for Unreachable { addr, error } in &self.unreachable {
            print_stderr(&format!("{addr}: {error}"));
        }
    }
}

async fn fetch_one<T: DeserializeOwned>(
    client: &Client,
    addr: SocketAddr,
    path: &str,
) -> Result<T, Unreachable> {
    let unreachable = |error: String| Unreachable { addr, error };
    let sent = client.get(format!("http://{addr}{path}")).send().await;
    let response = sent.map_err(|error| unreachable(root_cause(&error)))?;
    let status = response.status();
    if !status.is_success() {
        let body = response.text().await.unwrap_or_default();
        return Err(unreachable(format!("answered {status}: {}", body.trim())));
    }
    response.json().await.map_err(|error| unreachable(root_cause(&error)))
}

/// Returns the message of the innermost error, which names the cause; the outer errors only name the
/// operation that failed.
fn root_cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return format!("no answer within {} s", ANSWER_TIMEOUT.as_secs());
    }
    let mut cause: &dyn Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
