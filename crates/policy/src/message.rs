//! What boxes say to each other about leases, limits and request keys.

use crate::{Claim, Usage, Verdict};
use catalog::{ClassId, CustomerId, ServerId, ShardId};
use serde::{Deserialize, Serialize};

/// A request for one slot, from the box that took the call to the shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Unique at the asking box since it started; becomes the lease's number.
    pub id: u64,
    /// The request's class.
    pub class: ClassId,
    /// The request's customer.
    pub customer: CustomerId,
    /// Tokens expected in the answer.
    pub tokens: u32,
    /// Hash of the prompt's beginning, for warm servers; 0 means none.
    pub prefix: u32,
    /// Milliseconds since the call came in, at the time of sending.
    pub age_ms: u32,
    /// The request may be stopped and resumed.
    pub resumable: bool,
    /// The request was accepted before: its upstream failed or it was recalled. It is never turned away as
    /// infeasible.
    pub begun: bool,
    /// The request came from another hall.
    pub remote: bool,
    /// A server on which the request has just failed.
    pub avoid: Option<ServerId>,
}

/// Why a request was refused as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Its target can't be met, counting its own class and those above only.
    Infeasible,
    /// It waited longer than its class allows.
    Late,
    /// The queue is full.
    QueueFull,
    /// The customer's limit is reached.
    Limit,
    /// No server for it is in service.
    NoServer,
    /// This box is stopping, or isn't ready.
    NotReady,
    /// The budget for retries is spent.
    NoBudget,
}

/// A refusal as not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, in milliseconds. Never 0.
    pub retry_ms: u32,
}

/// What a finished request showed of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tokens passed on.
    pub tokens: u32,
    /// Milliseconds from sending to the first token; 0 if there was none.
    pub first_ms: u32,
    /// Mean time between tokens in tenths of a millisecond; 0 if there were fewer than two.
    pub between_tenths: u32,
    /// The server failed, refused or broke off.
    pub failed: bool,
    /// The lease was never used.
    pub unused: bool,
}

/// A lease handed back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReturn {
    /// The lease.
    pub id: u64,
    /// What was seen of the server.
    pub report: Report,
}

/// One lease as its lessee knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The lease.
    pub id: u64,
    /// The server it is for.
    pub server: ServerId,
    /// The request's class.
    pub class: ClassId,
    /// The request's customer.
    pub customer: CustomerId,
    /// The request may be stopped and resumed.
    pub resumable: bool,
}

/// A message between two boxes' decision code.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Lessee to owner: a slot, please.
    #[serde(rename = "Ask")]
    RequestSlot(ShardId, SlotRequest),
    /// Owner to lessee: these asks wait here, and the owner is alive.
    Queued(ShardId, Vec<u64>),
    /// Lessee to owner: the ask is no longer wanted.
    Cancel(ShardId, u64),
    /// Owner to lessee: use this server; `waited` counts from the call's arrival.
    Grant {
        /// The shard.
        shard: ShardId,
        /// The ask's number, now the lease's.
        id: u64,
        /// The server to use.
        server: ServerId,
        /// Milliseconds from the call's arrival at the lessee to the grant, at least: the ask's age when it
        /// was sent, and its wait at the owner. No clock is shared, and no message's delay can stretch it.
        waited: u32,
    },
    /// Owner to lessee: refused, not run.
    Refuse(ShardId, u64, Refusal),
    /// Lessee to owner: leases handed back.
    Return(ShardId, Vec<LeaseReturn>),
    /// Lessee to owner: I hold so many leases with this sum of numbers. Renews all if they agree.
    Renew {
        /// The shard.
        shard: ShardId,
        /// How many leases are held.
        count: u32,
        /// Exclusive-or of the leases' mix_lease_id numbers.
        sum: u64,
    },
    /// Owner to lessee: tell me all that you hold.
    Recover(ShardId),
    /// Lessee to owner: all that I hold.
    Holding(ShardId, Vec<LeaseInfo>),
    /// Owner to lessee: stop this request and ask again.
    Recall(ShardId, u64),
    /// Lessee to owner: this server is leaving, which the owner had not heard.
    Leaving(ShardId, ServerId),
    /// Entry box to a key's keeper: may this run? The number pairs the answer.
    Claim(u64, Claim),
    /// Keeper to entry box.
    Verdict(u64, Verdict),
    /// Entry box to a key's keeper: the claim with this hash was not used, forget it.
    Unclaim(Claim),
    /// Entry box to a customer's keeper: what this box uses.
    Usage(Vec<Usage>),
    /// Keeper to entry box: what all other boxes of the hall use.
    Others(Vec<Usage>),
}
