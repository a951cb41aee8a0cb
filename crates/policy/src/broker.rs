//! One box's decision code as a whole: it asks owners, and it is an owner.

use crate::lessee::{Cause, Pending};
use crate::limit::{Limit, Meter};
use crate::{
    owner, ranked, Acquire, Action, Alone, Ask, Budget, Claim, Decider, Decision, Discipline, Grant, Held, Layout,
    Lessee, Load, Memory, Message, Reason, Refusal, Report, Return, Shard, Time, Usage, Verdict,
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
pub const PAUSE_MS: u64 = 600;

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

/// How requests find a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Way {
    /// Owners grant leases: the chosen way.
    #[default]
    Owner,
    /// Each box alone: a baseline for comparison.
    Alone(Discipline),
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
    way: Way,
    layout: Rc<Layout>,
    /// Boxes that may own something, by hall. Contains this box unless it is stopping.
    boxes: BTreeMap<String, Vec<BoxId>>,
    /// Boxes of this hall that own nothing any more but may still hold leases.
    leavers: Vec<BoxId>,
    /// Shards that this box owns, or that others still take it to own.
    owned: BTreeMap<ShardId, Shard>,
    /// This box's own share of a shard whose owner is out of reach; or the baselines' deciders.
    local: BTreeMap<ShardId, Box<dyn Decider>>,
    lessee: Lessee,
    /// Owners that didn't answer, and until when they aren't asked.
    avoided: BTreeMap<ShardId, Time>,
    budget: Budget,
    meter: Meter,
    limit: Limit,
    memory: Memory,
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
    pub fn new(me: BoxId, hall: &str, way: Way, first: u64, now: Time) -> Self {
        Self {
            me,
            hall: hall.to_owned(),
            way,
            layout: Rc::default(),
            boxes: BTreeMap::new(),
            leavers: Vec::new(),
            owned: BTreeMap::new(),
            local: BTreeMap::new(),
            lessee: Lessee::new(first),
            avoided: BTreeMap::new(),
            budget: Budget::default(),
            meter: Meter::default(),
            limit: Limit::default(),
            memory: Memory::new(now),
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
        if self.way != Way::Owner {
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
        self.out.push(Action::Note(Event::OwnerBegan, detail));
        self.carry_out(said);
    }

    /// Shards that are no longer this box's go once nothing is left in them.
    fn end_owning(&mut self) {
        let ended: Vec<ShardId> = self
            .owned
            .iter()
            .filter(|(id, shard)| self.owner_of(**id) != Some(self.me) && shard.idle() && !shard.recovering())
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.owned.remove(&id);
            self.out.push(Action::Note(Event::OwnerEnded, format!("shard={id}")));
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
// Callers' side

impl Broker {
    /// A caller's request wants a slot. The answer comes as an action with the number given back.
    pub fn acquire(&mut self, acquire: Acquire, now: Time) -> (u64, Vec<Action>) {
        self.wake(now);
        let id = self.lessee.number();
        if let Err(reason) = self.may_try(acquire.cause) {
            self.out.push(Action::Refused(id, Refusal { reason, retry_ms: 1_000 }));
            return (id, self.drain(now));
        }
        let ask = Ask {
            id,
            class: acquire.class,
            customer: acquire.customer,
            tokens: acquire.tokens,
            prefix: acquire.prefix,
            age_ms: 0,
            resumable: acquire.resumable,
            begun: acquire.cause != Cause::First,
            remote: false,
            avoid: acquire.avoid,
        };
        let pending = Pending {
            ask,
            serves: acquire.serves,
            shard: ShardId::default(),
            owner: self.me,
            local: false,
            sent: now,
            asked: now,
            heard: None,
            arrived: acquire.arrived,
            spill: None,
            spilled: now,
            tried: Vec::new(),
            refusal: None,
        };
        self.lessee.pending.insert(id, pending);
        self.route(id, now);
        (id, self.drain(now))
    }

    fn may_try(&mut self, cause: Cause) -> Result<(), Reason> {
        match cause {
            Cause::First => self.budget.earn(),
            Cause::Failure if !self.budget.spend() => return Err(Reason::NoBudget),
            Cause::Failure | Cause::Recall => {}
        }
        Ok(())
    }

    /// A caller's request has come in: true unless its customer's limit is reached.
    #[must_use]
    pub fn enter(&mut self, customer: CustomerId, now: Time) -> bool {
        let share = self.layout.share(customer);
        self.meter.enter(customer, share, now)
    }

    /// A caller's request that had entered has ended with `tokens` tokens.
    pub fn leave(&mut self, customer: CustomerId, tokens: u64, now: Time) {
        self.meter.leave(customer, tokens, now);
    }

    /// The caller went away while its request waited, or before its lease was used.
    pub fn abandon(&mut self, id: u64, now: Time) -> Vec<Action> {
        self.wake(now);
        if let Some(pending) = self.lessee.pending.remove(&id) {
            self.cancel(&pending, now);
        }
        let unused = Report { unused: true, ..Report::default() };
        self.give_back_lease(id, unused, now);
        self.drain(now)
    }

    /// A lease is no longer needed.
    pub fn give_back(&mut self, id: u64, report: Report, now: Time) -> Vec<Action> {
        self.wake(now);
        self.give_back_lease(id, report, now);
        self.drain(now)
    }

    fn give_back_lease(&mut self, id: u64, report: Report, now: Time) {
        let Some(grant) = self.lessee.held.remove(&id) else { return };
        let back = Return { id, report };
        if grant.local {
            let said = self.local.get_mut(&grant.shard).map(|d| d.give_back(self.me, &back, now));
            self.carry_out(said.unwrap_or_default());
        } else {
            self.tell(grant.granter, Message::Return(grant.shard, vec![back.clone()]));
        }
        // A new owner may have been told of this lease meanwhile.
        let owner = self.owner_of(grant.shard).filter(|o| *o != grant.granter || grant.local);
        if let (Some(owner), Way::Owner) = (owner, self.way) {
            self.tell(owner, Message::Return(grant.shard, vec![back]));
        }
    }

    fn cancel(&mut self, pending: &Pending, now: Time) {
        if let Some((shard, owner)) = pending.spill {
            self.tell(owner, Message::Cancel(shard, pending.ask.id));
        }
        if !pending.local {
            self.tell(pending.owner, Message::Cancel(pending.shard, pending.ask.id));
            return;
        }
        let said = self.local.get_mut(&pending.shard).map(|d| d.cancel(self.me, pending.ask.id, now));
        self.carry_out(said.unwrap_or_default());
    }

    /// Finds the next hall for an ask: its own first, then others; refuses when none is left.
    fn route(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get(&id) else { return };
        let own = self.layout.shards_in(&self.hall, &pending.serves);
        let own_tried = pending.tried.contains(&self.hall);
        if !own.is_empty() && !own_tried {
            let shard = own[id as usize % own.len()];
            self.place(id, shard, now);
            return;
        }
        match self.spill_shard(pending) {
            Some(shard) => self.send_ask(id, shard, now),
            None => self.refuse(id),
        }
    }

    /// Asks another hall as well for what has waited a part of its target in its own. The first grant wins.
    fn spill_over(&mut self, now: Time) {
        if self.way != Way::Owner || self.layout.shards.len() < 2 {
            return;
        }
        let pressed = |p: &Pending| {
            let target = self.layout.class(p.ask.class).first_token_ms;
            let wait = (target / SPILL_DIVISOR).clamp(SPILL_LEAST_MS, SPILL_MOST_MS);
            !p.ask.remote && p.spill.is_none() && now.since(p.spilled) >= wait
        };
        let ids: Vec<u64> = self.lessee.pending.iter().filter(|(_, p)| pressed(p)).map(|(id, _)| *id).collect();
        for id in ids {
            self.spill_one(id, now);
        }
    }

    fn spill_one(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get(&id) else { return };
        let turn = pending.ask.id.wrapping_add(now.0 / SPILL_LEAST_MS);
        let target = self.other_hall(pending, turn).and_then(|shard| Some((shard, self.owner_of(shard)?)));
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.spilled = now;
        let Some((shard, owner)) = target else { return };
        pending.spill = Some((shard, owner));
        let age_ms = now.since(pending.arrived) as u32;
        let ask = Ask { remote: true, age_ms, ..pending.ask.clone() };
        self.tell(owner, Message::Ask(shard, ask));
    }

    /// The other hall no longer needs to answer.
    fn drop_spill(&mut self, id: u64) {
        let spill = self.lessee.pending.get_mut(&id).and_then(|p| p.spill.take());
        if let Some((shard, owner)) = spill {
            self.tell(owner, Message::Cancel(shard, id));
        }
    }

    /// A shard of another hall that is in reach and hasn't refused the request.
    fn other_hall(&self, pending: &Pending, turn: u64) -> Option<ShardId> {
        let halls = self.layout.halls_for(&pending.serves);
        let open = |hall: &&&str| {
            **hall != self.hall
                && !pending.tried.iter().any(|t| t == **hall)
                && self.boxes.get(**hall).is_some_and(|b| !b.is_empty())
        };
        let open: Vec<&&str> = halls.iter().filter(open).collect();
        let hall = open.get(turn as usize % open.len().max(1))?;
        let shards = self.layout.shards_in(hall, &pending.serves);
        shards.get(turn as usize % shards.len().max(1)).copied()
    }

    fn spill_shard(&self, pending: &Pending) -> Option<ShardId> {
        let others_tried = pending.tried.iter().filter(|h| **h != self.hall).count();
        if self.way != Way::Owner || others_tried >= SPILL_MOST {
            return None;
        }
        self.other_hall(pending, pending.ask.id)
    }

    fn refuse(&mut self, id: u64) {
        let Some(pending) = self.lessee.pending.remove(&id) else { return };
        let none = Refusal { reason: Reason::NoServer, retry_ms: 1_000 };
        self.out.push(Action::Refused(id, pending.refusal.unwrap_or(none)));
    }

    /// Puts an ask where it can be decided in this hall: at the owner, or at this box alone.
    fn place(&mut self, id: u64, shard: ShardId, now: Time) {
        let avoided = self.avoided.get(&shard).is_some_and(|until| now < *until);
        let reachable = self.owner_of(shard).is_some();
        if self.way == Way::Owner && reachable && !avoided {
            self.send_ask(id, shard, now);
        } else {
            self.ask_local(id, shard, now);
        }
    }

    fn send_ask(&mut self, id: u64, shard: ShardId, now: Time) {
        let Some(owner) = self.owner_of(shard) else { return };
        let remote = spec_hall(&self.layout, shard) != self.hall;
        self.drop_spill(id);
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.shard = shard;
        pending.owner = owner;
        pending.local = false;
        pending.sent = now;
        pending.asked = now;
        pending.heard = None;
        pending.ask.remote = remote;
        pending.ask.age_ms = now.since(pending.arrived) as u32;
        let ask = pending.ask.clone();
        self.tell(owner, Message::Ask(shard, ask));
    }
}

// ----------------------------------------------------------------------------
// The box's own share

impl Broker {
    fn ask_local(&mut self, id: u64, shard: ShardId, now: Time) {
        if !self.local.contains_key(&shard) && !self.open_local(shard) {
            self.refuse(id);
            return;
        }
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.shard = shard;
        pending.owner = self.me;
        pending.local = true;
        pending.sent = now;
        pending.ask.remote = false;
        pending.ask.age_ms = now.since(pending.arrived) as u32;
        let ask = pending.ask.clone();
        let said = self.local.get_mut(&shard).map(|d| d.ask(self.me, ask, now));
        self.carry_out_local(said.unwrap_or_default());
    }

    fn open_local(&mut self, shard: ShardId) -> bool {
        let Some(spec) = self.layout.shards.get(&shard) else { return false };
        let layout = Rc::clone(&self.layout);
        let mut decider: Box<dyn Decider> = match self.way {
            Way::Alone(discipline) => {
                let seed = u64::from(self.me.0) ^ u64::from(shard.0);
                Box::new(Alone::new(spec, layout, discipline, seed))
            }
            Way::Owner => {
                let mut own = Shard::new(spec, layout);
                own.set_servers(spec, |upstream, id| self.own_slots(upstream.slots, id));
                own.servers.iter_mut().for_each(|s| s.trusted = f64::from(s.slots));
                let detail = format!("shard={shard} slots={}", own.servers.iter().map(|s| s.slots).sum::<u32>());
                self.out.push(Action::Note(Event::LocalFallback, detail));
                Box::new(own)
            }
        };
        self.leaving.iter().for_each(|server| decider.set_leaving(*server, true));
        self.local.insert(shard, decider);
        true
    }

    /// Each slot belongs to one live box of the hall when no owner is in reach, so shares don't overlap.
    fn own_slots(&self, slots: u32, server: ServerId) -> u32 {
        let boxes = self.hall_boxes();
        let thing = |slot: u32| (u64::from(server.0) << 16) | u64::from(slot);
        (0..slots).filter(|slot| owner(thing(*slot), boxes) == Some(self.me)).count() as u32
    }

    /// Shares change with the boxes that are alive; one that isn't in use is made anew when needed.
    fn resize_local(&mut self) {
        if self.way != Way::Owner {
            return;
        }
        let used: Vec<ShardId> = self.lessee.held.values().filter(|g| g.local).map(|g| g.shard).collect();
        let waits = |id: &ShardId| self.lessee.pending.values().any(|p| p.local && p.shard == *id);
        let idle: Vec<ShardId> = self.local.keys().filter(|id| !used.contains(id) && !waits(id)).copied().collect();
        for id in idle {
            self.local.remove(&id);
        }
    }

    fn fall_back(&mut self, now: Time) {
        let silent = |p: &Pending, target: u64| {
            let patience = FALLBACK_MS.min(target / FALLBACK_DIVISOR).max(1);
            match p.heard {
                None => now.since(p.sent) >= patience,
                Some(heard) => now.since(heard) >= SILENCE_MS,
            }
        };
        let gone: Vec<u64> = self
            .lessee
            .pending
            .iter()
            .filter(|(_, p)| !p.local && silent(p, self.layout.class(p.ask.class).first_token_ms))
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.pass_by_owner(id, now);
        }
    }

    /// Asks once more where an answer may have been lost; an owner says the same again.
    fn ask_again(&mut self, now: Time) {
        let mut again = Vec::new();
        for pending in self.lessee.pending.values_mut().filter(|p| !p.local) {
            if now.since(pending.asked) < ASK_AGAIN_MS {
                continue;
            }
            pending.asked = now;
            pending.ask.age_ms = now.since(pending.arrived) as u32;
            again.push((pending.owner, Message::Ask(pending.shard, pending.ask.clone())));
        }
        for (owner, message) in again {
            self.tell(owner, message);
        }
    }

    fn pass_by_owner(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        let (shard, owner) = (pending.shard, pending.owner);
        let hall = spec_hall(&self.layout, shard).to_owned();
        if hall != self.hall {
            pending.tried.push(hall);
        }
        let own_hall = !pending.ask.remote;
        self.tell(owner, Message::Cancel(shard, id));
        if own_hall {
            self.avoided.insert(shard, now.after(AVOID_MS));
            self.ask_local(id, shard, now);
        } else {
            self.route(id, now);
        }
    }
}

// ----------------------------------------------------------------------------
// Messages

impl Broker {
    /// A message from another box came in.
    pub fn receive(&mut self, from: BoxId, message: Message, now: Time) -> Vec<Action> {
        self.wake(now);
        self.inbox.push_back((from, message));
        self.drain(now)
    }

    fn drain(&mut self, now: Time) -> Vec<Action> {
        while let Some((from, message)) = self.inbox.pop_front() {
            self.handle(from, message, now);
        }
        std::mem::take(&mut self.out)
    }

    fn tell(&mut self, to: BoxId, message: Message) {
        if to == self.me {
            self.inbox.push_back((to, message));
        } else {
            self.out.push(Action::Send(to, message));
        }
    }

    fn carry_out(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Tell(to, message) => self.tell(to, message),
                Decision::Note(event, detail) => self.out.push(Action::Note(event, detail)),
            }
        }
    }

    /// Decisions of this box's own share: what it grants is marked as local.
    fn carry_out_local(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Tell(_, Message::Grant { shard, id, server, waited }) => {
                    self.take_grant(self.me, true, (shard, id, server, waited));
                }
                Decision::Tell(_, Message::Refuse(_, id, refusal)) => self.take_refusal(id, true, refusal),
                Decision::Tell(_, Message::Recall(_, id)) => self.out.push(Action::Recalled(id)),
                Decision::Tell(..) => {}
                Decision::Note(event, detail) => self.out.push(Action::Note(event, detail)),
            }
        }
    }

    fn handle(&mut self, from: BoxId, message: Message, now: Time) {
        match message {
            Message::Ask(shard, _) | Message::Renew { shard, .. } if !self.serves_shard(shard, now) => {}
            Message::Ask(shard, ask) => self.at_owner(shard, |s| s.ask(from, ask, now)),
            Message::Cancel(shard, id) => self.at_owner(shard, |s| s.cancel(from, id, now)),
            Message::Return(shard, backs) => {
                for back in backs {
                    self.at_owner(shard, |s| s.give_back(from, &back, now));
                }
            }
            Message::Renew { shard, count, sum } => self.at_owner(shard, |s| s.renew(from, count, sum, now)),
            Message::Holding(shard, held) => self.at_owner(shard, |s| s.holding(from, &held, now)),
            Message::Queued(shard, ids) => self.hear_owner(from, shard, &ids, now),
            Message::Grant { shard, id, server, .. }
                if self.leaving.contains(&server) && self.lessee.pending.contains_key(&id) =>
            {
                self.decline(from, shard, id, server, now);
            }
            Message::Grant { shard, id, server, waited } => {
                self.take_grant(from, false, (shard, id, server, waited));
            }
            Message::Refuse(shard, id, refusal) => {
                let waits_there = self.lessee.pending.get(&id).is_some_and(|p| p.shard == shard && !p.local);
                if waits_there {
                    self.take_refusal(id, false, refusal);
                    self.after_refusal(id, now);
                } else if let Some(pending) = self.lessee.pending.get_mut(&id) {
                    // The other hall has no room; it may be asked again in a while.
                    pending.spill = pending.spill.filter(|(asked, _)| *asked != shard);
                }
            }
            Message::Recover(shard) => {
                let held = self.lessee.holding(shard);
                self.tell(from, Message::Holding(shard, held));
            }
            Message::Recall(_, id) => {
                if self.lessee.held.contains_key(&id) {
                    self.out.push(Action::Recalled(id));
                }
            }
            Message::Leaving(_, server) => self.mark_leaving(server, true),
            Message::Claim(number, claim) => {
                let verdict = self.memory.claim(&claim, now);
                self.tell(from, Message::Verdict(number, verdict));
            }
            Message::Verdict(number, verdict) => self.take_verdict(from, number, verdict, now),
            Message::Unclaim(claim) => self.memory.unclaim(&claim),
            Message::Usage(usages) => {
                let others = self.limit.note(from, &usages, now);
                self.tell(from, Message::Others(others));
            }
            Message::Others(usages) => self.meter.others(&usages, now),
        }
    }

    /// A box that is asked acts as owner, even if its own view names another: views may differ for a while.
    fn serves_shard(&mut self, shard: ShardId, now: Time) -> bool {
        if self.owned.contains_key(&shard) {
            return true;
        }
        if spec_hall(&self.layout, shard) == self.hall {
            self.begin_owning(shard, now);
        }
        self.owned.contains_key(&shard)
    }

    fn at_owner(&mut self, shard: ShardId, act: impl FnOnce(&mut Shard) -> Vec<Decision>) {
        let said = self.owned.get_mut(&shard).map(act);
        self.carry_out(said.unwrap_or_default());
    }

    fn hear_owner(&mut self, from: BoxId, shard: ShardId, ids: &[u64], now: Time) {
        self.avoided.remove(&shard);
        let same = |p: &&mut Pending| p.shard == shard && p.owner == from && !p.local;
        for pending in self.lessee.pending.values_mut().filter(same) {
            // A sign of life counts for all that wait there, but an ask must have been named once.
            if pending.heard.is_some() || ids.contains(&pending.ask.id) {
                pending.heard = Some(now);
            }
        }
    }

    fn take_grant(&mut self, from: BoxId, local: bool, grant: (ShardId, u64, ServerId, u32)) {
        let (shard, id, server, waited) = grant;
        if self.lessee.held.get(&id).is_some_and(|held| held.granter == from && held.shard == shard) {
            // The same grant, said again.
            return;
        }
        let Some(pending) = self.lessee.pending.remove(&id) else {
            // Granted after it was given up, or after another owner was quicker: hand it back unused.
            let report = Report { unused: true, ..Report::default() };
            self.tell(from, Message::Return(shard, vec![Return { id, report }]));
            return;
        };
        if pending.local && !local {
            let said = self.local.get_mut(&pending.shard).map(|d| d.cancel(self.me, id, self.ticked));
            self.carry_out_local(said.unwrap_or_default());
        }
        if !pending.local && (pending.owner != from || pending.shard != shard) {
            self.tell(pending.owner, Message::Cancel(pending.shard, id));
        }
        if let Some((other, owner)) = pending.spill.filter(|(other, _)| *other != shard) {
            self.tell(owner, Message::Cancel(other, id));
        }
        let held = Held {
            id,
            server,
            class: pending.ask.class,
            customer: pending.ask.customer,
            resumable: pending.ask.resumable,
        };
        self.lessee.held.insert(id, Grant { shard, granter: from, local, held });
        // The owner granted no earlier than this, whatever time the messages took and however often they came.
        let granted = pending.arrived.after(u64::from(waited));
        let expires = granted.after(crate::shard::LEASE_MS);
        self.out.push(Action::Granted { id, shard, granter: from, server, expires });
    }

    /// Hands a grant on a leaving server back and asks again: its granter hadn't heard of it.
    fn decline(&mut self, from: BoxId, shard: ShardId, id: u64, server: ServerId, now: Time) {
        let report = Report { unused: true, ..Report::default() };
        self.tell(from, Message::Leaving(shard, server));
        self.tell(from, Message::Return(shard, vec![Return { id, report }]));
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.ask.avoid = Some(server);
        self.send_ask(id, shard, now);
    }

    /// The membership list, or a box that read it, said that a server is leaving or back.
    pub fn upstream_leaving(&mut self, server: ServerId, leaving: bool, now: Time) -> Vec<Action> {
        self.mark_leaving(server, leaving);
        self.drain(now)
    }

    fn mark_leaving(&mut self, server: ServerId, leaving: bool) {
        let changed = if leaving { self.leaving.insert(server) } else { self.leaving.remove(&server) };
        if !changed {
            return;
        }
        self.owned.values_mut().for_each(|s| s.set_leaving(server, leaving));
        self.local.values_mut().for_each(|d| d.set_leaving(server, leaving));
    }

    fn take_refusal(&mut self, id: u64, local: bool, refusal: Refusal) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        pending.refusal.get_or_insert(refusal);
        if local {
            self.refuse(id);
        }
    }

    /// Another hall may still meet the target, unless the request has simply waited too long.
    fn after_refusal(&mut self, id: u64, now: Time) {
        let Some(pending) = self.lessee.pending.get_mut(&id) else { return };
        let hall = spec_hall(&self.layout, pending.shard).to_owned();
        pending.tried.push(hall);
        if pending.refusal.is_some_and(|r| r.reason == Reason::Late) {
            self.refuse(id);
        } else {
            self.route(id, now);
        }
    }
}

