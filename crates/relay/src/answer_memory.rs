//! The memory that answers may take while they are buffered.

use bytes::{Bytes, BytesMut};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Bytes for all answers together unless the settings state the memory of the box.
const DEFAULT_BYTES: usize = 64 << 20;

/// Share of the memory of a box that all answers together may take: a buffer may be twice the size of its content while
/// it grows.
const SHARE_OF_BOX: usize = 4;

/// Number of answers of the greatest size that fit at the same time.
const GREATEST_ANSWERS: usize = 4;

/// Size up to which answers are accepted even if others have taken all memory.
const ALWAYS_ACCEPTED_BYTES: usize = 64 << 10;

/// Counts the bytes of buffered answers. Servers state the sizes of answers, and some never end.
#[derive(Debug)]
pub struct AnswerMemory {
    limit: AtomicUsize,
    used: AtomicUsize,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self { limit: AtomicUsize::new(DEFAULT_BYTES), used: AtomicUsize::new(0) }
    }
}

impl AnswerMemory {
    /// Sets the memory of the box, in bytes.
    pub fn set_box_memory(&self, bytes: usize) {
        self.limit.store(bytes / SHARE_OF_BOX, Ordering::Relaxed);
    }

    /// Returns the number of bytes that buffered answers hold.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// The bytes of one buffered answer, counted until this value is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: Arc<AnswerMemory>,
    bytes: usize,
}

impl Reservation {
    pub(crate) fn new(memory: &Arc<AnswerMemory>) -> Self {
        Self { memory: Arc::clone(memory), bytes: 0 }
    }

    /// Counts further bytes. Returns false if the answer is too large, alone or beside others.
    #[must_use]
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let used = self.memory.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let limit = self.memory.limit.load(Ordering::Relaxed);
        self.bytes <= ALWAYS_ACCEPTED_BYTES || (used <= limit && self.bytes <= limit / GREATEST_ANSWERS)
    }

    /// Returns the content of the answer, which stays counted for as long as it is held.
    pub(crate) fn hold(self, content: BytesMut) -> Bytes {
        Bytes::from_owner(ReservedBytes { content, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The content of an answer with its reservation.
struct ReservedBytes {
    content: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}
