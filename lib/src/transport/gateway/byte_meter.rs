//! Bounds what the other side of a client connection may send that belongs to no answer.
//!
//! The HTTP library bounds one head, one chunk extension and one set of trailers, but neither the
//! interim answers before a head nor the digits and spaces of a chunk's size, and no time.

use std::cell::Cell;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// The largest head of an answer, and the most that is read at once.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How many bytes more than twice the data of its body an answer may take up: heads, the framing of
/// chunks, trailers, and what was read but not yet consumed.
const MAX_OVERHEAD_BYTES: u64 = 64 * 1024;
/// What each piece of a body counts as in addition, so that many small ones exceed the bound.
const PIECE_BYTES: u64 = 64;
/// What each event counts as in addition to its data, so that a stream of small events does not.
const EVENT_BYTES: u64 = 64;
/// The time from the first byte of a head to its last one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// The part of an answer that is read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Part {
    /// Nothing of a head yet, or an interim answer is complete.
    #[default]
    BeforeHead,
    /// Within a head. The line is empty so far, and whether a line that was not empty came before.
    InHead { is_line_empty: bool, has_line: bool },
    /// The body, once the head was returned.
    Body,
}

impl Part {
    fn after(self, byte: u8) -> Part {
        let (is_line_empty, has_line) = match self {
            Part::Body => return Part::Body,
            Part::BeforeHead => (true, false),
            Part::InHead { is_line_empty, has_line } => (is_line_empty, has_line),
        };
        match byte {
            b'\n' if is_line_empty && has_line => Part::BeforeHead,
            b'\n' => Part::InHead { is_line_empty: true, has_line: has_line || !is_line_empty },
            b'\r' => Part::InHead { is_line_empty, has_line },
            _ => Part::InHead { is_line_empty: false, has_line },
        }
    }
}

#[derive(Debug, Default)]
struct Counts {
    part: Cell<Part>,
    /// The bytes that were read, with what pieces count as, and those that were read of the body.
    read: Cell<u64>,
    body_read: Cell<u64>,
    /// The bytes of the body that were consumed, with what events count as.
    data: Cell<u64>,
    is_exceeded: Cell<bool>,
}

/// Counts the bytes of one answer at a time.
#[derive(Debug, Clone, Default)]
pub struct ByteMeter(Rc<Counts>);

impl ByteMeter {
    /// Begins to count for the answer to a new request.
    ///
    /// ```
    /// let meter = wasabicrank_lib::transport::ByteMeter::default();
    /// meter.begin_answer();
    /// assert!(!meter.is_exceeded());
    /// ```
    pub fn begin_answer(&self) {
        self.0.part.set(Part::BeforeHead);
        self.0.read.set(0);
        self.0.body_read.set(0);
        self.0.data.set(0);
    }

    /// Records that the answer's head was returned.
    ///
    /// ```
    /// let meter = wasabicrank_lib::transport::ByteMeter::default();
    /// meter.begin_body();
    /// assert!(!meter.has_partial_answer());
    /// ```
    pub fn begin_body(&self) {
        self.0.part.set(Part::Body);
    }

    /// Records that a piece of the body, of `size` bytes, was consumed.
    ///
    /// ```
    /// let meter = wasabicrank_lib::transport::ByteMeter::default();
    /// meter.begin_body();
    /// meter.record_data(5);
    /// assert!(meter.has_partial_answer());
    /// ```
    pub fn record_data(&self, size: usize) {
        self.0.data.set(self.0.data.get() + size as u64);
        self.0.read.set(self.0.read.get() + PIECE_BYTES);
    }

    /// Records that the pieces so far held one more event of a stream.
    ///
    /// ```
    /// let meter = wasabicrank_lib::transport::ByteMeter::default();
    /// meter.begin_body();
    /// meter.record_data(20);
    /// meter.record_event();
    /// assert!(!meter.is_exceeded());
    /// ```
    pub fn record_event(&self) {
        self.0.data.set(self.0.data.get() + EVENT_BYTES);
    }

    /// Returns whether a part of a head, or of a body after its head, has arrived.
    ///
    /// ```
    /// let meter = wasabicrank_lib::transport::ByteMeter::default();
    /// assert!(!meter.has_partial_answer());
    /// ```
    pub fn has_partial_answer(&self) -> bool {
        match self.0.part.get() {
            Part::BeforeHead => false,
            Part::InHead { .. } => true,
            Part::Body => self.0.body_read.get() > 0 || self.0.data.get() > 0,
        }
    }

    /// Returns whether the connection failed because a bound was exceeded.
    ///
    /// ```
    /// let meter = wasabicrank_lib::transport::ByteMeter::default();
    /// assert!(!meter.is_exceeded());
    /// ```
    pub fn is_exceeded(&self) -> bool {
        self.0.is_exceeded.get()
    }

    fn record_read(&self, bytes: &[u8]) {
        let counts = &*self.0;
        counts.read.set(counts.read.get() + bytes.len() as u64);
        if counts.part.get() == Part::Body {
            counts.body_read.set(counts.body_read.get() + bytes.len() as u64);
        } else {
            let part = bytes.iter().fold(counts.part.get(), |part, byte| part.after(*byte));
            counts.part.set(part);
        }
    }

    fn is_in_head(&self) -> bool {
        matches!(self.0.part.get(), Part::InHead { .. })
    }

    fn check_size(&self) -> io::Result<()> {
        if self.0.read.get() <= 2 * self.0.data.get() + MAX_OVERHEAD_BYTES {
            return Ok(());
        }
        Err(self.exceed(io::ErrorKind::InvalidData, "more bytes than an answer may have"))
    }

    fn exceed(&self, kind: io::ErrorKind, message: &'static str) -> io::Error {
        self.0.is_exceeded.set(true);
        io::Error::new(kind, message)
    }
}

/// A client connection that fails when its meter's bounds are exceeded.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: ByteMeter,
    /// Ends when the head that is being read has taken too long.
    head_timer: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    /// Wraps `stream`; its reader reports to `meter` what it consumes.
    ///
    /// ```no_run
    /// # async fn connect() -> std::io::Result<()> {
    /// use wasabicrank_lib::transport::{ByteMeter, MeteredStream};
    /// let stream = tokio::net::TcpStream::connect("127.0.0.1:80").await?;
    /// let meter = ByteMeter::default();
    /// let stream = MeteredStream::new(stream, meter.clone());
    /// # drop(stream);
    /// # Ok(())
    /// # }
    /// ```
    pub fn new(stream: TcpStream, meter: ByteMeter) -> MeteredStream {
        MeteredStream { stream, meter, head_timer: None }
    }

    fn poll_head_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.meter.is_in_head() {
            self.head_timer = None;
            return Poll::Pending;
        }
        let timer = self.head_timer.get_or_insert_with(|| Box::pin(sleep(HEAD_TIMEOUT)));
        timer.as_mut().poll(cx).map(|()| {
            Err(self.meter.exceed(io::ErrorKind::TimedOut, "the head took too long to arrive"))
        })
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.meter.check_size()?;
        let before = buffer.filled().len();
        match Pin::new(&mut this.stream).poll_read(cx, buffer) {
            Poll::Ready(Ok(())) => {
                this.meter.record_read(&buffer.filled()[before..]);
                match this.poll_head_timer(cx) {
                    Poll::Ready(late) => Poll::Ready(late),
                    Poll::Pending => Poll::Ready(Ok(())),
                }
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => this.poll_head_timer(cx),
        }
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, slices)
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