// ----------------------------------------------------------------------------
// Request keys

impl Broker {
    /// A request with a key wants to run. The answer comes as [`Action::Claimed`] with the number given back.
    pub fn claim(&mut self, key: u64, age_ms: Option<u64>, now: Time) -> (u64, Vec<Action>) {
        self.wake(now);
        let number = self.lessee.number();
        let delivery = (u64::from(self.me.0) << 32) ^ number;
        let claim = Claim { key, delivery, age_ms };
        let claiming = Claiming { claim, began: now, asked: now, took: Vec::new(), proved: false };
        self.claiming.insert(number, claiming);
        self.ask_keeper(number, now);
        (number, self.drain(now))
    }

    /// The keepers of a key, the same order for every box: those of the key's home hall, then this hall's.
    fn keepers(&self, key: u64) -> Vec<BoxId> {
        let halls: Vec<&String> = self.boxes.iter().filter(|(_, b)| !b.is_empty()).map(|(hall, _)| hall).collect();
        let ids: Vec<BoxId> = halls.iter().map(|h| BoxId::of(h)).collect();
        let home = owner(key, &ids).and_then(|id| halls.iter().find(|h| BoxId::of(h) == id));
        let mut keepers = Vec::new();
        if let Some(home) = home.filter(|h| ***h != self.hall) {
            keepers.extend(ranked(key, &self.boxes[*home], KEEPERS));
        }
        keepers.extend(ranked(key, self.hall_boxes(), KEEPERS));
        keepers
    }

