//! Identities of streams.

use routing::rank_bytes;
use serde::{Deserialize, Serialize};

/// Identifies a stream by a hash of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stream(pub u64);

impl Stream {
    /// Returns the identity of the stream that this request of this customer began. Callers don't know `secret`, and the
    /// customer is part of the hash, so nobody can name a stream of another customer.
    #[must_use]
    pub fn of(secret: u64, customer: &str, request: &str) -> Self {
        Self(rank_bytes(rank_bytes(secret, customer.as_bytes()), request.as_bytes()))
    }
}
