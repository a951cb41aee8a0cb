//! Authentication of frames with a shared key.

/// Context string for BLAKE3's key derivation.
const KEY_CONTEXT: &str = "cleatshelf 2026-12 box link";

/// Length of a frame's authentication tag. Short tags suffice because a wrong one closes the stream, which prevents
/// repeated guesses.
pub(crate) const TAG_BYTES: usize = 8;

/// The key that all boxes of a deployment share.
#[derive(Clone)]
pub struct Key {
    derived: [u8; 32],
}

/// The key of one stream. Bound to the listener's challenge and both box names, which prevents replays.
#[derive(Clone)]
pub struct Session {
    key: [u8; 32],
    /// Sequence number of the next frame.
    counter: u64,
}

impl Key {
    /// Derives the key from a secret of any length.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self { derived: blake3::derive_key(KEY_CONTEXT, secret.as_bytes()) }
    }

    /// Derives the key of the stream that `from` opens to `to` under `challenge`.
    #[must_use]
    pub fn session(&self, challenge: &str, from: &str, to: &str) -> Session {
        let mut hasher = blake3::Hasher::new_keyed(&self.derived);
        for text in [challenge, from, to] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        Session { key: *hasher.finalize().as_bytes(), counter: 0 }
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Session {
    /// Returns the tag of the next frame on this stream.
    pub(crate) fn next_tag(&mut self, payload: &[u8]) -> [u8; TAG_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.counter.to_le_bytes());
        hasher.update(payload);
        self.counter += 1;
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Checks the tag of the next frame in constant time.
    pub(crate) fn verify(&mut self, payload: &[u8], tag: &[u8]) -> bool {
        let expected = self.next_tag(payload);
        let differing = expected.iter().zip(tag).fold(0, |sum, (a, b)| sum | (a ^ b));
        tag.len() == TAG_BYTES && differing == 0
    }
}
