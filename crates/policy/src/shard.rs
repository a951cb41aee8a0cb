//! The owner of one shard: its queues, the leases on its slots, and the order of grants.

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

/// Lifetime of a lease that is not renewed.
pub const LEASE_TTL_MS: u64 = 3_000;

/// Maximum time for which a new owner waits for its lessees' lists of leases.
pub const RECOVERY_TIMEOUT_MS: u64 = 300;

/// Interval of the owner's heartbeats to each lessee with waiting requests.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Minimum age at which a lease counts as gone when its lessee does not list it. Younger grants may still be
/// in transit.
const LEASE_GRACE_MS: u64 = 1_000;

/// Maximum number of waiting requests of one class at one shard.
const MAX_QUEUED_PER_CLASS: usize = 4_096;

/// Divisors of a shard's capacity that give the part which other halls may use, in general and for urgent
/// requests.
const REMOTE_CAPACITY_DIVISOR: u32 = 4;
const URGENT_REMOTE_CAPACITY_DIVISOR: u32 = 2;

/// Minimum age at which a request that was admitted before is given up.
const MIN_READMITTED_TIMEOUT_MS: u64 = 60_000;

/// A request that is not urgent justifies a recall once this fraction of its target has passed. Given as a
/// divisor.
const RECALL_TARGET_DIVISOR: u64 = 4;

/// Headroom after recalls: the time in which it halves, and its maximum as a divisor of the capacity.
const HEADROOM_HALF_LIFE_MS: f64 = 1_000.0;
const HEADROOM_CAPACITY_DIVISOR: f64 = 3.0;

/// A server that misses a class's target between tokens by this factor is not used for the class.
const UNFIT_GAP_FACTOR: f64 = 1.5;

/// Fraction of the first-token time that a warm prompt prefix saves.
const WARM_PREFIX_SAVING_RATIO: f64 = 0.7;

/// Estimated duration of a lease before any has ended: a fixed part, and a part per token.
const DEFAULT_HOLD_MS: f64 = 200.0;
const DEFAULT_HOLD_MS_PER_TOKEN: f64 = 20.0;

/// Time constant with which a class's slots are averaged for its floor.
const FLOOR_AVERAGE_WINDOW_MS: f64 = 10_000.0;

/// Factor on expected waits, so that admitted requests are in time.
const WAIT_MARGIN_FACTOR: f64 = 1.25;

/// Interval at which customers' old debts decay.
const DEBT_DECAY_INTERVAL_MS: u64 = 10_000;

#[derive(Clone, Debug)]
struct Lease {
    server: ServerId,
    class: ClassId,
    customer: CustomerId,
    tokens: u32,
    granted: Time,
    /// Lower bound in milliseconds of the time from the call's arrival at the lessee to the grant.
    waited: u32,
    /// Never earlier than `granted`.
    renewed: Time,
    resumable: bool,
    remote: bool,
    recalled: bool,
    /// Granted out of turn because of its age.
    out_of_turn: bool,
}

#[derive(Clone, Debug)]
struct Recovery {
    started: Time,
    awaiting: BTreeSet<BoxId>,
}

/// The owner's state of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    /// The shard's id.
    pub id: ShardId,
    /// The servers, in the order of the upstreams file.
    pub servers: Vec<Server>,
    /// The lease counts, which balance at every moment.
    pub ledger: Ledger,
    layout: Rc<Layout>,
    queues: BTreeMap<ClassId, Queue>,
    leases: BTreeMap<(BoxId, u64), Lease>,
    /// Number of leases by class, kept so that no decision has to count `leases`.
    running: BTreeMap<ClassId, u32>,
    hold_ms: BTreeMap<ClassId, f64>,
    /// Moving average of the slots that each class has used.
    average_slots: BTreeMap<ClassId, f64>,
    averaged_at: Time,
    recovery: Option<Recovery>,
    /// Slots kept free of requests that would be recalled again at once. Rises with each recall, then decays.
    headroom: f64,
    headroom_at: Time,
    last_heartbeat: Time,
    last_debt_decay: Time,
    decisions: Vec<Decision>,
}

// ----------------------------------------------------------------------------
// Set-up

impl Shard {
    /// Creates an owner that grants every slot of `spec`'s servers.
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

    /// Applies a release. Servers that stay keep their state.
    pub fn set_layout(&mut self, layout: Rc<Layout>) {
        let spec = layout.shards.get(&self.id).cloned();
        self.layout = layout;
        match spec {
            Some(spec) => self.set_servers(&spec, |upstream, _| upstream.slots),
            None => self.servers.iter_mut().for_each(|s| s.leaving_by_config = true),
        }
    }

    /// Sets the servers, each with the slots that `slots` returns. A server that is gone from the file gets
    /// no new work.
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

    /// Asks `boxes` for their leases, and grants nothing until they have answered or the time is over.
    pub fn recover(&mut self, boxes: &[BoxId], now: Time) -> Vec<Decision> {
        for to in boxes {
            self.decisions.push(Decision::Send(*to, Message::Recover(self.id)));
        }
        self.recovery = Some(Recovery { started: now, awaiting: boxes.iter().copied().collect() });
        std::mem::take(&mut self.decisions)
    }

    /// Returns true while lessees are being asked for their leases.
    #[must_use]
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    /// Returns the number of leases.
    #[must_use]
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Returns the number of waiting requests of each class.
    #[must_use]
    pub fn queue_depths(&self) -> Vec<(ClassId, usize)> {
        self.queues.iter().map(|(class, queue)| (*class, queue.len())).collect()
    }

    /// Returns the milliseconds that a new request of this class would wait, as admission estimates it.
    #[must_use]
    pub fn expected_wait_ms(&self, class: ClassId, now: Time) -> u64 {
        self.wait_ms(&self.layout.class(class), class, now)
    }

    /// Returns true if no request waits and no lease is held.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue_len() == 0
    }
}
