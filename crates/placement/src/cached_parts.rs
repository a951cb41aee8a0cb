//! Which prompt parts a server keeps, as far as this box knows.

use crate::{Millis, Part};
use std::collections::HashMap;

/// What is known of one part on one server.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used: Millis,
    /// True once an answer showed that the server has read it; before, it may still be waiting.
    read: bool,
}

/// Parts believed to be in one server's memory; the ones unused for longest are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    parts: HashMap<u64, Entry>,
    /// Sum of the parts' tokens.
    tokens: u64,
}

impl CachedParts {
    /// Tokens of `parts`, from the first on without a gap, that are kept or will be when they are needed.
    #[must_use]
    pub fn cached_prefix(&self, parts: &[Part]) -> u32 {
        self.count(parts, |_| true)
    }

    /// Tokens of `parts`, from the first on without a gap, that have surely been read.
    #[must_use]
    pub fn confirmed_prefix(&self, parts: &[Part]) -> u32 {
        self.count(parts, |entry| entry.read)
    }

    fn count(&self, parts: &[Part], matches: impl Fn(&Entry) -> bool) -> u32 {
        let cached = parts.iter().take_while(|part| self.parts.get(&part.id).is_some_and(&matches));
        cached.map(|part| part.tokens).sum()
    }

    /// Notes that `parts` are being used; forgets the oldest beyond `most` tokens.
    pub fn touch(&mut self, parts: &[Part], max_tokens: u64, now: Millis) {
        for part in parts {
            let read = self.parts.get(&part.id).is_some_and(|entry| entry.read);
            let old = self.parts.insert(part.id, Entry { tokens: part.tokens, used: now, read });
            self.tokens += u64::from(part.tokens);
            self.tokens -= old.map_or(0, |entry| u64::from(entry.tokens));
        }
        while self.tokens > max_tokens {
            let oldest = self.parts.iter().min_by_key(|(id, entry)| (entry.used, **id)).map(|(id, _)| *id);
            let Some(entry) = oldest.and_then(|id| self.parts.remove(&id)) else { return };
            self.tokens -= u64::from(entry.tokens);
        }
    }

    /// Drops those of `parts` that nobody has read.
    pub fn remove_unread(&mut self, parts: &[Part]) {
        for part in parts {
            if self.parts.get(&part.id).is_some_and(|entry| !entry.read) {
                let entry = self.parts.remove(&part.id);
                self.tokens -= entry.map_or(0, |entry| u64::from(entry.tokens));
            }
        }
    }

    /// Notes that `parts` have been read.
    pub fn mark_read(&mut self, parts: &[Part]) {
        for part in parts {
            if let Some(entry) = self.parts.get_mut(&part.id) {
                entry.read = true;
            }
        }
    }
}
