//! The scheduling state of one box, in both roles: requesting slots from shard owners, and owning shards.

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

/// Time after which an owner that has not answered a request is bypassed.
const OWNER_TIMEOUT_MS: u64 = 100;

/// Divisor of the class's first-token target. The result replaces [`OWNER_TIMEOUT_MS`] where it is shorter.
const OWNER_TIMEOUT_TARGET_DIVISOR: u64 = 5;

/// Time after which an owner that had confirmed a request and then fell silent is bypassed.
const OWNER_SILENCE_TIMEOUT_MS: u64 = 300;

/// Time for which a bypassed owner is sent no more requests.
const OWNER_RETRY_DELAY_MS: u64 = 500;

/// Interval at which a request without a grant is sent again, since a message may have been lost.
const RESEND_INTERVAL_MS: u64 = 500;

/// Interval of lease renewals and of customers' usage reports.
const RENEW_INTERVAL_MS: u64 = 1_000;

/// A gap of at least this length between two ticks means that the process was paused.
pub const PAUSE_THRESHOLD_MS: u64 = 600;

/// Interval at which a claim is sent again to a key owner that has not answered.
const CLAIM_RESEND_INTERVAL_MS: u64 = 100;

/// Time after which a claim that not every key owner has answered is given up. Longer than it takes to detect
/// a dead box, so that one dead key owner only delays the claim.
const CLAIM_TIMEOUT_MS: u64 = 2_000;

/// Owners of a request key in each hall that is asked.
const KEY_OWNERS_PER_HALL: usize = 2;

/// A request that has waited for this fraction of its target in its own hall, within the bounds below, is
/// also sent to another hall. Given as a divisor of the target.
const SPILLOVER_TARGET_DIVISOR: u64 = 8;
const MIN_SPILLOVER_DELAY_MS: u64 = 50;
const MAX_SPILLOVER_DELAY_MS: u64 = 1_000;

/// Maximum number of other halls that are tried for one request.
const MAX_OTHER_HALLS: usize = 2;

/// Number of boxes per shard of a pool from which on each box keeps to one shard.
const MIN_AFFINITY_BOXES_PER_SHARD: usize = 4;

/// The way in which requests are assigned to servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SchedulingMode {
    /// Shard owners grant leases on slots.
    #[default]
    Owner,
    /// Each box decides on its own; a baseline for comparison.
    Uncoordinated(QueueDiscipline),
}

/// A claim on a request key that has not been resolved yet.
#[derive(Clone, Debug)]
struct PendingClaim {
    claim: Claim,
    started: Time,
    /// Time of the last claim message to a key owner.
    last_sent: Time,
    /// Key owners that have recorded the claim.
    accepted_by: Vec<BoxId>,
    /// At least one key owner could prove that the key is new.
    proved_fresh: bool,
}

/// The scheduling state of one box.
pub struct Broker {
    me: BoxId,
    hall: String,
    mode: SchedulingMode,
    layout: Rc<Layout>,
    /// Boxes that may own shards and keys, by hall. Contains this box unless it is stopping.
    boxes: BTreeMap<String, Vec<BoxId>>,
    /// Boxes of this hall that own nothing any more but may still hold leases.
    leaving_boxes: Vec<BoxId>,
    /// Shards that this box owns, or that other boxes still believe it to own.
    owned: BTreeMap<ShardId, Shard>,
    /// This box's own share of shards whose owner is unreachable, or the baselines' schedulers.
    local_schedulers: BTreeMap<ShardId, Box<dyn Scheduler>>,
    lessee: Lessee,
    /// Shards whose owner did not answer, with the time until which it is sent no requests.
    unresponsive_owners: BTreeMap<ShardId, Time>,
    retry_budget: RetryBudget,
    usage_meter: UsageMeter,
    usage_table: UsageTable,
    key_history: KeyHistory,
    pending_claims: BTreeMap<u64, PendingClaim>,
    /// Claims that were granted and may still be withdrawn.
    granted_claims: BTreeMap<u64, (Claim, Vec<BoxId>)>,
    /// Servers that are leaving according to the membership list or to a box that has read it.
    leaving_servers: BTreeSet<ServerId>,
    last_tick: Time,
    last_renewal: Time,
    inbox: VecDeque<(BoxId, Message)>,
    actions: Vec<Action>,
}

