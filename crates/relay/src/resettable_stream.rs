//! TCP stream that resets its connection when an exchange is abandoned.

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

/// A TCP stream that sends a reset if it is dropped while `busy` is set.
///
/// A regular close would still deliver buffered data, possibly seconds later if the link was down, and the server would
/// start a request that no caller waits for.
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
                log::debug!(target: "cleatshelf", "setting SO_LINGER failed, closing instead of resetting: {why}");
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
