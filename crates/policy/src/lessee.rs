//! The requesting side: what was asked for, and which leases this box holds.

use crate::{LeaseInfo, Message, Refusal, SlotRequest, Time};
use catalog::{BoxId, ClassId, CustomerId, ServerId, ShardId};
use std::collections::BTreeMap;

/// Why a slot is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request has just come in.
    First,
    /// Its upstream failed; the retry budget pays for this.
    Failure,
    /// It was recalled, or its permit was too old to be used.
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
    /// Hash of the prompt's beginning; 0 means none.
    pub prefix: u32,
    /// The request may be stopped and resumed.
    pub resumable: bool,
    /// When the call came in.
    pub arrived: Time,
    /// Why a slot is wanted.
    pub cause: Cause,
    /// A server on which the request has just failed.
    pub avoid: Option<ServerId>,
}

/// An ask that has no answer yet.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// As it was asked for; `age_ms` is set anew at each sending.
    pub request: SlotRequest,
    /// The model or plain service.
    pub serves: String,
    /// Where it waits.
    pub shard: ShardId,
    /// Who was asked; this box itself when `local`.
    pub owner: BoxId,
    /// It waits at this box's own small share.
    pub local: bool,
    /// When it was first sent to `owner`.
    pub first_sent: Time,
    /// When it was last sent, the first time or again.
    pub last_sent: Time,
    /// When `owner` was last heard of about it.
    pub confirmed: Option<Time>,
    /// When the call came in.
    pub arrived: Time,
    /// Another hall's shard and owner that were asked as well, while it waits in its own.
    pub spillover: Option<(ShardId, BoxId)>,
    /// When another hall was last asked as well.
    pub last_spillover: Time,
    /// Halls that have refused it.
    pub tried_halls: Vec<String>,
    /// The refusal of this box's own hall, which the caller gets in the end.
    pub refusal: Option<Refusal>,
}

/// A lease that this box holds.
#[derive(Clone, Debug)]
pub struct HeldLease {
    /// Where it is from.
    pub shard: ShardId,
    /// Who granted it; this box itself for its own small share.
    pub granter: BoxId,
    /// It is from this box's own small share.
    pub local: bool,
    /// What an owner is told of it.
    pub info: LeaseInfo,
}

/// What this box asked for and what it holds. A number is never in both at once.
#[derive(Clone, Debug, Default)]
pub struct Lessee {
    /// Asks without an answer, by number.
    pub pending: BTreeMap<u64, PendingRequest>,
    /// Leases, by number.
    pub leases: BTreeMap<u64, HeldLease>,
    last_id: u64,
}

impl Lessee {
    /// A lessee whose numbers begin above `first`, so that a restarted box doesn't repeat any.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self { last_id: first, ..Self::default() }
    }

    /// A number that was not used before.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Everything held of `shard`.
    #[must_use]
    pub fn leases_of(&self, shard: ShardId) -> Vec<LeaseInfo> {
        self.leases.values().filter(|g| g.shard == shard).map(|g| g.info.clone()).collect()
    }

    /// The short form of [`Self::holding`], for each shard of which something is held.
    #[must_use]
    pub fn renewals(&self) -> Vec<(ShardId, Message)> {
        let mut checksums: BTreeMap<ShardId, (u32, u64)> = BTreeMap::new();
        for (id, grant) in &self.leases {
            let sum = checksums.entry(grant.shard).or_default();
            *sum = (sum.0 + 1, sum.1 ^ mix_lease_id(*id));
        }
        let renew = |(shard, (count, sum))| (shard, Message::Renew { shard, count, sum });
        checksums.into_iter().map(renew).collect()
    }
}

/// Mixes a lease's number so that checksums of different sets differ.
pub(crate) fn mix_lease_id(id: u64) -> u64 {
    id.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}
