//! Exact state of the servers that a box owns.
//!
//! Each server has one owner box that all others query before they send a long request there. The owner knows the
//! requests that they sent, the prompt parts that were read, and how sends ended. It answers queries at once; a box
//! that gets no answer relies on its own knowledge.

use crate::arrivals::Arrivals;
use crate::cache_directory::CacheDirectory;
use crate::cold::{Disconnects, COLD_WINDOW};
use crate::completions::Completions;
use crate::member::FULL_TTL;
use crate::rate::Rate;
use crate::stalls::Stalls;
use crate::urgency::FairShare;
use crate::{
    CachedParts, DemandReport, DemandSums, Disconnect, Ending, Health, Load, Millis, Part, PermitReply, PermitRequest,
    Prefill, Quotas, Speed, SpeedEstimator, Work,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Time after which a lease without a reported end is dropped: its box has died, since no request takes longer.
const LEASE_TTL: Millis = 60_000;

/// Time after which a permit for a slot is taken to be unused: a permit is valid for 100 ms, and the report of the send
/// takes some more.
const GRANTED_SLOT_TTL: Millis = 250;

/// Time for which the number of requests at which a server turned one away counts as its limit.
const MAX_RUNNING_TTL: Millis = 5_000;

/// Largest share of a prompt that is assumed to be read before its first event shows that all of it was.
const MAX_PARTIAL_PREFILL_RATIO: f64 = 0.8;

/// Queries the owner of a server for its status.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Number of this query, unique on the requesting box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// Parts of the prompt in order.
    pub parts: Vec<Part>,
    /// Longest inter-token gap of the answer that is still in time, in milliseconds; 0 if no gap makes it late.
    pub gap_ms: u32,
    /// Demand on the requesting box; `None` in all but the first few queries of a request, which tell enough owners.
    pub demand: Option<ServiceDemand>,
}

/// Demand for one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Hash of the service's name.
    pub service: u64,
    /// What the box counted.
    pub report: DemandReport,
}

/// Status of a server, as known to its owner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Number of the query.
    pub number: u64,
    /// Current load.
    pub load: Load,
    /// Tokens of the leading prompt parts that the server caches or is about to read.
    #[serde(rename = "kept")]
    pub cached_tokens: u32,
    /// Tokens of the leading prompt parts that are known to have been read.
    #[serde(rename = "read")]
    pub confirmed_tokens: u32,
    /// True while the server is paused after failures.
    pub paused: bool,
    /// Observed speed of the server.
    pub speed: Speed,
    /// Prefills per second there that recently caused gaps too long for such an answer.
    pub stalls_per_s: f32,
    /// Average time in milliseconds until a running request ends; 0 without recent completions.
    #[serde(rename = "end_ms")]
    pub completion_interval_ms: f32,
    /// Share of its time needed for the prefill of long prompts that were recently sent there; above 1 if more
    /// arrived than it can process.
    #[serde(rename = "long_reading")]
    pub long_prefill_ratio: f32,
    /// Share of its time needed for the prefill of all other recent prompts.
    #[serde(rename = "short_reading")]
    pub short_prefill_ratio: f32,
    /// Requests that all boxes together sent there within about the last second.
    pub arrivals: u32,
    /// True if it recently turned a request away as full.
    pub full: bool,
    /// Requests that were there when it last turned one away: it takes no more; 0 if it hasn't recently.
    pub max_running: u32,
    /// Possible restarts of the server.
    #[serde(rename = "broke")]
    pub disconnect: Disconnect,
    /// Other servers that read the prompt's last shared part, the most recent first; for parts whose cache directory
    /// is kept with this server.
    #[serde(rename = "elsewhere")]
    pub cached_by: Vec<String>,
    /// Demand for the service on all boxes that told the owner within the last second, if the query told any.
    pub demand: Option<DemandReport>,
}

/// Reports on a request to the owner of its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendReport {
    /// Number of the request's lease, unique on the reporting box.
    pub number: u64,
    /// Id of the server.
    pub server: String,
    /// The reported update.
    #[serde(rename = "news")]
    pub update: SendUpdate,
}

