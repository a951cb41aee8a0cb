//! The servers of one service.

use crate::admission::{Admission, AdmissionSummary};
use crate::brittle::Brittle;
use crate::candidates::{
    candidate_of_unknown_load, last_known_candidates, likely_holders, overload_refusal, sort_by_cost,
};
use crate::cost::{Candidate, CostModel, Source, MIN_FETCH_TOKENS};
use crate::demand::{Demand, Side};
use crate::homes::homes;
use crate::member::Member;
use crate::notices::Notices;
use crate::order::Order;
use crate::sample::Sample;
use crate::slot_usage::SlotUsageTracker;
use crate::split::{self, Split};
use crate::{
    AdmissionState, Choice, ColdAllowance, DemandReport, Ending, Loss, Millis, PlacementRequest, Prefill, Prompt,
    Quota, Quotas, Refusal, ServerStatus, Speed, Work,
};
use routing::{ColdStart, Engine, Server};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Share of a server's memory that cached parts are expected to fill at most.
const CACHE_RATIO: f64 = 0.8;

/// Number of servers whose owners keep the cache directory of a part.
const CACHE_DIRECTORIES_PER_PART: usize = 2;

/// Number of owners queried for a prompt with few shared tokens: any server will do, and each query costs two frames.
const MAX_QUERIES_SHORT_PROMPT: usize = 4;

/// Cap on the observations by which one server's speed is weighted in the mean of all.
const MAX_SPEED_SAMPLES: f32 = 20.0;

/// Interval between updates of the split of the engines.
const SPLIT_INTERVAL: Millis = 200;

/// Time for which a reported status counts for the demand behind the split.
const DEMAND_TTL: Millis = 4_000;

/// Number of servers that may cache a shared part, and of other servers considered for a request. In a pool of more
/// than both together, the time for a choice doesn't grow with the fleet.
const MAX_HOLDERS: usize = 256;
const MAX_OTHERS: usize = 256;

/// Number of servers that may deny a permit to one request before only servers without quotas are considered: each
/// permit request takes a round trip to another box.
const MAX_DENIALS: usize = 3;

/// Shortest time between two queries of further owners by one box after one that found no room. Some slots become free
/// meanwhile.
const SEARCH_INTERVAL: Millis = 40;

/// Time for which a brittle server that turned a request of this box away gets none from it. Bounds what one box adds to
/// the requests that the server turns away within a second.
const BRITTLE_FULL_TTL: Millis = 1_000;

/// All servers of a service with their state.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    engine: Option<Engine>,
    /// By id. Draining servers stay while they are listed, since requests may still run there.
    members: BTreeMap<String, Member>,
    /// Order of the servers; positions are updated before they are next needed.
    order: Order,
    /// Ids of members with a status from their owner.
    with_status: BTreeSet<String>,
    admission: Admission,
    slot_usage: SlotUsageTracker,
    /// Earliest time of the next query of further owners; see [`Pool::further_servers_to_query`].
    next_search_at: Millis,
    /// Orders servers with equal costs. Differs between boxes, so that they don't all choose the same one.
    seed: u64,
    /// Split of the engines between long prompts and others.
    split: Split,
    /// Cold-start settings of the service.
    cold: Option<ColdStart>,
    /// Quota of a cold server. While another server is available, it also applies to servers not known to be cold: a
    /// server may have turned cold, and reports of that take seconds. `None` if the service has no cold-start
    /// settings.
    cold_quota: Option<Quota>,
    /// Whether its servers fall over if they turn too many requests away.
    brittle: Brittle,
    /// Number of boxes that may send to its servers, including this one; 0 if unknown.
    boxes: usize,
    /// Shortest gap limit of the service's routes in milliseconds; 0 if none has a limit.
    gap_limit_ms: f64,
}

impl Pool {
    /// Creates an empty pool for a box with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Records that one of its servers said that it is brittle. Returns true if the other boxes should be told.
    pub(crate) fn record_brittle(&mut self, now: Millis) -> bool {
        self.brittle.record(now)
    }

