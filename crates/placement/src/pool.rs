//! The servers of one service.

use crate::admission::Admission;
use crate::around::Around;
use crate::homes::homes;
use crate::member::Member;
use crate::need::{Need, Side};
use crate::notices::Notices;
use crate::order::Order;
use crate::split::{self, Split};
use crate::weigh::{Candidate, Scale, Source, FETCH_LEAST};
use crate::{
    AdmissionState, Choice, ColdAllowance, Ending, Millis, PlacementRequest, Prefill, Prompt, Quota, Quotas, Refusal,
    ServerStatus, Speed, Work,
};
use routing::{ColdStart, Engine, Server};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Part of a server's memory that kept parts are expected to fill at most.
const KEPT_SHARE: f64 = 0.8;

/// How many of the servers that are to keep a prompt's shared parts are always asked for: the first, those that had them
/// before it came or take over when it goes, and those that get them while these are full. What is read there is kept where
/// the next box looks for it: worth is 0.771, with three it is 0.767 (mean of six runs of days with bursts of long prompts).
const HOMES_ASKED: usize = 6;

/// How many servers of the other side that rank before the first home are asked for.
const BEYOND_ASKED: usize = 2;

/// How many servers' owners keep the register of a part.
const REGISTERS: usize = 2;

/// How many owners are asked for a prompt with few shared tokens: any server will do, and each question is two frames.
const SHORT_ASKED: usize = 4;

/// How much one server's speed counts at most in the mean of all, in observations.
const SPEED_SEEN_MOST: f32 = 20.0;

/// How much dearer than the cheapest a server may look, in answers that come late, to be as good to ask. Below what the
/// other side or another hall costs a long prompt.
const ALIKE: f64 = 0.05;

/// What it costs to choose a server of which nothing is known lately: about what a busy engine costs more than one at rest.
const UNHEARD: f64 = 0.2;

/// Pause between two looks at how the engines are to be divided.
const DIVIDE_EVERY: Millis = 200;

/// How long what an owner said counts for how the engines are to be divided.
const NEED_MOST: Millis = 4_000;

/// How many servers may keep a shared part, and how many others are weighed for a request. In a pool of more than both, what it costs to
/// choose doesn't grow with the fleet.
const KEEPERS_MOST: usize = 256;
const OTHERS_MOST: usize = 256;

/// Servers for which leave may be denied for one request before only those are chosen from that need none: each ask takes the
/// way to another box and back.
const DENIALS_MOST: usize = 3;

