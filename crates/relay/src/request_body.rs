//! The body of a request.

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use memory::Reservation;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Capacity of the first piece of a body.
const MIN_PIECE_BYTES: usize = 4 << 10;

/// Capacity of the pieces of a large body.
const MAX_PIECE_BYTES: usize = 64 << 10;

/// A buffered body, in pieces. A clone shares the content.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    /// None is empty. Where one ends depends on the offset only, not on how the body arrived.
    pieces: Arc<[Bytes]>,
    bytes: usize,
    /// Counts the memory of the pieces until all clones are dropped.
    _reservation: Option<Arc<Reservation>>,
}

impl RequestBody {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes
    }

    /// Returns true if there is no content.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns the content in order. Equal bodies have equal pieces.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &piece[..])
    }

    /// Returns the content for one send.
    #[must_use]
    pub fn outgoing(&self) -> OutgoingBody {
        OutgoingBody { body: self.clone(), next: 0, left: self.bytes as u64 }
    }
}

/// Collects a body. Unlike a list of received chunks it takes about as much memory as the content.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    /// Full pieces.
    pieces: Vec<Bytes>,
    /// The piece that is being filled.
    last: BytesMut,
    bytes: usize,
    /// Length of the whole body, if it was stated.
    stated: Option<usize>,
}

impl BodyBuffer {
    /// Creates a buffer for a body, of this length if it was stated. Allocates nothing until content arrives.
    #[must_use]
    pub fn new(stated: Option<usize>) -> Self {
        Self { stated, ..Self::default() }
    }

    /// Returns the number of bytes collected.
    #[must_use]
    pub fn received(&self) -> usize {
        self.bytes
    }

    /// Returns the number of bytes allocated.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum::<usize>() + self.last.capacity()
    }

    /// Appends content.
    pub fn push(&mut self, mut content: &[u8]) {
        while !content.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_piece();
            }
            let (fits, rest) = content.split_at(content.len().min(self.last.capacity() - self.last.len()));
            self.last.extend_from_slice(fits);
            self.bytes += fits.len();
            content = rest;
        }
    }

    fn begin_piece(&mut self) {
        let capacity = piece_bytes(self.bytes, self.stated);
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        self.pieces.extend((!full.is_empty()).then(|| full.freeze()));
    }

    /// Returns the number of bytes that will be allocated to append as much content.
    #[must_use]
    pub fn growth(&self, content_bytes: usize) -> usize {
        let (mut end, mut growth) = (self.bytes + self.last.capacity() - self.last.len(), 0);
        while end < self.bytes + content_bytes {
            let piece = piece_bytes(end, self.stated);
            (end, growth) = (end + piece, growth + piece);
        }
        growth
    }

    /// Returns the body, whose memory is counted by this reservation.
    #[must_use]
    pub fn finish(mut self, reservation: Reservation) -> RequestBody {
        self.pieces.extend((!self.last.is_empty()).then(|| self.last.freeze()));
        RequestBody { pieces: self.pieces.into(), bytes: self.bytes, _reservation: Some(Arc::new(reservation)) }
    }
}

/// Returns the capacity of the piece that begins at `offset`.
fn piece_bytes(offset: usize, stated: Option<usize>) -> usize {
    let left = stated.map_or(usize::MAX, |stated| stated.saturating_sub(offset));
    // A body may be longer than stated only if its framing is broken, which ends it.
    offset.clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES).min(left.max(1))
}

/// A body on its way to a server.
#[derive(Debug)]
pub struct OutgoingBody {
    body: RequestBody,
    /// Index of the next piece.
    next: usize,
    /// Bytes of this and all later pieces.
    left: u64,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let Some(piece) = self.body.pieces.get(self.next).cloned() else { return Poll::Ready(None) };
        self.next += 1;
        self.left -= piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
