//! What servers said of themselves in their answers.
//!
//! A server may say that it leaves, that it wants nothing from this box for a while, or how many requests it takes from all boxes
//! together. Each is said of one life, and by the server itself: neither an older entry nor one that comes back takes it away. What
//! follows is decided in [`crate::AdmissionState`].

use crate::{Limit, LimitUpdate, Millis};
use routing::{rank, Server};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long it is known of a life that it leaves after its entry has gone: longer than an entry can come back that lapsed, or
/// that was read from an old copy.
const UNLISTED_TTL: Millis = 600_000;

/// What is known from servers themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    /// Lives that leave, and since when each is not listed; none while it is. A life that said so never takes new work again.
    leaving: HashMap<String, Option<Millis>>,
    /// Those of them whose listed entry says nothing of it: what other boxes may not know.
    unpublished: BTreeSet<String>,
    /// Until when it is doubted that a life has not ended: only an older copy of the list has it.
    unconfirmed: HashMap<String, Millis>,
    /// Until when a life wants nothing from this box. Holds between the two: other boxes have their own.
    backing_off: HashMap<String, Millis>,
    /// What lives that ever named a limit take of all boxes together.
    limits: HashMap<String, KnownLimit>,
}

/// What is known of a life's limit.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: Limit,
    /// Rises with each change, on whichever box; of two boxes that change it at once the stricter holds.
    version: u64,
    /// Since when this box knows it.
    since: Millis,
    /// Since when the life is not listed; none while it is, as far as is known.
    gone: Option<Millis>,
}

impl KnownLimit {
    /// Never 0, which stands for lives that leave.
    fn digest(&self) -> u64 {
        let bits = match self.limit {
            Limit::PerS(per_s) => per_s.to_bits(),
            Limit::None => u64::MAX,
        };
        (self.version ^ bits.rotate_left(17)) | 1
    }

    fn is_older_than(&self, told: &LimitUpdate) -> bool {
        self.version < told.version || (self.version == told.version && told.limit < self.limit)
    }
}

impl Notices {
    /// A life leaves; `listed` is what its entry says of that, if there is one. True when this wasn't known.
    pub(crate) fn record_leaving(&mut self, life: &str, listed: Option<bool>, now: Millis) -> bool {
        let gone = if listed.is_some() { None } else { Some(now) };
        let news = self.leaving.insert(life.to_owned(), gone).is_none();
        if listed == Some(false) {
            self.unpublished.insert(life.to_owned());
        }
        news
    }

    /// A life wants nothing from this box until then. What it wanted before still counts.
    pub(crate) fn record_back_off(&mut self, life: &str, until: Millis) {
        let known = self.backing_off.entry(life.to_owned()).or_default();
        *known = until.max(*known);
    }

    /// A life names this limit in the answer to a request that was sent to it at `sent`. What other boxes are to be told, where this
    /// wasn't known.
    ///
    /// A stricter one always counts. One that is less strict, or none, counts where the request was sent after what is known was:
    /// only then is it surely the later word. An answer can be late, and servers name limits in the heads of long streams.
    pub(crate) fn record_limit(&mut self, life: &str, limit: Limit, sent: Millis, now: Millis) -> Option<LimitUpdate> {
        let known = self.limits.get(life).copied();
        let before = known.map_or(Limit::None, |known| known.limit);
        let later = known.is_none_or(|known| known.since < sent);
        if limit == before || (limit > before && (!later || !limit.is_much_looser(before))) {
            return None;
        }
        let version = known.map_or(0, |known| known.version) + 1;
        self.limits.insert(life.to_owned(), KnownLimit { limit, version, since: now, gone: Some(now) });
        Some(LimitUpdate { instance: life.to_owned(), limit, version })
    }

    /// Takes what another box knows of a life's limit. True when this wasn't known.
    pub(crate) fn on_limit_update(&mut self, told: &LimitUpdate, now: Millis) -> bool {
        let news = self.limits.get(&told.instance).is_none_or(|known| known.is_older_than(told));
        if news {
            let known = KnownLimit { limit: told.limit, version: told.version, since: now, gone: Some(now) };
            self.limits.insert(told.instance.clone(), known);
        }
        news
    }

