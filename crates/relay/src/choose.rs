//! Which server a request goes to, and whether it goes to any.

use crate::attempt::SlotGuard;
use crate::crash::LostRequest;
use crate::exchange::Exchange;
use crate::owner_requests::{self, PendingStatus};
use http::uri::PathAndQuery;
use http::{header, HeaderValue};
use placement::{Choice, Fingerprint, Millis, PermitReply, PlacementRequest, Prompt, Refusal, ServerStatus, Verdict};
use std::time::Duration;
use telemetry::Event;
use tokio::time::Instant;

/// How many servers' owners are asked for one request: eight that likely keep its parts, homes and those beyond
/// them, and a cheap one; where it shares none, cheap ones only.
const MAX_STATUS_REQUESTS: usize = 9;

/// Longest wait for owners. They are a few milliseconds away; a slow one must not make requests late.
const STATUS_TIMEOUT: Duration = Duration::from_millis(25);

/// Longest wait for whether the server of a send that broke off has ended, before the next: some ways there and back. Without
/// it a request ends a fourth server, as the next send is faster than the news.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// Longest time from leave to the send: the span in which the owner counts arrivals is longer than
/// a second by twice this, the rest being for the way. By the clock that counts while the machine is suspended: the owner's
/// second does, too.
const PERMIT_TTL_MS: Millis = 100;

/// Why a request is not sent.
pub(crate) enum NotSent {
    /// No server may be tried.
    Refused(Refusal),
    /// Its time is over.
    Late,
    /// Servers ended under it, again and again.
    Held {
        /// When its caller is asked back, in milliseconds.
        retry_ms: Millis,
    },
}

impl From<Refusal> for NotSent {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl Exchange {
    /// Chooses a server, and claims a place there.
    pub(crate) async fn choose(&mut self) -> Result<(Choice, SlotGuard), NotSent> {
        let statuses = self.request_statuses().await;
        if let Some(mut probe) = self.crash_probe.take() {
            // Closed or late: what is known by then is gone by.
            let _ = tokio::time::timeout(CRASH_PROBE_TIMEOUT, probe.changed()).await;
        }
        let mut denied = Vec::new();
        loop {
            let choice = self.shared.placement().choose(&self.placement_request(&statuses, &denied))?;
            let permit_expires = self.shared.now() + PERMIT_TTL_MS;
            let Some(quotas) = choice.permit_quotas else {
                return self.claim_slot(choice, None);
            };
            let (urgency, until) = (self.urgency(), Instant::now() + STATUS_TIMEOUT);
            match owner_requests::request_permit(&self.shared, &choice.server, quotas, urgency, until).await {
                PermitReply::Granted => return self.claim_slot(choice, Some(permit_expires)),
                PermitReply::Denied { retry_ms } => {
                    let until = self.shared.now().saturating_add(retry_ms);
                    self.shared.placement().record_denial(&self.service, &choice.server.id, urgency, until);
                }
            }
            denied.push(choice.server.id.clone());
        }
    }

    /// Takes a place at the chosen server, unless servers ended under the request meanwhile, here or elsewhere.
    pub(crate) fn claim_slot(
        &mut self,
        choice: Choice,
        permit_expires: Option<Millis>,
    ) -> Result<(Choice, SlotGuard), NotSent> {
        if self.left().is_zero() {
            // The machine was suspended: its timers don't know yet.
            return Err(NotSent::Late);
        }
        match self.verdict() {
            Verdict::Free => {}
            Verdict::Trial => self.shared.begin_probe(self.fingerprint()),
            Verdict::Held { retry_ms } => return Err(NotSent::Held { retry_ms }),
        }
        self.permit_expires = permit_expires;
        self.log_choice(&choice);
        let slot = SlotGuard::new(&self.shared, &self.service, &choice, self.call.prompt.as_ref());
        Ok((choice, slot))
    }

    pub(crate) fn placement_request<'a>(
        &'a self,
        statuses: &'a [(String, ServerStatus)],
        denied: &'a [String],
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            prompt: self.call.prompt.as_ref(),
            target: self.route.latency_target,
            gap_limit: self.route.gap_target,
            urgency: self.urgency(),
            bytes: self.body.len(),
            tried: &self.tried,
            denied,
            allowed_regions: [
                self.route.allowed_regions.as_ref(),
                self.customer.as_ref().and_then(|customer| customer.allowed_regions.as_ref()),
            ],
            statuses,
            now: self.shared.now(),
        }
    }

    /// Asks the owners of the likeliest servers; nobody for requests that are no prompts.
    pub(crate) async fn request_statuses(&self) -> Vec<(String, ServerStatus)> {
        let Some(prompt) = &self.call.prompt else { return Vec::new() };
        let planned = self.shared.placement().servers_to_query(&self.placement_request(&[], &[]), MAX_STATUS_REQUESTS);
        let gap_ms = self.route.gap_target.map_or(0, |gap| gap.as_millis() as u32);
        let pending: Vec<PendingStatus> =
            planned.iter().filter_map(|server| PendingStatus::request(&self.shared, server, prompt, gap_ms)).collect();
        let until = Instant::now() + STATUS_TIMEOUT;
        let mut statuses = Vec::new();
        for request in pending {
            statuses.extend(request.wait(&self.shared, &self.service, until).await);
        }
        statuses
    }

    /// What it is known by when it comes again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.parts.headers.get(header::HOST).map_or(&b""[..], HeaderValue::as_bytes);
            let target = self.parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
            let method = self.parts.method.as_str();
            let fields = [method.as_bytes(), host, target.as_bytes(), customer.as_bytes(), &self.body];
            Fingerprint::of(self.shared.secret, &fields)
        })
    }

    /// Whether it may be sent, as far as servers ended under it before.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.shared.quarantine().is_empty() {
            return Verdict::Free;
        }
        self.shared.verdict(self.fingerprint())
    }

    /// The answer that was claimed broke off: its connection has ended, or its server has.
    pub(crate) fn on_connection_lost(&mut self, slot: &SlotGuard) {
        let lost = LostRequest { request: self.fingerprint(), sent: slot.sent, at: self.shared.now() };
        self.crash_probe =
            Some(self.crash_detector.on_connection_lost(&self.shared, &self.connections, &slot.server, lost));
    }

    pub(crate) fn log_choice(&self, choice: &Choice) {
        let Choice { estimate: expected, work, load, .. } = choice;
        let prompt = self.call.prompt.as_ref();
        telemetry::emit(
            Event::ServerChosen,
            format_args!(
                "id={} server={} cost={:.3} expected_ms={:.0} stalled={:.2} others={:.2} split={:.2} unread={} fetch={} among={} \
                 running={} ahead={} held={} prompt={} shared={} read_ms={:.1} pair_ms={:.2} stall_ms={:.0} stall_depth_ms={:.1}",
                self.call.id,
                choice.server.id,
                expected.cost,
                expected.wait_ms,
                expected.stall_probability,
                expected.others_late,
                expected.long_share,
                work.prefill.tokens,
                choice.fetch.map_or_else(|| "-".to_owned(), |f| f.to_string()),
                choice.candidates,
                load.running,
                load.prefill.tokens,
                load.held,
                prompt.map_or(0, |p| p.tokens),
                prompt.map_or(0, Prompt::shared_tokens),
                expected.speed.read_ms,
                expected.speed.pair_ms,
                expected.speed.stall_ms,
                expected.speed.stall_depth_ms,
            ),
        );
    }

    pub(crate) fn urgency(&self) -> u8 {
        self.route.urgency(self.customer.as_deref())
    }
}
