//! API keys, which stand in the files only as keyed hashes.

use crate::Digest;

/// Names the purpose of the derived key, as BLAKE3 asks for.
const CONTEXT: &str = "cleatshelf 2026-12 api key";

/// Hashes callers' API keys with the release's salt.
///
/// Keys are long and random, so a fast hash is enough; the salt keeps two operators' equal keys apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiKeyHasher {
    derived: [u8; 32],
}

impl ApiKeyHasher {
    /// A hasher for the salt that stands in the classes file.
    #[must_use]
    pub fn new(salt: &str) -> Self {
        Self { derived: blake3::derive_key(CONTEXT, salt.as_bytes()) }
    }

    /// The hash under which `api_key` stands in a customers file.
    #[must_use]
    pub fn hash(&self, api_key: &str) -> Digest {
        let hash = blake3::keyed_hash(&self.derived, api_key.as_bytes());
        let mut short = [0; 16];
        short.copy_from_slice(&hash.as_bytes()[..16]);
        Digest(short)
    }
}
