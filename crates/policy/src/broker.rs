//! One box's decision code as a whole: it asks owners, and it is an owner.

mod callers;
mod keys;
mod mail;
mod share;

use crate::lessee::{Cause, Pending};
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
const FALLBACK_MS: u64 = 100;

/// A smaller part of the class's target, where that is shorter than [`FALLBACK_MS`].
const FALLBACK_DIVISOR: u64 = 5;

/// An owner that had answered and then is silent for this long is passed by, in milliseconds.
const SILENCE_MS: u64 = 300;

/// After a fallback the owner isn't asked again for this long, in milliseconds.
const AVOID_MS: u64 = 500;

/// An ask without a grant is sent again after this time, in milliseconds.
const ASK_AGAIN_MS: u64 = 500;

/// How often leases are renewed and customers' use is told, in milliseconds.
const RENEW_MS: u64 = 1_000;

/// A gap between two ticks that means this process was paused, in milliseconds.
pub const PAUSE_THRESHOLD_MS: u64 = 600;

/// A keeper of request keys that hasn't answered for this long is asked again, in milliseconds.
const CLAIM_MS: u64 = 100;

/// A claim that not every keeper has answered by then is given up, in milliseconds. Longer than it takes
/// to see that a box is dead, so that one dead keeper only delays.
const CLAIM_MOST_MS: u64 = 2_000;

/// Keepers of a request key in each hall that is asked.
const KEEPERS: usize = 2;

/// A request that has waited this part of its target in its own hall is asked for in another one as well;
/// as a divisor, and the shortest and longest such wait in milliseconds.
const SPILL_DIVISOR: u64 = 8;
const SPILL_LEAST_MS: u64 = 50;
const SPILL_MOST_MS: u64 = 1_000;

/// Most other halls that are asked for one request.
const SPILL_MOST: usize = 2;

/// Boxes for each shard of a pool from which on a box keeps to one of them.
const HOME_BOXES: usize = 4;

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
struct Claiming {
    claim: Claim,
    began: Time,
    /// When a keeper was last asked.
    asked: Time,
    /// Keepers that remember the claim.
    took: Vec<BoxId>,
    /// One of them could tell that the key is new.
    proved: bool,
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
    leavers: Vec<BoxId>,
    /// Shards that this box owns, or that others still take it to own.
    owned: BTreeMap<ShardId, Shard>,
    /// This box's own share of a shard whose owner is out of reach; or the baselines' deciders.
    local: BTreeMap<ShardId, Box<dyn Scheduler>>,
    lessee: Lessee,
    /// Owners that didn't answer, and until when they aren't asked.
    avoided: BTreeMap<ShardId, Time>,
    budget: RetryBudget,
    meter: UsageMeter,
    limit: UsageTable,
    memory: KeyHistory,
    claiming: BTreeMap<u64, Claiming>,
    /// Claims that were granted and may yet be taken back.
    claimed: BTreeMap<u64, (Claim, Vec<BoxId>)>,
    /// Servers that the membership list, or a box that read it, says are leaving.
    leaving: BTreeSet<ServerId>,
    ticked: Time,
    renewed: Time,
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
            leavers: Vec::new(),
            owned: BTreeMap::new(),
            local: BTreeMap::new(),
            lessee: Lessee::new(first),
            avoided: BTreeMap::new(),
            budget: RetryBudget::default(),
            meter: UsageMeter::default(),
            limit: UsageTable::default(),
            memory: KeyHistory::new(now),
            claiming: BTreeMap::new(),
            claimed: BTreeMap::new(),
            leaving: BTreeSet::new(),
            ticked: now,
            renewed: now,
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
        self.local.clear();
        self.settle_ownership(now);
        self.drain(now)
    }

    /// The boxes changed. `boxes` may own something and hold this box too, unless it is stopping;
    /// `leavers` are those of this hall that only hold leases still.
    pub fn set_boxes(&mut self, boxes: BTreeMap<String, Vec<BoxId>>, leavers: Vec<BoxId>, now: Time) -> Vec<Action> {
        self.leavers = leavers;
        if boxes == self.boxes {
            return Vec::new();
        }
        self.boxes = boxes;
        let here: BTreeSet<BoxId> = self.lessees().into_iter().collect();
        self.limit.retain_boxes(&here);
        self.meter.mark_all_changed();
        self.settle_ownership(now);
        self.resize_local();
        self.move_pending(now);
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
    fn lessees(&self) -> Vec<BoxId> {
        let mut ids = self.hall_boxes().to_vec();
        ids.extend(&self.leavers);
        ids
    }

    fn settle_ownership(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        let mine = |id: &ShardId| self.owner_of(*id) == Some(self.me);
        let gained: Vec<ShardId> =
            self.layout.shards.keys().filter(|id| mine(id) && !self.owned.contains_key(id)).copied().collect();
        for id in gained {
            self.begin_owning(id, now);
        }
    }

    fn begin_owning(&mut self, id: ShardId, now: Time) {
        let Some(spec) = self.layout.shards.get(&id) else { return };
        let mut shard = Shard::new(spec, Rc::clone(&self.layout));
        let said = shard.recover(&self.lessees(), now);
        self.leaving.iter().for_each(|server| shard.set_leaving(*server, true));
        self.owned.insert(id, shard);
        let detail =
            format!("shard={id} hall={} serves={}", spec_hall(&self.layout, id), spec_serves(&self.layout, id));
        self.out.push(Action::Log(Event::OwnerBegan, detail));
        self.carry_out(said);
    }

    /// Shards that are no longer this box's go once nothing is left in them.
    fn end_owning(&mut self) {
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
    fn move_pending(&mut self, now: Time) {
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
            self.tell(old, Message::Cancel(shard, id));
            self.send_ask(id, shard, now);
        }
    }
}

