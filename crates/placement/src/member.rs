//! One server of a pool and its state.

use crate::cold::Disconnects;
use crate::notices::Notices;
use crate::urgency::{class_index, PerUrgency};
use crate::{CachedParts, Ending, Health, Limit, Load, Millis, Quota, Quotas, ServerStatus, Speed};
use routing::{ColdStart, Evacuations, HallRegions, Server};
use std::sync::Arc;

/// Time for which the load reported by a server's owner is more accurate than this box's own load there.
const STATUS_TTL: Millis = 400;

/// Time for which a server that turned a request away as full is not chosen again. Some of a dozen answers that take
/// seconds each end within it.
pub(crate) const FULL_TTL: Millis = 200;

/// Time for which a server is queried last after its owner missed a reply. All boxes together then query a silent owner
/// a few times a second each, which doesn't keep its link full.
const MISSED_STATUS_TTL: Millis = 300;

/// Time for which an older status still tells more than this box's own load, where no owner answers.
const OLD_STATUS_TTL: Millis = 2_000;

/// Time for which the reported stall rate counts, which changes slowly.
const STALLS_TTL: Millis = 2_000;

/// A server and its state.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) server: Arc<Server>,
    /// Position in the order of the pool's servers, from 0 to 1; see [`crate::order`].
    pub(crate) position: f64,
    /// Load that this box has there.
    pub(crate) own_load: Load,
    pub(crate) cached: CachedParts,
    pub(crate) health: Health,
    /// Last status reported by its owner, and when it was received.
    pub(crate) status: Option<(ServerStatus, Millis)>,
    /// Until when it is queried last, since its owner didn't answer; in the past if it did.
    missed_status_until: Millis,
    /// Until when it is taken to be full, since it turned a request of this box away; in the past if it isn't.
    full_until: Millis,
    /// True while its hall is evacuated.
    pub(crate) evacuated: bool,
    /// True once it has announced that it is leaving, in any way.
    pub(crate) leaving: bool,
    /// End of the back-off that it asked of this box; in the past if there is none.
    pub(crate) back_off_until: Millis,
    /// Its limit on requests from all boxes together.
    pub(crate) limit: Limit,
    /// For each urgency class, until when no permits are granted under its limit, as far as this box knows; in the
    /// past if they are. Does not decrease from one class to the next less urgent one.
    denied_until: PerUrgency<Millis>,
    /// Until when it may have terminated, since only an older copy of the list has it; in the past if its entry is
    /// confirmed.
    pub(crate) unconfirmed_until: Millis,
    /// True while it may have ended, so that a later life may answer in its name.
    pub(crate) is_doubted: bool,
    /// Region of its hall, if known.
    pub(crate) region: Option<String>,
    /// Cold-start settings of its service.
    pub(crate) cold: Option<ColdStart>,
    /// Until when it is cold by its entry or after its hall's evacuation; in the past if it isn't.
    pub(crate) cold_until: Millis,
    /// Possible restarts observed by this box's sends.
    pub(crate) disconnects: Disconnects,
}

impl Member {
    /// Creates the state of a server of which only the entry is known.
    pub(crate) fn new(server: &Arc<Server>, now: Millis) -> Self {
        Self {
            server: Arc::clone(server),
            position: 0.0,
            own_load: Load::default(),
            cached: CachedParts::default(),
            health: Health::default(),
            status: None,
            missed_status_until: 0,
            full_until: 0,
            evacuated: false,
            leaving: false,
            back_off_until: 0,
            limit: Limit::None,
            denied_until: PerUrgency::default(),
            unconfirmed_until: 0,
            is_doubted: false,
            region: None,
            cold: None,
            cold_until: now + Millis::from(server.cold_ms),
            disconnects: Disconnects::default(),
        }
    }

    /// Records how a send to it ended.
    pub(crate) fn record_ending(&mut self, ending: Ending, now: Millis) {
        if ending == Ending::NotRun {
            self.full_until = now + FULL_TTL;
        }
        self.health.record(ending, now);
        self.disconnects.record(ending, now);
    }

    /// Applies its current entry.
    pub(crate) fn apply_entry(&mut self, server: &Arc<Server>, now: Millis) {
        if *self.server != **server {
            self.server = Arc::clone(server);
            self.cold_until = self.cold_until.max(now + Millis::from(server.cold_ms));
        }
    }

    /// Applies its notices.
    pub(crate) fn apply_notices(&mut self, notices: &Notices) {
        let instance = &self.server.id;
        self.leaving = notices.is_leaving(instance);
        self.back_off_until = notices.back_off_until(instance);
        self.unconfirmed_until = notices.unconfirmed_until(instance);
        let limit = notices.limit(instance);
        self.set_limit(limit);
    }

    /// Applies the evacuated halls and the regions of halls.
    pub(crate) fn apply_halls(&mut self, evacuations: &Evacuations, regions: &HallRegions, now: Millis) {
        self.set_evacuated(evacuations.is_evacuated(&self.server.hall), now);
        let region = regions.get(&self.server.hall);
        if self.region.as_ref() != region {
            self.region = region.cloned();
        }
    }