/// All servers of a service that aren't draining, and their records.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    engine: Option<Engine>,
    /// By id. Draining servers stay while they are listed, since requests may still run there.
    members: BTreeMap<String, Member>,
    /// Where they stand; they are told when that is next asked.
    order: Order,
    /// Ids of those whose owners were heard. Each is a member.
    heard: BTreeSet<String>,
    admission: Admission,
    /// What orders servers that cost the same: boxes with others don't all choose the same one.
    seed: u64,
    /// Which of them are preferred for long prompts.
    split: Split,
    /// What its servers bear while they are cold.
    cold: Option<ColdStart>,
    /// Most requests that a server of it is to get while it is cold, and while another can have them at other times too: it may
    /// have turned cold, and news of that are seconds old. None where its service says nothing of cold servers.
    bears: Option<Quota>,
    /// Shortest pause that answers of the service's routes bear, in milliseconds; 0 where they bear any.
    gap_ms: f64,
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
    pub(crate) fn set_gap(&mut self, gap_ms: f64) {
        self.gap_ms = gap_ms;
    }

    /// Tokens of parts that one server is expected to keep at most.
    pub(crate) fn memory(&self) -> u64 {
        self.engine.as_ref().map_or(0.0, |e| e.memory_tokens as f64 * KEPT_SHARE) as u64
    }

    /// Takes what its servers bear while they are cold.
    pub(crate) fn set_cold(&mut self, cold: Option<ColdStart>, allowance: &ColdAllowance) {
        if self.cold != cold {
            self.members.values_mut().for_each(|member| member.cold = cold);
        }
        self.cold = cold;
        self.bears = cold.map(|cold| allowance.quota(&cold));
    }

    /// Takes a server's entry, of a life that may be new here.
    pub(crate) fn put(&mut self, server: &Arc<Server>, now: Millis) -> &mut Member {
        let member = self.members.entry(server.id.clone()).or_insert_with(|| Member::new(server, now));
        self.order.replace(&member.server, server);
        member.cold = self.cold;
        member.take_entry(server, now);
        member
    }

    /// Drops the record of a life that is no longer listed.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(member) = self.members.remove(id) {
            self.order.remove(&member.server);
            self.heard.remove(id);
        }
    }

    /// The entry of a life.
    pub(crate) fn server(&self, life: &str) -> Option<&Arc<Server>> {
        self.members.get(life).map(|member| &member.server)
    }

    /// The records of all servers.
    pub(crate) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// Takes what a life said of itself, if it is one of this pool's.
    pub(crate) fn take_notices(&mut self, life: &str, notices: &Notices) {
        if let Some(member) = self.members.get_mut(life) {
            member.take_notices(notices);
        }
    }

    /// Notes where servers stand in the pool's order since others came or went.
    fn place(&mut self) {
        let members = &mut self.members;
        self.order.tell_moved(|id, position| {
            if let Some(member) = members.get_mut(id) {
                member.position = position;
            }
        });
    }

    /// Leave for a server that names a limit was denied for a request of this urgency, and is until then.
    pub(crate) fn spent(&mut self, id: &str, urgency: u8, until: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.spend(urgency, until);
        }
    }

    /// What is in force for a server; none where it isn't listed.
    pub(crate) fn standing(&self, id: &str, now: Millis) -> Option<AdmissionState> {
        self.members.get(id).map(|member| member.standing(now))
    }

    /// True where a server names a limit, so that each request needs leave.
    pub(crate) fn is_limited(&self, id: &str) -> bool {
        self.members.get(id).is_some_and(|member| member.limit.quota().is_some())
    }

    /// Looks at what the pool's work takes, now and then, and divides the engines by it.
    fn divide(&mut self, now: Millis) {
        if now < self.split.at() + DIVIDE_EVERY {
            return;
        }
        let mut sides = [Side::default(), Side::default()];
        for member in self.members.values().filter(|member| !member.standing(now).is_closed()) {
            let side = &mut sides[usize::from(self.split.reads(member.position))];
            side.engines += 1.0;
            if let Some(opinion) = member.heard_within(NEED_MOST, now) {
                side.hear(opinion, member.server.slots);
            }
        }
        let engines = sides[0].engines + sides[1].engines;
        let need = sides.iter().fold(Need::default(), |need, side| need.and(side.need(engines)));
        self.split.follow(need, now);
    }

    /// Servers whose owners are worth asking: those that are to keep the prompt's shared parts, then the cheapest.
    pub(crate) fn plan(&mut self, ask: &PlacementRequest<'_>, hall: &str, most: usize) -> Vec<Arc<Server>> {
        self.place();
        let (around, among) = self.among(ask);
        let scale = self.scale(ask, hall, &around, &among);
        let mut candidates: Vec<_> = among.iter().map(|member| scale.weigh(member)).collect();
        by_cost(&mut candidates, ask);
        let shares = ask.prompt.is_some_and(|prompt| prompt.shared_tokens() >= FETCH_LEAST);
        let likely = if shares { keepers(&scale) } else { Vec::new() };
        let cheap = candidates.iter().map(|candidate| candidate.member);
        let others = cheap.filter(|member| !likely.iter().any(|keeper| keeper.server.id == member.server.id));
        likely
            .iter()
            .copied()
            .chain(others)
            .take(if shares { most } else { most.min(SHORT_ASKED) })
            .map(|member| Arc::clone(&member.server))
            .collect()
    }

    /// The servers that may keep a shared part: the same on every box.
    fn around_part(&self, part: u64) -> Around<'_> {
        if self.members.len() <= KEEPERS_MOST + OTHERS_MOST {
            return Around::all(self.members.values());
        }
        let from = routing::rank(part, "");
        let following: Vec<(u64, &str)> = self.order.following(from, KEEPERS_MOST).collect();
        let span = following.last().map_or(0, |(hash, _)| hash.wrapping_sub(from));
        let servers = following.into_iter().filter_map(|(_, id)| self.members.get(id)).collect();
        Around { servers, from, span }
    }

    /// The servers that are looked at for a request, where all have few.
    fn around(&self, ask: &PlacementRequest<'_>) -> Around<'_> {
        let own = ask.prompt.and_then(|prompt| prompt.parts.last()).map_or(self.seed, |part| part.id);
        let shared = ask.prompt.and_then(Prompt::last_shared).unwrap_or(own);
        let mut around = self.around_part(shared);
        if around.servers.len() < self.members.len() {
            let drawn = self.order.following(routing::rank(own, "own"), OTHERS_MOST);
            let drawn = drawn.filter_map(|(_, id)| self.members.get(id));
            let others: Vec<&Member> = drawn.filter(|member| !around.keeps(member)).collect();
            around.servers.extend(others);
        }
        around
    }

    fn scale<'a>(
        &'a self,
        ask: &'a PlacementRequest<'_>,
        hall: &'a str,
        around: &Around<'a>,
        among: &[&'a Member],
    ) -> Scale<'a> {
        let heard = self.heard.iter().filter_map(|id| self.members.get(id));
        let speed = Speed::mean(heard.filter_map(Member::speed), SPEED_SEEN_MOST);
        let longness = ask.prompt.map_or(0.0, |prompt| {
            split::longness(
                speed.prefill_ms(Prefill::tail(prompt.tokens, prompt.tokens, speed.chunk_tokens())),
                self.gap_ms,
            )
        });
        let long = split::is_long(longness);
        let keepers = || among.iter().copied().filter(|member| around.keeps(member));
        let ranked = ask.prompt.map_or_else(Vec::new, |prompt| homes(keepers(), prompt));
        let side: Vec<&Member> = ranked.iter().copied().filter(|m| self.split.reads(m.position) == long).collect();
        Scale {
            ask,
            engine: self.engine.as_ref(),
            speed,
            split: self.split,
            longness,
            hall,
            failing_least: among.iter().map(|member| member.health.failure_ratio()).fold(1.0, f64::min),
            homes: if side.is_empty() { ranked.clone() } else { side },
            ranked,
            source: self.source(ask, around),
        }
    }

    /// The server that surely has read the most of the prompt's shared parts, as far as this box has heard.
    fn source<'a>(&'a self, ask: &PlacementRequest<'_>, around: &Around<'a>) -> Option<Source<'a>> {
        let shared = ask.prompt?.shared();
        let read = |m: &Member| {
            m.kept.confirmed_prefix(shared).max(ask.status(&m.server.id).map_or(0, |o| o.confirmed_tokens))
        };
        let give = around.servers.iter().copied().filter(|member| may_give(member, ask));
        let best = give.max_by_key(|m| (read(m), self.rank(m)))?;
        let all = ask.prompt?.shared_tokens();
        let tokens = read(best).min(all);
        if tokens < all {
            if let Some(member) = self.registered(ask) {
                return Some(Source { member, tokens: all });
            }
        }
        (tokens > 0).then_some(Source { member: best, tokens })
    }

    /// A server that read the prompt's last shared part, by the part's register.
    fn registered(&self, ask: &PlacementRequest<'_>) -> Option<&Member> {
        let ids = ask.statuses.iter().flat_map(|(_, opinion)| &opinion.cached_by);
        ids.filter_map(|id| self.members.get(id)).find(|member| may_give(member, ask))
    }

    /// The servers whose owners keep the register of a part: the same for every box, however it divides the engines. Two,
    /// so that it is there when one of them has gone or a new server ranks first.
    fn registers(&self, part: u64, now: Millis) -> Vec<&Member> {
        let mut open = self.around_part(part).servers;
        open.retain(|member| !member.standing(now).is_closed());
        let rank = |member: &&Member| Reverse(routing::rank(part, &member.server.id));
        if open.len() > REGISTERS {
            open.select_nth_unstable_by_key(REGISTERS - 1, rank);
            open.truncate(REGISTERS);
        }
        open
    }

    /// The registers to be told of a choice: of one that reads or fetches shared parts away from there.
    fn told(&self, best: &Candidate<'_>, ask: &PlacementRequest<'_>) -> Vec<(Arc<Server>, u64)> {
        let Some(prompt) = ask.prompt.filter(|prompt| prompt.shared_tokens() >= FETCH_LEAST) else { return Vec::new() };
        let own = u64::from(prompt.tokens.saturating_sub(prompt.shared_tokens()));
        let Some(part) = prompt.shared().last().filter(|_| best.fetch || best.work.prefill.tokens > own) else {
            return Vec::new();
        };
        let registers = self.registers(part.id, ask.now).into_iter();
        let others = registers.filter(|register| register.server.id != best.member.server.id);
        others.map(|register| (Arc::clone(&register.server), part.id)).collect()
    }

    /// Takes what the owner of a server said.
    pub(crate) fn hear(&mut self, id: &str, opinion: ServerStatus, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.heard = Some((opinion, now));
            self.heard.insert(id.to_owned());
        }
    }

    /// The servers that are looked at for a request, and those of them that may have it: of all servers, where none of few may.
    fn among(&self, ask: &PlacementRequest<'_>) -> (Around<'_>, Vec<&Member>) {
        let around = self.around(ask);
        let open = self.open(&around.servers, ask);
        if !open.is_empty() || around.servers.len() == self.members.len() {
            return (around, open);
        }
        let all = Around::all(self.members.values());
        let open = self.open(&all.servers, ask);
        (all, open)
    }

    /// Those of these servers that may have a request.
    fn open<'a>(&self, around: &[&'a Member], ask: &PlacementRequest<'_>) -> Vec<&'a Member> {
        let mut sound = Vec::with_capacity(around.len());
        let (mut doubted, mut paused) = (Vec::new(), Vec::new());
        for member in around.iter().copied().filter(|member| self.may_have(member, ask)) {
            match member.standing(ask.now) {
                AdmissionState::Open => sound.push(member),
                _ if self.full(member, ask) => {}
                AdmissionState::Cold | AdmissionState::Limited => sound.push(member),
                AdmissionState::Unconfirmed => doubted.push(member),
                AdmissionState::Paused => paused.push(member),
                AdmissionState::BackingOff | AdmissionState::Evacuated | AdmissionState::Leaving => {}
            }
        }
        match (sound.is_empty(), doubted.is_empty()) {
            (false, _) => sound,
            (true, false) => doubted,
            (true, true) => soonest(&paused),
        }
    }

    /// True when a request may go to this server, whatever is in force for it.
    fn may_have(&self, member: &Member, ask: &PlacementRequest<'_>) -> bool {
        let id = &member.server.id;
        ask.allows_region(member.region.as_deref()) && !ask.tried.contains(id) && !ask.denied.contains(id)
    }

    /// True when a server that gets requests with leave only gets no more, as far as is known without asking for it.
    fn full(&self, member: &Member, ask: &PlacementRequest<'_>) -> bool {
        let Quotas { cold, limit } = member.quotas(self.bears, ask.now);
        let spent = limit.is_some() && (ask.now < member.spent_until(ask.urgency) || ask.denied.len() >= DENIALS_MOST);
        spent || (cold.is_some() && (ask.denied.len() >= DENIALS_MOST || self.crowded(member, ask)))
    }

    /// True when so many were sent to the server within a second that it would fall over if it had just turned cold.
    fn crowded(&self, member: &Member, ask: &PlacementRequest<'_>) -> bool {
        let full =
            |bears: Quota| ask.status(&member.server.id).is_some_and(|opinion| opinion.arrivals >= bears.max_requests);
        self.bears.is_some_and(full)
    }

    /// The server with the least cost. `hall` is this box's.
    pub(crate) fn choose(&mut self, ask: &PlacementRequest<'_>, hall: &str) -> Result<Choice, Refusal> {
        self.admission.note(ask.urgency, ask.now);
        self.place();
        self.divide(ask.now);
        let (around, among) = self.among(ask);
        if among.is_empty() {
            return Err(self.nobody(ask));
        }
        let scale = self.scale(ask, hall, &around, &among);
        let candidates = self.candidates(ask, &among, &scale);
        // What was sent before is not refused: it may have run.
        let admitted =
            |c: &&Candidate<'_>| !ask.tried.is_empty() || self.admission.admits(ask, c.expected.slot_wait_ms);
        let crowded = |c: &Candidate<'_>| self.crowded(c.member, ask);
        let cheaper = |a: &&Candidate<'_>, b: &&Candidate<'_>| {
            let cheaper = crowded(a).cmp(&crowded(b)).then_with(|| a.cost().total_cmp(&b.cost()));
            cheaper.then_with(|| self.rank(a.member).cmp(&self.rank(b.member)))
        };
        let Some(best) = candidates.iter().filter(admitted).min_by(cheaper) else {
            return Err(refusal(&candidates));
        };
        let choice = Choice {
            server: Arc::clone(&best.member.server),
            fetch: if best.fetch { scale.source.map(|s| s.member.server.address) } else { None },
            work: best.work,
            estimate: best.expected,
            load: best.member.load(ask.now).clone(),
            candidates: among.len(),
            cache_directories: self.told(best, ask),
            permit_quotas: Some(best.member.quotas(self.bears, ask.now)).filter(|quotas| !quotas.is_empty()),
        };
        self.chosen(&choice, ask);
        Ok(choice)
    }

    fn rank(&self, member: &Member) -> u64 {
        routing::rank(self.seed, &member.server.id)
    }

    /// Why there is no server to choose from.
    fn nobody(&self, ask: &PlacementRequest<'_>) -> Refusal {
        let home = self.members.values().filter(|member| ask.allows_region(member.region.as_deref()));
        let open = || home.clone().filter(|member| !member.standing(ask.now).is_blocked());
        if open().any(|member| member.cold(ask.now)) {
            return Refusal::Cold;
        }
        let limited = open().filter(|member| member.limit.quota().is_some());
        if let Some(back_ms) = limited.map(|member| member.spent_until(ask.urgency).saturating_sub(ask.now)).min() {
            return Refusal::Limited { retry_ms: back_ms };
        }
        let resting = home.filter(|member| member.standing(ask.now) == AdmissionState::BackingOff);
        let soonest = resting.map(|member| member.rest_until - ask.now).min();
        soonest.map_or(Refusal::NoServer, |back_ms| Refusal::BackingOff { retry_ms: back_ms })
    }

    /// The servers to compare, with their costs.
    ///
    /// A server whose owner wasn't heard looks idle: where some were heard that can have the request, only those are
    /// compared, and the first home. That is where the shared parts are: owners that were late for it had a fifth of what
    /// is read again read elsewhere.
    fn candidates<'a>(
        &self,
        ask: &PlacementRequest<'_>,
        among: &[&'a Member],
        scale: &Scale<'a>,
    ) -> Vec<Candidate<'a>> {
        let heard = |m: &&&'a Member| ask.status(&m.server.id).is_some() && !self.crowded(m, ask);
        let mut candidates: Vec<Candidate<'a>> = among.iter().filter(heard).map(|member| scale.weigh(member)).collect();
        if candidates.is_empty() {
            return among.iter().map(|member| scale.weigh(member)).collect();
        }
        let unheard = |home: &&&'a Member| ask.status(&home.server.id).is_none();
        if let Some(home) = scale.homes.first().filter(unheard) {
            let mut candidate = scale.weigh(home);
            candidate.expected.cost += UNHEARD;
            candidates.push(candidate);
        }
        candidates
    }

    /// Notes what a choice changes: a try after a pause, and the parts that will be kept.
    fn chosen(&mut self, choice: &Choice, ask: &PlacementRequest<'_>) {
        let most = self.memory();
        let Some(member) = self.members.get_mut(&choice.server.id) else { return };
        if member.health.is_half_open(ask.now) {
            member.health.begin_probe(ask.now);
        }
        if let Some(prompt) = ask.prompt {
            member.kept.touch(&prompt.parts, most, ask.now);
        }
    }

    pub(crate) fn begin(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.record_sent(work);
        }
    }

    pub(crate) fn read(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.record_prefilled(work);
        }
    }

    pub(crate) fn late(&mut self, id: &str, work: Work) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.record_late(work);
        }
    }

    pub(crate) fn confirm(&mut self, id: &str, prompt: &Prompt) {
        if let Some(member) = self.members.get_mut(id) {
            member.kept.mark_read(&prompt.parts);
        }
    }

    pub(crate) fn note(&mut self, id: &str, ending: Ending, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.ended(ending, now);
        }
    }

    pub(crate) fn end(&mut self, id: &str, work: Work, ending: Ending, now: Millis) {
        if let Some(member) = self.members.get_mut(id) {
            member.own.record_end(work);
            member.ended(ending, now);
        }
    }
}

