//! What an engine's memory holds.

use placement::Part;
use std::collections::BTreeMap;

/// A prompt part in an engine's memory.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u32,
    /// When it was last used; of two, the one that gives way first has the lower number.
    used: u64,
    /// Requests that run with it: it can't give way.
    pins: u32,
    /// True once it has been read.
    read: bool,
}

/// An engine's memory: parts that run or are kept, and tokens that were made.
#[derive(Clone, Debug, Default)]
pub(crate) struct Memory {
    parts: BTreeMap<u64, Held>,
    /// Tokens of all parts.
    held: u64,
    /// Tokens that running requests made.
    made: u64,
    uses: u64,
}

impl Memory {
    /// Tokens of a prompt, from its beginning on, that needn't be read.
    pub(crate) fn prefix(&self, parts: &[Part]) -> u32 {
        parts.iter().take_while(|part| self.has_read(part.id)).map(|part| part.tokens).sum()
    }

    /// True where a part has been read.
    pub(crate) fn has_read(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(|held| held.read)
    }

    /// Makes room for a prompt and takes it in; false where there is none for it.
    pub(crate) fn pin(&mut self, parts: &[Part], most: u64) -> bool {
        let new: u64 =
            parts.iter().filter(|part| !self.parts.contains_key(&part.id)).map(|part| u64::from(part.tokens)).sum();
        // Pinned first, so that nothing of it gives way to the rest of it.
        for part in parts {
            if let Some(held) = self.parts.get_mut(&part.id) {
                held.pins += 1;
            }
        }
        let fits = self.make_room(new, most);
        self.uses += 1;
        for part in parts {
            if fits {
                let held = self.parts.entry(part.id).or_insert_with(|| {
                    self.held += u64::from(part.tokens);
                    Held { tokens: part.tokens, used: 0, pins: 1, read: false }
                });
                held.used = self.uses;
            } else if let Some(held) = self.parts.get_mut(&part.id) {
                held.pins -= 1;
            }
        }
        fits
    }

    /// Lets kept parts go until so many tokens fit; false where they don't.
    fn make_room(&mut self, tokens: u64, most: u64) -> bool {
        while self.held + self.made + tokens > most {
            let free = self.parts.iter().filter(|(_, held)| held.pins == 0);
            let Some(oldest) = free.min_by_key(|(id, held)| (held.used, **id)).map(|(id, _)| *id) else { return false };
            self.forget(oldest);
        }
        true
    }

    fn forget(&mut self, part: u64) {
        if let Some(held) = self.parts.remove(&part) {
            self.held -= u64::from(held.tokens);
        }
    }

    /// A prompt has been read.
    pub(crate) fn read(&mut self, parts: &[Part]) {
        for part in parts {
            if let Some(held) = self.parts.get_mut(&part.id) {
                held.read = true;
            }
        }
    }

    /// A request that made so many tokens ends, or is put back. What it read stays as long as there is room.
    pub(crate) fn release(&mut self, parts: &[Part], made: u32) {
        self.made -= u64::from(made);
        for part in parts {
            let Some(held) = self.parts.get_mut(&part.id) else { continue };
            held.pins -= 1;
            if held.pins == 0 && !held.read {
                self.forget(part.id);
            }
        }
    }

    /// Running requests make so many tokens; false where they don't fit.
    pub(crate) fn grow(&mut self, tokens: u32, most: u64) -> bool {
        let fits = self.make_room(tokens.into(), most);
        if fits {
            self.made += u64::from(tokens);
        }
        fits
    }

    /// Takes parts from another engine; those that don't fit are left.
    pub(crate) fn take(&mut self, parts: &[Part], most: u64) {
        if self.pin(parts, most) {
            self.read(parts);
            self.release(parts, 0);
        }
    }
}
