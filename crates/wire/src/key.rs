//! Proof that a peer holds the shared key.

/// Names the purpose of derived keys, as BLAKE3 asks for.
const CONTEXT: &str = "cleatshelf 2026-12 box link";

/// Length of a frame's proof in bytes. A wrong one ends the stream, so nobody gets to guess on.
pub(crate) const PROOF: usize = 8;

/// The key that all boxes of a deployment share.
#[derive(Clone)]
pub struct Key {
    derived: [u8; 32],
}

/// The key of one stream: bound to the listener's challenge and both names, so nothing can be replayed.
#[derive(Clone)]
pub struct Session {
    key: [u8; 32],
    /// Rises by one with each frame.
    count: u64,
}

impl Key {
    /// The key made from a secret of any length.
    #[must_use]
    pub fn new(secret: &str) -> Self {
        Self { derived: blake3::derive_key(CONTEXT, secret.as_bytes()) }
    }

    /// The key of the stream that `from` opens to `to` under `challenge`.
    #[must_use]
    pub fn session(&self, challenge: &str, from: &str, to: &str) -> Session {
        let mut hasher = blake3::Hasher::new_keyed(&self.derived);
        for text in [challenge, from, to] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        Session { key: *hasher.finalize().as_bytes(), count: 0 }
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Session {
    /// The proof of the next frame on this stream.
    pub(crate) fn prove(&mut self, payload: &[u8]) -> [u8; PROOF] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.count.to_le_bytes());
        hasher.update(payload);
        self.count += 1;
        let mut proof = [0; PROOF];
        proof.copy_from_slice(&hasher.finalize().as_bytes()[..PROOF]);
        proof
    }

    /// True when `proof` is that of the next frame. Takes the same time for every wrong proof.
    pub(crate) fn check(&mut self, payload: &[u8], proof: &[u8]) -> bool {
        let right = self.prove(payload);
        let differing = right.iter().zip(proof).fold(0, |sum, (a, b)| sum | (a ^ b));
        proof.len() == PROOF && differing == 0
    }
}
