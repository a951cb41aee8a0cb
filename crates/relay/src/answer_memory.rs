//! The memory that answers may take while they are buffered.

use memory::{Budget, Reservation};
use std::sync::Arc;

/// Bytes for all answers together unless the settings state the memory of the box.
const DEFAULT_BYTES: usize = 64 << 20;

/// Share of the memory of a box that all answers together may take: a buffer may be twice the size of its content while
/// it grows.
const SHARE_OF_BOX: usize = 4;

/// Number of answers of the greatest size that fit at the same time.
const GREATEST_ANSWERS: usize = 4;

/// Size up to which an answer counts as small.
const SMALL_BYTES: usize = 64 << 10;

/// Counts the bytes of buffered answers. Servers state the sizes of answers, and some never end.
#[derive(Debug)]
pub struct AnswerMemory(Arc<Budget>);

impl Default for AnswerMemory {
    fn default() -> Self {
        Self(Budget::new(DEFAULT_BYTES, SMALL_BYTES))
    }
}

impl AnswerMemory {
    /// Sets the memory of the box, in bytes.
    pub fn set_box_memory(&self, bytes: usize) {
        self.0.set_limit(bytes / SHARE_OF_BOX);
    }

    /// Returns the number of bytes that buffered answers hold.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.used()
    }

    /// Returns a reservation for an answer.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation::new(&self.0)
    }

    /// Counts further bytes of an answer. Returns false, and counts none, if it is too large, alone or beside others.
    #[must_use]
    pub fn grow(&self, answer: &mut Reservation, bytes: usize) -> bool {
        let greatest = SMALL_BYTES.max(self.0.limit() / GREATEST_ANSWERS);
        answer.bytes() + bytes <= greatest && answer.grow(bytes)
    }
}