    /// True while its servers are brittle.
    pub(crate) fn is_brittle(&self, now: Millis) -> bool {
        self.brittle.holds(now)
    }

    /// Sets the number of boxes that may send to its servers, including this one.
    pub(crate) fn set_boxes(&mut self, boxes: usize) {
        self.boxes = boxes;
    }

    /// Returns the quotas for a request to the server. Many boxes see the same free slot of a brittle engine, so its owner
    /// grants it to one of them.
    fn quotas(&self, member: &Member, request: &PlacementRequest<'_>) -> Quotas {
        let needs_slot = request.prompt.is_some() && self.is_brittle(request.now);
        Quotas { slots: needs_slot.then_some(member.server.slots), ..member.quotas(self.cold_quota, request.now) }
    }

    /// True if the server is known to have a free slot. If its owner doesn't answer, this box uses its own share of the
    /// slots.
    fn has_known_slot(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let slots = member.server.slots;
        !member.is_full(request.now)
            && request.denied.len() < MAX_DENIALS
            && match request.status(&member.server.id) {
                Some(status) => status.load.running < slots,
                None => member.own_load.running < (slots / u32::try_from(self.boxes.max(1)).unwrap_or(u32::MAX)).max(1),
            }
    }

    /// Sets the engine type of its servers.
    pub(crate) fn set_engine(&mut self, engine: Option<Engine>) {
        self.engine = engine;
    }

    /// Sets the shortest gap limit in milliseconds; 0 for none.
    pub(crate) fn set_gap_limit(&mut self, gap_ms: f64) {
        self.gap_limit_ms = gap_ms;
    }

    /// Returns the tokens of parts that one server is expected to cache at most.
    pub(crate) fn cache_capacity(&self) -> u64 {
        self.engine.as_ref().map_or(0.0, |e| e.memory_tokens as f64 * CACHE_RATIO) as u64
    }

    /// Sets the cold-start settings of its servers.
    pub(crate) fn set_cold(&mut self, cold: Option<ColdStart>, allowance: &ColdAllowance) {
        if self.cold != cold {
            self.members.values_mut().for_each(|member| member.cold = cold);
        }
        self.cold = cold;
        self.cold_quota = cold.map(|cold| allowance.quota(&cold));
    }

    /// Applies the entry of an instance, which may be new.
    pub(crate) fn upsert(&mut self, server: &Arc<Server>, now: Millis) -> &mut Member {
        let member = self.members.entry(server.id.clone()).or_insert_with(|| Member::new(server, now));
        self.order.replace(&member.server, server);
        member.cold = self.cold;
        member.apply_entry(server, now);
        member
    }

