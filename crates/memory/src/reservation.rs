//! The memory of one buffer.

use crate::Budget;
use bytes::{Bytes, BytesMut};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The bytes of one buffer, counted until this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Creates a reservation of no bytes.
    pub fn new(budget: &Arc<Budget>) -> Self {
        Self { budget: Arc::clone(budget), bytes: 0 }
    }

    /// Counts further bytes, whether the budget has them or not.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts further bytes if the budget has room for them. Returns false, and counts none, otherwise.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let before = self.budget.used.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > self.budget.limit_for(self.bytes + bytes) {
            self.budget.used.fetch_sub(bytes, Ordering::Relaxed);
            return false;
        }
        self.bytes += bytes;
        true
    }

    /// Returns the number of reserved bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the content of the buffer, which stays counted for as long as it is held.
    #[must_use]
    pub fn hold(self, content: BytesMut) -> Bytes {
        Bytes::from_owner(ReservedBytes { content, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The content of a buffer with its reservation.
struct ReservedBytes {
    content: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
