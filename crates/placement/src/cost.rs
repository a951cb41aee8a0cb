//! Cost of sending a request to a server, as the expected number of answers that come late.

use crate::impact;
use crate::member::Member;
use crate::split::{self, Split};
use crate::{CostEstimate, Load, PlacementRequest, Prefill, Prompt, Speed, Work};
use routing::Engine;

/// Cost of a first event at its latency target that is still in time: sooner is better, all else being equal.
const WAIT_WEIGHT: f64 = 0.3;

/// Cost of prefilling a thousand shared tokens again, beyond its time. From the price sheets: 0.09 to 0.31 of an
/// answer that is worth one to four.
const REPEATED_PREFILL_COST_PER_K_TOKENS: f64 = 0.2;

/// Cost of fetching a thousand tokens from another server, by the same prices (0.32 for 13,300).
const FETCH_COST_PER_K_TOKENS: f64 = 0.03;

/// Fewest missing tokens that are worth a fetch: a transfer takes some milliseconds to set up.
pub(crate) const MIN_FETCH_TOKENS: u32 = 1_000;

/// Cost of sending a kilobyte to another hall. From the price sheets: 17 KB cost 0.02 to 0.15 of a request.
const REMOTE_HALL_COST_PER_KB: f64 = 0.005;

/// Cost of sending to another hall, whatever the size.
const REMOTE_HALL_COST: f64 = 0.001;

/// Cost of a server whose recent sends all failed: the whole answer.
const FAILURE_COST: f64 = 1.0;

/// Cost of waiting at a plain server, for each running request above its slots and below them.
const PLAIN_QUEUED_COST: f64 = 0.0075;
const PLAIN_RUNNING_COST: f64 = 0.0005;

/// Cost of choosing the other side of the split: a long prompt among short ones makes later answers late, and a short
/// one among long ones is made late by the prefill after it.
const OTHER_SIDE_COST: f64 = 0.3;

/// An eligible server with its cost.
pub(crate) struct Candidate<'a> {
    pub(crate) member: &'a Member,
    pub(crate) estimate: CostEstimate,
    /// Load that the request adds there, after a fetch if one is worth it.
    pub(crate) work: Work,
    pub(crate) fetch: bool,
}

impl Candidate<'_> {
    /// Returns the cost, as the expected number of answers that come late.
    pub(crate) fn cost(&self) -> f64 {
        self.estimate.cost
    }
}

/// A server that is known to cache the first `tokens` of a prompt's shared parts.
#[derive(Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) member: &'a Member,
    pub(crate) tokens: u32,
}

/// Prefill of a prompt at one server.
struct PrefillPlan {
    /// Tokens to read, after a fetch if one is worth it.
    unread: u32,
    fetch: bool,
    /// Cost in addition to the time.
    cost: f64,
}

/// Data that the costs of a pool's servers are computed from, for one request.
pub(crate) struct CostModel<'a> {
    pub(crate) request: &'a PlacementRequest<'a>,
    pub(crate) engine: Option<&'a Engine>,
    /// Average speed of the pool's engines.
    pub(crate) speed: Speed,
    /// Split of the pool's engines.
    pub(crate) split: Split,
    /// Degree to which the prompt counts as long, from 0 to 1.
    pub(crate) longness: f64,
    /// This box's hall.
    pub(crate) hall: &'a str,
    /// Smallest failure ratio among the servers: only the excess over it counts against a server.
    pub(crate) min_failure_ratio: f64,
    /// The eligible servers that may cache the prompt's shared parts, in order of preference; empty without such
    /// parts.
    pub(crate) ranked: Vec<&'a Member>,
    /// The home servers of the prompt's shared parts in order of preference; empty without such parts.
    pub(crate) homes: Vec<&'a Member>,
    /// Server from which these parts can be fetched.
    pub(crate) source: Option<Source<'a>>,
}

