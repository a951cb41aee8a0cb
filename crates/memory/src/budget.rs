//! The memory that buffers of one kind may take.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Share of a budget that only small buffers may take, so that large ones can't keep them out.
const SHARE_OF_SMALL: usize = 4;

/// Counts the bytes of all buffers of one kind.
#[derive(Debug)]
pub struct Budget {
    limit: AtomicUsize,
    pub(crate) used: AtomicUsize,
    /// Size up to which a buffer counts as small.
    small_bytes: usize,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(limit: usize, small_bytes: usize) -> Arc<Self> {
        Arc::new(Self { limit: AtomicUsize::new(limit), used: AtomicUsize::new(0), small_bytes })
    }

    /// Sets the number of bytes for all buffers together.
    pub fn set_limit(&self, bytes: usize) {
        self.limit.store(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes for all buffers together.
    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// Returns true if a buffer of `held` bytes may take `more`.
    pub fn has_room(&self, held: usize, more: usize) -> bool {
        self.used() + more <= self.limit_for(held + more)
    }

    /// Returns the number of bytes for all buffers together, as far as a buffer of `bytes` may use them.
    pub(crate) fn limit_for(&self, bytes: usize) -> usize {
        let for_small = if bytes <= self.small_bytes { 0 } else { self.limit() / SHARE_OF_SMALL };
        self.limit() - for_small
    }

    /// Returns the number of bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}
