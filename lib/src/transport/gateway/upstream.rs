//! A connection to a server for one request.
//!
//! Connections are not reused. With reuse, a server that closes an idle connection could lose a request
//! that must not run twice, and a server that answers late or sends extra bytes could corrupt the next
//! response. See docs/design/platform.md for the cost of new connections.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::byte_meter::ByteMeter;
use super::byte_meter::MAX_HEAD_BYTES;
use super::byte_meter::MeteredStream;

/// The timeout for a connection: several times the latency between two availability zones, and less
/// than the second after which a lost SYN is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The TCP keepalive parameters. A server that lost its power or network is detected after two seconds,
/// while its callers still wait.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection fails (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why no response head arrived.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have reached the server.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(message) => write!(f, "not sent: {message}"),
            SendError::Lost(message) => write!(f, "no response: {message}"),
        }
    }
}

/// An open connection. Dropping it closes the connection, upon which the server cancels the request.
pub(crate) struct Upstream {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    meter: ByteMeter,
}

/// How the body of a response failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// The connection failed.
    Reset,
    /// More bytes came than belong to a response.
    Excess,
}

/// The body of a response.
pub(crate) struct UpstreamBody {
    body: Incoming,
    meter: ByteMeter,
}

impl UpstreamBody {
    /// Returns the next bytes, or `None` at the end; cancel-safe.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BodyFault>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    // Trailers are not relayed.
                    let Ok(data) = frame.into_data() else { continue };
                    self.meter.record_data(data.len());
                    return Some(Ok(data));
                }
                Err(_) if self.meter.is_exceeded() => return Some(Err(BodyFault::Excess)),
                Err(_) => return Some(Err(BodyFault::Reset)),
            }
        }
    }

    /// Records that the body so far held one more event.
    pub(crate) fn record_event(&self) {
        self.meter.record_event();
    }

    /// Returns whether a part of the body has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.meter.has_partial_answer()
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Lets the system detect a server that neither responds nor resets the connection.
fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

impl Upstream {
    /// Opens a connection to `address`.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Upstream, SendError> {
        let not_sent = |message: String| SendError::NotSent(message);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("connecting timed out".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        stream
            .set_nodelay(true)
            .and_then(|()| enable_keepalive(&stream))
            .map_err(|error| not_sent(error.to_string()))?;
        let meter = ByteMeter::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(MeteredStream::new(stream, meter.clone())))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            // Errors are reported by the future of the request.
            let _ = connection.await;
        });
        Ok(Upstream { sender, driver, meter })
    }

    /// Sends the request and returns the response once its head has arrived.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<UpstreamBody>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.meter.begin_body();
                Ok(response.map(|body| UpstreamBody { body, meter: self.meter.clone() }))
            }
            Err(mut error) => {
                let was_kept = error.take_message().is_some();
                let message = error.into_error().to_string();
                Err(if was_kept { SendError::NotSent(message) } else { SendError::Lost(message) })
            }
        }
    }

    /// Returns whether a part of the response's head has arrived.
    pub(crate) fn has_begun(&self) -> bool {
        self.meter.has_partial_answer()
    }
}
