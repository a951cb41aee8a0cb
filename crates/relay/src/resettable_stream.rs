//! Connection to a server that is reset when an exchange is abandoned.

use crate::exchange_state::ExchangeState;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP connection, or a tunnel over one.
pub(crate) trait Socket: AsyncRead + AsyncWrite + AsFd + Unpin {}

impl<T: AsyncRead + AsyncWrite + AsFd + Unpin> Socket for T {}

/// A connection that sends a reset if it is dropped during an exchange, and fails if a server sends too much before the
/// head of its answer.
///
/// A regular close would still deliver buffered data, possibly seconds later if the link was down, and the server would
/// start a request that no caller waits for.
pub(crate) struct ResettableStream<S: Socket> {
    stream: S,
    state: Rc<ExchangeState>,
}

impl<S: Socket> ResettableStream<S> {
    pub(crate) fn new(stream: S, state: Rc<ExchangeState>) -> TokioIo<Self> {
        TokioIo::new(Self { stream, state })
    }
}

impl<S: Socket> Drop for ResettableStream<S> {
    fn drop(&mut self) {
        if self.state.is_busy() {
            if let Err(why) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
                log::debug!(target: "cleatshelf", "setting SO_LINGER failed, closing instead of resetting: {why}");
            }
        }
    }
}

impl<S: Socket> AsyncRead for ResettableStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.state.on_bytes(&buf.filled()[before..]) {
            polled
        } else {
            Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "no answer within the bytes allowed for a head",
            )))
        }
    }
}

impl<S: Socket> AsyncWrite for ResettableStream<S> {
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
