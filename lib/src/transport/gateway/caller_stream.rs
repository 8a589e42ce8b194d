//! The connection of a caller, which fails when the caller reads nothing for too long.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// What the requests of a connection share with it.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    /// How long the caller may read nothing of what is being written.
    stall_limit: Cell<Duration>,
    has_stalled: Cell<bool>,
    is_aborted: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl CallerConnection {
    pub(crate) fn new(stall_limit: Duration) -> CallerConnection {
        CallerConnection {
            stall_limit: Cell::new(stall_limit),
            has_stalled: Cell::new(false),
            is_aborted: Cell::new(false),
            waker: RefCell::new(None),
        }
    }

    /// Sets how long the caller may read nothing, for the request that is now served.
    pub(crate) fn set_stall_limit(&self, limit: Duration) {
        self.stall_limit.set(limit);
    }

    /// Returns whether the connection failed because the caller read nothing.
    pub(crate) fn has_stalled(&self) -> bool {
        self.has_stalled.get()
    }

    /// Closes the connection with all that was not sent.
    pub(crate) fn abort(&self) {
        self.is_aborted.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// A TCP stream to a caller.
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    /// When the write that is pending fails.
    stall: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Rc<CallerConnection>) -> CallerStream {
        CallerStream { stream, connection, stall: None }
    }

    /// Returns the error of an aborted connection.
    fn check_aborted(&self, cx: &Context<'_>) -> io::Result<()> {
        if self.connection.is_aborted.get() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        self.connection.waker.replace(Some(cx.waker().clone()));
        Ok(())
    }

    fn write(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.check_aborted(cx)?;
        let written = write(Pin::new(&mut self.stream), cx);
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let limit = self.connection.stall_limit.get();
        let stall = self.stall.get_or_insert_with(|| Box::pin(sleep(limit)));
        if stall.as_mut().poll(cx).is_ready() {
            self.connection.has_stalled.set(true);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.check_aborted(cx)?;
        Pin::new(&mut this.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().write(cx, |stream, cx| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut().write(cx, |stream, cx| stream.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
