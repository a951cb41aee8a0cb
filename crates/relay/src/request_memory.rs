//! The memory that request bodies may take.

use memory::{Budget, Reservation};
use std::sync::Arc;

/// Bytes for all bodies together unless the settings state the memory of the box.
const DEFAULT_BYTES: usize = 64 << 20;

/// Share of the memory of a box that all bodies together may take. Answers have as much, and so have connections.
const SHARE_OF_BOX: usize = 4;

/// Share of the memory of a box that all large heads together may take. As much is left for everything else.
const HEADS_SHARE_OF_BOX: usize = 8;

/// Size up to which a body counts as small.
const SMALL_BYTES: usize = 16 << 10;

/// Memory that a connection takes beside what is counted here: the buffer that it reads into, and its state.
const CONNECTION_BYTES: usize = 24 << 10;

/// Counts the bytes of request bodies, from their arrival until nothing sends them any more, and those of large request
/// heads. A clone counts the same bytes.
#[derive(Clone, Debug)]
pub struct RequestMemory {
    bodies: Arc<Budget>,
    heads: Arc<Budget>,
}

impl Default for RequestMemory {
    fn default() -> Self {
        Self {
            bodies: Budget::new(DEFAULT_BYTES, SMALL_BYTES),
            // Small heads aren't counted.
            heads: Budget::new(DEFAULT_BYTES / 2, usize::MAX),
        }
    }
}

impl RequestMemory {
    /// Sets the memory of the box, in bytes.
    pub fn set_box_memory(&self, bytes: usize) {
        self.bodies.set_limit(bytes / SHARE_OF_BOX);
        self.heads.set_limit(bytes / HEADS_SHARE_OF_BOX);
    }

    /// Returns the number of connections for which a box with so many bytes of memory has room.
    #[must_use]
    pub fn max_connections(box_bytes: usize) -> usize {
        box_bytes / SHARE_OF_BOX / CONNECTION_BYTES
    }

    /// Returns the number of bytes that bodies hold.
    #[must_use]
    pub fn used(&self) -> usize {
        self.bodies.used()
    }

    /// Returns the number of bytes that all bodies together may hold.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.bodies.limit()
    }

    /// Returns a reservation for a body.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation::new(&self.bodies)
    }

    /// Returns a reservation for a large head.
    #[must_use]
    pub fn head_reservation(&self) -> Reservation {
        Reservation::new(&self.heads)
    }

    /// Returns the number of bytes that large heads hold.
    #[must_use]
    pub fn used_by_heads(&self) -> usize {
        self.heads.used()
    }

    /// Returns true if a body of `held` bytes may take `more`.
    #[must_use]
    pub fn has_room(&self, held: usize, more: usize) -> bool {
        self.bodies.has_room(held, more)
    }
}