fn spec_hall(layout: &Layout, id: ShardId) -> &str {
    layout.shards.get(&id).map_or("", |s| s.pool.hall.as_str())
}

fn spec_serves(layout: &Layout, id: ShardId) -> &str {
    layout.shards.get(&id).map_or("", |s| s.pool.serves.as_str())
}

// ----------------------------------------------------------------------------
// Time

impl Broker {
    /// Time has passed. To be called every few milliseconds.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.wake(now);
        self.ticked = now;
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.at_owner(id, |s| s.tick(now));
        }
        let ids: Vec<ShardId> = self.local.keys().copied().collect();
        for id in ids {
            let said = self.local.get_mut(&id).map(|d| d.tick(now));
            self.carry_out_local(said.unwrap_or_default());
        }
        self.return_to_owners(now);
        self.fall_back(now);
        self.ask_again(now);
        self.spill_over(now);
        self.ask_keepers_again(now);
        if now.since(self.renewed) >= RENEW_MS {
            self.renewed = now;
            self.renew(now);
        }
        self.drain(now)
    }

    /// A box that was paused distrusts what it owns before it does anything else.
    fn wake(&mut self, now: Time) {
        let paused = now.since(self.ticked);
        if paused < PAUSE_THRESHOLD_MS {
            return;
        }
        self.ticked = now;
        self.out.push(Action::Log(Event::PauseNoticed, format!("ms={paused}")));
        let boxes = self.lessees();
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.at_owner(id, |s| s.recover(&boxes, now));
        }
    }

    fn renew(&mut self, now: Time) {
        if self.mode != SchedulingMode::Owner {
            return;
        }
        for (shard, renewal) in self.lessee.renewals() {
            if let Some(owner) = self.owner_of(shard) {
                self.tell(owner, renewal);
            }
        }
        self.local.values_mut().for_each(|d| d.renew_all(now));
        self.tell_usage(now);
        self.limit.expire(now);
        self.end_owning();
        self.resize_local();
    }

    fn tell_usage(&mut self, now: Time) {
        let limited = |u: &Usage| {
            let quota = self.layout.quota(u.customer);
            quota.max_concurrent > 0 || quota.max_tokens_per_minute > 0
        };
        let usages: Vec<Usage> = self.meter.usage_to_report(now).into_iter().filter(limited).collect();
        let mut by_keeper: BTreeMap<BoxId, Vec<Usage>> = BTreeMap::new();
        for usage in usages {
            if let Some(keeper) = owner(u64::from(usage.customer.0), self.hall_boxes()) {
                by_keeper.entry(keeper).or_default().push(usage);
            }
        }
        for (keeper, usages) in by_keeper {
            self.tell(keeper, Message::Usage(usages));
        }
    }

    /// A server's own report came in. `leaving` from any word counts.
    pub fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Action> {
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.at_owner(id, |s| s.on_load_report(server, load, now));
        }
        let ids: Vec<ShardId> = self.local.keys().copied().collect();
        for id in ids {
            let said = self.local.get_mut(&id).map(|d| d.on_load_report(server, load, now));
            self.carry_out_local(said.unwrap_or_default());
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
        self.lessee.held.len()
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
        let mine = |id: &ShardId| self.owned.contains_key(id) || self.local.contains_key(id);
        let specs = self.layout.shards.values().filter(|s| mine(&s.id));
        specs.flat_map(|s| s.servers.iter()).map(|u| ServerId::of(&u.name)).collect()
    }
}