/// Lifecycle updates of a request at a server, in this order; the end is always reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SendUpdate {
    /// It is being sent.
    Sent {
        /// Parts of the prompt in order.
        parts: Vec<Part>,
        /// Load that it adds to the server.
        work: Work,
        /// Tokens of parts that this server can cache.
        memory: u64,
        /// True if the owner granted a permit for it, and so has counted it already.
        permitted: bool,
    },
    /// Its prompt has been read.
    Read,
    /// Another server has read a part whose cache directory is kept with this server. Belongs to no lease.
    Elsewhere {
        /// Id of the part.
        part: u64,
        /// Id of the server that has read it.
        by: String,
    },
    /// A gap between its events has made it late.
    Late,
    /// The send has ended.
    Ended {
        /// Outcome, as far as the server is responsible.
        ending: Ending,
        /// The longest gap between two events, in milliseconds.
        pause_ms: u32,
    },
}

/// A request that a box has at a server.
#[derive(Clone, Debug)]
struct Lease {
    work: Work,
    parts: Vec<Part>,
    sent_at: Millis,
    /// Prefill pending before its first event, its own included.
    ahead: Prefill,
    /// Time at which the prompt was read; `None` before.
    prefilled_at: Option<Millis>,
    /// The largest prefill pending beside its answer, and when it began.
    prefill_beside: (Prefill, Millis),
    /// True once a gap has made it late.
    late: bool,
    expires_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct OwnedServer {
    load: Load,
    cached: CachedParts,
    health: Health,
    estimator: SpeedEstimator,
    stalls: Stalls,
    completions: Completions,
    /// Prefill time in milliseconds of long prompts that were sent there.
    long_prefill: Rate,
    /// Prefill time in milliseconds of all other prompts.
    short_prefill: Rate,
    /// Time at which a prompt was last read.
    last_prefilled: Millis,
    arrivals: Arrivals,
    /// Time at which this box first received a query, permit request or report for it; sends before that are
    /// unknown.
    since: Millis,
    /// Pending permit requests by urgency, if the server names a limit.
    fair_share: FairShare,
    disconnects: Disconnects,
    /// Until when it is taken to be full, since it turned a request away; in the past if it isn't.
    full_until: Millis,
    /// Requests that were there when it last turned one away, and until when that counts.
    max_running: Option<(u32, Millis)>,
    cache_directory: CacheDirectory,
    /// Times of permits for slots whose sends have not been reported yet.
    granted_slots: VecDeque<Millis>,
    /// By sending box and number. The total of their work is `load`.
    leases: BTreeMap<(SocketAddr, u64), Lease>,
}

/// The servers that this box owns or was queried about.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    servers: HashMap<String, OwnedServer>,
    /// Demand for services on all boxes, by the hash of the service's name.
    demands: HashMap<u64, DemandSums>,
}

/// Most services whose demand is summed. Hashes come from other boxes; a deployment has some dozens.
const MAX_SERVICES: usize = 256;

impl Owner {
    /// Answers a query.
    pub fn on_query(&mut self, query: &StatusQuery, now: Millis) -> ServerStatus {
        let owned = self.owned(&query.server, now);
        owned.expire(now);
        ServerStatus {
            number: query.number,
            load: Load { prefill: owned.remaining_prefill(now), ..owned.load.clone() },
            cached_tokens: owned.cached.cached_prefix(&query.parts),
            confirmed_tokens: owned.cached.confirmed_prefix(&query.parts),
            paused: owned.health.is_paused(now),
            speed: owned.estimator.speed(),
            stalls_per_s: owned.stalls.per_second(query.gap_ms, now),
            completion_interval_ms: owned.completions.interval_ms(now),
            long_prefill_ratio: owned.long_prefill.ratio(now),
            short_prefill_ratio: owned.short_prefill.ratio(now),
            arrivals: owned.arrivals.count_within(COLD_WINDOW, now),
            full: now < owned.full_until,
            max_running: owned.max_running.filter(|(_, until)| now < *until).map_or(0, |(running, _)| running),
            disconnect: owned.disconnects.elapsed(now),
            demand: None,
            cached_by: last_shared_part(&query.parts).map_or_else(Vec::new, |part| owned.cache_directory.servers(part)),
        }
    }

