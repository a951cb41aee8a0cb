//! Guards for the resources of a request: customer admission, pending lease request, lease and key claim.
//!
//! Each guard notifies the control thread on drop, so that nothing leaks when a caller disconnects.

use crate::{Code, ControlHandle, ControlRequest, LeaseGrant, Problem};
use catalog::{CustomerId, Upstream};
use policy::{Acquire, Permit, Reason, Refusal, Report, Verdict};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::oneshot;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

fn next_number() -> u64 {
    NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
}

/// A request admitted within its customer's limit.
pub struct CustomerAdmission {
    control: Arc<dyn ControlHandle>,
    number: u64,
    /// Number of tokens forwarded so far.
    pub tokens: u64,
}

impl CustomerAdmission {
    /// Admits a request unless the customer's limit is reached.
    ///
    /// # Errors
    /// Returns the refusal.
    pub async fn admit(control: &Arc<dyn ControlHandle>, customer: CustomerId) -> Result<Self, Refusal> {
        let admission = Self { control: Arc::clone(control), number: next_number(), tokens: 0 };
        let (reply, answer) = oneshot::channel();
        control.submit(ControlRequest::Admit { number: admission.number, customer, reply });
        match answer.await {
            Ok(true) => Ok(admission),
            Ok(false) => Err(Refusal { reason: Reason::Limit, retry_ms: 1_000 }),
            Err(_) => Err(Refusal { reason: Reason::NotReady, retry_ms: 1_000 }),
        }
    }
}

impl Drop for CustomerAdmission {
    fn drop(&mut self) {
        self.control.submit(ControlRequest::Finish { number: self.number, tokens: self.tokens });
    }
}

/// A pending lease request; cancelled if dropped before it is resolved.
struct PendingAcquire {
    control: Arc<dyn ControlHandle>,
    number: u64,
    resolved: bool,
}

impl Drop for PendingAcquire {
    fn drop(&mut self) {
        if !self.resolved {
            self.control.submit(ControlRequest::Abandon(self.number));
        }
    }
}

/// A lease on a server slot; returned on drop.
pub struct Lease {
    control: Arc<dyn ControlHandle>,
    number: u64,
    /// The leased server.
    pub server: Upstream,
    /// Fires if the lease is recalled: the request must be stopped and a new lease acquired.
    pub recalled: oneshot::Receiver<()>,
    /// Observations of the server so far.
    pub report: Report,
    used: bool,
}

impl Lease {
    /// Waits for a lease and the permit for a single send under it.
    ///
    /// # Errors
    /// Returns the refusal.
    pub async fn acquire(control: &Arc<dyn ControlHandle>, acquire: Acquire) -> Result<(Self, Permit), Refusal> {
        let mut pending = PendingAcquire { control: Arc::clone(control), number: next_number(), resolved: false };
        let (reply, answer) = oneshot::channel();
        control.submit(ControlRequest::Acquire { number: pending.number, acquire, reply });
        let unavailable = Refusal { reason: Reason::NotReady, retry_ms: 1_000 };
        let answer = answer.await.unwrap_or(Err(unavailable));
        // From here on either the lease returns itself on drop, or there is nothing to cancel.
        pending.resolved = true;
        let LeaseGrant { server, permit, recalled } = answer?;
        let report = Report::default();
        let lease =
            Self { control: Arc::clone(control), number: pending.number, server, recalled, report, used: false };
        Ok((lease, permit))
    }

    /// Marks the lease as used, directly before the request is sent.
    pub fn mark_used(&mut self) {
        self.used = true;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let request = if self.used {
            ControlRequest::ReturnLease(self.number, self.report)
        } else {
            ControlRequest::Abandon(self.number)
        };
        self.control.submit(request);
    }
}

/// A claim on a request key. The key is freed on drop if the request certainly did not run.
pub struct KeyClaim {
    control: Arc<dyn ControlHandle>,
    number: u64,
    /// True if the request may have run, so that the key stays used.
    pub ran: bool,
}

impl KeyClaim {
    /// Claims a key.
    ///
    /// # Errors
    /// Returns a [`Problem`] if the key was used before or its earlier use can't be ruled out.
    pub async fn acquire(control: &Arc<dyn ControlHandle>, key: u64, age_ms: Option<u64>) -> Result<Self, Problem> {
        let claim = Self { control: Arc::clone(control), number: next_number(), ran: false };
        let (reply, answer) = oneshot::channel();
        control.submit(ControlRequest::Claim { number: claim.number, key, age_ms, reply });
        match answer.await {
            Ok(Verdict::Fresh) => Ok(claim),
            Ok(Verdict::Repeat) => {
                let message = "a request with this key was delivered before; it is running, has run or may have run";
                Err(Problem::after_send(Code::KeyUsed, message, policy::Ran::Unknown))
            }
            Ok(Verdict::Unproved) | Err(_) => {
                let message = "it is unknown whether this key was used before; a new UUID of version 7 can be verified";
                Err(Problem::after_send(Code::KeyUnproved, message, policy::Ran::Unknown).with_retry_ms(1_000))
            }
        }
    }
}

impl Drop for KeyClaim {
    fn drop(&mut self) {
        self.control.submit(ControlRequest::EndClaim(self.number, self.ran));
    }
}
