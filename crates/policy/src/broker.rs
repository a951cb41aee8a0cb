//! One box's decision code as a whole: it asks owners, and it is an owner.

mod fallback;
mod keys;
mod messages;
mod requests;

use crate::lessee::{Cause, PendingRequest};
use crate::usage::{UsageMeter, UsageTable};
use crate::{
    owner, ranked, Acquire, Action, Claim, Decision, HeldLease, KeyHistory, Layout, LeaseInfo, LeaseReturn, Lessee,
    Load, Message, QueueDiscipline, Reason, Refusal, Report, RetryBudget, Scheduler, Shard, SlotRequest, Time,
    TwoChoices, Usage, Verdict,
};
use catalog::{BoxId, CustomerId, ServerId, ShardId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use telemetry::Event;

/// An owner that hasn't answered for this long is passed by, in milliseconds.
const OWNER_TIMEOUT_MS: u64 = 100;

/// A smaller part of the class's target, where that is shorter than [`OWNER_TIMEOUT_MS`].
const OWNER_TIMEOUT_TARGET_DIVISOR: u64 = 5;

/// An owner that had answered and then is silent for this long is passed by, in milliseconds.
const OWNER_SILENCE_TIMEOUT_MS: u64 = 300;

/// After a fallback the owner isn't asked again for this long, in milliseconds.
const OWNER_RETRY_DELAY_MS: u64 = 500;

/// An ask without a grant is sent again after this time, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 500;

/// How often leases are renewed and customers' use is told, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_000;

/// A gap between two ticks that means this process was paused, in milliseconds.
pub const PAUSE_THRESHOLD_MS: u64 = 600;

/// A keeper of request keys that hasn't answered for this long is asked again, in milliseconds.
const CLAIM_RESEND_INTERVAL_MS: u64 = 100;

/// A claim that not every keeper has answered by then is given up, in milliseconds. Longer than it takes
/// to see that a box is dead, so that one dead keeper only delays.
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// Keepers of a request key in each hall that is asked.
const KEY_OWNERS_PER_HALL: usize = 2;

/// A request that has waited this part of its target in its own hall is asked for in another one as well;
/// as a divisor, and the shortest and longest such wait in milliseconds.
const SPILLOVER_TARGET_DIVISOR: u64 = 8;
const MIN_SPILLOVER_DELAY_MS: u64 = 50;
const MAX_SPILLOVER_DELAY_MS: u64 = 1_000;

/// Most other halls that are asked for one request.
const MAX_OTHER_HALLS: usize = 2;

/// Boxes for each shard of a pool from which on a box keeps to one of them.
const MIN_AFFINITY_BOXES_PER_SHARD: usize = 4;

/// How requests find a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SchedulingMode {
    /// Owners grant leases: the chosen way.
    #[default]
    Owner,
    /// Each box alone: a baseline for comparison.
    Uncoordinated(QueueDiscipline),
}

/// A claim on a request key that is being made.
#[derive(Clone, Debug)]
struct PendingClaim {
    claim: Claim,
    started: Time,
    /// When a keeper was last asked.
    last_sent: Time,
    /// Keepers that remember the claim.
    accepted_by: Vec<BoxId>,
    /// One of them could tell that the key is new.
    proved_fresh: bool,
}

/// One box's decision code.
pub struct Broker {
    me: BoxId,
    hall: String,
    mode: SchedulingMode,
    layout: Rc<Layout>,
    /// Boxes that may own something, by hall. Contains this box unless it is stopping.
    boxes: BTreeMap<String, Vec<BoxId>>,
    /// Boxes of this hall that own nothing any more but may still hold leases.
    leaving_boxes: Vec<BoxId>,
    /// Shards that this box owns, or that others still take it to own.
    owned: BTreeMap<ShardId, Shard>,
    /// This box's own share of a shard whose owner is out of reach; or the baselines' deciders.
    local_schedulers: BTreeMap<ShardId, Box<dyn Scheduler>>,
    lessee: Lessee,
    /// Owners that didn't answer, and until when they aren't asked.
    unresponsive_owners: BTreeMap<ShardId, Time>,
    retry_budget: RetryBudget,
    usage_meter: UsageMeter,
    usage_table: UsageTable,
    key_history: KeyHistory,
    pending_claims: BTreeMap<u64, PendingClaim>,
    /// Claims that were granted and may yet be taken back.
    granted_claims: BTreeMap<u64, (Claim, Vec<BoxId>)>,
    /// Servers that the membership list, or a box that read it, says are leaving.
    leaving_servers: BTreeSet<ServerId>,
    last_tick: Time,
    last_renewal: Time,
    inbox: VecDeque<(BoxId, Message)>,
    out: Vec<Action>,
}

