//! Short ids used between boxes: 32-bit hashes of names, equal on every box regardless of its release.

use crate::Digest;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! ids {
    ($($(#[doc = $doc:literal])+ $name:ident;)+) => {$(
        $(#[doc = $doc])+
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the id for `name`.
            #[must_use]
            pub fn of(name: &str) -> Self {
                Self(short_hash(name))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}:{:08x}", stringify!($name), self.0)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:08x}", self.0)
            }
        }
    )+};
}

ids! {
    /// Identifies a box.
    BoxId;
    /// Identifies a class.
    ClassId;
    /// Identifies a customer.
    CustomerId;
    /// Identifies a server, that is, one upstream.
    ServerId;
    /// Identifies a shard: the part of a pool that one box owns.
    ShardId;
}

fn short_hash(name: &str) -> u32 {
    let digest = Digest::of(name.as_bytes());
    u32::from_le_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]])
}
