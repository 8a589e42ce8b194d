//! Reads and watches the platform's configuration and live list; it never writes.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::StatusCode;
use serde::de::DeserializeOwned;

use super::ring::CoreSender;
use crate::coordination::ConfigReadResult;
use crate::coordination::Input;
use crate::coordination::ReadFailure;
use crate::protocol::platform_api::ConfigReply;
use crate::protocol::platform_api::LiveReply;
use crate::state::LiveList;

/// The timeout of a watch in addition to its wait time.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// The client of the configuration service and the live list.
#[derive(Clone)]
pub(crate) struct PlatformClient {
    http: reqwest::Client,
    core: CoreSender,
    addr: SocketAddr,
    wait: Duration,
}

impl PlatformClient {
    /// Creates a client whose watches of the live list wait for up to `wait` at the service.
    pub(crate) fn new(
        http: reqwest::Client,
        core: CoreSender,
        addr: SocketAddr,
        wait: Duration,
    ) -> PlatformClient {
        PlatformClient { http, core, addr, wait }
    }

    /// Sends one watch for the configuration.
    pub(crate) async fn read_config(self, after: u64, wait: Duration) {
        let answer = match self.watch::<ConfigReply>("config", after, wait).await {
            Ok(Some(reply)) => {
                ConfigReadResult::Value { version: reply.version, text: reply.text.into() }
            }
            Ok(None) => ConfigReadResult::Unchanged,
            Err(ReadFailure::RateLimited) => ConfigReadResult::RateLimited,
            Err(ReadFailure::Unavailable) => ConfigReadResult::Failed,
        };
        self.core.send(Input::ConfigRead(answer)).await;
    }

    /// Sends one watch for the live list.
    pub(crate) async fn read_live(self, after: u64) {
        let read = self.watch::<LiveReply>("live", after, self.wait).await;
        let read = read.map(|reply| reply.map(LiveList::from));
        self.core.send(Input::LiveListRead(read)).await;
    }

    async fn watch<T: DeserializeOwned>(
        &self,
        what: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<T>, ReadFailure> {
        let ms = wait.as_millis();
        let url = format!("http://{}/{what}?after={after}&wait_ms={ms}", self.addr);
        let request = self.http.get(url).timeout(wait + WATCH_TIMEOUT_MARGIN);
        let response = request.send().await.map_err(|_| ReadFailure::Unavailable)?;
        match response.status() {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::TOO_MANY_REQUESTS => Err(ReadFailure::RateLimited),
            status if status.is_success() => {
                response.json().await.map(Some).map_err(|_| ReadFailure::Unavailable)
            }
            _ => Err(ReadFailure::Unavailable),
        }
    }
}
