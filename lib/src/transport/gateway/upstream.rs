//! One connection to a server for one request.
//!
//! A connection is used once. A server that closed a kept connection, answers late on it or sends
//! bytes beyond an answer can then neither lose a request that must not run twice nor spoil the
//! next answer; docs/design/platform.md has what new connections cost.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a connection may take: several times the way between two availability zones, and less
/// than the second after which a lost opening packet is sent again.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// When a silent connection is probed first, how often then, and how many probes a server may miss: one
/// that lost its power or its network is known after two seconds, when its callers still wait.
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES_MISSED: u32 = 2;
/// How long sent bytes may stay unacknowledged before the connection counts as lost.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);

/// Why no head of an answer came.
#[derive(Debug)]
pub(crate) enum SendError {
    /// No byte of the request left.
    NotSent(String),
    /// The request may have arrived.
    Lost(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(message) => write!(f, "not sent: {message}"),
            SendError::Lost(message) => write!(f, "no answer: {message}"),
        }
    }
}

/// An open connection; dropping it closes the connection, by which the server stops the request.
pub(crate) struct Upstream {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Makes the system notice a server that neither answers nor resets the connection.
fn probe_when_silent(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MISSED);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}

impl Upstream {
    /// Opens a connection to `address`.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Upstream, SendError> {
        let not_sent = |message: String| SendError::NotSent(message);
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent("no connection in time".to_owned()))?
            .map_err(|error| not_sent(error.to_string()))?;
        stream
            .set_nodelay(true)
            .and_then(|()| probe_when_silent(&stream))
            .map_err(|error| not_sent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            // The request's own future reports what went wrong.
            let _ = connection.await;
        });
        Ok(Upstream { sender, driver })
    }

    /// Sends the request and returns the answer once its head is there.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => {
                let was_kept = error.take_message().is_some();
                let message = error.into_error().to_string();
                Err(if was_kept { SendError::NotSent(message) } else { SendError::Lost(message) })
            }
        }
    }
}
