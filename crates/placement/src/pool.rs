//! The servers of one service.

use crate::admission::Admission;
use crate::cost::{Candidate, CostModel, Source, MIN_FETCH_TOKENS};
use crate::demand::{Demand, Side};
use crate::homes::homes;
use crate::member::Member;
use crate::notices::Notices;
use crate::order::Order;
use crate::sample::Sample;
use crate::split::{self, Split};
use crate::{
    AdmissionState, Choice, ColdAllowance, Ending, Millis, PlacementRequest, Prefill, Prompt, Quota, Quotas, Refusal,
    ServerStatus, Speed, Work,
};
use routing::{ColdStart, Engine, Server};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Part of a server's memory that kept parts are expected to fill at most.
const CACHE_RATIO: f64 = 0.8;

/// How many of the servers that are to keep a prompt's shared parts are always asked for: the first, those that had them
/// before it came or take over when it goes, and those that get them while these are full. What is read there is kept where
/// the next box looks for it: worth is 0.771, with three it is 0.767 (mean of six runs of days with bursts of long prompts).
const MAX_HOMES_QUERIED: usize = 6;

/// How many servers of the other side that rank before the first home are asked for.
const MAX_OTHER_SIDE_QUERIED: usize = 2;

/// How many servers' owners keep the register of a part.
const CACHE_DIRECTORIES_PER_PART: usize = 2;

/// How many owners are asked for a prompt with few shared tokens: any server will do, and each question is two frames.
const MAX_QUERIES_SHORT_PROMPT: usize = 4;

/// How much one server's speed counts at most in the mean of all, in observations.
const MAX_SPEED_SAMPLES: f32 = 20.0;

/// How much dearer than the cheapest a server may look, in answers that come late, to be as good to ask. Below what the
/// other side or another hall costs a long prompt.
const COST_TOLERANCE: f64 = 0.05;

/// What it costs to choose a server of which nothing is known lately: about what a busy engine costs more than one at rest.
const UNKNOWN_STATUS_COST: f64 = 0.2;

/// Pause between two looks at how the engines are to be divided.
const SPLIT_INTERVAL: Millis = 200;

/// How long what an owner said counts for how the engines are to be divided.
const DEMAND_TTL: Millis = 4_000;

/// How many servers may keep a shared part, and how many others are weighed for a request. In a pool of more than both, what it costs to
/// choose doesn't grow with the fleet.
const MAX_HOLDERS: usize = 256;
const MAX_OTHERS: usize = 256;

/// Servers for which leave may be denied for one request before only those are chosen from that need none: each ask takes the
/// way to another box and back.
const MAX_DENIALS: usize = 3;

/// All servers of a service that aren't draining, and their records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    engine: Option<Engine>,
    /// By id. Draining servers stay while they are listed, since requests may still run there.
    members: BTreeMap<String, Member>,
    /// Where they stand; they are told when that is next asked.
    order: Order,
    /// Ids of those whose owners were heard. Each is a member.
    with_status: BTreeSet<String>,
    admission: Admission,
    /// What orders servers that cost the same: boxes with others don't all choose the same one.
    seed: u64,
    /// Which of them are preferred for long prompts.
    split: Split,
    /// What its servers bear while they are cold.
    cold: Option<ColdStart>,
    /// Most requests that a server of it is to get while it is cold, and while another can have them at other times too: it may
    /// have turned cold, and news of that are seconds old. None where its service says nothing of cold servers.
    cold_quota: Option<Quota>,
    /// Shortest pause that answers of the service's routes bear, in milliseconds; 0 where they bear any.
    gap_limit_ms: f64,
}

