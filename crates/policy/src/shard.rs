//! The owner's side of one shard: one queue, leases on slots, and the order of grants.

mod admission;
mod dispatch;
mod leases;

use crate::server::HealthChange;
use crate::{
    Decision, Layout, LeaseInfo, LeaseReturn, Ledger, Load, Message, Queue, QueuedRequest, Reason, Refusal, Report,
    Scheduler, Server, ShardSpec, SlotRequest, Time,
};
use catalog::{BoxId, Class, ClassId, CustomerId, ServerId, ShardId};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use telemetry::Event;

/// How long a lease lives without being renewed, in milliseconds.
pub const LEASE_TTL_MS: u64 = 3_000;

/// How long a new owner waits for its lessees' answers, in milliseconds.
pub const RECOVERY_TIMEOUT_MS: u64 = 300;

/// Every lessee with something waiting hears from the owner this often, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// A lease younger than this isn't taken as gone because its lessee didn't name it.
const LEASE_GRACE_MS: u64 = 1_000;

/// Most asks of one class that wait at one shard.
const MAX_QUEUED_PER_CLASS: usize = 4_096;

/// Most of a shard's capacity that other halls may use, as a divisor; and where the request is urgent.
const REMOTE_CAPACITY_DIVISOR: u32 = 4;
const URGENT_REMOTE_CAPACITY_DIVISOR: u32 = 2;

/// A request that was accepted before isn't given up before this age, in milliseconds.
const MIN_READMITTED_TIMEOUT_MS: u64 = 60_000;

/// A request that isn't urgent is pressed once this part of its target has gone by, as a divisor.
const RECALL_TARGET_DIVISOR: u64 = 4;

/// Headroom after recalls: time in which half of it fades, in milliseconds, and its most as a divisor of
/// the capacity.
const HEADROOM_HALF_LIFE_MS: f64 = 1_000.0;
const HEADROOM_CAPACITY_DIVISOR: f64 = 3.0;

/// A class whose target between tokens a server misses by this factor isn't sent there.
const UNFIT_GAP_FACTOR: f64 = 1.5;

/// Part of the first-token time that a warm prompt prefix saves.
const WARM_PREFIX_SAVING_RATIO: f64 = 0.7;

/// Guess of a lease's length before any has ended: milliseconds, and milliseconds a token.
const DEFAULT_HOLD_MS: f64 = 200.0;
const DEFAULT_HOLD_MS_PER_TOKEN: f64 = 20.0;

/// Time over which a class's slots are averaged for its floor, in milliseconds.
const FLOOR_AVERAGE_WINDOW_MS: f64 = 10_000.0;

/// Expected waits are taken as this much longer, so that what is admitted is in time.
const WAIT_MARGIN_FACTOR: f64 = 1.25;

/// How often old debts of customers fade, in milliseconds.
const DEBT_DECAY_INTERVAL_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Lease {
    server: ServerId,
    class: ClassId,
    customer: CustomerId,
    tokens: u32,
    granted: Time,
    /// Milliseconds from the call's arrival at the lessee to the grant, at least.
    waited: u32,
    /// Never earlier than `granted`.
    renewed: Time,
    resumable: bool,
    remote: bool,
    recalled: bool,
    /// Given out of turn because of its age.
    out_of_turn: bool,
}

#[derive(Clone, Debug)]
struct Recovery {
    started: Time,
    awaiting: BTreeSet<BoxId>,
}