    /// Asks the first keeper that hasn't answered; the claim is made when all have.
    ///
    /// Every keeper must answer: a silent one may be remembering another delivery. It is asked again
    /// until it answers or the view no longer holds it.
    fn ask_keeper(&mut self, number: u64, now: Time) {
        let Some(claiming) = self.claiming.get(&number) else { return };
        let claim = claiming.claim;
        let next = self.keepers(claim.key).into_iter().find(|k| !claiming.took.contains(k));
        let over = now.since(claiming.began) >= CLAIM_MOST_MS;
        match next {
            Some(_) if over => self.end_claim(number, Verdict::Unproved),
            Some(keeper) => {
                if let Some(claiming) = self.claiming.get_mut(&number) {
                    claiming.asked = now;
                }
                self.tell(keeper, Message::Claim(number, claim));
            }
            None => {
                let verdict = if claiming.proved { Verdict::Fresh } else { Verdict::Unproved };
                self.end_claim(number, verdict);
            }
        }
    }

    fn take_verdict(&mut self, from: BoxId, number: u64, verdict: Verdict, now: Time) {
        let Some(claiming) = self.claiming.get_mut(&number) else { return };
        if claiming.took.contains(&from) {
            return;
        }
        if verdict == Verdict::Repeat {
            self.end_claim(number, Verdict::Repeat);
            return;
        }
        claiming.took.push(from);
        claiming.proved |= verdict == Verdict::Fresh;
        self.ask_keeper(number, now);
    }