/// The servers that likely keep the prompt's shared parts: its first homes, and those of the other side that are its homes
/// where a box divides the servers a little otherwise, or did so before.
fn keepers<'a>(scale: &Scale<'a>) -> Vec<&'a Member> {
    let Some(first) = scale.homes.first() else { return Vec::new() };
    let beyond = scale.ranked.iter().take_while(|member| member.server.id != first.server.id).take(BEYOND_ASKED);
    scale.homes.iter().take(HOMES_ASKED).chain(beyond).copied().collect()
}

/// True when parts of the prompt may be fetched from a server.
fn may_give(member: &Member, ask: &PlacementRequest<'_>) -> bool {
    !member.paused(ask.now) && member.rest_until <= ask.now && ask.allows_region(member.region.as_deref())
}

/// Why none of the candidates is chosen.
fn refusal(candidates: &[Candidate<'_>]) -> Refusal {
    let waits = candidates.iter().map(|candidate| candidate.expected.slot_wait_ms);
    waits.min_by(f64::total_cmp).map_or(Refusal::NoServer, |wait_ms| Refusal::Overloaded { wait_ms })
}

/// Sorts by cost, those that cost about the least in an order that differs from request to request: what this box knows of
/// most servers is old, and those that it asks first would get all it sends.
fn by_cost(candidates: &mut [Candidate<'_>], ask: &PlacementRequest<'_>) {
    let least = candidates.iter().map(Candidate::cost).fold(f64::INFINITY, f64::min);
    let draw = ask.prompt.and_then(|prompt| prompt.parts.last()).map_or(0, |part| part.id);
    let beyond = |candidate: &Candidate<'_>| (candidate.cost() - least - ALIKE).max(0.0);
    let rank = |candidate: &Candidate<'_>| routing::rank(draw, &candidate.member.server.id);
    // The bits of numbers that aren't negative are in the order of the numbers.
    candidates.sort_by_cached_key(|candidate| (beyond(candidate).to_bits(), rank(candidate)));
}

/// Of servers that are all paused, the one whose pause ends first.
fn soonest<'a>(paused: &[&'a Member]) -> Vec<&'a Member> {
    paused.iter().copied().min_by_key(|m| m.health.pause_until()).into_iter().collect()
}
