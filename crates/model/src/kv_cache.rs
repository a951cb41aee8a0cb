//! The KV cache of a simulated engine.

use placement::Part;
use std::collections::BTreeMap;

/// A prompt part in the cache.
#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// Value of the use counter at the last use; parts with lower values are evicted first.
    last_use: u64,
    /// Number of running requests that use the part; it can't be evicted while there are any.
    pins: u32,
    /// True once the part has been prefilled.
    prefilled: bool,
}

/// An engine's KV cache: prompt parts that running requests use or that remain cached, and generated tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct KvCache {
    parts: BTreeMap<u64, CachedPart>,
    /// Tokens of all parts in the cache.
    part_tokens: u64,
    /// Tokens that running requests have generated.
    generated_tokens: u64,
    use_counter: u64,
}

impl KvCache {
    /// Returns the number of leading prompt tokens that are cached and need no prefill.
    pub(crate) fn cached_prefix_tokens(&self, parts: &[Part]) -> u32 {
        parts.iter().take_while(|part| self.is_prefilled(part.id)).map(|part| part.tokens).sum()
    }

    /// Returns true if the part has been prefilled and is still cached.
    pub(crate) fn is_prefilled(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|cached| cached.prefilled)
    }

    /// Reserves room for a prompt and pins its parts. Returns false, and pins nothing, if it doesn't fit.
    pub(crate) fn pin(&mut self, parts: &[Part], capacity: u64) -> bool {
        let new_tokens: u64 =
            parts.iter().filter(|part| !self.parts.contains_key(&part.id)).map(|part| u64::from(part.tokens)).sum();
        // Parts that are already cached are pinned first, so that making room for the others doesn't evict them.
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

    /// Evicts unpinned parts, least recently used first, until `tokens` more fit. Returns false if they don't fit even
    /// then.
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

    /// Marks the parts of a prompt as prefilled.
    pub(crate) fn mark_prefilled(&mut self, parts: &[Part]) {
        for part in parts {
            if let Some(cached) = self.parts.get_mut(&part.id) {
                cached.prefilled = true;
            }
        }
    }

    /// Unpins the parts of a request that has ended or was preempted, and frees its `generated` tokens. Parts that were
    /// prefilled stay cached while there is room.
    pub(crate) fn release(&mut self, parts: &[Part], generated: u32) {
        self.generated_tokens -= u64::from(generated);
        for part in parts {
            let Some(cached) = self.parts.get_mut(&part.id) else { continue };
            cached.pins -= 1;
            if cached.pins == 0 && !cached.prefilled {
                self.remove(part.id);
            }
        }
    }

    /// Reserves room for tokens that a running request generates. Returns false if they don't fit.
    pub(crate) fn reserve_generated(&mut self, tokens: u32, capacity: u64) -> bool {
        let fits = self.evict_until_fits(tokens.into(), capacity);
        if fits {
            self.generated_tokens += u64::from(tokens);
        }
        fits
    }

    /// Counts tokens that a running request generates although they don't fit, so that its release frees what was counted.
    pub(crate) fn overcommit_generated(&mut self, tokens: u32) {
        self.generated_tokens += u64::from(tokens);
    }

    /// Inserts parts that were fetched from another engine, unless they don't fit.
    pub(crate) fn insert_fetched(&mut self, parts: &[Part], capacity: u64) {
        if self.pin(parts, capacity) {
            self.mark_prefilled(parts);
            self.release(parts, 0);
        }
    }
}
