//! What an engine's memory holds.

use placement::Part;
use std::collections::BTreeMap;

/// A prompt part in an engine's memory.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// When it was last used; of two, the one that gives way first has the lower number.
    last_use: u64,
    /// Requests that run with it: it can't give way.
    pins: u32,
    /// True once it has been read.
    prefilled: bool,
}

/// An engine's memory: parts that run or are kept, and tokens that were made.
#[derive(Clone, Debug, Default)]
pub(crate) struct KvCache {
    parts: BTreeMap<u64, CachedPart>,
    /// Tokens of all parts.
    part_tokens: u64,
    /// Tokens that running requests made.
    generated_tokens: u64,
    use_counter: u64,
}

impl KvCache {
    /// Tokens of a prompt, from its beginning on, that needn't be read.
    pub(crate) fn cached_prefix_tokens(&self, parts: &[Part]) -> u32 {
        parts.iter().take_while(|part| self.is_prefilled(part.id)).map(|part| part.tokens).sum()
    }

    /// True where a part has been read.
    pub(crate) fn is_prefilled(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|cached| cached.prefilled)
    }

    /// Makes room for a prompt and takes it in; false where there is none for it.
    pub(crate) fn pin(&mut self, parts: &[Part], capacity: u64) -> bool {
        let new_tokens: u64 =
            parts.iter().filter(|part| !self.parts.contains_key(&part.id)).map(|part| u64::from(part.tokens)).sum();
        // Pinned first, so that nothing of it gives way to the rest of it.
        for part in parts {
            if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.pins += 1;
            }
        }
        let fits = self.evict_until_fits(new_tokens, capacity);
        self.use_counter += 1;
        for part in parts {
            if fits {
                let cached = self.parts.entry(part.id).or_insert_with(|| {
                    self.part_tokens += u64::from(part.tokens);
                    CachedPart { tokens: part.tokens, last_use: 0, pins: 1, prefilled: false }
                });
                cached.last_use = self.use_counter;
            } else if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.pins -= 1;
            }
        }
        fits
    }

    /// Lets kept parts go until so many tokens fit; false where they don't.
    fn evict_until_fits(&mut self, tokens: u64, capacity: u64) -> bool {
        while self.part_tokens + self.generated_tokens + tokens > capacity {
            let evictable = self.parts.iter().filter(|(_, cached)| cached.pins == 0);
            let Some(oldest) = evictable.min_by_key(|(id, cached)| (cached.last_use, **id)).map(|(id, _)| *id) else {
                return false;
            };
            self.remove(oldest);
        }
        true
    }

    fn remove(&mut self, part: u64) {
        if let Some(cached) = self.parts.remove(&part) {
            self.part_tokens -= u64::from(cached.tokens);
        }
    }

    /// A prompt has been read.
    pub(crate) fn mark_prefilled(&mut self, parts: &[Part]) {
        for part in parts {
            if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.prefilled = true;
            }
        }
    }

    /// A request that made so many tokens ends, or is put back. What it read stays as long as there is room.
    pub(crate) fn release(&mut self, parts: &[Part], made: u32) {
        self.generated_tokens -= u64::from(made);
        for part in parts {
            let Some(cached) = self.parts.get_mut(&part.id) else { continue };
            cached.pins -= 1;
            if cached.pins == 0 && !cached.prefilled {
                self.remove(part.id);
            }
        }
    }

    /// Running requests make so many tokens; false where they don't fit.
    pub(crate) fn reserve_generated(&mut self, tokens: u32, capacity: u64) -> bool {
        let fits = self.evict_until_fits(tokens.into(), capacity);
        if fits {
            self.generated_tokens += u64::from(tokens);
        }
        fits
    }

    /// Takes parts from another engine; those that don't fit are left.
    pub(crate) fn insert_fetched(&mut self, parts: &[Part], capacity: u64) {
        if self.pin(parts, capacity) {
            self.mark_prefilled(parts);
            self.release(parts, 0);
        }
    }
}
