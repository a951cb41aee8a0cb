//! Prompt parts cached by a server, as far as this box knows.

use crate::{Millis, Part};
use std::collections::HashMap;

/// State of one part on one server.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used: Millis,
    /// True once an answer showed that the server has read it; before that, it may still be queued.
    read: bool,
}

/// Parts believed to be in one server's cache; the least recently used are evicted first.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    parts: HashMap<u64, Entry>,
    /// Total tokens of all parts.
    tokens: u64,
}

impl CachedParts {
    /// Returns the tokens of the longest run of leading `parts` that are cached, or will be by the time they are
    /// needed.
    #[must_use]
    pub fn cached_prefix(&self, parts: &[Part]) -> u32 {
        self.count(parts, |_| true)
    }

    /// Returns the tokens of the longest run of leading `parts` that are known to have been read.
    #[must_use]
    pub fn confirmed_prefix(&self, parts: &[Part]) -> u32 {
        self.count(parts, |entry| entry.read)
    }

    fn count(&self, parts: &[Part], matches: impl Fn(&Entry) -> bool) -> u32 {
        let cached = parts.iter().take_while(|part| self.parts.get(&part.id).is_some_and(&matches));
        cached.map(|part| part.tokens).sum()
    }

    /// Marks `parts` as used now; evicts the least recently used parts beyond `max_tokens`.
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

    /// Removes those of `parts` that are not known to have been read.
    pub fn remove_unread(&mut self, parts: &[Part]) {
        for part in parts {
            if self.parts.get(&part.id).is_some_and(|entry| !entry.read) {
                let entry = self.parts.remove(&part.id);
                self.tokens -= entry.map_or(0, |entry| u64::from(entry.tokens));
            }
        }
    }

    /// Marks `parts` as read.
    pub fn mark_read(&mut self, parts: &[Part]) {
        for part in parts {
            if let Some(entry) = self.parts.get_mut(&part.id) {
                entry.read = true;
            }
        }
    }
}