impl Pool {
    /// A pool without servers, of a box with this seed.
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed, ..Self::default() }
    }

    /// Takes what its servers are.
    pub(crate) fn set_engine(&mut self, engine: Option<Engine>) {
        self.engine = engine;
    }

    /// Takes the shortest pause that answers bear, in milliseconds; 0 where they bear any.
    pub(crate) fn set_gap_limit(&mut self, gap_ms: f64) {
        self.gap_limit_ms = gap_ms;
    }

    /// Tokens of parts that one server is expected to keep at most.
    pub(crate) fn cache_capacity(&self) -> u64 {
        self.engine.as_ref().map_or(0.0, |e| e.memory_tokens as f64 * CACHE_RATIO) as u64
    }

    /// Takes what its servers bear while they are cold.
    pub(crate) fn set_cold(&mut self, cold: Option<ColdStart>, allowance: &ColdAllowance) {
        if self.cold != cold {
            self.members.values_mut().for_each(|member| member.cold = cold);
        }
        self.cold = cold;
        self.cold_quota = cold.map(|cold| allowance.quota(&cold));
    }

    /// Takes a server's entry, of a life that may be new here.
    pub(crate) fn upsert(&mut self, server: &Arc<Server>, now: Millis) -> &mut Member {
        let member = self.members.entry(server.id.clone()).or_insert_with(|| Member::new(server, now));
        self.order.replace(&member.server, server);
        member.cold = self.cold;
        member.apply_entry(server, now);
        member
    }

    /// Drops the record of a life that is no longer listed.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(member) = self.members.remove(id) {
            self.order.remove(&member.server);
            self.with_status.remove(id);
        }
    }

    /// The entry of a life.
    pub(crate) fn server(&self, instance: &str) -> Option<&Arc<Server>> {
        self.members.get(instance).map(|member| &member.server)
    }

    /// The records of all servers.
    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// Takes what a life said of itself, if it is one of this pool's.
    pub(crate) fn apply_notices(&mut self, instance: &str, notices: &Notices) {
        if let Some(member) = self.members.get_mut(instance) {
            member.apply_notices(notices);
        }
    }

    /// Notes where servers stand in the pool's order since others came or went.
    fn update_positions(&mut self) {
        let members = &mut self.members;
        self.order.report_moved(|id, position| {
            if let Some(member) = members.get_mut(id) {
                member.position = position;
            }
        });
    }

    /// Leave for a server that names a limit was denied for a request of this urgency, and is until then.
    pub(crate) fn record_denial(&mut self, id: &str, urgency: u8, until: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.record_denial(urgency, until);
        }
    }

    /// What is in force for a server; none where it isn't listed.
    pub(crate) fn admission_state(&self, id: &str, now: Millis) -> Option<AdmissionState> {
        self.members.get(id).map(|member| member.admission_state(now))
    }

    /// True where a server names a limit, so that each request needs leave.
    pub(crate) fn is_limited(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.limit.quota().is_some())
    }

    /// Looks at what the pool's work takes, now and then, and divides the engines by it.
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

    /// Servers whose owners are worth asking: those that are to keep the prompt's shared parts, then the cheapest.
    pub(crate) fn servers_to_query(
        &mut self,
        request: &PlacementRequest<'_>,
        hall: &str,
        max: usize,
    ) -> Vec<Arc<Server>> {
        self.update_positions();
        let (sample, eligible) = self.eligible(request);
        let model = self.cost_model(request, hall, &sample, &eligible);
        let mut candidates: Vec<_> = eligible.iter().map(|member| model.candidate(member)).collect();
        sort_by_cost(&mut candidates, request);
        let shares = request.prompt.is_some_and(|prompt| prompt.shared_tokens() >= MIN_FETCH_TOKENS);
        let likely = if shares { likely_holders(&model) } else { Vec::new() };
        let cheap = candidates.iter().map(|candidate| candidate.member);
        let others = cheap.filter(|member| !likely.iter().any(|holder| holder.server.id == member.server.id));
        likely
            .iter()
            .copied()
            .chain(others)
            .take(if shares { max } else { max.min(MAX_QUERIES_SHORT_PROMPT) })
            .map(|member| Arc::clone(&member.server))
            .collect()
    }

    /// The servers that may keep a shared part: the same on every box.
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

    /// The servers that are looked at for a request, where all have few.
    fn sample(&self, request: &PlacementRequest<'_>) -> Sample<'_> {
        let own = request.prompt.and_then(|prompt| prompt.parts.last()).map_or(self.seed, |part| part.id);
        let shared = request.prompt.and_then(Prompt::last_shared).unwrap_or(own);
        let mut sample = self.part_sample(shared);
        if sample.servers.len() < self.members.len() {
            let drawn = self.order.following(routing::rank(own, "own"), MAX_OTHERS);
            let drawn = drawn.filter_map(|(_, id)| self.members.get(id));
            let others: Vec<&Member> = drawn.filter(|member| !sample.keeps(member)).collect();
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
        let heard = self.with_status.iter().filter_map(|id| self.members.get(id));
        let speed = Speed::mean(heard.filter_map(Member::speed), MAX_SPEED_SAMPLES);
        let longness = request.prompt.map_or(0.0, |prompt| {
            split::longness(
                speed.prefill_ms(Prefill::tail(prompt.tokens, prompt.tokens, speed.chunk_tokens())),
                self.gap_limit_ms,
            )
        });
        let long = split::is_long(longness);
        let holders = || eligible.iter().copied().filter(|member| sample.keeps(member));
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

    /// The server that surely has read the most of the prompt's shared parts, as far as this box has heard.
    fn source<'a>(&'a self, request: &PlacementRequest<'_>, sample: &Sample<'a>) -> Option<Source<'a>> {
        let shared = request.prompt?.shared();
        let read = |m: &Member| {
            m.cached.confirmed_prefix(shared).max(request.status(&m.server.id).map_or(0, |o| o.confirmed_tokens))
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

    /// A server that read the prompt's last shared part, by the part's register.
    fn source_from_directory(&self, request: &PlacementRequest<'_>) -> Option<&Member> {
        let ids = request.statuses.iter().flat_map(|(_, status)| &status.cached_by);
        ids.filter_map(|id| self.members.get(id)).find(|member| may_serve_fetch(member, request))
    }

    /// The servers whose owners keep the register of a part: the same for every box, however it divides the engines. Two,
    /// so that it is there when one of them has gone or a new server ranks first.
    fn cache_directories(&self, part: u64, now: Millis) -> Vec<&Member> {
        let mut open = self.part_sample(part).servers;
        open.retain(|member| !member.admission_state(now).is_closed());
        let rank = |member: &&Member| Reverse(routing::rank(part, &member.server.id));
        if open.len() > CACHE_DIRECTORIES_PER_PART {
            open.select_nth_unstable_by_key(CACHE_DIRECTORIES_PER_PART - 1, rank);
            open.truncate(CACHE_DIRECTORIES_PER_PART);
        }
        open
    }

    /// The registers to be told of a choice: of one that reads or fetches shared parts away from there.
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

    /// Takes what the owner of a server said.
    pub(crate) fn on_status(&mut self, id: &str, status: ServerStatus, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.status = Some((status, now));
            self.with_status.insert(id.to_owned());
        }
    }

    /// The servers that are looked at for a request, and those of them that may have it: of all servers, where none of few may.
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

    /// Those of these servers that may have a request.
    fn eligible_of<'a>(&self, sample: &[&'a Member], request: &PlacementRequest<'_>) -> Vec<&'a Member> {
        let mut sound = Vec::with_capacity(sample.len());
        let (mut doubted, mut paused) = (Vec::new(), Vec::new());
        for member in sample.iter().copied().filter(|member| self.may_receive(member, request)) {
            match member.admission_state(request.now) {
                AdmissionState::Open => sound.push(member),
                _ if self.is_full(member, request) => {}
                AdmissionState::Cold | AdmissionState::Limited => sound.push(member),
                AdmissionState::Unconfirmed => doubted.push(member),
                AdmissionState::Paused => paused.push(member),
                AdmissionState::BackingOff | AdmissionState::Evacuated | AdmissionState::Leaving => {}
            }
        }
        match (sound.is_empty(), doubted.is_empty()) {
            (false, _) => sound,
            (true, false) => doubted,
            (true, true) => first_to_resume(&paused),
        }
    }

    /// True when a request may go to this server, whatever is in force for it.
    fn may_receive(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let id = &member.server.id;
        request.allows_region(member.region.as_deref()) && !request.tried.contains(id) && !request.denied.contains(id)
    }

    /// True when a server that gets requests with leave only gets no more, as far as is known without asking for it.
    fn is_full(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let Quotas { cold, limit } = member.quotas(self.cold_quota, request.now);
        let denied = limit.is_some()
            && (request.now < member.denied_until(request.urgency) || request.denied.len() >= MAX_DENIALS);
        denied || (cold.is_some() && (request.denied.len() >= MAX_DENIALS || self.is_at_cold_quota(member, request)))
    }

    /// True when so many were sent to the server within a second that it would fall over if it had just turned cold.
    fn is_at_cold_quota(&self, member: &Member, request: &PlacementRequest<'_>) -> bool {
        let full = |quota: Quota| {
            request.status(&member.server.id).is_some_and(|status| status.arrivals >= quota.max_requests)
        };
        self.cold_quota.is_some_and(full)
    }

    /// The server with the least cost. `hall` is this box's.
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
        // What was sent before is not refused: it may have run.
        let admitted =
            |c: &&Candidate<'_>| !request.tried.is_empty() || self.admission.admits(request, c.estimate.slot_wait_ms);
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
            cache_directories: self.directories_to_notify(best, request),
            permit_quotas: Some(best.member.quotas(self.cold_quota, request.now)).filter(|quotas| !quotas.is_empty()),
        };
        self.record_choice(&choice, request);
        Ok(choice)
    }

    fn rank(&self, member: &Member) -> u64 {
        routing::rank(self.seed, &member.server.id)
    }

    /// Why there is no server to choose from.
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
        let resting = in_region.filter(|member| member.admission_state(request.now) == AdmissionState::BackingOff);
        let first_back = resting.map(|member| member.back_off_until - request.now).min();
        first_back.map_or(Refusal::NoServer, |retry_ms| Refusal::BackingOff { retry_ms })
    }

    /// The servers to compare, with their costs.
    ///
    /// A server whose owner wasn't heard looks idle: where some were heard that can have the request, only those are
    /// compared, and the first home. That is where the shared parts are: owners that were late for it had a fifth of what
    /// is read again read elsewhere.
    fn candidates<'a>(
        &self,
        request: &PlacementRequest<'_>,
        eligible: &[&'a Member],
        model: &CostModel<'a>,
    ) -> Vec<Candidate<'a>> {
        let heard = |m: &&&'a Member| request.status(&m.server.id).is_some() && !self.is_at_cold_quota(m, request);
        let mut candidates: Vec<Candidate<'a>> =
            eligible.iter().filter(heard).map(|member| model.candidate(member)).collect();
        if candidates.is_empty() {
            return eligible.iter().map(|member| model.candidate(member)).collect();
        }
        let unknown = |home: &&&'a Member| request.status(&home.server.id).is_none();
        if let Some(home) = model.homes.first().filter(unknown) {
            let mut candidate = model.candidate(home);
            candidate.estimate.cost += UNKNOWN_STATUS_COST;
            candidates.push(candidate);
        }
        candidates
    }

    /// Notes what a choice changes: a try after a pause, and the parts that will be kept.
    fn record_choice(&mut self, choice: &Choice, request: &PlacementRequest<'_>) {
        let max = self.cache_capacity();
        let Some(member) = self.members.get_mut(&choice.server.id) else { return };
        if member.health.is_half_open(request.now) {
            member.health.begin_probe(request.now);
        }
        if let Some(prompt) = request.prompt {
            member.cached.touch(&prompt.parts, max, request.now);
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
        }
    }
}

