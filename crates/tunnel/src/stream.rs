//! The connection between the two boxes of a tunnel.

use std::io::{self, ErrorKind, IoSlice};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncBufRead, AsyncRead, AsyncWrite, BufReader, ReadBuf};
use tokio::net::TcpStream;

/// Size of a record's length field, in bytes.
const LENGTH_BYTES: usize = 2;

/// Maximum number of bytes in a record.
const MAX_RECORD_BYTES: usize = u16::MAX as usize;

/// The length field that stands for the end of the bytes.
const END: [u8; LENGTH_BYTES] = [0; LENGTH_BYTES];

/// A connection whose ends are stated by the peer.
///
/// The kernel closes the connections of a killed process as it closes those of one that has finished. So the bytes of
/// each direction are sent as records, each behind its length in two bytes, and only an empty record ends them. It is
/// sent on shutdown; a connection that ends without it is an error for the reader.
#[derive(Debug)]
pub struct Stream {
    connection: BufReader<TcpStream>,
    incoming: Incoming,
    outgoing: Outgoing,
}

/// Position within the received records.
#[derive(Debug, Default)]
struct Incoming {
    length: [u8; LENGTH_BYTES],
    /// Number of bytes of `length` that have arrived; all of them while a record is being read.
    length_bytes: usize,
    /// Number of bytes of the current record that have not been read.
    unread: usize,
    /// True once the empty record has arrived.
    ended: bool,
}

/// Position within the sent records.
#[derive(Debug, Default)]
struct Outgoing {
    length: [u8; LENGTH_BYTES],
    /// Number of bytes of `length` that still have to be sent.
    length_bytes: usize,
    /// Number of bytes that the current record has been announced with and that have not been sent.
    unsent: usize,
    /// True once the empty record was begun.
    ended: bool,
}

impl Stream {
    /// Wraps a connection after its handshake, of which nothing may be unread.
    pub(crate) fn new(connection: TcpStream) -> Self {
        Self { connection: BufReader::new(connection), incoming: Incoming::default(), outgoing: Outgoing::default() }
    }

    fn connection(&mut self) -> Pin<&mut BufReader<TcpStream>> {
        Pin::new(&mut self.connection)
    }

    /// Sends the rest of the length field.
    fn poll_send_length(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.outgoing.length_bytes > 0 {
            let Outgoing { length, length_bytes, .. } = &self.outgoing;
            let rest = &length[LENGTH_BYTES - length_bytes..];
            let sent = ready!(Pin::new(&mut self.connection).poll_write(cx, rest))?;
            self.outgoing.length_bytes -= non_zero(sent)?;
        }
        Poll::Ready(Ok(()))
    }
}

/// Returns an error for a write that accepted nothing.
fn non_zero(sent: usize) -> io::Result<usize> {
    if sent == 0 {
        return Err(ErrorKind::WriteZero.into());
    }
    Ok(sent)
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.connection.get_ref().as_fd()
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        while !this.incoming.ended && buf.remaining() > 0 {
            let received = ready!(Pin::new(&mut this.connection).poll_fill_buf(cx))?;
            if received.is_empty() {
                let why = io::Error::new(ErrorKind::UnexpectedEof, "the tunnel was cut off before the server's end");
                return Poll::Ready(Err(why));
            }
            let Incoming { length, length_bytes, unread, ended } = &mut this.incoming;
            if *unread > 0 {
                let count = received.len().min(*unread).min(buf.remaining());
                buf.put_slice(&received[..count]);
                *unread -= count;
                this.connection().consume(count);
                return Poll::Ready(Ok(()));
            }
            let count = received.len().min(LENGTH_BYTES - *length_bytes);
            length[*length_bytes..*length_bytes + count].copy_from_slice(&received[..count]);
            *length_bytes += count;
            if *length_bytes == LENGTH_BYTES {
                *unread = u16::from_be_bytes(*length).into();
                *ended = *length == END;
                *length_bytes = 0;
            }
            this.connection().consume(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.outgoing.ended {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if this.outgoing.unsent == 0 {
            let unsent = bytes.len().min(MAX_RECORD_BYTES);
            // At most `MAX_RECORD_BYTES`, which fits.
            let length = (unsent as u16).to_be_bytes();
            this.outgoing = Outgoing { length, length_bytes: LENGTH_BYTES, unsent, ended: false };
        }
        loop {
            let Outgoing { length, length_bytes, unsent, .. } = &mut this.outgoing;
            let length_rest = &length[LENGTH_BYTES - *length_bytes..];
            let record_rest = &bytes[..bytes.len().min(*unsent)];
            let parts = [IoSlice::new(length_rest), IoSlice::new(record_rest)];
            let sent = ready!(Pin::new(&mut this.connection).poll_write_vectored(cx, &parts))?;
            let of_length = non_zero(sent)?.min(*length_bytes);
            *length_bytes -= of_length;
            let of_record = sent - of_length;
            if of_record > 0 {
                *unsent -= of_record;
                return Poll::Ready(Ok(of_record));
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().connection().poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.outgoing.ended {
            if this.outgoing.unsent > 0 {
                // The writer gave up within a record, which the end must not complete.
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            this.outgoing = Outgoing { length: END, length_bytes: LENGTH_BYTES, unsent: 0, ended: true };
        }
        ready!(this.poll_send_length(cx))?;
        this.connection().poll_shutdown(cx)
    }
}
