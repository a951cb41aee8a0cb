//! Connection to a caller.

use crate::caller::Caller;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Largest read from a caller. The buffer of a connection grows with what is read at a time, and keeps its size.
const MAX_READ_BYTES: usize = 8 << 10;

/// Time that a caller has to receive an answer that was sent before its request was read whole.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Bytes of the rest of a request body that are discarded meanwhile.
const MAX_LINGER_BYTES: usize = 256 << 10;

/// A connection to a caller whose end may end an answer.
///
/// Answers of unknown length have chunks, except those to HTTP/1.0 callers, for whom the end of the connection is the end
/// of the answer. While such an answer is sent, whatever closes the socket resets the connection, the kill of this process
/// included, unless the connection was shut down first.
///
/// A connection with an unread rest of a request body is shut down first and closed later: closing it at once would reset
/// it, and the caller might lose the answer that is on its way.
pub(crate) struct CallerStream {
    stream: TcpStream,
    caller: Rc<Caller>,
    /// Called with the number of bytes that have arrived.
    on_bytes: Box<dyn Fn(usize)>,
    /// True once the end of the connection is to end an answer.
    ends_answer: Rc<Cell<bool>>,
    /// True while closing the socket resets the connection.
    resets_on_close: bool,
    /// The delay between the shutdown and the close, once it has begun.
    linger: Option<Linger>,
}

/// The time between the shutdown of a connection and its close.
struct Linger {
    until: Pin<Box<Sleep>>,
    /// Number of bytes that may still be discarded.
    bytes_left: usize,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        caller: Rc<Caller>,
        on_bytes: Box<dyn Fn(usize)>,
        ends_answer: Rc<Cell<bool>>,
    ) -> TokioIo<Self> {
        TokioIo::new(Self { stream, caller, on_bytes, ends_answer, resets_on_close: false, linger: None })
    }

    /// Discards what arrives until the caller closes the connection, or the limits are reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            until: Box::pin(tokio::time::sleep(LINGER_TIME)),
            bytes_left: MAX_LINGER_BYTES,
        });
        let mut discarded = [0; MAX_READ_BYTES];
        while linger.bytes_left > 0 {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    linger.bytes_left = linger.bytes_left.saturating_sub(buffer.filled().len());
                }
                // The caller has closed the connection.
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return linger.until.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }

    fn set_resets_on_close(&mut self, resets: bool) {
        if self.resets_on_close == resets {
            return;
        }
        self.resets_on_close = resets;
        if let Err(why) = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO)) {
            log::debug!(target: "cleatshelf", "setting SO_LINGER failed: {why}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = if buf.remaining() > MAX_READ_BYTES {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(MAX_READ_BYTES));
            let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
            let count = part.filled().len();
            buf.advance(count);
            polled
        } else {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        };
        let count = buf.filled().len() - before;
        if count > 0 {
            (self.on_bytes)(count);
        }
        if self.caller.is_closing() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let ends_answer = self.ends_answer.get();
        self.set_resets_on_close(ends_answer);
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let ends_answer = self.ends_answer.get();
        self.set_resets_on_close(ends_answer);
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_resets_on_close(false);
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.caller.has_unread_body() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }
}
