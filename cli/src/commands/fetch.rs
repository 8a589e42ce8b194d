//! Asks the operators' addresses of entry hosts for JSON, all at once.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use reqwest::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Builder;

use crate::output::complain;

/// How long one entry host may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry host that gave no answer.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Unreachable {
    /// Its operators' address.
    pub(crate) addr: SocketAddr,
    /// What went wrong.
    pub(crate) error: String,
}

/// What came of asking several entry hosts.
#[derive(Debug)]
pub(crate) struct Answers<T> {
    /// The answers, in the order of the addresses.
    pub(crate) given: Vec<T>,
    /// The entry hosts that gave none.
    pub(crate) unreachable: Vec<Unreachable>,
}

impl<T: DeserializeOwned> Answers<T> {
    /// Asks each of `addrs` for `path`, which may have a query.
    pub(crate) fn fetch(addrs: &[SocketAddr], path: &str) -> Result<Answers<T>, Box<dyn Error>> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let client = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build()?;
        let asked = addrs.iter().map(|addr| ask(&client, *addr, path));
        let results = runtime.block_on(join_all(asked));
        let mut answers = Answers { given: Vec::new(), unreachable: Vec::new() };
        for result in results {
            match result {
                Ok(answer) => answers.given.push(answer),
                Err(unreachable) => answers.unreachable.push(unreachable),
            }
        }
        Ok(answers)
    }
}

impl<T> Answers<T> {
    /// Names the entry hosts that gave no answer on standard error.
    pub(crate) fn complain(&self) {
        for Unreachable { addr, error } in &self.unreachable {
            complain(&format!("{addr}: {error}"));
        }
    }
}

async fn ask<T: DeserializeOwned>(
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

/// Returns the innermost error, which says what happened rather than what was tried.
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
