//! Admission of a request and choice of its server.

use crate::crash::LostRequest;
use crate::exchange::Exchange;
use crate::not_sent::NotSent;
use crate::owner_requests::{self, PendingStatus};
use crate::retry_delay::Turn;
use crate::slot_guard::SlotGuard;
use http::uri::PathAndQuery;
use http::{header, HeaderValue};
use placement::{
    Choice, Fingerprint, Millis, PermitReply, PlacementRequest, Prompt, Scope, ServerStatus, Trait, Verdict,
};
use rand::Rng;
use routing::Server;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::time::Instant;

/// Maximum number of owners that are queried for one request: those of eight servers that probably cache its prompt
/// (including the home servers and the next ones in order) and of one cheap server. For a request that shares no prompt
/// parts all of them are cheap servers.
const MAX_STATUS_REQUESTS: usize = 9;

/// Number of a request's queries that carry the demand on this box: so many that under load each owner hears of most
/// boxes every second.
const DEMAND_REPORTS: usize = 4;

/// Time limit for status and permit replies. Owners are a few milliseconds away, and a slow one must not make requests
/// late.
const STATUS_TIMEOUT: Duration = Duration::from_millis(25);

/// Time limit of the crash probe that precedes the next send: several network round trips. Without this wait a request
/// that crashes servers terminates a fourth one, because the next send overtakes the broadcast about the earlier
/// crashes.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time limit from a permit request to the send. The owner's rate window is one second plus twice this value; the rest
/// of that margin covers the network delay. Measured by [`Shared::now`](crate::Shared::now), because the owner's window
/// also advances while a machine is suspended.
const PERMIT_TTL_MS: Millis = 100;

/// Time after the first event of an answer from which its server has survived the parts of the prompt. Events that were on
/// their way when a server terminated may be read some tenths of a second later.
pub(crate) const PART_SURVIVAL_TIME: Millis = 300;

/// The draw that is shed last, of draws from 0 to below 1.
const MAX_DRAW: f64 = 1.0 - f64::EPSILON;

