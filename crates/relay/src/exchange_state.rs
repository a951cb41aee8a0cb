//! What a connection to a server and its exchange share.

use std::cell::{Cell, RefCell};

/// Bytes that a server may send before the head of its answer is complete, interim responses included. Several times the
/// size of a head that is accepted.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1024;

/// Number of the last bytes from a server that are kept, to see what follows an answer.
const TAIL_BYTES: usize = 4 * 1024;

/// Number of the last bytes of a body by which its end is found among these.
const BODY_END_BYTES: usize = 64;

/// Beginning of another answer. Servers in trouble send some after a whole one.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// State of the exchange that is in progress on a connection.
#[derive(Debug)]
pub(crate) struct ExchangeState {
    /// Set while an exchange is in progress. The connection is reset if it is dropped in that state.
    busy: Cell<bool>,
    /// Bytes that may still arrive before the head is complete; `None` afterwards.
    left_before_head: Cell<Option<usize>>,
    /// The last bytes that have arrived, at least [`TAIL_BYTES`] of them if there were so many.
    tail: RefCell<Vec<u8>>,
}

impl ExchangeState {
    /// Creates the state of a connection that is opened for an exchange.
    pub(crate) fn new() -> Self {
        let left_before_head = Cell::new(Some(MAX_BYTES_BEFORE_HEAD));
        Self { busy: Cell::new(true), left_before_head, tail: RefCell::default() }
    }

    /// Begins an exchange.
    pub(crate) fn begin(&self) {
        self.busy.set(true);
        self.tail.borrow_mut().clear();
        self.left_before_head.set(Some(MAX_BYTES_BEFORE_HEAD));
    }

    /// Records that the head of the answer is complete.
    pub(crate) fn on_head(&self) {
        self.left_before_head.set(None);
    }

    /// Ends the exchange, after the whole answer was read.
    pub(crate) fn end(&self) {
        self.busy.set(false);
    }

    pub(crate) fn is_busy(&self) -> bool {
        self.busy.get()
    }

    /// Records bytes that have arrived. Returns false if there are too many without a head.
    #[must_use]
    pub(crate) fn on_bytes(&self, bytes: &[u8]) -> bool {
        let mut tail = self.tail.borrow_mut();
        tail.extend_from_slice(&bytes[bytes.len().saturating_sub(TAIL_BYTES)..]);
        // Trimmed only now and then, so that the bytes of small reads are not moved each time.
        if tail.len() > 2 * TAIL_BYTES {
            let surplus = tail.len() - TAIL_BYTES;
            tail.drain(..surplus);
        }
        let Some(left) = self.left_before_head.get() else { return true };
        self.left_before_head.set(Some(left.saturating_sub(bytes.len())));
        bytes.len() <= left
    }

    /// Returns true if something other than another answer has arrived after `body`, the whole body of an answer that
    /// states a length: the length is too short, or the server sends what is no answer.
    pub(crate) fn has_surplus(&self, body: &[u8]) -> bool {
        let tail = self.tail.borrow();
        let end = match &body[body.len().saturating_sub(BODY_END_BYTES)..] {
            // The end of the head.
            [] => b"\r\n\r\n",
            end => end,
        };
        let mut places = tail.windows(end.len()).enumerate().filter(|(_, window)| *window == end);
        !tail.ends_with(end) && !places.any(|(at, _)| tail[at + end.len()..].starts_with(ANSWER_START))
    }
}
