//! Sends calls to plain services and distinguishes calls that were never sent from those that may have
//! run.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;

use super::ring::CoreSender;
use crate::coordination::Input;
use crate::coordination::ServiceFailure;
use crate::coordination::ServiceReport;
use crate::state::ServiceCall;
use crate::state::ServiceReply;

/// The client of all plain services.
#[derive(Clone)]
pub(crate) struct ServiceClient {
    http: reqwest::Client,
    core: CoreSender,
    max_body: usize,
}

/// A service's reply, and whether its headers announce that the service is leaving.
struct ServiceResponse {
    reply: ServiceReply,
    leaving: bool,
}

impl ServiceClient {
    /// Creates a client that accepts responses of up to `max_body` bytes.
    ///
    /// The HTTP client must not pool idle connections: one that the service has closed fails after a
    /// byte was written, which makes the call's outcome unknown unnecessarily.
    pub(crate) fn new(http: reqwest::Client, core: CoreSender, max_body: usize) -> ServiceClient {
        ServiceClient { http, core, max_body }
    }

    /// Sends one call and reports how it ended.
    pub(crate) async fn call(self, addr: SocketAddr, call: ServiceCall, left: Duration) {
        let sent = tokio::time::timeout(left, self.send(addr, &call)).await;
        let (result, leaving) = match sent {
            Ok(Ok(answered)) => (Ok(answered.reply), answered.leaving),
            Ok(Err(failure)) => (Err(failure), false),
            Err(_) => (Err(ServiceFailure::Lost), false),
        };
        let report = ServiceReport { request: call.id, addr, result, leaving };
        self.core.send(Input::CallEnded(report)).await;
    }

    async fn send(
        &self,
        addr: SocketAddr,
        call: &ServiceCall,
    ) -> Result<ServiceResponse, ServiceFailure> {
        let method =
            Method::from_bytes(call.method.as_bytes()).map_err(|_| ServiceFailure::NotSent)?;
        let url = format!("http://{addr}{}", call.path);
        let mut request = self.http.request(method, url).body(call.body.to_vec());
        request = request.header("x-request-id", call.id.to_string());
        if let Some(media) = &call.media {
            request = request.header("content-type", media.as_ref());
        }
        if let Some(key) = call.key {
            request = request.header("idempotency-key", key.to_string());
        }
        let response = request.send().await.map_err(classify_failure)?;
        let leaving = response.headers().get("x-leaving").is_some_and(|value| value == "true");
        let status = response.status().as_u16();
        let media = response
            .headers()
            .get("content-type")
            .and_then(|value| value.to_str().ok())
            .map(|media| media.into());
        let body = response.bytes().await.map_err(|_| ServiceFailure::Lost)?;
        if body.len() > self.max_body {
            return Err(ServiceFailure::Lost);
        }
        let reply = ServiceReply { status, media, body: body.as_ref().into() };
        Ok(ServiceResponse { reply, leaving })
    }
}

/// Returns `NotSent` if no connection was made; after any later failure the call may have run.
fn classify_failure(error: reqwest::Error) -> ServiceFailure {
    if error.is_connect() || error.is_builder() {
        ServiceFailure::NotSent
    } else {
        ServiceFailure::Lost
    }
}