impl CostModel<'_> {
    /// Computes the cost of a server.
    pub(crate) fn candidate<'m>(&self, member: &'m Member) -> Candidate<'m> {
        let status = self.request.status(&member.server.id);
        let load = status.map_or_else(|| member.load(self.request.now), |status| &status.load);
        self.candidate_with_load(member, load)
    }

    /// Computes the cost that a server has under a load.
    pub(crate) fn candidate_with_load<'m>(&self, member: &'m Member, load: &Load) -> Candidate<'m> {
        let base = (member.health.failure_ratio() - self.min_failure_ratio) * FAILURE_COST + self.distance_cost(member);
        match self.request.prompt {
            Some(prompt) => self.prompt_candidate(member, load, prompt, base),
            None => {
                let estimate = CostEstimate { cost: base + plain_wait_cost(member, load), ..CostEstimate::default() };
                Candidate { member, estimate, work: Work::default(), fetch: false }
            }
        }
    }

    /// Computes the cost that a server would have without any load.
    pub(crate) fn idle_candidate<'m>(&self, member: &'m Member) -> Candidate<'m> {
        self.candidate_with_load(member, &Load::default())
    }

    /// Returns the cost of the distance to the server.
    fn distance_cost(&self, member: &Member) -> f64 {
        if member.server.hall == self.hall {
            return 0.0;
        }
        REMOTE_HALL_COST + REMOTE_HALL_COST_PER_KB * self.request.bytes as f64 / 1024.0
    }

    fn prompt_candidate<'m>(&self, member: &'m Member, load: &Load, prompt: &Prompt, base: f64) -> Candidate<'m> {
        let speed = member.speed().map_or(self.speed, |own| own.or_fallback(&self.speed));
        let plan = self.prefill_plan(member, prompt);
        let work = self.work(prompt, plan.unread, &speed);
        let slot_wait_ms = self.slot_wait_ms(member, load);
        let prefill_ms = speed.prefill_ms(load.prefill.plus(work.prefill));
        let wait_ms = f64::from(speed.base_ms) + prefill_ms.max(slot_wait_ms);
        let target_ms = self.request.target.as_secs_f64() * 1e3;
        let wait_cost = WAIT_WEIGHT * wait_ms / target_ms.max(1.0) + impact::first_event_late(wait_ms, target_ms);
        let took_ms = f64::from(work.out) * f64::from(speed.out_ms);
        let stall_probability = impact::stall_probability(f64::from(member.stalls_per_s(self.request.now)), took_ms);
        let memory = self.engine.map_or(u64::MAX, |engine| engine.memory_tokens);
        let others_late =
            impact::others_late(load, &work, &speed) + impact::preemptions(load, &work, memory, member.server.slots);
        let cost = base + wait_cost + stall_probability + others_late + plan.cost + self.other_side_cost(member);
        let estimate = CostEstimate {
            cost,
            wait_ms,
            slot_wait_ms,
            stall_probability,
            others_late,
            long_share: self.split.share(),
            speed,
        };
        Candidate { member, estimate, work, fetch: plan.fetch }
    }

    /// Returns the cost of choosing a server on the side of the split that is meant for other prompts.
    fn other_side_cost(&self, member: &Member) -> f64 {
        let suitability = if self.split.prefers_long(member.position) { self.longness } else { 1.0 - self.longness };
        OTHER_SIDE_COST * (1.0 - suitability)
    }

    /// Returns how long a request waits for a slot if all are taken by others of at least its urgency.
    fn slot_wait_ms(&self, member: &Member, load: &Load) -> f64 {
        let before = load.not_displaced_by(self.request.urgency);
        let completions = f64::from(before.saturating_add(1).saturating_sub(member.server.slots));
        let interval_ms = self.request.status(&member.server.id).map_or(0.0, |status| status.completion_interval_ms);
        // Without recent completions, none is expected before the latency target.
        let interval_ms =
            if interval_ms > 0.0 { f64::from(interval_ms) } else { self.request.target.as_secs_f64() * 1e3 };
        completions * interval_ms
    }

    /// Returns the load that a request adds to a server that has `unread` of its tokens to read.
    fn work(&self, prompt: &Prompt, unread: u32, speed: &Speed) -> Work {
        Work {
            prefill: Prefill::tail(unread, prompt.tokens, speed.chunk_tokens()),
            held: prompt.tokens.saturating_add(prompt.expected_out_tokens()),
            out: prompt.expected_out_tokens(),
            urgency: self.request.urgency,
            gap_ms: self.request.gap_limit.map_or(0, |gap| gap.as_millis() as u32),
            long: split::is_long(self.longness),
        }
    }

    fn prefill_plan(&self, member: &Member, prompt: &Prompt) -> PrefillPlan {
        let shared = prompt.shared_tokens();
        let status = self.request.status(&member.server.id);
        let cached = member.cached.cached_prefix(&prompt.parts).max(status.map_or(0, |status| status.cached_tokens));
        let unread = prompt.tokens.saturating_sub(cached);
        let at_home = self.homes.first().is_some_and(|home| home.server.id == member.server.id);
        if at_home && status.is_none() {
            // Without a status from the home's owner, assume that other boxes have sent the parts there already.
            let unread = unread.min(prompt.tokens.saturating_sub(shared));
            return PrefillPlan { unread, fetch: false, cost: 0.0 };
        }
        // The first prefill at a home server is not a repeated one.
        let repeated_cost =
            |tokens: u32| if at_home { 0.0 } else { f64::from(tokens) / 1_000.0 * REPEATED_PREFILL_COST_PER_K_TOKENS };
        let source = self.source.filter(|source| source.member.server.id != member.server.id);
        if let Some(source) = source.filter(|source| source.tokens >= cached + MIN_FETCH_TOKENS) {
            let fetched = source.tokens - cached;
            let cost = f64::from(fetched) / 1_000.0 * FETCH_COST_PER_K_TOKENS
                + repeated_cost(shared.saturating_sub(source.tokens));
            return PrefillPlan { unread: unread.saturating_sub(fetched), fetch: true, cost };
        }
        PrefillPlan { unread, fetch: false, cost: repeated_cost(shared.saturating_sub(cached)) }
    }
}

/// Returns the cost of the wait at a plain server.
fn plain_wait_cost(member: &Member, load: &Load) -> f64 {
    let over = load.running.saturating_sub(member.server.slots.saturating_sub(1));
    f64::from(load.running) * PLAIN_RUNNING_COST + f64::from(over) * PLAIN_QUEUED_COST
}
