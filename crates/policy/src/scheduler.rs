//! The border at which ways of deciding can be exchanged, and what a decision may be.

use crate::{LeaseReturn, Load, Message, Refusal, SlotRequest, Time, Verdict};
use catalog::{BoxId, ServerId, ShardId};
use telemetry::Event;

/// What a shard decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Say this to that box, which may be this one.
    Send(BoxId, Message),
    /// Log this.
    Log(Event, String),
}

/// What a box's decision code wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this to that other box.
    Send(BoxId, Message),
    /// The caller's request has a lease.
    Granted {
        /// The request's number.
        id: u64,
        /// The shard that the lease is from.
        shard: ShardId,
        /// The owner that granted it; this box itself for its own small share.
        granter: BoxId,
        /// The server to use.
        server: ServerId,
        /// The lease must not be used from this moment on.
        expires: Time,
    },
    /// The caller's request is refused, not run.
    Refused(u64, Refusal),
    /// The running request is to be stopped and asked for again.
    Recalled(u64),
    /// The answer to a request key's claim.
    Claimed(u64, Verdict),
    /// Log this.
    Log(Event, String),
}

/// A way of deciding who runs next on the servers of one shard.
pub trait Scheduler {
    /// A box asks for a slot.
    fn request_slot(&mut self, from: BoxId, ask: SlotRequest, now: Time) -> Vec<Decision>;
    /// A box no longer wants the slot it asked for.
    fn cancel(&mut self, from: BoxId, id: u64, now: Time) -> Vec<Decision>;
    /// A box hands a lease back.
    fn return_lease(&mut self, from: BoxId, back: &LeaseReturn, now: Time) -> Vec<Decision>;
    /// A server's own report came in, late.
    fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision>;
    /// Time has passed.
    fn tick(&mut self, now: Time) -> Vec<Decision>;
    /// Whoever holds the leases is known to hold them all still.
    fn renew_all(&mut self, now: Time);
    /// Words of others said that a server is leaving, or no longer.
    fn set_leaving(&mut self, server: ServerId, leaving: bool);
    /// How many asks wait.
    fn queue_len(&self) -> usize;
}