/// The servers that likely keep the prompt's shared parts: its first homes, and those of the other side that are its homes
/// where a box divides the servers a little otherwise, or did so before.
fn likely_holders<'a>(model: &CostModel<'a>) -> Vec<&'a Member> {
    let Some(first) = model.homes.first() else { return Vec::new() };
    let other_side =
        model.ranked.iter().take_while(|member| member.server.id != first.server.id).take(MAX_OTHER_SIDE_QUERIED);
    model.homes.iter().take(MAX_HOMES_QUERIED).chain(other_side).copied().collect()
}

/// True when parts of the prompt may be fetched from a server.
fn may_serve_fetch(member: &Member, request: &PlacementRequest<'_>) -> bool {
    !member.is_paused(request.now)
        && member.back_off_until <= request.now
        && request.allows_region(member.region.as_deref())
}

/// Why none of the candidates is chosen.
fn overload_refusal(candidates: &[Candidate<'_>]) -> Refusal {
    let waits = candidates.iter().map(|candidate| candidate.estimate.slot_wait_ms);
    waits.min_by(f64::total_cmp).map_or(Refusal::NoServer, |wait_ms| Refusal::Overloaded { wait_ms })
}

/// Sorts by cost, those that cost about the least in an order that differs from request to request: what this box knows of
/// most servers is old, and those that it asks first would get all it sends.
fn sort_by_cost(candidates: &mut [Candidate<'_>], request: &PlacementRequest<'_>) {
    let min_cost = candidates.iter().map(Candidate::cost).fold(f64::INFINITY, f64::min);
    let draw = request.prompt.and_then(|prompt| prompt.parts.last()).map_or(0, |part| part.id);
    let excess = |candidate: &Candidate<'_>| (candidate.cost() - min_cost - COST_TOLERANCE).max(0.0);
    let rank = |candidate: &Candidate<'_>| routing::rank(draw, &candidate.member.server.id);
    // The bits of numbers that aren't negative are in the order of the numbers.
    candidates.sort_by_cached_key(|candidate| (excess(candidate).to_bits(), rank(candidate)));
}

/// Of servers that are all paused, the one whose pause ends first.
fn first_to_resume<'a>(paused: &[&'a Member]) -> Vec<&'a Member> {
    paused.iter().copied().min_by_key(|m| m.health.pause_until()).into_iter().collect()
}