    /// Sets whether its hall is evacuated. After an evacuation, servers may have turned cold without any box knowing.
    fn set_evacuated(&mut self, evacuated: bool, now: Millis) {
        let reopened = std::mem::replace(&mut self.evacuated, evacuated) && !evacuated;
        if let Some(cold) = self.cold.as_ref().filter(|_| reopened) {
            self.cold_until = self.cold_until.max(now + cold.duration.as_millis() as Millis);
        }
    }

    /// True while it counts as cold: by its entry, or by observations of this box or its owner.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        let Some(cold) = &self.cold else { return false };
        let own = self.disconnects.elapsed(now).cold_until(cold, now);
        let reported = self.status.as_ref().map_or(0, |(status, at)| status.disconnect.cold_until(cold, *at));
        now < self.cold_until.max(own).max(reported)
    }

    /// Returns the quotas for requests to it. If there are any, each request needs a permit. `cold_quota` applies
    /// while it is cold.
    pub(crate) fn quotas(&self, cold_quota: Option<Quota>, now: Millis) -> Quotas {
        Quotas { cold: cold_quota.filter(|_| self.is_cold(now)), limit: self.limit.quota(), slots: None }
    }

    /// Sets its limit.
    fn set_limit(&mut self, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.denied_until = PerUrgency::default();
        }
    }

    /// Records that its limit allows nothing until then for requests of this urgency and for less urgent ones.
    pub(crate) fn record_denial(&mut self, urgency: u8, until: Millis) {
        for denied_until in &mut self.denied_until[class_index(urgency)..] {
            *denied_until = until.max(*denied_until);
        }
    }

    /// Returns until when its limit allows nothing for requests of this urgency.
    pub(crate) fn denied_until(&self, urgency: u8) -> Millis {
        self.denied_until[class_index(urgency)]
    }

    /// Returns its load: that recently reported by its owner, otherwise the load of this box.
    pub(crate) fn load(&self, now: Millis) -> &Load {
        self.status_within(STATUS_TTL, now).map_or(&self.own_load, |status| &status.load)
    }

    /// True if its owner reported its status within the last seconds.
    pub(crate) fn has_old_status(&self, now: Millis) -> bool {
        self.status_within(OLD_STATUS_TTL, now).is_some()
    }

    /// Returns its load where no owner answers: the last one reported within some seconds, otherwise that of this box.
    pub(crate) fn last_load(&self, now: Millis) -> &Load {
        self.status_within(OLD_STATUS_TTL, now).map_or(&self.own_load, |status| &status.load)
    }

    /// Returns the status that its owner reported within the last `max_age` milliseconds.
    pub(crate) fn status_within(&self, max_age: Millis, now: Millis) -> Option<&ServerStatus> {
        self.status.as_ref().filter(|(_, at)| now < at + max_age).map(|(status, _)| status)
    }

    /// Records a status that its owner reported.
    pub(crate) fn record_status(&mut self, status: ServerStatus, now: Millis) {
        self.missed_status_until = 0;
        self.status = Some((status, now));
    }

    /// Records that its owner didn't answer a query in time.
    pub(crate) fn record_missed_status(&mut self, now: Millis) {
        self.missed_status_until = now + MISSED_STATUS_TTL;
    }

    /// True while its owner is taken to be silent.
    pub(crate) fn is_owner_silent(&self, now: Millis) -> bool {
        now < self.missed_status_until
    }

    /// True while it is taken to be full, since it recently turned away a request of this box, or of any box as far as
    /// its owner reported.
    pub(crate) fn is_full(&self, now: Millis) -> bool {
        now < self.full_until || self.status_within(FULL_TTL, now).is_some_and(|status| status.full)
    }

    /// Takes it to be full at least until then.
    pub(crate) fn extend_full(&mut self, until: Millis) {
        self.full_until = self.full_until.max(until);
    }

    /// Returns how many requests it takes before it turns further ones away, its queue included, for a request that has
    /// more urgent ones beside it or hasn't. Half of the queue is kept for the most urgent: a full queue turns them away,
    /// whatever waits there. `None` if it hasn't turned requests away recently.
    pub(crate) fn max_running(&self, status: &ServerStatus, has_more_urgent: bool) -> Option<u32> {
        let slots = self.server.slots;
        // With fewer requests than slots it was not full for want of room.
        let max = Some(status.max_running).filter(|max| *max >= slots)?;
        Some(if has_more_urgent { slots + (max - slots) / 2 } else { max })
    }

    /// Returns the speed last reported by its owner, whatever its age.
    pub(crate) fn speed(&self) -> Option<&Speed> {
        self.status.as_ref().map(|(status, _)| &status.speed)
    }

    /// Returns how often prefill recently stalled answers there, if its owner reported that recently.
    pub(crate) fn stalls_per_s(&self, now: Millis) -> f32 {
        self.status_within(STALLS_TTL, now).map_or(0.0, |status| status.stalls_per_s)
    }

    /// True while the server is paused after failures observed by this box or its owner.
    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        self.health.is_paused(now) || self.status_within(STATUS_TTL, now).is_some_and(|status| status.paused)
    }
}
