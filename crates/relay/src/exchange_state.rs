//! What a connection to a server and its exchange share.

use std::cell::Cell;

/// Bytes that a server may send before the head of its answer is complete, interim responses included. Several times the
/// size of a head that is accepted.
const MAX_BYTES_BEFORE_HEAD: usize = 256 * 1024;

/// State of the exchange that is in progress on a connection.
#[derive(Debug)]
pub(crate) struct ExchangeState {
    /// Set while an exchange is in progress. The connection is reset if it is dropped in that state.
    busy: Cell<bool>,
    /// Bytes that may still arrive before the head is complete; `None` afterwards.
    left_before_head: Cell<Option<usize>>,
}

impl ExchangeState {
    /// Creates the state of a connection that is opened for an exchange.
    pub(crate) fn new() -> Self {
        Self { busy: Cell::new(true), left_before_head: Cell::new(Some(MAX_BYTES_BEFORE_HEAD)) }
    }

    /// Begins an exchange.
    pub(crate) fn begin(&self) {
        self.busy.set(true);
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

    /// Counts bytes that have arrived. Returns false if there are too many without a head.
    #[must_use]
    pub(crate) fn on_bytes(&self, count: usize) -> bool {
        let Some(left) = self.left_before_head.get() else { return true };
        self.left_before_head.set(Some(left.saturating_sub(count)));
        count <= left
    }
}