    /// Records the demand that the box `from` counted, and returns the sum over all boxes.
    pub fn exchange_demand(&mut self, from: SocketAddr, demand: &ServiceDemand, now: Millis) -> DemandReport {
        if self.demands.len() >= MAX_SERVICES && !self.demands.contains_key(&demand.service) {
            self.demands.clear();
        }
        let sums = self.demands.entry(demand.service).or_default();
        sums.on_report(from, &demand.report, now);
        sums.sum(now)
    }

    /// Grants or denies a permit; a request with a permit counts as sent. The quotas apply to all boxes together, and
    /// so does this count.
    pub fn on_permit_request(&mut self, request: &PermitRequest, now: Millis) -> PermitReply {
        let owned = self.owned(&request.server, now);
        let Quotas { cold, limit, slots } = &request.quotas;
        let retry_at = limit.as_ref().map_or(now, |quota| {
            let stretched = owned.fair_share.quota_for(request.urgency, quota, now);
            // Permits that a former owner granted are unknown here: at first, they are assumed to fill the quota.
            owned.arrivals.free_at(&stretched, now).max(owned.since + quota.window)
        });
        let cold_free = cold.as_ref().is_none_or(|quota| owned.arrivals.free_at(quota, now) <= now);
        let slot_free = slots.is_none_or(|slots| owned.has_free_slot(slots, now));
        if retry_at > now || !cold_free || !slot_free {
            return PermitReply::Denied { retry_ms: retry_at - now };
        }
        owned.arrivals.record(now);
        if slots.is_some() {
            owned.granted_slots.push_back(now);
        }
        owned.fair_share.record_granted(request.urgency);
        PermitReply::Granted
    }

    fn owned(&mut self, server: &str, now: Millis) -> &mut OwnedServer {
        if !self.servers.contains_key(server) {
            self.servers.insert(server.to_owned(), OwnedServer { since: now, ..OwnedServer::default() });
        }
        self.servers.get_mut(server).expect("just inserted")
    }

    /// Applies a report of the box `from`.
    pub fn on_report(&mut self, from: SocketAddr, report: SendReport, now: Millis) {
        let owned = self.owned(&report.server, now);
        let key = (from, report.number);
        match report.update {
            SendUpdate::Sent { parts, work, memory, permitted } => {
                if permitted {
                    // The slot is counted by the report from now on.
                    owned.granted_slots.pop_front();
                } else {
                    owned.arrivals.record(now);
                }
                owned.record_sent(key, parts, work, memory, now);
            }
            SendUpdate::Read => owned.record_prefilled(&key, now),
            SendUpdate::Elsewhere { part, by } => owned.cache_directory.record(part, by),
            SendUpdate::Late => owned.record_late(&key),
            SendUpdate::Ended { ending, pause_ms } => owned.record_end(&key, ending, pause_ms, now),
        }
    }

    /// Drops servers that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| listed(id));
    }
}

/// Returns the id of the last part that requests may share: the last part of all belongs to the request itself.
fn last_shared_part(parts: &[Part]) -> Option<u64> {
    parts.iter().rev().nth(1).map(|part| part.id)
}

impl OwnedServer {
    /// True if one of its slots is free, permits included whose sends have not been reported yet.
    fn has_free_slot(&mut self, slots: u32, now: Millis) -> bool {
        while self.granted_slots.front().is_some_and(|at| at + GRANTED_SLOT_TTL <= now) {
            self.granted_slots.pop_front();
        }
        let granted = u32::try_from(self.granted_slots.len()).unwrap_or(u32::MAX);
        now >= self.full_until && self.load.running.saturating_add(granted) < slots
    }

    fn record_sent(&mut self, key: (SocketAddr, u64), parts: Vec<Part>, work: Work, memory: u64, now: Millis) {
        let ahead = self.remaining_prefill(now).plus(work.prefill);
        let rate = if work.long { &mut self.long_prefill } else { &mut self.short_prefill };
        rate.record(self.estimator.speed().prefill_ms(work.prefill), now);
        self.load.record_sent(work);
        self.cached.touch(&parts, memory, now);
        self.stalls.record(self.estimator.speed().expected_stall_ms(ahead), now);
        for other in self.leases.values_mut().filter(|lease| lease.prefilled_at.is_some()) {
            if ahead.tokens > other.prefill_beside.0.tokens {
                other.prefill_beside = (ahead, now);
            }
        }
        let prefill_beside = (Prefill::default(), now);
        let expires_at = now + LEASE_TTL;
        self.leases.insert(
            key,
            Lease { work, parts, sent_at: now, ahead, prefilled_at: None, prefill_beside, late: false, expires_at },
        );
    }

