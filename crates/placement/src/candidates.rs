//! Servers that are compared for a request, and which of them are queried.

use crate::cost::{Candidate, CostModel};
use crate::member::Member;
use crate::{PlacementRequest, Refusal};

/// Number of home servers of a prompt's shared parts that are always queried: the first, those that were homes before
/// it came or take over when it goes, and those that get parts while these are full. What is read there is cached
/// where the next box looks for it. Three gave worse results under bursts of long prompts.
const MAX_HOMES_QUERIED: usize = 6;

/// Number of queried servers of the other side of the split that rank before the first home.
const MAX_OTHER_SIDE_QUERIED: usize = 2;

/// Servers whose cost exceeds the lowest by no more than this are equally good to query. Below the cost of the other
/// side or of another hall for a long prompt.
const COST_TOLERANCE: f64 = 0.05;

/// Additional cost of a server without a recent status: about the difference between a busy engine and an idle one.
const UNKNOWN_STATUS_COST: f64 = 0.2;

/// Returns the servers that are likely to cache the prompt's shared parts: its first homes, and servers of the other
/// side that are its homes on boxes with a slightly different split, or were so before.
pub(crate) fn likely_holders<'a>(model: &CostModel<'a>) -> Vec<&'a Member> {
    let Some(first) = model.homes.first() else { return Vec::new() };
    let other_side =
        model.ranked.iter().take_while(|member| member.server.id != first.server.id).take(MAX_OTHER_SIDE_QUERIED);
    model.homes.iter().take(MAX_HOMES_QUERIED).chain(other_side).copied().collect()
}

/// Returns the reason why none of the candidates is chosen.
pub(crate) fn overload_refusal(candidates: &[Candidate<'_>]) -> Refusal {
    let waits = candidates.iter().map(|candidate| candidate.estimate.slot_wait_ms);
    waits.min_by(f64::total_cmp).map_or(Refusal::NoServer, |wait_ms| Refusal::Overloaded { wait_ms })
}

/// Returns the servers to compare where no owner answered. If some had no free slot seconds ago, that may be due to load:
/// servers that were busy then aren't idle, nor are those that this box hasn't heard of.
pub(crate) fn last_known_candidates<'a>(
    request: &PlacementRequest<'_>,
    eligible: &[&'a Member],
    model: &CostModel<'a>,
) -> Vec<Candidate<'a>> {
    let has_slot = |member: &&Member| member.last_load(request.now).running < member.server.slots;
    if request.prompt.is_none() || eligible.iter().all(has_slot) {
        return eligible.iter().map(|member| model.candidate(member)).collect();
    }
    let is_known = |member: &&&'a Member| member.has_old_status(request.now);
    let (known, unknown): (Vec<&'a Member>, Vec<&'a Member>) = eligible.iter().partition(|member| is_known(member));
    let mut candidates: Vec<_> =
        known.iter().map(|member| model.candidate_with_load(member, member.last_load(request.now))).collect();
    let others: Vec<_> = if candidates.is_empty() {
        unknown.iter().map(|member| model.candidate(member)).collect()
    } else {
        unknown.iter().map(|member| candidate_of_unknown_load(member, &candidates, model)).collect()
    };
    candidates.extend(others);
    candidates
}

/// Returns a server whose owner didn't answer, while the owners of `known` did. If it looked idle, all boxes would choose
/// it for as long as its owner is silent. So its load adds as much to the cost as the others' load does on average, and
/// the wait for a slot is the longest of theirs: owners of busy servers are the ones that don't answer.
pub(crate) fn candidate_of_unknown_load<'a>(
    member: &'a Member,
    known: &[Candidate<'_>],
    model: &CostModel<'_>,
) -> Candidate<'a> {
    let load_cost = |candidate: &Candidate<'_>| candidate.cost() - model.idle_candidate(candidate.member).cost();
    let mean_cost = known.iter().map(load_cost).sum::<f64>() / known.len().max(1) as f64;
    let longest_wait = known.iter().map(|candidate| candidate.estimate.slot_wait_ms).fold(0.0, f64::max);
    let mut candidate = model.candidate(member);
    candidate.estimate.cost += UNKNOWN_STATUS_COST + mean_cost.max(0.0);
    candidate.estimate.slot_wait_ms = candidate.estimate.slot_wait_ms.max(longest_wait);
    candidate
}

/// Sorts by cost. Candidates with about the lowest cost are ordered differently for each request: this box's
/// knowledge of most servers is old, and the ones it queried first would get all its requests.
pub(crate) fn sort_by_cost(candidates: &mut [Candidate<'_>], request: &PlacementRequest<'_>) {
    let min_cost = candidates.iter().map(Candidate::cost).fold(f64::INFINITY, f64::min);
    let draw = request.prompt.and_then(|prompt| prompt.parts.last()).map_or(0, |part| part.id);
    let excess = |candidate: &Candidate<'_>| (candidate.cost() - min_cost - COST_TOLERANCE).max(0.0);
    let rank = |candidate: &Candidate<'_>| routing::rank(draw, &candidate.member.server.id);
    // The bits of non-negative floats sort in the order of their values.
    candidates.sort_by_cached_key(|candidate| (excess(candidate).to_bits(), rank(candidate)));
}
