//! The border towards the control thread.

use catalog::{Catalog, CustomerId, Upstream};
use policy::{Acquire, Permit, Refusal, Report, Time, Verdict};
use std::sync::Arc;
use tokio::sync::oneshot;

/// What the control thread lets the traffic threads see.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The release's content.
    pub catalog: Catalog,
    /// The release's number; 0 while there is none.
    pub release: u64,
    /// Callers' requests are taken.
    pub ready: bool,
    /// A planned stop has begun.
    pub stopping: bool,
    /// The metric label of each customer, by its index.
    pub labels: Vec<String>,
}

/// A lease as a traffic thread gets it.
#[derive(Debug)]
pub struct LeaseGrant {
    /// The server to use.
    pub server: Upstream,
    /// Leave to send once.
    pub permit: Permit,
    /// Fires when the request is to be stopped and asked for again.
    pub recalled: oneshot::Receiver<()>,
}

/// What a traffic thread asks of the control thread. `number` is the asker's, unique in the process.
#[derive(Debug)]
pub enum ControlRequest {
    /// A request came in: may its customer have one more?
    Admit {
        /// Names the request.
        number: u64,
        /// Whose it is.
        customer: CustomerId,
        /// True if it may.
        reply: oneshot::Sender<bool>,
    },
    /// A request that had entered, or had tried to, has ended.
    Finish {
        /// Names the request.
        number: u64,
        /// Tokens of its answer.
        tokens: u64,
    },
    /// A slot, please.
    Acquire {
        /// Names the wish.
        number: u64,
        /// What for.
        acquire: Acquire,
        /// The lease, or the refusal.
        reply: oneshot::Sender<Result<LeaseGrant, Refusal>>,
    },
    /// The wish or its lease is over and was not used.
    Abandon(u64),
    /// The lease was used.
    ReturnLease(u64, Report),
    /// A request with a key wants to run.
    Claim {
        /// Names the claim.
        number: u64,
        /// Hash of customer and key.
        key: u64,
        /// How long ago the key was made, where it tells.
        age_ms: Option<u64>,
        /// What the keepers say.
        reply: oneshot::Sender<Verdict>,
    },
    /// The claimed request has ended; false when it certainly did not run.
    EndClaim(u64, bool),
}

/// The control thread, as the traffic threads see it.
pub trait ControlHandle: Send + Sync {
    /// Hands over a request. Never waits.
    fn submit(&self, request: ControlRequest);
    /// What is in force now.
    fn snapshot(&self) -> Arc<Snapshot>;
    /// The time on the clock that counts through a freeze.
    fn now(&self) -> Time;
}