/// The owner's side of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The shard's short name.
    pub id: ShardId,
    /// The servers, in the file's order.
    pub servers: Vec<Server>,
    /// The count of leases; even at every moment.
    pub ledger: Ledger,
    layout: Rc<Layout>,
    queues: BTreeMap<ClassId, Queue>,
    leases: BTreeMap<(BoxId, u64), Lease>,
    /// Leases by class: counts `leases`, so that no decision has to.
    running: BTreeMap<ClassId, u32>,
    hold_ms: BTreeMap<ClassId, f64>,
    /// Slots that each class has had on average of late.
    average_slots: BTreeMap<ClassId, f64>,
    averaged_at: Time,
    recovery: Option<Recovery>,
    /// Slots kept free of requests that would be recalled again at once: rises with each recall, then fades.
    headroom: f64,
    headroom_at: Time,
    last_heartbeat: Time,
    last_debt_decay: Time,
    decisions: Vec<Decision>,
}

// ----------------------------------------------------------------------------
// Set-up

impl Shard {
    /// An owner that grants every slot of `spec`'s servers.
    #[must_use]
    pub fn new(spec: &ShardSpec, layout: Rc<Layout>) -> Self {
        let mut shard = Self {
            id: spec.id,
            servers: Vec::new(),
            ledger: Ledger::default(),
            layout,
            queues: BTreeMap::new(),
            leases: BTreeMap::new(),
            running: BTreeMap::new(),
            hold_ms: BTreeMap::new(),
            average_slots: BTreeMap::new(),
            averaged_at: Time(0),
            recovery: None,
            headroom: 0.0,
            headroom_at: Time(0),
            last_heartbeat: Time(0),
            last_debt_decay: Time(0),
            decisions: Vec::new(),
        };
        shard.set_servers(spec, |upstream, _| upstream.slots);
        shard
    }

    /// Takes over a release: servers that stay keep what is known of them.
    pub fn set_layout(&mut self, layout: Rc<Layout>) {
        let spec = layout.shards.get(&self.id).cloned();
        self.layout = layout;
        match spec {
            Some(spec) => self.set_servers(&spec, |upstream, _| upstream.slots),
            None => self.servers.iter_mut().for_each(|s| s.leaving_by_config = true),
        }
    }

    /// Sets the servers, with `slots` of each; a server that is gone from the file takes no new work.
    pub fn set_servers(&mut self, spec: &ShardSpec, slots: impl Fn(&catalog::Upstream, ServerId) -> u32) {
        let mut next = Vec::new();
        for upstream in &spec.servers {
            let id = ServerId::of(&upstream.name);
            let slots = slots(upstream, id);
            let known = self.servers.iter().find(|s| s.id == id).cloned();
            let mut server = known.unwrap_or_else(|| Server::new(upstream, slots));
            server.slot_limit =
                (server.slot_limit + f64::from(slots) - f64::from(server.slots)).clamp(0.0, f64::from(slots));
            server.slots = slots;
            server.leaving_by_config = upstream.leaving;
            next.push(server);
        }
        for mut gone in self.servers.drain(..) {
            if gone.used > 0 && !next.iter().any(|s| s.id == gone.id) {
                gone.leaving_by_config = true;
                next.push(gone);
            }
        }
        self.servers = next;
    }

    /// Asks `boxes` what they hold, and grants nothing until they have answered or the wait is over.
    pub fn recover(&mut self, boxes: &[BoxId], now: Time) -> Vec<Decision> {
        for to in boxes {
            self.decisions.push(Decision::Send(*to, Message::Recover(self.id)));
        }
        self.recovery = Some(Recovery { started: now, awaiting: boxes.iter().copied().collect() });
        std::mem::take(&mut self.decisions)
    }

    /// True while lessees are being asked.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// How many leases are held.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// How many asks of each class wait.
    #[must_use]
    pub fn queue_depths(&self) -> Vec<(ClassId, usize)> {
        self.queues.iter().map(|(class, queue)| (*class, queue.len())).collect()
    }

    /// Milliseconds that a request of this class would wait now, as admission sees it.
    #[must_use]
    pub fn expected_wait_ms(&self, class: ClassId, now: Time) -> u64 {
        self.wait_ms(&self.layout.class(class), class, now)
    }

    /// True when nothing waits here and nothing is held.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue_len() == 0
    }
}
