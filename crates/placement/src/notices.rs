//! Notices that servers give in their answers.
//!
//! A server may announce that it is leaving, ask this box to back off for a while, or limit the requests that it
//! takes from all boxes together. Each notice is given by one instance for itself: neither an older entry nor one
//! that reappears revokes it. [`crate::AdmissionState`] decides the consequences.

use crate::{Limit, LimitUpdate, Millis};
use routing::{rank, Server};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time for which notices are kept after the instance's entry has gone: longer than it may take for an expired entry,
/// or one read from an old copy, to reappear.
const UNLISTED_TTL: Millis = 600_000;

/// Notices by server instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices {
    /// Instances that are leaving, each with the time since which it is not listed; `None` while it is. An instance
    /// that has announced this never takes new work again.
    leaving: HashMap<String, Option<Millis>>,
    /// Leaving instances whose listed entry doesn't show it: other boxes may not know.
    unpublished: BTreeSet<String>,
    /// Instances listed only by an older copy, which may have terminated, each with the end of the time for which
    /// that is assumed.
    unconfirmed: HashMap<String, Millis>,
    /// End of the back-off that an instance asked of this box. Applies to this box only: other boxes have their own.
    backing_off: HashMap<String, Millis>,
    /// Limits of instances that have ever named one.
    limits: HashMap<String, KnownLimit>,
}

/// Limit of an instance.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    limit: Limit,
    /// Increases with each change, on whichever box; if two boxes change it at once, the stricter limit applies.
    version: u64,
    /// Time at which this box learned of it.
    since: Millis,
    /// Since when the instance is not listed; `None` while it is known to be listed.
    unlisted_at: Option<Millis>,
}

impl KnownLimit {
    /// Never 0, which stands for leaving instances.
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
    /// Records that an instance is leaving; `listed` is what its entry shows, if there is one. True if this was new.
    pub(crate) fn record_leaving(&mut self, instance: &str, listed: Option<bool>, now: Millis) -> bool {
        let unlisted_at = if listed.is_some() { None } else { Some(now) };
        let is_new = self.leaving.insert(instance.to_owned(), unlisted_at).is_none();
        if listed == Some(false) {
            self.unpublished.insert(instance.to_owned());
        }
        is_new
    }

    /// Records a back-off until then. An earlier, longer one still applies.
    pub(crate) fn record_back_off(&mut self, instance: &str, until: Millis) {
        let known = self.backing_off.entry(instance.to_owned()).or_default();
        *known = until.max(*known);
    }

    /// Records a limit from the answer to a request that was sent to the instance at `sent`. Returns the update for
    /// all other boxes if this was new.
    ///
    /// A stricter limit always counts. A looser one, or none, counts only if the request was sent after the known
    /// limit was learned: only then is it certainly newer. Answers can be late, and servers name limits in the heads
    /// of long streams.
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

    /// Applies another box's update of a limit. True if this was new.
    pub(crate) fn on_limit_update(&mut self, update: &LimitUpdate, now: Millis) -> bool {
        let is_new = self.limits.get(&update.instance).is_none_or(|known| known.is_older_than(update));
        if is_new {
            let known = KnownLimit { limit: update.limit, version: update.version, since: now, unlisted_at: Some(now) };
            self.limits.insert(update.instance.clone(), known);
        }
        is_new
    }

    /// Returns an instance's limit on requests from all boxes together.
    pub(crate) fn limit(&self, instance: &str) -> Limit {
        self.limits.get(instance).map_or(Limit::None, |known| known.limit)
    }

    /// Returns the limits of listed instances, including those that no longer name one: a box that was disconnected
    /// may not know.
    pub(crate) fn limit_updates(&self) -> Vec<LimitUpdate> {
        let update = |(instance, known): (&String, &KnownLimit)| LimitUpdate {
            instance: instance.clone(),
            limit: known.limit,
            version: known.version,
        };
        self.limits.iter().filter(|(_, known)| known.unlisted_at.is_none()).map(update).collect()
    }

    /// Marks instances as possibly terminated until then.
    pub(crate) fn mark_unconfirmed(&mut self, instances: &[String], until: Millis) {
        self.unconfirmed.extend(instances.iter().map(|instance| (instance.clone(), until)));
    }

    /// Records that an instance has not terminated. True if that was unconfirmed.
    pub(crate) fn confirm(&mut self, instance: &str) -> bool {
        self.unconfirmed.remove(instance).is_some()
    }

    /// Returns until when an instance is unconfirmed; 0 if it isn't.
    pub(crate) fn unconfirmed_until(&self, instance: &str) -> Millis {
        self.unconfirmed.get(instance).copied().unwrap_or_default()
    }

    /// True if an instance is leaving.
    pub(crate) fn is_leaving(&self, instance: &str) -> bool {
        self.leaving.contains_key(instance)
    }

    /// Returns the end of an instance's back-off; 0 if it never asked for one.
    pub(crate) fn back_off_until(&self, instance: &str) -> Millis {
        self.backing_off.get(instance).copied().unwrap_or_default()
    }

    /// Returns the instances that asked this box to back off, each with the milliseconds left.
    pub(crate) fn backing_off(&self, now: Millis) -> BTreeMap<String, Millis> {
        let left = |(instance, until): (&String, &Millis)| (now < *until).then(|| (instance.clone(), until - now));
        self.backing_off.iter().filter_map(left).collect()
    }

    /// Returns the leaving instances whose entries don't show it.
    pub(crate) fn unpublished(&self) -> &BTreeSet<String> {
        &self.unpublished
    }

    /// Returns a digest that is equal on boxes with the same notices, as far as entries don't show them.
    pub(crate) fn digest(&self) -> u64 {
        let leaving = self.unpublished.iter().map(|instance| rank(0, instance));
        let limits = self.limits.iter().filter(|(_, known)| known.unlisted_at.is_none());
        let limits = limits.map(|(instance, known)| rank(known.digest(), instance));
        leaving.chain(limits).fold(0, u64::wrapping_add)
    }

    /// Applies a listed entry.
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

    /// Records that an instance's entry is no longer listed.
    pub(crate) fn on_unlisted(&mut self, instance: &str, now: Millis) {
        self.unpublished.remove(instance);
        if let Some(unlisted_at) = self.leaving.get_mut(instance) {
            *unlisted_at = Some(now);
        }
        if let Some(known) = self.limits.get_mut(instance) {
            known.unlisted_at = Some(now);
        }
    }

    /// Removes expired notices.
    pub(crate) fn expire(&mut self, now: Millis) {
        let retained = |unlisted_at: Option<Millis>| unlisted_at.is_none_or(|at| now < at + UNLISTED_TTL);
        self.limits.retain(|_, known| retained(known.unlisted_at));
        self.leaving.retain(|_, unlisted_at| retained(*unlisted_at));
        self.backing_off.retain(|_, until| now < *until);
        self.unconfirmed.retain(|_, until| now < *until);
    }
}
