//! Cuts a stream of bytes into whole server-sent events.

use bytes::{Bytes, BytesMut};

/// Most bytes that one event may have.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Cuts a stream of bytes into whole events, so that a break never passes on half of one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes of `buffer` in which no end was found.
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes. False when an event grows beyond all bounds.
    #[must_use]
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// The next whole event with its closing blank line.
    pub fn next_event(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(1);
        let end = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        Some(self.buffer.split_to(from + end + 2).freeze())
    }

    /// The data of an event, without `data:` and blanks.
    #[must_use]
    pub fn data(event: &[u8]) -> &[u8] {
        event.strip_prefix(b"data:").unwrap_or(event).trim_ascii()
    }

    /// True for the event that ends a whole answer.
    #[must_use]
    pub fn is_done(event: &[u8]) -> bool {
        Self::data(event) == b"[DONE]"
    }
}
