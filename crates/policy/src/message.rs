//! Messages between boxes about leases, limits and request keys.

use crate::{Claim, Usage, Verdict};
use catalog::{ClassId, CustomerId, ServerId, ShardId};
use serde::{Deserialize, Serialize};

/// A request for one slot, from the box that received the call to the shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Unique at the requesting box since it started; becomes the lease's id.
    pub id: u64,
    /// The request's class.
    pub class: ClassId,
    /// The request's customer.
    pub customer: CustomerId,
    /// Tokens expected in the answer.
    pub tokens: u32,
    /// Hash of the prompt's prefix, to find servers that have it cached; 0 means none.
    pub prefix: u32,
    /// Milliseconds since the arrival of the call, at the time of sending.
    pub age_ms: u32,
    /// The request may be stopped and resumed.
    pub resumable: bool,
    /// The request was admitted before: its upstream failed or it was recalled. It is never refused as
    /// infeasible.
    pub begun: bool,
    /// The request came from another hall.
    pub remote: bool,
    /// A server on which the request has just failed.
    pub avoid: Option<ServerId>,
}

/// The reason for which a request was refused without being run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// Its target cannot be met, counting only its own class and those above.
    Infeasible,
    /// It waited longer than its class allows.
    Late,
    /// The queue is full.
    QueueFull,
    /// The customer's limit is reached.
    Limit,
    /// No server that serves it is in service.
    NoServer,
    /// This box is stopping or is not ready.
    NotReady,
    /// The retry budget is spent.
    NoBudget,
}

/// The refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// Milliseconds after which the caller should retry. Never 0.
    pub retry_ms: u32,
}

/// Observations of a server from one finished request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tokens forwarded to the caller.
    pub tokens: u32,
    /// Milliseconds from sending to the first token; 0 if there was none.
    pub first_ms: u32,
    /// Mean time between tokens in tenths of a millisecond; 0 if there were fewer than two.
    pub between_tenths: u32,
    /// The server failed, refused the request or broke the connection.
    pub failed: bool,
    /// The lease was never used.
    pub unused: bool,
}

/// A returned lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReturn {
    /// The lease's id.
    pub id: u64,
    /// Observations of the server.
    pub report: Report,
}

/// A lease as its lessee reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The lease's id.
    pub id: u64,
    /// The server that it is for.
    pub server: ServerId,
    /// The request's class.
    pub class: ClassId,
    /// The request's customer.
    pub customer: CustomerId,
    /// The request may be stopped and resumed.
    pub resumable: bool,
}

/// A message between the brokers of two boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Lessee to owner: requests a slot.
    #[serde(rename = "Ask")]
    RequestSlot(ShardId, SlotRequest),
    /// Owner to lessee: these requests wait here. Also the owner's heartbeat.
    Queued(ShardId, Vec<u64>),
    /// Lessee to owner: withdraws a request.
    Cancel(ShardId, u64),
    /// Owner to lessee: grants a slot at a server.
    Grant {
        /// The shard.
        shard: ShardId,
        /// The request's id, now the lease's.
        id: u64,
        /// The server to use.
        server: ServerId,
        /// Lower bound in milliseconds of the time from the call's arrival at the lessee to the grant: the
        /// request's age when it was sent, plus its wait at the owner. It needs no shared clock, and no
        /// message delay can stretch it.
        waited: u32,
    },
    /// Owner to lessee: refuses a request, which was not run.
    Refuse(ShardId, u64, Refusal),
    /// Lessee to owner: returns leases.
    Return(ShardId, Vec<LeaseReturn>),
    /// Lessee to owner: number and checksum of the leases held. Renews all of them if the owner's agree.
    Renew {
        /// The shard.
        shard: ShardId,
        /// Number of leases held.
        count: u32,
        /// Exclusive-or of the mixed lease ids.
        sum: u64,
    },
    /// Owner to lessee: asks for all leases held.
    Recover(ShardId),
    /// Lessee to owner: all leases held.
    Holding(ShardId, Vec<LeaseInfo>),
    /// Owner to lessee: the request must be stopped and request a slot again.
    Recall(ShardId, u64),
    /// Lessee to owner: this server is leaving, which the owner did not know.
    Leaving(ShardId, ServerId),
    /// Entry box to key owner: asks whether a request may run. The number matches the answer to it.
    Claim(u64, Claim),
    /// Key owner to entry box: answers the claim with this number.
    Verdict(u64, Verdict),
    /// Entry box to key owner: this claim was not used and is to be forgotten.
    Unclaim(Claim),
    /// Entry box to the customer's owner: usage at this box.
    Usage(Vec<Usage>),
    /// Customer's owner to entry box: usage at all other boxes of the hall.
    Others(Vec<Usage>),
}
