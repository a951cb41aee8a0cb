//! Which prompt parts a server keeps, as far as this box knows.

use crate::{Millis, Part};
use std::collections::HashMap;

/// Parts believed to be in one server's memory; the ones unused for longest are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// Tokens and last use by part.
    parts: HashMap<u64, (u32, Millis)>,
    /// Sum of the parts' tokens.
    tokens: u64,
}

impl Kept {
    /// Tokens of `parts` from the first on that are kept without a gap.
    #[must_use]
    pub fn prefix(&self, parts: &[Part]) -> u32 {
        parts.iter().take_while(|part| self.parts.contains_key(&part.id)).map(|part| part.tokens).sum()
    }

    /// Notes that `parts` were used; forgets the oldest beyond `most` tokens.
    pub fn touch(&mut self, parts: &[Part], most: u64, now: Millis) {
        for part in parts {
            let old = self.parts.insert(part.id, (part.tokens, now));
            self.tokens += u64::from(part.tokens);
            self.tokens -= old.map_or(0, |(tokens, _)| u64::from(tokens));
        }
        while self.tokens > most {
            let oldest = self.parts.iter().min_by_key(|(_, (_, used))| *used).map(|(id, _)| *id);
            let Some((tokens, _)) = oldest.and_then(|id| self.parts.remove(&id)) else { return };
            self.tokens -= u64::from(tokens);
        }
    }
}
