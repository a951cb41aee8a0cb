//! Slots at plain servers that a dispatcher assigns.

use crate::exchange::Exchange;
use crate::not_sent::NotSent;
use crate::peer_client::DispatcherState;
use crate::shared::Shared;
use crate::slot_guard::SlotGuard;
use dispatch::{SlotEnding, SlotRelease, SlotReply, SlotRequest};
use placement::{Choice, Ending, Millis, Refusal};
use std::fmt::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time within which a dispatcher must be heard after a request: it decides at once or reports that the request is
/// queued, and is a few milliseconds away. Also the time by which its last decision may come after the longest useful
/// wait, which it measures from the request's arrival.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// Delay of a timer above which this box was paused.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(5);

/// Number of slots that one choice may be granted. A second one is requested if this box must not send to the server of
/// the first.
const MAX_GRANTS: usize = 2;

/// Waits above this are noted in the request's log line.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(1);

/// A request for a slot, and the slot once it is granted. Released on drop, on every path: a slot that isn't released
/// stays unused until the request's deadline.
pub(crate) struct SlotLease {
    shared: Arc<Shared>,
    number: u64,
    service: String,
    /// The request's deadline, when the lease lapses.
    expires: Millis,
    /// How the use of the slot ended; `None` if there is nothing to release.
    ending: Option<SlotEnding>,
}

impl SlotLease {
    /// Ends the use of the slot by a send.
    pub(crate) fn finish(mut self, ending: Ending, now: Millis) {
        self.ending = Some(match ending {
            Ending::Good => SlotEnding::Answered,
            Ending::NotRun => SlotEnding::TurnedAway,
            // The time until a failure is no service time.
            Ending::Failed | Ending::Broken | Ending::Silent | Ending::Unreached => SlotEnding::Failed,
            // The server did not answer before the deadline.
            Ending::Left if now >= self.expires => SlotEnding::Failed,
            // The caller has disconnected, or the send was withdrawn: this says nothing about the server.
            Ending::Left => SlotEnding::Unused,
        });
    }

    /// Ends a request that the dispatcher didn't grant and doesn't hold.
    fn settle(mut self) {
        self.ending = None;
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        if let Some(ending) = self.ending {
            let service = std::mem::take(&mut self.service);
            self.shared.peer_client.release_slot(SlotRelease { number: self.number, service, ending });
        }
    }
}

impl Exchange {
    /// Waits for a slot where a dispatcher assigns them, and takes it. Returns `None` if this box chooses a server by
    /// itself: no dispatcher is in charge, or it can't be reached.
    pub(crate) async fn choose_assigned(&mut self) -> Result<Option<(Choice, SlotGuard)>, NotSent> {
        let mut excluded = self.tried.clone();
        excluded.extend(self.shared.placement().other_versions(&self.placement_request(&[], &[])));
        let excluded_for_all = excluded.len();
        for _ in 0..MAX_GRANTS {
            if !self.shared.placement().assigns_slots(&self.placement_request(&[], &[])) {
                return Ok(None);
            }
            let Some((lease, reply)) = self.request_slot(&excluded).await else { return Ok(None) };
            match reply {
                SlotReply::Granted { server, .. } => {
                    let choice = self.shared.placement().choose_server(&self.placement_request(&[], &[]), &server);
                    let Ok(choice) = choice else {
                        excluded.push(server);
                        continue;
                    };
                    let (choice, mut slot) = self.claim_slot(choice, None)?;
                    slot.hold(lease);
                    return Ok(Some((choice, slot)));
                }
                SlotReply::Refused { retry_ms, .. } => {
                    lease.settle();
                    // A request that may have run can't be refused, and one that was granted a slot at a server that
                    // only this box can't use must not be refused for that.
                    if self.may_have_run || excluded.len() > excluded_for_all {
                        return Ok(None);
                    }
                    self.slot_retry = Some(Duration::from_millis(u64::from(retry_ms)));
                    return Err(Refusal::Overloaded { wait_ms: f64::from(retry_ms) }.into());
                }
                SlotReply::Unmanaged { .. } => {
                    lease.settle();
                    return Ok(None);
                }
            }
        }
        Ok(None)
    }

    /// Requests a slot at a server other than `excluded` and waits for the reply. Returns `None` without a dispatcher or
    /// a reply; the request is withdrawn then.
    async fn request_slot(&mut self, excluded: &[String]) -> Option<(SlotLease, SlotReply)> {
        let number = self.shared.slot_numbers.fetch_add(1, Ordering::Relaxed);
        let max_wait = self.route.latency_target.saturating_sub(self.started.elapsed()).min(self.left());
        let request = SlotRequest {
            number,
            service: self.service.clone(),
            urgency: self.urgency(),
            customer: self.customer.as_ref().map_or(0, |customer| routing::rank(0, &customer.name)),
            max_wait_ms: to_ms(max_wait),
            expires_ms: to_ms(self.left()),
            tried: excluded.to_vec(),
            request: self.promise_key(),
        };
        let reply = self.shared.peer_client.request_slot(request)?;
        let lease = SlotLease {
            shared: Arc::clone(&self.shared),
            number,
            service: self.service.clone(),
            expires: self.expires,
            ending: Some(SlotEnding::Unused),
        };
        let began = Instant::now();
        self.awaits_slot = true;
        let reply = wait_for_reply(&self.shared, number, reply, max_wait).await;
        self.awaits_slot = false;
        let waited = began.elapsed();
        if waited > MIN_LOGGED_WAIT {
            let _ = write!(self.trail, " slot_wait={}", waited.as_millis());
        }
        let reply = reply?;
        if !matches!(reply, SlotReply::Unmanaged { .. }) {
            metrics::histogram!("cleatshelf_slot_wait_seconds", "service" => self.service.clone())
                .record(waited.as_secs_f64());
        }
        Some((lease, reply))
    }
}

/// Waits for the reply to a slot request. Returns `None` if the dispatcher is silent or its reply was lost.
async fn wait_for_reply(
    shared: &Shared,
    number: u64,
    mut reply: oneshot::Receiver<SlotReply>,
    max_wait: Duration,
) -> Option<SlotReply> {
    let began = Instant::now();
    let until = began + max_wait + REPLY_TIMEOUT;
    let mut check_at = began + REPLY_TIMEOUT;
    while check_at < until {
        if let Ok(reply) = tokio::time::timeout_at(check_at, &mut reply).await {
            return reply.ok();
        }
        let now = Instant::now();
        check_at = if now > check_at + MAX_TIMER_DELAY {
            // This box was paused, and may not have read messages that have arrived.
            now + MAX_TIMER_DELAY
        } else {
            match shared.peer_client.check_dispatcher(number) {
                DispatcherState::Alive => break,
                DispatcherState::Paused(recheck) => now + recheck,
                DispatcherState::Silent => return None,
            }
        };
    }
    tokio::time::timeout_at(until, reply).await.ok().and_then(Result::ok)
}

/// Returns a duration in milliseconds.
fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
