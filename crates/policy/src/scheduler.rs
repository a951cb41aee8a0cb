//! The common interface of schedulers, and the decisions and actions that result.

use crate::{LeaseReturn, Load, Message, Refusal, SlotRequest, Time, Verdict};
use catalog::{BoxId, ServerId, ShardId};
use telemetry::Event;

/// A decision of a shard's scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send this message to that box, which may be this one.
    Send(BoxId, Message),
    /// Log this event.
    Log(Event, String),
}

/// An action that the broker asks its host to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this message to that other box.
    Send(BoxId, Message),
    /// The caller's request has a lease.
    Granted {
        /// The request's id.
        id: u64,
        /// The shard that the lease belongs to.
        shard: ShardId,
        /// The box that granted it; this box itself for its own share.
        granter: BoxId,
        /// The server to use.
        server: ServerId,
        /// The lease must not be used from this time on.
        expires: Time,
    },
    /// The caller's request is refused and was not run.
    Refused(u64, Refusal),
    /// The running request is to be stopped, and a slot requested for it again.
    Recalled(u64),
    /// The result of a claim on a request key.
    Claimed(u64, Verdict),
    /// Log this event.
    Log(Event, String),
}

/// A scheduler for the servers of one shard.
pub trait Scheduler {
    /// Handles a box's request for a slot.
    fn request_slot(&mut self, from: BoxId, request: SlotRequest, now: Time) -> Vec<Decision>;
    /// Handles a box's withdrawal of a request.
    fn cancel(&mut self, from: BoxId, id: u64, now: Time) -> Vec<Decision>;
    /// Handles a box's return of a lease.
    fn return_lease(&mut self, from: BoxId, returned: &LeaseReturn, now: Time) -> Vec<Decision>;
    /// Handles a server's own load report, which is delayed.
    fn on_load_report(&mut self, server: ServerId, load: Load, now: Time) -> Vec<Decision>;
    /// Advances time.
    fn tick(&mut self, now: Time) -> Vec<Decision>;
    /// Renews all leases, which are known to be held still.
    fn renew_all(&mut self, now: Time);
    /// Marks a server as leaving or back, as reported by others than the server itself.
    fn set_leaving(&mut self, server: ServerId, leaving: bool);
    /// Returns the number of waiting requests.
    fn queue_len(&self) -> usize;
}