    /// Returns the remaining prefill. Prompts are processed in order of arrival, so the first may be half done.
    fn remaining_prefill(&self, now: Millis) -> Prefill {
        let unread = || self.leases.values().filter(|lease| lease.prefilled_at.is_none());
        let Some(first) = unread().min_by_key(|lease| lease.sent_at) else { return self.load.prefill };
        let elapsed = now.saturating_sub(first.sent_at.max(self.last_prefilled)) as f64;
        let expected_ms = self.estimator.speed().prefill_ms(first.work.prefill).max(1.0);
        let left =
            self.load.prefill.minus(first.work.prefill.scaled((elapsed / expected_ms).min(MAX_PARTIAL_PREFILL_RATIO)));
        Prefill { depth: unread().map(|lease| lease.work.prefill.depth).max().unwrap_or_default(), ..left }
    }

    fn record_prefilled(&mut self, key: &(SocketAddr, u64), now: Millis) {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| lease.prefilled_at.is_none()) else { return };
        lease.prefilled_at = Some(now);
        self.last_prefilled = now;
        self.load.record_prefilled(lease.work);
        self.cached.mark_read(&lease.parts);
        self.estimator.record_first_event(lease.ahead, now.saturating_sub(lease.sent_at) as f64);
    }

    fn record_late(&mut self, key: &(SocketAddr, u64)) {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| !lease.late) else { return };
        lease.late = true;
        self.load.record_late(lease.work);
    }

    fn record_end(&mut self, key: &(SocketAddr, u64), ending: Ending, pause_ms: u32, now: Millis) {
        if ending == Ending::NotRun {
            self.full_until = now + FULL_TTL;
            self.record_turned_away(now);
        }
        self.health.record(ending, now);
        self.disconnects.record(ending, now);
        let Some(lease) = self.leases.remove(key) else { return };
        if lease.prefilled_at.is_none() {
            self.load.record_prefilled(lease.work);
            // Parts that no other request is waiting for either will not be cached.
            let others = |part: &Part| self.leases.values().any(|other| other.parts.contains(part));
            let unread: Vec<Part> = lease.parts.iter().filter(|part| !others(part)).copied().collect();
            self.cached.remove_unread(&unread);
        }
        if ending == Ending::Good {
            self.update_estimator(&lease, pause_ms, now);
        }
        if lease.prefilled_at.is_some() {
            self.completions.record(now);
        }
        if !lease.late {
            self.load.record_late(lease.work);
        }
        self.load.record_end(lease.work);
    }

    /// Records how many requests were there when the server turned one away, which the load still includes. Fewer than its
    /// slots say nothing: it was not full.
    fn record_turned_away(&mut self, now: Millis) {
        let running = self.load.running.saturating_sub(1);
        let known = self.max_running.filter(|(_, until)| now < *until).map_or(u32::MAX, |(known, _)| known);
        self.max_running = Some((running.min(known), now + MAX_RUNNING_TTL));
    }

    /// Updates the speed estimate from a complete answer.
    fn update_estimator(&mut self, lease: &Lease, pause_ms: u32, now: Millis) {
        let Some(prefilled_at) = lease.prefilled_at else { return };
        self.estimator.record_answer(lease.work.out, now.saturating_sub(prefilled_at) as f64);
        let (beside, since) = lease.prefill_beside;
        // An answer that ended before this prefill was done shows nothing about it.
        if now.saturating_sub(since) as f64 > self.estimator.speed().prefill_ms(beside) {
            self.estimator.record_pause(beside, f64::from(pause_ms));
        }
    }

    fn expire(&mut self, now: Millis) {
        let expired: Vec<(SocketAddr, u64)> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at < now).map(|(key, _)| *key).collect();
        for key in expired {
            self.record_end(&key, Ending::Left, 0, now);
        }
    }
}
