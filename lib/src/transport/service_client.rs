//! Sends calls to plain services and tells apart what was never sent from what may have run.

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

/// An answer with what its headers say of the service.
struct Answered {
    reply: ServiceReply,
    leaving: bool,
}

impl ServiceClient {
    /// Makes a client that takes answers of up to `max_body` bytes.
    ///
    /// The HTTP client must not keep idle connections: a kept connection that the service closed
    /// fails after a byte was written, and the call's outcome would be unknown for no need.
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

    async fn send(&self, addr: SocketAddr, call: &ServiceCall) -> Result<Answered, ServiceFailure> {
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
        let response = request.send().await.map_err(failure_of)?;
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
        Ok(Answered { reply, leaving })
    }
}

/// A connection that was never made carried nothing; any later failure may have run the call.
fn failure_of(error: reqwest::Error) -> ServiceFailure {
    if error.is_connect() || error.is_builder() {
        ServiceFailure::NotSent
    } else {
        ServiceFailure::Lost
    }
}