// ----------------------------------------------------------------------------
// Set-up and view

impl Broker {
    /// A box called `me` in `hall`; `first` is a number above all that the box used before a restart.
    #[must_use]
    pub fn new(me: BoxId, hall: &str, mode: SchedulingMode, first: u64, now: Time) -> Self {
        Self {
            me,
            hall: hall.to_owned(),
            mode,
            layout: Rc::default(),
            boxes: BTreeMap::new(),
            leaving_boxes: Vec::new(),
            owned: BTreeMap::new(),
            local_schedulers: BTreeMap::new(),
            lessee: Lessee::new(first),
            unresponsive_owners: BTreeMap::new(),
            retry_budget: RetryBudget::default(),
            usage_meter: UsageMeter::default(),
            usage_table: UsageTable::default(),
            key_history: KeyHistory::new(now),
            pending_claims: BTreeMap::new(),
            granted_claims: BTreeMap::new(),
            leaving_servers: BTreeSet::new(),
            last_tick: now,
            last_renewal: now,
            inbox: VecDeque::new(),
            out: Vec::new(),
        }
    }

    /// A release came into force.
    pub fn set_layout(&mut self, layout: Rc<Layout>, now: Time) -> Vec<Action> {
        self.layout = layout;
        for shard in self.owned.values_mut() {
            shard.set_layout(Rc::clone(&self.layout));
        }
        self.local_schedulers.clear();
        self.update_ownership(now);
        self.drain(now)
    }

    /// The boxes changed. `boxes` may own something and hold this box too, unless it is stopping;
    /// `leavers` are those of this hall that only hold leases still.
    pub fn set_boxes(&mut self, boxes: BTreeMap<String, Vec<BoxId>>, leavers: Vec<BoxId>, now: Time) -> Vec<Action> {
        self.leaving_boxes = leavers;
        if boxes == self.boxes {
            return Vec::new();
        }
        self.boxes = boxes;
        let here: BTreeSet<BoxId> = self.lessee_boxes().into_iter().collect();
        self.usage_table.retain_boxes(&here);
        self.usage_meter.mark_all_changed();
        self.update_ownership(now);
        self.drop_idle_local_schedulers();
        self.move_pending_requests(now);
        self.drain(now)
    }

    fn owner_of(&self, shard: ShardId) -> Option<BoxId> {
        let hall = &self.layout.shards.get(&shard)?.pool.hall;
        owner(u64::from(shard.0), self.boxes.get(hall)?)
    }

    fn hall_boxes(&self) -> &[BoxId] {
        self.boxes.get(&self.hall).map_or(&[], Vec::as_slice)
    }

    /// Boxes of this hall that may hold leases.
    fn lessee_boxes(&self) -> Vec<BoxId> {
        let mut ids = self.hall_boxes().to_vec();
        ids.extend(&self.leaving_boxes);
        ids
    }

    fn update_ownership(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        let mine = |id: &ShardId| self.owner_of(*id) == Some(self.me);
        let gained: Vec<ShardId> =
            self.layout.shards.keys().filter(|id| mine(id) && !self.owned.contains_key(id)).copied().collect();
        for id in gained {
            self.start_owning(id, now);
        }
    }

    fn start_owning(&mut self, id: ShardId, now: Time) {
        let Some(spec) = self.layout.shards.get(&id) else { return };
        let mut shard = Shard::new(spec, Rc::clone(&self.layout));
        let decisions = shard.recover(&self.lessee_boxes(), now);
        self.leaving_servers.iter().for_each(|server| shard.set_leaving(*server, true));
        self.owned.insert(id, shard);
        let detail =
            format!("shard={id} hall={} serves={}", shard_hall(&self.layout, id), shard_serves(&self.layout, id));
        self.out.push(Action::Log(Event::OwnerBegan, detail));
        self.apply_decisions(decisions);
    }

    /// Shards that are no longer this box's go once nothing is left in them.
    fn stop_owning_idle(&mut self) {
        let ended: Vec<ShardId> = self
            .owned
            .iter()
            .filter(|(id, shard)| self.owner_of(**id) != Some(self.me) && shard.is_idle() && !shard.is_recovering())
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.owned.remove(&id);
            self.out.push(Action::Log(Event::OwnerEnded, format!("shard={id}")));
        }
    }

    /// Asks that wait at a box which is no longer the owner go to the new one.
    fn move_pending_requests(&mut self, now: Time) {
        let moved: Vec<u64> = self
            .lessee
            .pending
            .iter()
            .filter(|(_, p)| !p.local && self.owner_of(p.shard).is_some_and(|o| o != p.owner))
            .map(|(id, _)| *id)
            .collect();
        for id in moved {
            let Some(pending) = self.lessee.pending.get(&id) else { continue };
            let (old, shard) = (pending.owner, pending.shard);
            self.send(old, Message::Cancel(shard, id));
            self.send_request(id, shard, now);
        }
    }
}

