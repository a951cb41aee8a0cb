//! The lessee's side: requests for slots, and the leases that this box holds.

use crate::{LeaseInfo, Message, Refusal, SlotRequest, Time};
use catalog::{BoxId, ClassId, CustomerId, ServerId, ShardId};
use std::collections::BTreeMap;

/// The reason for which a slot is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request has just arrived.
    First,
    /// Its upstream failed; this is charged to the retry budget.
    Failure,
    /// It was recalled, or its permit had expired before it was used.
    Recall,
}

/// A caller's request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Acquire {
    /// The model or plain service.
    pub serves: String,
    /// The request's class.
    pub class: ClassId,
    /// The request's customer.
    pub customer: CustomerId,
    /// Tokens expected in the answer.
    pub tokens: u32,
    /// Hash of the prompt's prefix; 0 means none.
    pub prefix: u32,
    /// The request may be stopped and resumed.
    pub resumable: bool,
    /// The arrival of the call.
    pub arrived: Time,
    /// The reason for which a slot is requested.
    pub cause: Cause,
    /// A server on which the request has just failed.
    pub avoid: Option<ServerId>,
}

/// A request for a slot that has neither been granted nor refused.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request as it was sent; `age_ms` is updated each time.
    pub request: SlotRequest,
    /// The model or plain service.
    pub serves: String,
    /// The shard at which it waits.
    pub shard: ShardId,
    /// The box that was asked; this box itself if `local`.
    pub owner: BoxId,
    /// It waits in this box's local scheduler.
    pub local: bool,
    /// Time at which it was first sent to `owner`.
    pub first_sent: Time,
    /// Time at which it was last sent.
    pub last_sent: Time,
    /// Time of the last message in which `owner` confirmed that it waits there.
    pub confirmed: Option<Time>,
    /// The arrival of the call.
    pub arrived: Time,
    /// Shard and owner in another hall that were asked in addition, while it waits in its own.
    pub spillover: Option<(ShardId, BoxId)>,
    /// Time at which another hall was last asked in addition.
    pub last_spillover: Time,
    /// Halls that have refused it or did not answer.
    pub tried_halls: Vec<String>,
    /// The first refusal: that of this box's own hall if it serves the request. The caller receives it if no other
    /// hall grants a slot.
    pub refusal: Option<Refusal>,
}

/// A lease that this box holds.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// The shard that it belongs to.
    pub shard: ShardId,
    /// The box that granted it; this box itself for its own share.
    pub granter: BoxId,
    /// It was granted by this box's local scheduler.
    pub local: bool,
    /// The lease as reported to owners.
    pub info: LeaseInfo,
}

/// The pending requests and the leases of this box. An id is never in both at once.
#[derive(Clone, Debug, Default)]
pub struct Lessee {
    /// Pending requests by id.
    pub pending: BTreeMap<u64, PendingRequest>,
    /// Leases by id.
    pub leases: BTreeMap<u64, HeldLease>,
    last_id: u64,
}

impl Lessee {
    /// Creates a lessee whose ids begin above `first`, so that a restarted box does not use any of them
    /// again.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self { last_id: first, ..Self::default() }
    }

    /// Returns an id that was not used before.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns all leases of `shard`.
    #[must_use]
    pub fn leases_of(&self, shard: ShardId) -> Vec<LeaseInfo> {
        self.leases.values().filter(|l| l.shard == shard).map(|l| l.info.clone()).collect()
    }

    /// Returns the short form of [`Self::leases_of`] for each shard with leases.
    #[must_use]
    pub fn renewals(&self) -> Vec<(ShardId, Message)> {
        let mut checksums: BTreeMap<ShardId, (u32, u64)> = BTreeMap::new();
        for (id, lease) in &self.leases {
            let sum = checksums.entry(lease.shard).or_default();
            *sum = (sum.0 + 1, sum.1 ^ mix_lease_id(*id));
        }
        let renew = |(shard, (count, sum))| (shard, Message::Renew { shard, count, sum });
        checksums.into_iter().map(renew).collect()
    }
}

/// Mixes a lease's id so that checksums of different sets differ.
pub(crate) fn mix_lease_id(id: u64) -> u64 {
    id.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}
