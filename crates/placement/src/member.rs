//! One server of a pool, and what is known of it.

use crate::cold::Disconnects;
use crate::notices::Notices;
use crate::urgency::{class_index, PerUrgency};
use crate::{CachedParts, Ending, Health, Limit, Load, Millis, Quota, Quotas, ServerStatus, Speed};
use routing::{ColdStart, Evacuations, HallRegions, Server};
use std::sync::Arc;

/// How long what an owner said of a server's load is better than what this box has there itself.
const STATUS_TTL: Millis = 400;

/// The same of its stalls, which change slowly.
const STALLS_TTL: Millis = 2_000;

/// A server and what is known of it.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) server: Arc<Server>,
    /// Where it stands in the order of the pool's servers, from 0 to 1; see [`crate::order`].
    pub(crate) position: f64,
    /// What this box has running there.
    pub(crate) own_load: Load,
    pub(crate) cached: CachedParts,
    pub(crate) health: Health,
    /// What its owner said last, and when.
    pub(crate) status: Option<(ServerStatus, Millis)>,
    /// True while its hall is evacuated.
    pub(crate) evacuated: bool,
    /// True once it said that it leaves, by whatever way.
    pub(crate) leaving: bool,
    /// Until when it wants nothing from this box; not in the future where it doesn't say so.
    pub(crate) back_off_until: Millis,
    /// What it says that it takes of all boxes together.
    pub(crate) limit: Limit,
    /// Until when its limit allows nothing more for requests of each urgency, as far as this box was told; not in the future where it
    /// wasn't. Rises with urgencies that come later.
    denied_until: PerUrgency<Millis>,
    /// Until when only an older copy of the list has it, and it may have ended; not in the future where it is certain.
    pub(crate) unconfirmed_until: Millis,
    /// Region of its hall, where that is known.
    pub(crate) region: Option<String>,
    /// What its service says of cold servers.
    pub(crate) cold: Option<ColdStart>,
    /// Until when it is cold by its entry, or by what its hall went through; not in the future where it isn't.
    pub(crate) cold_until: Millis,
    /// What this box's sends show of starts.
    pub(crate) disconnects: Disconnects,
}

impl Member {
    /// A server of which nothing but its entry is known yet.
    pub(crate) fn new(server: &Arc<Server>, now: Millis) -> Self {
        Self {
            server: Arc::clone(server),
            position: 0.0,
            own_load: Load::default(),
            cached: CachedParts::default(),
            health: Health::default(),
            status: None,
            evacuated: false,
            leaving: false,
            back_off_until: 0,
            limit: Limit::None,
            denied_until: PerUrgency::default(),
            unconfirmed_until: 0,
            region: None,
            cold: None,
            cold_until: now + Millis::from(server.cold_ms),
            disconnects: Disconnects::default(),
        }
    }

    /// Takes how a send there ended.
    pub(crate) fn record_ending(&mut self, ending: Ending, now: Millis) {
        self.health.record(ending, now);
        self.disconnects.record(ending, now);
    }

    /// Takes its entry as it is now.
    pub(crate) fn apply_entry(&mut self, server: &Arc<Server>, now: Millis) {
        if *self.server != **server {
            self.server = Arc::clone(server);
            self.cold_until = self.cold_until.max(now + Millis::from(server.cold_ms));
        }
    }

    /// Takes what it said of itself.
    pub(crate) fn apply_notices(&mut self, notices: &Notices) {
        let instance = &self.server.id;
        self.leaving = notices.is_leaving(instance);
        self.back_off_until = notices.back_off_until(instance);
        self.unconfirmed_until = notices.unconfirmed_until(instance);
        let limit = notices.limit(instance);
        self.set_limit(limit);
    }

    /// Takes which halls are evacuated, and the regions of halls.
    pub(crate) fn apply_halls(&mut self, evacuations: &Evacuations, regions: &HallRegions, now: Millis) {
        self.set_evacuated(evacuations.is_evacuated(&self.server.hall), now);
        let region = regions.get(&self.server.hall);
        if self.region.as_ref() != region {
            self.region = region.cloned();
        }
    }

    /// Takes whether its hall is evacuated. Servers may have turned cold meanwhile, and nobody may have heard yet.
    fn set_evacuated(&mut self, evacuated: bool, now: Millis) {
        let reopened = std::mem::replace(&mut self.evacuated, evacuated) && !evacuated;
        if let Some(cold) = self.cold.as_ref().filter(|_| reopened) {
            self.cold_until = self.cold_until.max(now + cold.duration.as_millis() as Millis);
        }
    }

    /// True while it is to be taken for cold: by its entry, or by what this box or its owner saw.
    pub(crate) fn is_cold(&self, now: Millis) -> bool {
        let Some(cold) = &self.cold else { return false };
        let own = self.disconnects.elapsed(now).cold_until(cold, now);
        let reported = self.status.as_ref().map_or(0, |(status, at)| status.disconnect.cold_until(cold, *at));
        now < self.cold_until.max(own).max(reported)
    }

    /// What holds for requests to it, each of which needs leave where that is anything. `bears` is what it bears while it is cold.
    pub(crate) fn quotas(&self, cold_quota: Option<Quota>, now: Millis) -> Quotas {
        Quotas { cold: cold_quota.filter(|_| self.is_cold(now)), limit: self.limit.quota() }
    }

    /// Takes what it says that it takes.
    fn set_limit(&mut self, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.denied_until = PerUrgency::default();
        }
    }

    /// Its limit allows nothing until then for requests of this urgency, nor for those that are less urgent.
    pub(crate) fn record_denial(&mut self, urgency: u8, until: Millis) {
        for denied_until in &mut self.denied_until[class_index(urgency)..] {
            *denied_until = until.max(*denied_until);
        }
    }

    /// Until when its limit allows nothing for requests of this urgency.
    pub(crate) fn denied_until(&self, urgency: u8) -> Millis {
        self.denied_until[class_index(urgency)]
    }

    /// What runs there: what its owner said lately, else what this box has there.
    pub(crate) fn load(&self, now: Millis) -> &Load {
        self.status_within(STATUS_TTL, now).map_or(&self.own_load, |status| &status.load)
    }

    /// What its owner said within the last so many milliseconds.
    pub(crate) fn status_within(&self, max_age: Millis, now: Millis) -> Option<&ServerStatus> {
        self.status.as_ref().filter(|(_, at)| now < at + max_age).map(|(status, _)| status)
    }

    /// How fast its owner said that it is, whenever that was.
    pub(crate) fn speed(&self) -> Option<&Speed> {
        self.status.as_ref().map(|(status, _)| &status.speed)
    }

    /// How often reading lately stalled answers there, as far as its owner said not long ago.
    pub(crate) fn stalls_per_s(&self, now: Millis) -> f32 {
        self.status_within(STALLS_TTL, now).map_or(0.0, |status| status.stalls_per_s)
    }

    /// True while the server is to be left alone, by what this box or its owner saw.
    pub(crate) fn is_paused(&self, now: Millis) -> bool {
        self.health.is_paused(now) || self.status_within(STATUS_TTL, now).is_some_and(|status| status.paused)
    }
}
