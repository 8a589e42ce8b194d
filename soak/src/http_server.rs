//! A small HTTP/1 server for simulated services, whose responses may be aborted.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// The error that aborts a response.
#[derive(Debug)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for Aborted {}

/// The body of a response.
pub(crate) enum ResponseBody {
    /// Complete from the start.
    Whole(Full<Bytes>),
    /// Produced piece by piece; an error aborts the connection.
    Pieces(mpsc::Receiver<Result<Bytes, Aborted>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            ResponseBody::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            ResponseBody::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }
}

/// What is sent in place of a response's bytes once a connection is to send endless bytes.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// An extension of each request: spoils its connection, so that no head of a response is ever sent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Spoiler(Arc<AtomicBool>);

impl Spoiler {
    pub(crate) fn spoil(&self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// A connection that sends as many other bytes as it is given once it is to send endless bytes.
struct SpoilableStream {
    stream: TcpStream,
    spoiler: Spoiler,
    position: usize,
}

impl AsyncRead for SpoilableStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for SpoilableStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if !this.spoiler.0.load(Ordering::SeqCst) {
            return Pin::new(&mut this.stream).poll_write(context, bytes);
        }
        let rest = &INTERIM_RESPONSE[this.position..];
        let piece = &rest[..rest.len().min(bytes.len())];
        Pin::new(&mut this.stream).poll_write(context, piece).map_ok(|count| {
            this.position = (this.position + count) % INTERIM_RESPONSE.len();
            count
        })
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

type ResponseFuture = Pin<Box<dyn Future<Output = Response<ResponseBody>> + Send>>;

/// A listener that stops when dropped; open connections are not closed by it.
pub(crate) struct Listening {
    /// The address that it listens on.
    pub(crate) address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `address` and answers each request with `answer`.
pub(crate) async fn listen(
    address: SocketAddr,
    answer: impl Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
) -> io::Result<Listening> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let spoiler = Spoiler::default();
                let stream = SpoilableStream { stream, spoiler: spoiler.clone(), position: 0 };
                let service = service_fn(|mut request: Request<Incoming>| {
                    request.extensions_mut().insert(spoiler.clone());
                    let answering = answer(request);
                    async move { Ok::<_, Infallible>(answering.await) }
                });
                // An error here means that the caller disconnected or the response was aborted, as intended.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(Listening { address, task: task.abort_handle() })
}
