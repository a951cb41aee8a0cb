//! What servers said of themselves in their answers.
//!
//! A server may say that it leaves, or that it wants nothing from this box for a while. Either is said of one life, and by the
//! server itself: neither an older entry nor one that comes back takes it away. What follows is decided in
//! [`crate::Standing`].

use crate::Millis;
use routing::{rank, Directory};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long it is known of a life that it leaves after its entry has gone: longer than an entry can come back that lapsed, or
/// that was read from an old copy.
const KEPT: Millis = 600_000;

/// What is known from servers themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    /// Lives that leave, and when each was last listed or told of. A life that said so never takes new work again.
    leaving: HashMap<String, Millis>,
    /// Those of them whose listed entry says nothing of it: what other boxes may not know.
    unpublished: BTreeSet<String>,
    /// Until when it is doubted that a life has not ended: only an older copy of the list has it.
    doubted: HashMap<String, Millis>,
    /// Until when a life wants nothing from this box. Holds between the two: other boxes have their own.
    resting: HashMap<String, Millis>,
}

impl Notices {
    /// A life leaves; `listed` is what its entry says of that, if there is one. True when this wasn't known.
    pub(crate) fn leaves(&mut self, life: &str, listed: Option<bool>, now: Millis) -> bool {
        let news = self.leaving.insert(life.to_owned(), now).is_none();
        if listed == Some(false) {
            self.unpublished.insert(life.to_owned());
        }
        news
    }

    /// A life wants nothing from this box until then. What it wanted before still counts.
    pub(crate) fn rests(&mut self, life: &str, until: Millis) {
        let known = self.resting.entry(life.to_owned()).or_default();
        *known = until.max(*known);
    }

    /// It is doubted until then that these lives have not ended.
    pub(crate) fn doubt(&mut self, lives: &[String], until: Millis) {
        self.doubted.extend(lives.iter().map(|life| (life.clone(), until)));
    }

    /// This life has not ended. True where that was doubted.
    pub(crate) fn trust(&mut self, life: &str) -> bool {
        self.doubted.remove(life).is_some()
    }

    /// Until when a life is doubted; 0 where it isn't.
    pub(crate) fn doubted_until(&self, life: &str) -> Millis {
        self.doubted.get(life).copied().unwrap_or_default()
    }

    /// True where a life leaves.
    pub(crate) fn leaving(&self, life: &str) -> bool {
        self.leaving.contains_key(life)
    }

    /// Until when a life wants nothing from this box; 0 where it said nothing.
    pub(crate) fn rest_until(&self, life: &str) -> Millis {
        self.resting.get(life).copied().unwrap_or_default()
    }

    /// Lives that want nothing from this box, each with the milliseconds left.
    pub(crate) fn resting(&self, now: Millis) -> BTreeMap<String, Millis> {
        let left = |(life, until): (&String, &Millis)| (now < *until).then(|| (life.clone(), until - now));
        self.resting.iter().filter_map(left).collect()
    }

    /// Lives that leave though their entries don't say so.
    pub(crate) fn unpublished(&self) -> &BTreeSet<String> {
        &self.unpublished
    }

    /// Equal for boxes that know the same of what entries don't say.
    pub(crate) fn digest(&self) -> u64 {
        self.unpublished.iter().map(|life| rank(0, life)).fold(0, u64::wrapping_add)
    }

    /// Takes what entries say, and forgets what is over.
    pub(crate) fn update(&mut self, directory: &Directory, now: Millis) {
        for server in directory.servers.values() {
            if server.draining || self.leaving(&server.id) {
                self.leaving.insert(server.id.clone(), now);
            }
        }
        let silent = directory.servers.values().filter(|server| !server.draining && self.leaving(&server.id));
        self.unpublished = silent.map(|server| server.id.clone()).collect();
        self.leaving.retain(|_, seen| now < *seen + KEPT);
        self.resting.retain(|_, until| now < *until);
        self.doubted.retain(|_, until| now < *until);
    }
}
