//! A connection to a server that is reset when its exchange is given up.

use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream that resets its connection when it is dropped while `busy` is set.
///
/// A connection that is merely closed still delivers what waits in it, seconds later where a link was cut: the server
/// would begin a request that nobody waits for any more.
pub(crate) struct ResettableStream {
    stream: TcpStream,
    busy: Rc<Cell<bool>>,
}

impl ResettableStream {
    pub(crate) fn new(stream: TcpStream, busy: Rc<Cell<bool>>) -> TokioIo<Self> {
        TokioIo::new(Self { stream, busy })
    }
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.busy.get() {
            if let Err(why) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
                log::debug!(target: "cleatshelf", "a connection is closed, not reset: {why}");
            }
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
