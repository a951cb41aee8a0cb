//! Splitting of byte streams into server-sent events.

use bytes::{Bytes, BytesMut};

/// Size limit of one event. A server that exceeds it is treated as broken.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into complete events and tracks the id of the last one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Id of the last complete event.
    last: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes and returns everything up to the end of the last complete event.
    pub fn feed(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last(&self.partial) else { return Bytes::new() };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = find_last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Returns the id of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns true if no partial event is buffered.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns true if the partial event exceeds the size limit.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Discards a partial event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the end position of the last blank line.
fn end_of_last(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let returns = bytes.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    plain.max(returns)
}

fn find_last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|b| *b == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    std::str::from_utf8(ids.next()?).ok()?.trim().parse().ok()
}