    fn end_claim(&mut self, number: u64, verdict: Verdict) {
        let Some(claiming) = self.claiming.remove(&number) else { return };
        if verdict == Verdict::Fresh {
            self.claimed.insert(number, (claiming.claim, claiming.took));
        } else {
            self.unclaim_at(&claiming.claim, &claiming.took);
        }
        self.out.push(Action::Claimed(number, verdict));
    }

    fn unclaim_at(&mut self, claim: &Claim, keepers: &[BoxId]) {
        for keeper in keepers {
            self.tell(*keeper, Message::Unclaim(*claim));
        }
    }

    /// The claimed request has ended; `ran` is false when it certainly did not run.
    pub fn end_of_claimed(&mut self, number: u64, ran: bool, now: Time) -> Vec<Action> {
        if let Some((claim, keepers)) = self.claimed.remove(&number) {
            if !ran {
                self.unclaim_at(&claim, &keepers);
            }
        }
        self.drain(now)
    }

    fn ask_keepers_again(&mut self, now: Time) {
        let silent = |c: &Claiming| now.since(c.asked) >= CLAIM_MS;
        let numbers: Vec<u64> = self.claiming.iter().filter(|(_, c)| silent(c)).map(|(n, _)| *n).collect();
        for number in numbers {
            self.ask_keeper(number, now);
        }
    }
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
        if paused < PAUSE_MS {
            return;
        }
        self.ticked = now;
        self.out.push(Action::Note(Event::PauseNoticed, format!("ms={paused}")));
        let boxes = self.lessees();
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.at_owner(id, |s| s.recover(&boxes, now));
        }
    }

    fn renew(&mut self, now: Time) {
        if self.way != Way::Owner {
            return;
        }
        for (shard, renewal) in self.lessee.renewals() {
            if let Some(owner) = self.owner_of(shard) {
                self.tell(owner, renewal);
            }
        }
        self.local.values_mut().for_each(|d| d.renew_all(now));
        self.tell_usage(now);
        self.limit.tidy(now);
        self.end_owning();
        self.resize_local();
    }

    fn tell_usage(&mut self, now: Time) {
        let limited = |u: &Usage| {
            let share = self.layout.share(u.customer);
            share.concurrent > 0 || share.tokens_per_minute > 0
        };
        let usages: Vec<Usage> = self.meter.usage(now).into_iter().filter(limited).collect();
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
    pub fn load(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Action> {
        let ids: Vec<ShardId> = self.owned.keys().copied().collect();
        for id in ids {
            self.at_owner(id, |s| s.load(server, load, now));
        }
        let ids: Vec<ShardId> = self.local.keys().copied().collect();
        for id in ids {
            let said = self.local.get_mut(&id).map(|d| d.load(server, load, now));
            self.carry_out_local(said.unwrap_or_default());
        }
        self.drain(now)
    }

    /// The shards that this box owns now.
    pub fn owned(&self) -> impl Iterator<Item = &Shard> {
        self.owned.values()
    }

    /// Leases that this box holds.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lessee.held.len()
    }

    /// Asks of this box that have no answer yet.
    #[must_use]
    pub fn pending(&self) -> usize {
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
    pub fn watched(&self) -> Vec<ServerId> {
        let mine = |id: &ShardId| self.owned.contains_key(id) || self.local.contains_key(id);
        let specs = self.layout.shards.values().filter(|s| mine(&s.id));
        specs.flat_map(|s| s.servers.iter()).map(|u| ServerId::of(&u.name)).collect()
    }
}
