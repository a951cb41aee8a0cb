//! Guards for what a request holds: its place in the customer's limit, its wish, its lease, its claim.
//!
//! Each tells the control thread when it is dropped, so a caller that goes away leaks nothing.

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

/// A request within its customer's limit.
pub struct CustomerAdmission {
    control: Arc<dyn ControlHandle>,
    number: u64,
    /// Tokens passed on so far.
    pub tokens: u64,
}

impl CustomerAdmission {
    /// Enters, unless the customer's limit is reached.
    ///
    /// # Errors
    /// The refusal.
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

/// A wish for a slot; given up when dropped before [`Wish::keep`].
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

/// A lease on a slot; given back when dropped.
pub struct Lease {
    control: Arc<dyn ControlHandle>,
    number: u64,
    /// The server that the lease is for.
    pub server: Upstream,
    /// Fires when the request is to be stopped and asked for again.
    pub recalled: oneshot::Receiver<()>,
    /// What the server showed so far.
    pub report: Report,
    used: bool,
}

impl Lease {
    /// Waits for a lease and the permit to send once under it.
    ///
    /// # Errors
    /// The refusal.
    pub async fn acquire(control: &Arc<dyn ControlHandle>, acquire: Acquire) -> Result<(Self, Permit), Refusal> {
        let mut pending = PendingAcquire { control: Arc::clone(control), number: next_number(), resolved: false };
        let (reply, answer) = oneshot::channel();
        control.submit(ControlRequest::Acquire { number: pending.number, acquire, reply });
        let gone = Refusal { reason: Reason::NotReady, retry_ms: 1_000 };
        let answer = answer.await.unwrap_or(Err(gone));
        // From here on either the lease gives itself back, or there is nothing to give up.
        pending.resolved = true;
        let LeaseGrant { server, permit, recalled } = answer?;
        let report = Report::default();
        let lease =
            Self { control: Arc::clone(control), number: pending.number, server, recalled, report, used: false };
        Ok((lease, permit))
    }

    /// The request goes out now.
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

/// A claim on a request key; the key is free again if the request certainly did not run.
pub struct KeyClaim {
    control: Arc<dyn ControlHandle>,
    number: u64,
    /// The request may have run, so the key stays used.
    pub ran: bool,
}

impl KeyClaim {
    /// Claims a key.
    ///
    /// # Errors
    /// A [`Problem`] when the key was used before, or nobody can say.
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
                let message =
                    "nobody can say whether this key was used before; a UUID of version 7 made anew can be told";
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
