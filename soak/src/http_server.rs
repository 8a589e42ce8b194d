//! A small HTTP/1 server for stand-ins whose answers may break off.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
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
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// An answer breaks off here.
#[derive(Debug)]
pub(crate) struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer breaks off")
    }
}

impl std::error::Error for BrokenOff {}

/// The body of an answer.
pub(crate) enum Answer {
    /// Known at once.
    Whole(Full<Bytes>),
    /// Made piece by piece; an error breaks the connection off.
    Pieces(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Answer::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Answer::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }
}

type Answering = Pin<Box<dyn Future<Output = Response<Answer>> + Send>>;

/// A listener that ends when this is dropped; open connections end by themselves.
pub(crate) struct Listening {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `address` and answers each request by `answer`.
pub(crate) async fn listen(
    address: SocketAddr,
    answer: impl Fn(Request<Incoming>) -> Answering + Send + Sync + 'static,
) -> io::Result<Listening> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let answer = Arc::new(answer);
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let answering = answer(request);
                    async move { Ok::<_, Infallible>(answering.await) }
                });
                // A caller that leaves, and an answer that breaks off, end the connection so.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(Listening { address, task: task.abort_handle() })
}
