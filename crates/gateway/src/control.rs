//! Interface to the control thread.

use catalog::{Catalog, CustomerId, Upstream};
use policy::{Acquire, Permit, Refusal, Report, Time, Verdict};
use std::sync::Arc;
use tokio::sync::oneshot;

/// State that the control thread publishes to the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Content of the release.
    pub catalog: Catalog,
    /// Number of the release; 0 while there is none.
    pub release: u64,
    /// True if the box accepts requests.
    pub ready: bool,
    /// True once a planned stop has begun.
    pub stopping: bool,
    /// Metric label of each customer, by index.
    pub labels: Vec<String>,
}

/// A granted lease.
#[derive(Debug)]
pub struct LeaseGrant {
    /// The server to use.
    pub server: Upstream,
    /// Permit for a single send.
    pub permit: Permit,
    /// Fires if the lease is recalled: the request must be stopped and a new lease acquired.
    pub recalled: oneshot::Receiver<()>,
}

/// A request from a traffic thread to the control thread. Each `number` is chosen by the sender and unique in the
/// process.
#[derive(Debug)]
pub enum ControlRequest {
    /// Admits a request if its customer is below its limit.
    Admit {
        /// Number of the request.
        number: u64,
        /// The customer.
        customer: CustomerId,
        /// Receives true if the request is admitted.
        reply: oneshot::Sender<bool>,
    },
    /// Ends a request, whether it was admitted or not.
    Finish {
        /// Number of the request.
        number: u64,
        /// Number of answer tokens.
        tokens: u64,
    },
    /// Acquires a lease on a server slot.
    Acquire {
        /// Number of the lease request.
        number: u64,
        /// The requirements for the slot.
        acquire: Acquire,
        /// Receives the lease or the refusal.
        reply: oneshot::Sender<Result<LeaseGrant, Refusal>>,
    },
    /// Cancels a lease request, or returns its lease unused.
    Abandon(u64),
    /// Returns a used lease.
    ReturnLease(u64, Report),
    /// Claims a request key.
    Claim {
        /// Number of the claim.
        number: u64,
        /// Hash of customer and key.
        key: u64,
        /// Age of the key, if known.
        age_ms: Option<u64>,
        /// Receives the verdict of the key owners.
        reply: oneshot::Sender<Verdict>,
    },
    /// Ends a claim; false if the request certainly did not run.
    EndClaim(u64, bool),
}

/// Handle of the control thread for the traffic threads.
pub trait ControlHandle: Send + Sync {
    /// Submits a request without blocking.
    fn submit(&self, request: ControlRequest);
    /// Returns the current snapshot.
    fn snapshot(&self) -> Arc<Snapshot>;
    /// Returns the time of a clock that advances while the machine is suspended.
    fn now(&self) -> Time;
}
