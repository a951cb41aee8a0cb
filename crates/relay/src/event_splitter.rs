//! The events of a stream.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; a server that sends more is broken.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Cuts a stream's bytes into whole events and knows the last one's number.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last whole event.
    partial: BytesMut,
    /// Number of the last whole event.
    last: Option<u64>,
}

impl EventSplitter {
    /// Takes in bytes and gives back those up to the end of the last whole event.
    pub fn feed(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last(&self.partial) else { return Bytes::new() };
        let whole = self.partial.split_to(end).freeze();
        if let Some(id) = find_last_id(&whole) {
            self.last = Some(id);
        }
        whole
    }

    /// Number of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// True when nothing of an unfinished event is held.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// True when an unfinished event has grown beyond all bounds.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Drops an unfinished event, whose server will not finish it.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }
}

/// Where the last blank line ends.
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
