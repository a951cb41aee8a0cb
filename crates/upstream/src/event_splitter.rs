//! Splitting of byte streams into server-sent events.

use bytes::{Bytes, BytesMut};

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into complete events, so that a lost connection never leads to a partial event being forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes of `buffer` already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes. Returns false if the buffered events exceed the size limit.
    #[must_use]
    pub fn feed(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event with its closing blank line.
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

    /// Returns the data of an event, without `data:` and surrounding whitespace.
    #[must_use]
    pub fn data(event: &[u8]) -> &[u8] {
        event.strip_prefix(b"data:").unwrap_or(event).trim_ascii()
    }

    /// Returns true for the event that ends an answer.
    #[must_use]
    pub fn is_done(event: &[u8]) -> bool {
        Self::data(event) == b"[DONE]"
    }
}