impl Exchange {
    /// Chooses a server and takes a slot there.
    pub(crate) async fn choose(&mut self) -> Result<(Choice, SlotGuard), NotSent> {
        let statuses = self.request_statuses().await;
        if let Some(mut probe) = self.crash_probe.take() {
            // Continue on a result as well as on a time-out; the placement uses what is known by then.
            let _ = tokio::time::timeout(CRASH_PROBE_TIMEOUT, probe.changed()).await;
        }
        if let Some(chosen) = self.choose_assigned().await? {
            return Ok(chosen);
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

    /// Takes a slot at the chosen server, unless the request was quarantined in the meantime, here or by another box.
    pub(crate) fn claim_slot(
        &mut self,
        choice: Choice,
        permit_expires: Option<Millis>,
    ) -> Result<(Choice, SlotGuard), NotSent> {
        if self.left().is_zero() {
            // After a suspension of the machine the Tokio timers lag behind.
            return Err(NotSent::DeadlineExceeded);
        }
        match self.verdict() {
            Verdict::Free => {}
            Verdict::Trial => self.shared.begin_probes(self.traits()),
            Verdict::Held { retry_ms } => return Err(NotSent::Quarantined { retry_ms }),
        }
        self.permit_expires = permit_expires;
        self.sent_to_busy = choice.load.running >= choice.server.slots;
        self.log_choice(&choice);
        let slot = SlotGuard::new(&self.shared, &self.service, &choice, self.call.prompt.as_ref());
        Ok((choice, slot))
    }

    /// Refuses the request if it came back before the time at which its caller was told to return, while slots are short.
    pub(crate) async fn check_turn(&self) -> Result<(), NotSent> {
        let (now, request) = (self.shared.now(), self.promise_key());
        if self.call.prompt.is_none() || request == 0 || !self.shared.placement().is_short(&self.service, now) {
            return Ok(());
        }
        let turn = self.shared.returns().turn(&self.service, self.urgency(), Fingerprint(request), now);
        if let Turn::Early { promised_at } = turn {
            return Err(NotSent::Early { retry_ms: promised_at - now });
        }
        // The caller may have been refused by another box.
        let Some(reply) = self.shared.peer_client.request_promise(request) else { return Ok(()) };
        match tokio::time::timeout(STATUS_TIMEOUT, reply).await {
            Ok(Ok(left_ms)) if left_ms > 0 => Err(NotSent::Early { retry_ms: left_ms.into() }),
            _ => Ok(()),
        }
    }

    /// Refuses the request if its class or its customer has to give way to others.
    pub(crate) fn admit(&self) -> Result<(), NotSent> {
        let customer = self.customer.as_ref().map_or(0, |customer| routing::rank(0, &customer.name));
        // Within its class, a stream that goes on comes before new requests: half of it is made. What is shed for a more
        // urgent class, all of its class, it doesn't escape.
        let draw = if self.version.is_some() { MAX_DRAW } else { rand::rng().random_range(0.0..1.0) };
        Ok(self.shared.placement().admit(&self.placement_request(&[], &[]), customer, draw)?)
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
            version: self.version.as_ref(),
            allowed_regions: [
                self.route.allowed_regions.as_ref(),
                self.customer.as_ref().and_then(|customer| customer.allowed_regions.as_ref()),
            ],
            statuses,
            now: self.shared.now(),
        }
    }

    /// Queries the owners of the most promising servers. Requests without a prompt query none.
    pub(crate) async fn request_statuses(&self) -> Vec<(String, ServerStatus)> {
        let Some(prompt) = &self.call.prompt else { return Vec::new() };
        let planned = self.shared.placement().servers_to_query(&self.placement_request(&[], &[]), MAX_STATUS_REQUESTS);
        let mut statuses = self.query_owners(&planned, prompt).await;
        if statuses.len() * 2 < planned.len() {
            // Owners are silent. Further queries would fill their links.
            return statuses;
        }
        let further = {
            let request = self.placement_request(&statuses, &[]);
            self.shared.placement().further_servers_to_query(&request, MAX_STATUS_REQUESTS)
        };
        if !further.is_empty() {
            statuses.extend(self.query_owners(&further, prompt).await);
            self.shared.placement().record_search(&self.placement_request(&statuses, &[]));
        }
        statuses
    }

    /// Queries the owners of these servers and returns the statuses that arrive in time.
    async fn query_owners(&self, servers: &[Arc<Server>], prompt: &Prompt) -> Vec<(String, ServerStatus)> {
        let gap_ms = self.route.gap_target.map_or(0, |gap| gap.as_millis() as u32);
        let demand = self.shared.placement().demand_report(&self.service, self.shared.now());
        let query = |(index, server)| {
            let demand = (index < DEMAND_REPORTS).then(|| demand.clone());
            PendingStatus::request(&self.shared, server, prompt, gap_ms, demand)
        };
        let pending: Vec<PendingStatus> = servers.iter().enumerate().filter_map(query).collect();
        let until = Instant::now() + STATUS_TIMEOUT;
        let mut statuses = Vec::new();
        for request in pending {
            statuses.extend(request.wait(&self.shared, &self.service, until).await);
        }
        statuses
    }

    /// Returns the fingerprint that identifies repetitions of the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.parts.headers.get(header::HOST).map_or(&b""[..], HeaderValue::as_bytes);
            let target = self.parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
            let method = self.parts.method.as_str();
            let head = [method.as_bytes(), host, target.as_bytes(), customer.as_bytes()];
            let fields: Vec<&[u8]> = head.into_iter().chain(self.body.pieces()).collect();
            Fingerprint::of(self.shared.secret, &fields)
        })
    }

    /// Returns the fingerprint under which a return is promised to the caller. Requests without a body are the same for
    /// many callers, so nothing is promised to one of them: 0.
    pub(crate) fn promise_key(&self) -> u64 {
        if self.body.is_empty() {
            0
        } else {
            self.fingerprint().0
        }
    }

    /// Returns the quarantine's verdict on the request.
    pub(crate) fn verdict(&self) -> Verdict {
        if self.shared.quarantine().is_empty() {
            return Verdict::Free;
        }
        self.shared.verdict(self.traits())
    }

    /// Returns the traits of the request that may crash servers: its shared parts, and the request as a whole.
    pub(crate) fn traits(&self) -> &[Trait] {
        self.traits.get_or_init(|| {
            let parts = self.call.prompt.as_ref().map_or(&[][..], Prompt::shared);
            let parts = parts.iter().enumerate();
            let parts = parts.map(|(position, part)| Trait::part(self.shared.secret, part.id, position));
            parts.chain([Trait { fingerprint: self.fingerprint(), scope: Scope::Whole }]).collect()
        })
    }

    /// Clears the parts of the prompt once the server of an answer has survived them.
    pub(crate) fn record_part_survivals(&self, slot: &mut SlotGuard) {
        if self.call.prompt.is_none() || !slot.take_survival(PART_SURVIVAL_TIME) {
            return;
        }
        if !self.shared.quarantine().is_empty() {
            let parts: Vec<Trait> = self.traits().iter().copied().filter(|one| one.scope != Scope::Whole).collect();
            self.shared.record_survivals(&parts);
        }
    }

    /// Handles a lost connection to a server that had the request: starts a probe that finds out whether the server has
    /// terminated.
    pub(crate) fn on_connection_lost(&mut self, slot: &SlotGuard) {
        let parts = self.call.prompt.as_ref().map_or(&[][..], Prompt::shared);
        let parts = parts.iter().map(|part| part.id).collect();
        let (sent, at) = (slot.sent, self.shared.now());
        // A part crashes a server when that begins to answer; a server that has been answering for a while survived it.
        let survived = slot.has_answered_for(PART_SURVIVAL_TIME, at);
        let suspects = self.traits().iter().filter(|suspect| suspect.scope == Scope::Whole || !survived);
        let suspects = suspects.copied().collect();
        let lost = LostRequest { request: self.fingerprint(), parts, suspects, sent, at };
        self.crash_probe =
            Some(self.crash_detector.on_connection_lost(&self.shared, &self.connections, &slot.server, lost));
    }

    pub(crate) fn log_choice(&self, choice: &Choice) {
        let Choice { estimate, work, load, .. } = choice;
        let prompt = self.call.prompt.as_ref();
        telemetry::emit(
            Event::ServerChosen,
            format_args!(
                "id={} server={} cost={:.3} expected_ms={:.0} stalled={:.2} others={:.2} split={:.2} unread={} fetch={} among={} \
                 slot_wait_ms={:.0} answered={} known={} \
                 running={} ahead={} held={} prompt={} shared={} read_ms={:.1} pair_ms={:.2} stall_ms={:.0} stall_depth_ms={:.1}",
                self.call.id,
                choice.server.id,
                estimate.cost,
                estimate.wait_ms,
                estimate.stall_probability,
                estimate.others_late,
                estimate.long_share,
                work.prefill.tokens,
                choice.fetch.map_or_else(|| "-".to_owned(), |f| f.to_string()),
                choice.candidates,
                estimate.slot_wait_ms,
                choice.answered,
                u8::from(choice.known),
                load.running,
                load.prefill.tokens,
                load.held,
                prompt.map_or(0, |p| p.tokens),
                prompt.map_or(0, Prompt::shared_tokens),
                estimate.speed.read_ms,
                estimate.speed.pair_ms,
                estimate.speed.stall_ms,
                estimate.speed.stall_depth_ms,
            ),
        );
    }

    pub(crate) fn urgency(&self) -> u8 {
        self.route.urgency(self.customer.as_deref())
    }
}
