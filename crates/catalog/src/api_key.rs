//! API keys, which the files contain only as keyed hashes.

use crate::Digest;

/// Context string of the BLAKE3 key derivation.
const CONTEXT: &str = "cleatshelf 2026-12 api key";

/// Hashes API keys with the release's salt.
///
/// API keys are long and random, so a fast hash is enough. The salt makes equal keys of two operators hash
/// differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiKeyHasher {
    derived_key: [u8; 32],
}

impl ApiKeyHasher {
    /// Creates a hasher for the `key_salt` of a classes file.
    #[must_use]
    pub fn new(salt: &str) -> Self {
        Self { derived_key: blake3::derive_key(CONTEXT, salt.as_bytes()) }
    }

    /// Returns the hash that a customers file has for `api_key`.
    #[must_use]
    pub fn hash(&self, api_key: &str) -> Digest {
        let hash = blake3::keyed_hash(&self.derived_key, api_key.as_bytes());
        let mut short = [0; 16];
        short.copy_from_slice(&hash.as_bytes()[..16]);
        Digest(short)
    }
}