fn shard_hall(layout: &Layout, id: ShardId) -> &str {
    layout.shards.get(&id).map_or("", |s| s.pool.hall.as_str())
}

fn shard_serves(layout: &Layout, id: ShardId) -> &str {
    layout.shards.get(&id).map_or("", |s| s.pool.serves.as_str())
}

// ----------------------------------------------------------------------------
// Time

impl Broker {
    /// Time has passed. To be called every few milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.check_for_pause(now);
        self.last_tick = now;
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.with_owned_shard(id, |s| s.tick(now));
        }
        let ids: Vec<ShardId> = self.local_schedulers.keys().copied().collect();
        for id in ids {
            let decisions = self.local_schedulers.get_mut(&id).map(|s| s.tick(now));
            self.apply_local_decisions(decisions.unwrap_or_default());
        }
        self.return_to_owners(now);
        self.bypass_silent_owners(now);
        self.resend_requests(now);
        self.start_spillovers(now);
        self.resend_claims(now);
        if now.since(self.last_renewal) >= RENEW_INTERVAL_MS {
            self.last_renewal = now;
            self.renew(now);
        }
        self.drain(now)
    }

    /// A box that was paused distrusts what it owns before it does anything else.
    fn check_for_pause(&mut self, now: Time) {
        let paused = now.since(self.last_tick);
        if paused < PAUSE_THRESHOLD_MS {
            return;
        }
        self.last_tick = now;
        self.out.push(Action::Log(Event::PauseNoticed, format!("ms={paused}")));
        let boxes = self.lessee_boxes();
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.with_owned_shard(id, |s| s.recover(&boxes, now));
        }
    }

    fn renew(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        for (shard, renewal) in self.lessee.renewals() {
            if let Some(owner) = self.owner_of(shard) {
                self.send(owner, renewal);
            }
        }
        self.local_schedulers.values_mut().for_each(|s| s.renew_all(now));
        self.report_usage(now);
        self.usage_table.expire(now);
        self.stop_owning_idle();
        self.drop_idle_local_schedulers();
    }

    fn report_usage(&mut self, now: Time) {
        let limited = |u: &Usage| {
            let quota = self.layout.quota(u.customer);
            quota.max_concurrent > 0 || quota.max_tokens_per_minute > 0
        };
        let usages: Vec<Usage> = self.usage_meter.usage_to_report(now).into_iter().filter(limited).collect();
        let mut by_owner: BTreeMap<BoxId, Vec<Usage>> = BTreeMap::new();
        for usage in usages {
            if let Some(owner) = owner(u64::from(usage.customer.0), self.hall_boxes()) {
                by_owner.entry(owner).or_default().push(usage);
            }
        }
        for (owner, usages) in by_owner {
            self.send(owner, Message::Usage(usages));
        }
    }

    /// A server's own report came in. `leaving` from any word counts.
    pub fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Action> {
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.with_owned_shard(id, |s| s.on_load_report(server, load, now));
        }
        let ids: Vec<ShardId> = self.local_schedulers.keys().copied().collect();
        for id in ids {
            let decisions = self.local_schedulers.get_mut(&id).map(|s| s.on_load_report(server, load, now));
            self.apply_local_decisions(decisions.unwrap_or_default());
        }
        self.drain(now)
    }

    /// The shards that this box owns now.
    pub fn owned_shards(&self) -> impl Iterator<Item = &Shard> {
        self.owned.values()
    }

    /// Leases that this box holds.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.lessee.leases.len()
    }

    /// Asks of this box that have no answer yet.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.lessee.pending.len()
    }

    /// The layout in force.
    #[must_use]
    pub fn layout(&self) -> &Rc<Layout> {
        &self.layout
    }

    /// The owner of a shard, as this box sees it.
    #[must_use]
    pub fn shard_owner(&self, shard: ShardId) -> Option<BoxId> {
        self.owner_of(shard)
    }

    /// Servers whose load this box should ask for: those it owns, or all of its hall when it decides alone.
    #[must_use]
    pub fn polled_servers(&self) -> Vec<ServerId> {
        let mine = |id: &ShardId| self.owned.contains_key(id) || self.local_schedulers.contains_key(id);
        let specs = self.layout.shards.values().filter(|s| mine(&s.id));
        specs.flat_map(|s| s.servers.iter()).map(|u| ServerId::of(&u.name)).collect()
    }
}
