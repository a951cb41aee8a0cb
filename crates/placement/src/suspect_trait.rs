//! Traits of requests that may crash servers.

use crate::Fingerprint;
use serde::{Deserialize, Serialize};

/// What of a request is suspected. The more specific one is higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// A part of its prompt, which other requests may share.
    Part {
        /// Its position in the prompt, from 0. Later parts are shared by fewer requests.
        position: u8,
    },
    /// The request as a whole.
    Whole,
}

/// A trait of a request: the whole of it, or a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Trait {
    /// Identifies it among all traits of all requests.
    pub fingerprint: Fingerprint,
    /// What it is.
    pub scope: Scope,
}

impl Trait {
    /// Returns the trait of having this part at this position. Customers share parts, so a customer's name is no part of
    /// it.
    #[must_use]
    pub fn part(secret: u64, id: u64, position: usize) -> Self {
        let fingerprint = Fingerprint::of(secret, &[b"part", &id.to_le_bytes()]);
        Self { fingerprint, scope: Scope::Part { position: u8::try_from(position).unwrap_or(u8::MAX) } }
    }
}