// ----------------------------------------------------------------------------
// Set-up and view

impl Broker {
    /// Creates the broker of box `me` in `hall`. `first` must be above every id that the box used before a
    /// restart.
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
            actions: Vec::new(),
        }
    }

    /// Applies a release that came into force.
    pub fn set_layout(&mut self, layout: Rc<Layout>, now: Time) -> Vec<Action> {
        self.layout = layout;
        for shard in self.owned.values_mut() {
            shard.set_layout(Rc::clone(&self.layout));
        }
        self.local_schedulers.clear();
        self.update_ownership(now);
        self.drain(now)
    }

    /// Applies a change of the boxes. `boxes` may own shards and keys, and include this box unless it is
    /// stopping; `leaving_boxes` are boxes of this hall that only hold leases any more.
    pub fn set_boxes(
        &mut self,
        boxes: BTreeMap<String, Vec<BoxId>>,
        leaving_boxes: Vec<BoxId>,
        now: Time,
    ) -> Vec<Action> {
        self.leaving_boxes = leaving_boxes;
        if boxes == self.boxes {
            return Vec::new();
        }
        self.boxes = boxes;
        let lessees: BTreeSet<BoxId> = self.lessee_boxes().into_iter().collect();
        self.usage_table.retain_boxes(&lessees);
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

    /// Returns the boxes of this hall that may hold leases.
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
        self.actions.push(Action::Log(Event::OwnerBegan, detail));
        self.apply_decisions(decisions);
    }

    /// Drops shards that this box no longer owns once nothing is left in them.
    fn stop_owning_idle(&mut self) {
        let ended: Vec<ShardId> = self
            .owned
            .iter()
            .filter(|(id, shard)| self.owner_of(**id) != Some(self.me) && shard.is_idle() && !shard.is_recovering())
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.owned.remove(&id);
            self.actions.push(Action::Log(Event::OwnerEnded, format!("shard={id}")));
        }
    }

    /// Moves requests that wait at a former owner to the current one.
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
    /// Advances time. To be called every few milliseconds.
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

    /// Detects a pause of this process. Shards that this box owns are then recovered before anything else is
    /// done.
    fn check_for_pause(&mut self, now: Time) {
        let paused = now.since(self.last_tick);
        if paused < PAUSE_THRESHOLD_MS {
            return;
        }
        self.last_tick = now;
        self.actions.push(Action::Log(Event::PauseNoticed, format!("ms={paused}")));
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

    /// Records a server's own load report. A server is leaving if any source reports it.
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

    /// Returns the shards that this box owns now.
    pub fn owned_shards(&self) -> impl Iterator<Item = &Shard> {
        self.owned.values()
    }

    /// Returns the number of leases that this box holds.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.lessee.leases.len()
    }

    /// Returns the number of this box's requests that have neither been granted nor refused.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.lessee.pending.len()
    }

    /// Returns the layout in force.
    #[must_use]
    pub fn layout(&self) -> &Rc<Layout> {
        &self.layout
    }

    /// Returns the owner of a shard, as this box sees it.
    #[must_use]
    pub fn shard_owner(&self, shard: ShardId) -> Option<BoxId> {
        self.owner_of(shard)
    }

    /// Returns the servers whose load this box should poll: those of the shards that it owns or schedules
    /// locally.
    #[must_use]
    pub fn polled_servers(&self) -> Vec<ServerId> {
        let mine = |id: &ShardId| self.owned.contains_key(id) || self.local_schedulers.contains_key(id);
        let specs = self.layout.shards.values().filter(|s| mine(&s.id));
        specs.flat_map(|s| s.servers.iter()).map(|u| ServerId::of(&u.name)).collect()
    }
}