    /// Removes an instance that is no longer listed.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(member) = self.members.remove(id) {
            self.order.remove(&member.server);
            self.with_status.remove(id);
        }
    }

    /// Returns the entry of an instance.
    pub(crate) fn server(&self, instance: &str) -> Option<&Arc<Server>> {
        self.members.get(instance).map(|member| &member.server)
    }

    /// Iterates over all servers.
    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// Applies the notices of an instance, if it belongs to this pool.
    pub(crate) fn apply_notices(&mut self, instance: &str, notices: &Notices) {
        if let Some(member) = self.members.get_mut(instance) {
            member.apply_notices(notices);
        }
    }

    /// Updates the positions of servers that have moved in the pool's order.
    fn update_positions(&mut self) {
        let members = &mut self.members;
        self.order.report_moved(|id, position| {
            if let Some(member) = members.get_mut(id) {
                member.position = position;
            }
        });
    }

    /// Records that a permit for a server with a limit was denied to a request of this urgency, and that none is
    /// granted until then.
    pub(crate) fn record_denial(&mut self, id: &str, urgency: u8, until: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_denial(urgency, until);
        }
    }

    /// Returns the admission state of a server; `None` if it isn't listed.
    pub(crate) fn admission_state(&self, id: &str, now: Millis) -> Option<AdmissionState> {
        self.members.get(id).map(|member| member.admission_state(now))
    }

    /// True if a server names a limit, so that each request needs a permit.
    pub(crate) fn is_limited(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.limit.quota().is_some())
    }

    /// Updates the split from the demand of the pool's work, at most once per interval.
    fn update_split(&mut self, now: Millis) {
        if now < self.split.updated_at() + SPLIT_INTERVAL {
            return;
        }
        let mut sides = [Side::default(), Side::default()];
        for member in self.members.values().filter(|member| !member.admission_state(now).is_closed()) {
            let side = &mut sides[usize::from(self.split.prefers_long(member.position))];
            side.engines += 1.0;
            if let Some(status) = member.status_within(DEMAND_TTL, now) {
                side.add(status, member.server.slots);
            }
        }
        let engines = sides[0].engines + sides[1].engines;
        let demand = sides.iter().fold(Demand::default(), |demand, side| demand.plus(side.demand(engines)));
        self.split.update(demand, now);
    }

    /// Returns the servers whose owners should be queried: the likely holders of the prompt's shared parts, then the
    /// cheapest others.
    pub(crate) fn servers_to_query(
        &mut self,
        request: &PlacementRequest<'_>,
        hall: &str,
        region: Option<&str>,
        max: usize,
    ) -> Vec<Arc<Server>> {
        self.update_positions();
        let (sample, eligible) = self.eligible(request);
        let model = self.cost_model(request, hall, &sample, &eligible);
        let mut candidates: Vec<_> = eligible.iter().map(|member| model.candidate(member)).collect();
        sort_by_cost(&mut candidates, request);
        let shares = request.prompt.is_some_and(|prompt| prompt.shared_tokens() >= MIN_FETCH_TOKENS);
        let answering = |member: &&Member| !member.is_owner_silent(request.now);
        let mut likely = likely_holders(&model);
        if !shares {
            // Owners in other regions don't answer in time, and few shared tokens aren't worth the wait.
            likely.truncate(1);
            likely.retain(|home| home.region.as_deref() == region);
        }
        likely.retain(answering);
        let cheap = || candidates.iter().map(|candidate| candidate.member);
        // Servers with silent owners look idle. If every request queried those, the owners would stay silent.
        let others = cheap().filter(answering).chain(cheap().filter(|member| !answering(member)));
        let others = others.filter(|member| !likely.iter().any(|holder| holder.server.id == member.server.id));
        likely
            .iter()
            .copied()
            .chain(others)
            .take(if shares { max } else { max.min(MAX_QUERIES_SHORT_PROMPT) })
            .map(|member| Arc::clone(&member.server))
            .collect()
    }

    /// Returns the servers that may cache a shared part: the same on every box.
    fn part_sample(&self, part: u64) -> Sample<'_> {
        if self.members.len() <= MAX_HOLDERS + MAX_OTHERS {
            return Sample::all(self.members.values());
        }
        let from = routing::rank(part, "");
        let following: Vec<(u64, &str)> = self.order.following(from, MAX_HOLDERS).collect();
        let span = following.last().map_or(0, |(hash, _)| hash.wrapping_sub(from));
        let servers = following.into_iter().filter_map(|(_, id)| self.members.get(id)).collect();
        Sample { servers, from, span }
    }

    /// Returns the servers considered for a request: all of a small pool, a sample of a large one.
    fn sample(&self, request: &PlacementRequest<'_>) -> Sample<'_> {
        let own = request.prompt.and_then(|prompt| prompt.parts.last()).map_or(self.seed, |part| part.id);
        let shared = request.prompt.and_then(Prompt::last_shared).unwrap_or(own);
        let mut sample = self.part_sample(shared);
        if sample.servers.len() < self.members.len() {
            let drawn = self.order.following(routing::rank(own, "own"), MAX_OTHERS);
            let drawn = drawn.filter_map(|(_, id)| self.members.get(id));
            let others: Vec<&Member> = drawn.filter(|member| !sample.may_cache(member)).collect();
            sample.servers.extend(others);
        }
        sample
    }

    fn cost_model<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        hall: &'a str,
        sample: &Sample<'a>,
        eligible: &[&'a Member],
    ) -> CostModel<'a> {
        let reported = self.with_status.iter().filter_map(|id| self.members.get(id));
        let speed = Speed::mean(reported.filter_map(Member::speed), MAX_SPEED_SAMPLES);
        let longness = request.prompt.map_or(0.0, |prompt| {
            split::longness(
                speed.prefill_ms(Prefill::tail(prompt.tokens, prompt.tokens, speed.chunk_tokens())),
                self.gap_limit_ms,
            )
        });
        let long = split::is_long(longness);
        let holders = || eligible.iter().copied().filter(|member| sample.may_cache(member));
        let ranked = request.prompt.map_or_else(Vec::new, |prompt| homes(holders(), prompt));
        let side: Vec<&Member> =
            ranked.iter().copied().filter(|m| self.split.prefers_long(m.position) == long).collect();
        CostModel {
            request,
            engine: self.engine.as_ref(),
            speed,
            split: self.split,
            longness,
            hall,
            min_failure_ratio: eligible.iter().map(|member| member.health.failure_ratio()).fold(1.0, f64::min),
            homes: if side.is_empty() { ranked.clone() } else { side },
            ranked,
            source: self.source(request, sample),
        }
    }

    /// Returns the server that is known to have read the most of the prompt's shared parts, as far as this box knows.
    fn source<'a>(&'a self, request: &PlacementRequest<'_>, sample: &Sample<'a>) -> Option<Source<'a>> {
        let shared = request.prompt?.shared();
        let read = |m: &Member| {
            m.cached
                .confirmed_prefix(shared)
                .max(request.status(&m.server.id).map_or(0, |status| status.confirmed_tokens))
        };
        let sources = sample.servers.iter().copied().filter(|member| may_serve_fetch(member, request));
        let best = sources.max_by_key(|m| (read(m), self.rank(m)))?;
        let all = request.prompt?.shared_tokens();
        let tokens = read(best).min(all);
        if tokens < all {
            if let Some(member) = self.source_from_directory(request) {
                return Some(Source { member, tokens: all });
            }
        }
        (tokens > 0).then_some(Source { member: best, tokens })
    }

    /// Returns a server that read the prompt's last shared part, according to the part's cache directory.
    fn source_from_directory(&self, request: &PlacementRequest<'_>) -> Option<&Member> {
        let ids = request.statuses.iter().flat_map(|(_, status)| &status.cached_by);
        ids.filter_map(|id| self.members.get(id)).find(|member| may_serve_fetch(member, request))
    }

    /// Returns the servers whose owners keep the cache directory of a part. They are the same on every box, however
    /// it splits the engines, and two, so that the directory survives if one of them goes or a new server ranks
    /// first.
    fn cache_directories(&self, part: u64, now: Millis) -> Vec<&Member> {
        let mut servers = self.part_sample(part).servers;
        servers.retain(|member| !member.admission_state(now).is_closed());
        let rank = |member: &&Member| Reverse(routing::rank(part, &member.server.id));
        if servers.len() > CACHE_DIRECTORIES_PER_PART {
            servers.select_nth_unstable_by_key(CACHE_DIRECTORIES_PER_PART - 1, rank);
            servers.truncate(CACHE_DIRECTORIES_PER_PART);
        }
        servers
    }

    /// Returns the cache directories to notify of a choice: those of other servers, if it reads or fetches shared
    /// parts.
    fn directories_to_notify(&self, best: &Candidate<'_>, request: &PlacementRequest<'_>) -> Vec<(Arc<Server>, u64)> {
        let Some(prompt) = request.prompt.filter(|prompt| prompt.shared_tokens() >= MIN_FETCH_TOKENS) else {
            return Vec::new();
        };
        let own = u64::from(prompt.tokens.saturating_sub(prompt.shared_tokens()));
        let Some(part) = prompt.shared().last().filter(|_| best.fetch || best.work.prefill.tokens > own) else {
            return Vec::new();
        };
        let directories = self.cache_directories(part.id, request.now).into_iter();
        let others = directories.filter(|directory| directory.server.id != best.member.server.id);
        others.map(|directory| (Arc::clone(&directory.server), part.id)).collect()
    }

    /// Decides whether a new request is shed; see [`Admission::admit`]. Plain servers have no shortage by class: their
    /// slots are few, and assigned in order where boxes share them.
    pub(crate) fn admit(&mut self, request: &PlacementRequest<'_>, customer: u64, draw: f64) -> Result<(), Refusal> {
        if self.engine.is_none() {
            return Ok(());
        }
        let is_short = self.is_short(request.now);
        self.admission.admit(request, customer, is_short, draw)
    }

    /// True if engines' slots are short: owners report none that are free, or requests found none within the last second.
    pub(crate) fn is_short(&mut self, now: Millis) -> bool {
        let has_free = self.slot_usage.get(&self.members, now).has_free();
        self.engine.is_some() && (!has_free || self.admission.has_refused(now))
    }

    /// Records that a request got nothing.
    pub(crate) fn record_lost(&mut self, urgency: u8, loss: Loss, now: Millis) {
        if self.engine.is_some() {
            self.admission.record_lost(urgency, loss, now);
        }
    }

    /// Returns what is held back now; `None` for plain servers.
    pub(crate) fn admission_summary(&self, now: Millis) -> Option<AdmissionSummary> {
        self.engine.is_some().then(|| self.admission.summary(now))
    }

    /// Returns the demand that this box counted, for queries.
    pub(crate) fn demand_report(&self, now: Millis) -> DemandReport {
        self.admission.report(now)
    }

    /// Records the status of a server that its owner reported.
    pub(crate) fn on_status(&mut self, id: &str, status: ServerStatus, now: Millis) {
        if let Some(demand) = &status.demand {
            self.admission.apply(demand, now);
        }
        if let Some(member) = self.members.get_mut(id) {
            member.record_status(status, now);
            self.with_status.insert(id.to_owned());
            self.slot_usage.record(id, now);
        }
    }

    /// Records that the owner of a server didn't answer a query in time.
    pub(crate) fn record_missed_status(&mut self, id: &str, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_missed_status(now);
        }
    }

    /// Returns the servers considered for a request and the eligible ones among them. If none of a sample is
    /// eligible, all servers are considered.
    fn eligible(&self, request: &PlacementRequest<'_>) -> (Sample<'_>, Vec<&Member>) {
        let sample = self.sample(request);
        let open = self.eligible_of(&sample.servers, request);
        if !open.is_empty() || sample.servers.len() == self.members.len() {
            return (sample, open);
        }
        let all = Sample::all(self.members.values());
        let open = self.eligible_of(&all.servers, request);
        (all, open)
    }

    /// Returns those of these servers that are eligible for a request.
    fn eligible_of<'a>(&self, sample: &[&'a Member], request: &PlacementRequest<'_>) -> Vec<&'a Member> {
        let mut healthy = Vec::with_capacity(sample.len());
        let (mut unconfirmed, mut paused) = (Vec::new(), Vec::new());
        for member in sample.iter().copied().filter(|member| self.may_receive(member, request)) {
            match member.admission_state(request.now) {
                AdmissionState::Open => healthy.push(member),
                _ if self.is_full(member, request) => {}
                AdmissionState::Cold | AdmissionState::Limited => healthy.push(member),
                AdmissionState::Unconfirmed => unconfirmed.push(member),
                AdmissionState::Paused => paused.push(member),
                AdmissionState::BackingOff | AdmissionState::Evacuated | AdmissionState::Leaving => {}
            }
        }
        match (healthy.is_empty(), unconfirmed.is_empty()) {
            (false, _) => healthy,
            (true, false) => unconfirmed,
            (true, true) => first_to_resume(&paused),
        }
    }

    /// True if a request may go to this server, whatever its admission state.
    fn may_receive(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let id = &member.server.id;
        request.allows_region(member.region.as_deref())
            && (request.version.is_none() || !member.is_doubted)
            && request.allows_version(&member.server)
            && !request.tried.contains(id)
            && !request.denied.contains(id)
    }

    /// True if a server would turn the request away, or take the room that more urgent requests need there.
    fn is_queue_full(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let has_more_urgent = self.admission.has_more_urgent(request);
        member.is_full(request.now)
            || request.status(&member.server.id).is_some_and(|status| {
                member.max_running(status, has_more_urgent).is_some_and(|max| status.load.running >= max)
            })
    }

    /// True if a server that requires permits is known to grant no more, or must not be asked again.
    fn is_full(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let Quotas { cold, limit, .. } = member.quotas(self.cold_quota, request.now);
        let denied = limit.is_some()
            && (request.now < member.denied_until(request.urgency) || request.denied.len() >= MAX_DENIALS);
        denied || (cold.is_some() && (request.denied.len() >= MAX_DENIALS || self.is_at_cold_quota(member, request)))
    }

    /// True if so many requests were sent to the server within a second that it would be overloaded if it had just
    /// turned cold.
    fn is_at_cold_quota(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let full = |quota: Quota| {
            request.status(&member.server.id).is_some_and(|status| status.arrivals >= quota.max_requests)
        };
        self.cold_quota.is_some_and(full)
    }

    /// Returns further servers whose owners should be queried, cheapest first: none if one of those that answered has room.
    /// After a search that found none, the next one follows after [`SEARCH_INTERVAL`], since a pool without any room would
    /// otherwise spend its links on queries.
    pub(crate) fn further_servers_to_query(
        &mut self,
        request: &PlacementRequest<'_>,
        hall: &str,
        max: usize,
    ) -> Vec<Arc<Server>> {
        if request.now < self.next_search_at || self.has_room(request, hall) {
            return Vec::new();
        }
        self.next_search_at = request.now + SEARCH_INTERVAL;
        let (sample, eligible) = self.eligible(request);
        let model = self.cost_model(request, hall, &sample, &eligible);
        let unasked = eligible.iter().filter(|member| request.status(&member.server.id).is_none());
        let answering = unasked.filter(|member| !member.is_owner_silent(request.now) && !member.is_full(request.now));
        let mut candidates: Vec<_> = answering.map(|member| model.candidate(member)).collect();
        sort_by_cost(&mut candidates, request);
        candidates.iter().take(max).map(|candidate| Arc::clone(&candidate.member.server)).collect()
    }

    /// Records that a further search found a server with room.
    pub(crate) fn record_found(&mut self) {
        self.next_search_at = 0;
    }

    /// True if one of the servers whose owners answered can take a request, or none answered at all.
    pub(crate) fn has_room(&self, request: &PlacementRequest<'_>, hall: &str) -> bool {
        let (sample, eligible) = self.eligible(request);
        let model = self.cost_model(request, hall, &sample, &eligible);
        let mut known = eligible.iter().filter(|member| request.status(&member.server.id).is_some()).peekable();
        known.peek().is_none()
            || known.any(|member| {
                !self.is_queue_full(member, request)
                    && !self.is_at_cold_quota(member, request)
                    && self.admission.admits(request, model.candidate(member).estimate.slot_wait_ms)
            })
    }

    /// Chooses the server with the lowest cost. `hall` is this box's hall.
    pub(crate) fn choose(&mut self, request: &PlacementRequest<'_>, hall: &str) -> Result<Choice, Refusal> {
        self.admission.record(request.urgency, request.now);
        self.update_positions();
        self.update_split(request.now);
        let (sample, eligible) = self.eligible(request);
        if eligible.is_empty() {
            return Err(self.refusal_without_candidates(request));
        }
        let model = self.cost_model(request, hall, &sample, &eligible);
        let candidates = self.candidates(request, &eligible, &model);
        // A request that was sent before is not refused: it may have run.
        let admitted = |c: &&Candidate<'_>| {
            if self.is_brittle(request.now) && !self.has_known_slot(c.member, request) {
                return false;
            }
            let full = request.prompt.is_some() && self.is_queue_full(c.member, request);
            !full && (!request.tried.is_empty() || self.admission.admits(request, c.estimate.slot_wait_ms))
        };
        let at_cold_quota = |c: &Candidate<'_>| self.is_at_cold_quota(c.member, request);
        let cheaper = |a: &&Candidate<'_>, b: &&Candidate<'_>| {
            let cheaper = at_cold_quota(a).cmp(&at_cold_quota(b)).then_with(|| a.cost().total_cmp(&b.cost()));
            cheaper.then_with(|| self.rank(a.member).cmp(&self.rank(b.member)))
        };
        let Some(best) = candidates.iter().filter(admitted).min_by(cheaper) else {
            return Err(overload_refusal(&candidates));
        };
        let choice = Choice {
            server: Arc::clone(&best.member.server),
            fetch: if best.fetch { model.source.map(|s| s.member.server.address) } else { None },
            work: best.work,
            estimate: best.estimate,
            load: best.member.load(request.now).clone(),
            candidates: eligible.len(),
            answered: request.statuses.len(),
            known: request.status(&best.member.server.id).is_some(),
            cache_directories: self.directories_to_notify(best, request),
            permit_quotas: Some(self.quotas(best.member, request)).filter(|quotas| !quotas.is_empty()),
        };
        self.record_choice(&choice, request);
        Ok(choice)
    }

    fn rank(&self, member: &Member) -> u64 {
        routing::rank(self.seed, &member.server.id)
    }

    /// True if its servers are no engines.
    pub(crate) fn is_plain(&self) -> bool {
        self.engine.is_none()
    }

    /// Sets whether a listed instance may have ended.
    pub(crate) fn set_doubted(&mut self, instance: &str, is_doubted: bool) {
        if let Some(member) = self.members.get_mut(instance) {
            member.is_doubted = is_doubted;
        }
    }

    /// Iterates over all servers.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.members.values().map(|member| &*member.server)
    }

    /// Iterates over the servers of a region.
    pub(crate) fn members_in<'a>(&'a self, region: Option<&'a str>) -> impl Iterator<Item = &'a Member> {
        self.members.values().filter(move |member| member.region.as_deref() == region)
    }

    /// Returns the choice of a given plain server, for a request that was assigned a slot there. `hall` is this box's
    /// hall.
    ///
    /// The slot is assigned by another box's knowledge, so the server must be open to this box as well.
    pub(crate) fn choose_server(
        &mut self,
        request: &PlacementRequest<'_>,
        id: &str,
        hall: &str,
    ) -> Result<Choice, Refusal> {
        self.admission.record(request.urgency, request.now);
        let found = self.members.get(id).filter(|member| self.may_receive(member, request));
        let member = found.ok_or(Refusal::NoServer)?;
        match member.admission_state(request.now) {
            AdmissionState::Open => {}
            AdmissionState::BackingOff => {
                return Err(Refusal::BackingOff { retry_ms: member.back_off_until - request.now });
            }
            _ => return Err(Refusal::NoServer),
        }
        let (sample, eligible) = self.eligible(request);
        let candidate = self.cost_model(request, hall, &sample, &eligible).candidate(member);
        let choice = Choice {
            server: Arc::clone(&member.server),
            fetch: None,
            work: candidate.work,
            estimate: candidate.estimate,
            load: member.load(request.now).clone(),
            candidates: eligible.len(),
            answered: 0,
            known: false,
            cache_directories: Vec::new(),
            permit_quotas: None,
        };
        self.record_choice(&choice, request);
        Ok(choice)
    }

    /// Returns the reason why there are no eligible servers.
    fn refusal_without_candidates(&self, request: &PlacementRequest<'_>) -> Refusal {
        let in_region = self.members.values().filter(|member| request.allows_region(member.region.as_deref()));
        let open = || in_region.clone().filter(|member| !member.admission_state(request.now).is_blocked());
        if open().any(|member| member.is_cold(request.now)) {
            return Refusal::Cold;
        }
        let limited = open().filter(|member| member.limit.quota().is_some());
        if let Some(retry_ms) =
            limited.map(|member| member.denied_until(request.urgency).saturating_sub(request.now)).min()
        {
            return Refusal::Limited { retry_ms };
        }
        let backing_off = in_region.filter(|member| member.admission_state(request.now) == AdmissionState::BackingOff);
        let first_back = backing_off.map(|member| member.back_off_until - request.now).min();
        first_back.map_or(Refusal::NoServer, |retry_ms| Refusal::BackingOff { retry_ms })
    }

    /// Returns the servers to compare, with their costs.
    ///
    /// A server without a status from its owner looks idle. So if some eligible servers have one, only those are
    /// compared, whatever their load, and the first home, which holds the shared parts: without it, a fifth of all
    /// repeated prefill was due to owners of homes that answered late. Where one of the others has no free slot, the
    /// home is not assumed to have one.
    fn candidates<'a>(
        &self,
        request: &PlacementRequest<'_>,
        eligible: &[&'a Member],
        model: &CostModel<'a>,
    ) -> Vec<Candidate<'a>> {
        let has_status = |m: &&&'a Member| request.status(&m.server.id).is_some();
        let mut candidates: Vec<Candidate<'a>> =
            eligible.iter().filter(has_status).map(|member| model.candidate(member)).collect();
        if candidates.is_empty() {
            return last_known_candidates(request, eligible, model);
        }
        let unknown = |home: &&&'a Member| request.status(&home.server.id).is_none();
        if let Some(home) = model.homes.first().filter(unknown) {
            let has_room = |c: &Candidate<'_>| {
                let has_slot =
                    request.status(&c.member.server.id).is_some_and(|s| s.load.running < c.member.server.slots);
                has_slot && !c.member.is_full(request.now) && !self.is_at_cold_quota(c.member, request)
            };
            if candidates.iter().all(has_room) {
                candidates.push(candidate_of_unknown_load(home, &candidates, model));
            }
        }
        candidates
    }

    /// Records the effects of a choice: a half-open probe, and the parts that will be cached.
    fn record_choice(&mut self, choice: &Choice, request: &PlacementRequest<'_>) {
        let max_tokens = self.cache_capacity();
        let Some(member) = self.members.get_mut(&choice.server.id) else { return };
        if member.health.is_half_open(request.now) {
            member.health.begin_probe(request.now);
        }
        if let Some(prompt) = request.prompt {
            member.cached.touch(&prompt.parts, max_tokens, request.now);
        }
    }

    pub(crate) fn record_sent(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.record_sent(work);
        }
    }

    pub(crate) fn record_prefilled(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.record_prefilled(work);
        }
    }

    pub(crate) fn record_late(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.record_late(work);
        }
    }

    pub(crate) fn record_cached(&mut self, id: &str, prompt: &Prompt) {
        if let Some(member) = self.members.get_mut(id) {
            member.cached.mark_read(&prompt.parts);
        }
    }

    pub(crate) fn record_ending(&mut self, id: &str, ending: Ending, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_ending(ending, now);
        }
    }

    pub(crate) fn record_end(&mut self, id: &str, work: Work, ending: Ending, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_load.record_end(work);
            member.record_ending(ending, now);
            if ending == Ending::NotRun && self.brittle.holds(now) {
                member.extend_full(now + BRITTLE_FULL_TTL);
            }
        }
    }
}

/// True if parts of the prompt may be fetched from a server.
fn may_serve_fetch(member: &Member, request: &PlacementRequest<'_>) -> bool {
    !member.is_paused(request.now)
        && member.back_off_until <= request.now
        && request.allows_region(member.region.as_deref())
}

/// Returns the one of these paused servers whose pause ends first.
fn first_to_resume<'a>(paused: &[&'a Member]) -> Vec<&'a Member> {
    paused.iter().copied().min_by_key(|m| m.health.pause_until()).into_iter().collect()
}