    /// What a life takes of all boxes together.
    pub(crate) fn limit(&self, life: &str) -> Limit {
        self.limits.get(life).map_or(Limit::None, |known| known.limit)
    }

    /// What listed lives say of their limits, those included that no longer name one: a box that was away may not know.
    pub(crate) fn limit_updates(&self) -> Vec<LimitUpdate> {
        let told = |(life, known): (&String, &KnownLimit)| LimitUpdate {
            instance: life.clone(),
            limit: known.limit,
            version: known.version,
        };
        self.limits.iter().filter(|(_, known)| known.gone.is_none()).map(told).collect()
    }

    /// It is doubted until then that these lives have not ended.
    pub(crate) fn mark_unconfirmed(&mut self, lives: &[String], until: Millis) {
        self.unconfirmed.extend(lives.iter().map(|life| (life.clone(), until)));
    }

    /// This life has not ended. True where that was doubted.
    pub(crate) fn confirm(&mut self, life: &str) -> bool {
        self.unconfirmed.remove(life).is_some()
    }

    /// Until when a life is doubted; 0 where it isn't.
    pub(crate) fn unconfirmed_until(&self, life: &str) -> Millis {
        self.unconfirmed.get(life).copied().unwrap_or_default()
    }

    /// True where a life leaves.
    pub(crate) fn is_leaving(&self, life: &str) -> bool {
        self.leaving.contains_key(life)
    }

    /// Until when a life wants nothing from this box; 0 where it said nothing.
    pub(crate) fn back_off_until(&self, life: &str) -> Millis {
        self.backing_off.get(life).copied().unwrap_or_default()
    }

    /// Lives that want nothing from this box, each with the milliseconds left.
    pub(crate) fn backing_off(&self, now: Millis) -> BTreeMap<String, Millis> {
        let left = |(life, until): (&String, &Millis)| (now < *until).then(|| (life.clone(), until - now));
        self.backing_off.iter().filter_map(left).collect()
    }

    /// Lives that leave though their entries don't say so.
    pub(crate) fn unpublished(&self) -> &BTreeSet<String> {
        &self.unpublished
    }

    /// Equal for boxes that know the same of what entries don't say.
    pub(crate) fn digest(&self) -> u64 {
        let leaving = self.unpublished.iter().map(|life| rank(0, life));
        let limits = self.limits.iter().filter(|(_, known)| known.gone.is_none());
        let limits = limits.map(|(life, known)| rank(known.digest(), life));
        leaving.chain(limits).fold(0, u64::wrapping_add)
    }

    /// Takes what a listed entry says.
    pub(crate) fn on_listed(&mut self, server: &Server) {
        let life = &server.id;
        self.unpublished.remove(life);
        if server.draining {
            self.leaving.insert(life.clone(), None);
        } else if let Some(gone) = self.leaving.get_mut(life) {
            *gone = None;
            self.unpublished.insert(life.clone());
        }
        if let Some(known) = self.limits.get_mut(life) {
            known.gone = None;
        }
    }

    /// A life's entry is no longer listed.
    pub(crate) fn on_unlisted(&mut self, life: &str, now: Millis) {
        self.unpublished.remove(life);
        if let Some(gone) = self.leaving.get_mut(life) {
            *gone = Some(now);
        }
        if let Some(known) = self.limits.get_mut(life) {
            known.gone = Some(now);
        }
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now: Millis) {
        let kept = |gone: Option<Millis>| gone.is_none_or(|at| now < at + UNLISTED_TTL);
        self.limits.retain(|_, known| kept(known.gone));
        self.leaving.retain(|_, gone| kept(*gone));
        self.backing_off.retain(|_, until| now < *until);
        self.unconfirmed.retain(|_, until| now < *until);
    }
}
