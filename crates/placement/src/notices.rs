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
    unlisted_at: Option<Millis>,
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

    fn is_older_than(&self, update: &LimitUpdate) -> bool {
        self.version < update.version || (self.version == update.version && update.limit < self.limit)
    }
}

impl Notices {
    /// A life leaves; `listed` is what its entry says of that, if there is one. True when this wasn't known.
    pub(crate) fn record_leaving(&mut self, instance: &str, listed: Option<bool>, now: Millis) -> bool {
        let unlisted_at = if listed.is_some() { None } else { Some(now) };
        let is_new = self.leaving.insert(instance.to_owned(), unlisted_at).is_none();
        if listed == Some(false) {
            self.unpublished.insert(instance.to_owned());
        }
        is_new
    }

    /// A life wants nothing from this box until then. What it wanted before still counts.
    pub(crate) fn record_back_off(&mut self, instance: &str, until: Millis) {
        let known = self.backing_off.entry(instance.to_owned()).or_default();
        *known = until.max(*known);
    }

    /// A life names this limit in the answer to a request that was sent to it at `sent`. What other boxes are to be told, where this
    /// wasn't known.
    ///
    /// A stricter one always counts. One that is less strict, or none, counts where the request was sent after what is known was:
    /// only then is it surely the later word. An answer can be late, and servers name limits in the heads of long streams.
    pub(crate) fn record_limit(
        &mut self,
        instance: &str,
        limit: Limit,
        sent: Millis,
        now: Millis,
    ) -> Option<LimitUpdate> {
        let known = self.limits.get(instance).copied();
        let before = known.map_or(Limit::None, |known| known.limit);
        let later = known.is_none_or(|known| known.since < sent);
        if limit == before || (limit > before && (!later || !limit.is_much_looser(before))) {
            return None;
        }
        let version = known.map_or(0, |known| known.version) + 1;
        self.limits.insert(instance.to_owned(), KnownLimit { limit, version, since: now, unlisted_at: Some(now) });
        Some(LimitUpdate { instance: instance.to_owned(), limit, version })
    }

    /// Takes what another box knows of a life's limit. True when this wasn't known.
    pub(crate) fn on_limit_update(&mut self, update: &LimitUpdate, now: Millis) -> bool {
        let is_new = self.limits.get(&update.instance).is_none_or(|known| known.is_older_than(update));
        if is_new {
            let known = KnownLimit { limit: update.limit, version: update.version, since: now, unlisted_at: Some(now) };
            self.limits.insert(update.instance.clone(), known);
        }
        is_new
    }

    /// What a life takes of all boxes together.
    pub(crate) fn limit(&self, instance: &str) -> Limit {
        self.limits.get(instance).map_or(Limit::None, |known| known.limit)
    }

    /// What listed lives say of their limits, those included that no longer name one: a box that was away may not know.
    pub(crate) fn limit_updates(&self) -> Vec<LimitUpdate> {
        let update = |(instance, known): (&String, &KnownLimit)| LimitUpdate {
            instance: instance.clone(),
            limit: known.limit,
            version: known.version,
        };
        self.limits.iter().filter(|(_, known)| known.unlisted_at.is_none()).map(update).collect()
    }

    /// It is doubted until then that these lives have not ended.
    pub(crate) fn mark_unconfirmed(&mut self, instances: &[String], until: Millis) {
        self.unconfirmed.extend(instances.iter().map(|instance| (instance.clone(), until)));
    }

    /// This life has not ended. True where that was doubted.
    pub(crate) fn confirm(&mut self, instance: &str) -> bool {
        self.unconfirmed.remove(instance).is_some()
    }

    /// Until when a life is doubted; 0 where it isn't.
    pub(crate) fn unconfirmed_until(&self, instance: &str) -> Millis {
        self.unconfirmed.get(instance).copied().unwrap_or_default()
    }

    /// True where a life leaves.
    pub(crate) fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains_key(instance)
    }

    /// Until when a life wants nothing from this box; 0 where it said nothing.
    pub(crate) fn back_off_until(&self, instance: &str) -> Millis {
        self.backing_off.get(instance).copied().unwrap_or_default()
    }

    /// Lives that want nothing from this box, each with the milliseconds left.
    pub(crate) fn backing_off(&self, now: Millis) -> BTreeMap<String, Millis> {
        let left = |(instance, until): (&String, &Millis)| (now < *until).then(|| (instance.clone(), until - now));
        self.backing_off.iter().filter_map(left).collect()
    }

    /// Lives that leave though their entries don't say so.
    pub(crate) fn unpublished(&self) -> &BTreeSet<String> {
        &self.unpublished
    }

    /// Equal for boxes that know the same of what entries don't say.
    pub(crate) fn digest(&self) -> u64 {
        let leaving = self.unpublished.iter().map(|instance| rank(0, instance));
        let limits = self.limits.iter().filter(|(_, known)| known.unlisted_at.is_none());
        let limits = limits.map(|(instance, known)| rank(known.digest(), instance));
        leaving.chain(limits).fold(0, u64::wrapping_add)
    }

    /// Takes what a listed entry says.
    pub(crate) fn on_listed(&mut self, server: &Server) {
        let instance = &server.id;
        self.unpublished.remove(instance);
        if server.draining {
            self.leaving.insert(instance.clone(), None);
        } else if let Some(unlisted_at) = self.leaving.get_mut(instance) {
            *unlisted_at = None;
            self.unpublished.insert(instance.clone());
        }
        if let Some(known) = self.limits.get_mut(instance) {
            known.unlisted_at = None;
        }
    }

    /// A life's entry is no longer listed.
    pub(crate) fn on_unlisted(&mut self, instance: &str, now: Millis) {
        self.unpublished.remove(instance);
        if let Some(unlisted_at) = self.leaving.get_mut(instance) {
            *unlisted_at = Some(now);
        }
        if let Some(known) = self.limits.get_mut(instance) {
            known.unlisted_at = Some(now);
        }
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now: Millis) {
        let retained = |unlisted_at: Option<Millis>| unlisted_at.is_none_or(|at| now < at + UNLISTED_TTL);
        self.limits.retain(|_, known| retained(known.unlisted_at));
        self.leaving.retain(|_, unlisted_at| retained(*unlisted_at));
        self.backing_off.retain(|_, until| now < *until);
        self.unconfirmed.retain(|_, until| now < *until);
    }
}
