//! One request, from its head to its outcome.

use crate::answer::{self, strip_hop_by_hop};
use crate::attempt::{self, Answer, OutgoingRequest, SendOutcome};
use crate::connections::Connections;
use crate::crash::CrashDetector;
use crate::header_codec::{Call, Dispatch};
use crate::not_sent::NotSent;
use crate::outcome::Outcome;
use crate::request_body::RequestBody;
use crate::retry_delay::Cause;
use crate::shared::Shared;
use crate::slot_guard::SlotGuard;
use crate::timing::Timing;
use crate::Body;
use bytes::Bytes;
use http::{request, Response, StatusCode};
use placement::{Choice, Ending, Fingerprint, Millis, Trait, Verdict};
use routing::{Customer, Kind, Route, Version};
use std::cell::{Cell, OnceCell};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use telemetry::Event;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum number of servers without a connection that one request may try. They don't count as sends.
const MAX_UNREACHED_SERVERS: usize = 6;

/// Time that must remain for another send: the network round trip plus the shortest processing time.
const MIN_SEND_TIME: Duration = Duration::from_millis(8);

/// A server of an idempotent route that has not answered within this many latency targets is given up in favour of
/// another one. The slowest requests of the expected workload take 1.5 targets.
const SILENCE_TARGET_FACTOR: u32 = 3;

/// An admitted request and the state of its sends.
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connections: Connections,
    pub(crate) crash_detector: CrashDetector,
    pub(crate) call: Call,
    pub(crate) route: Arc<Route>,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) service: String,
    pub(crate) parts: request::Parts,
    pub(crate) body: RequestBody,
    /// Deadline of the caller or of the route, whichever comes first.
    pub(crate) deadline: Instant,
    /// The same deadline by [`Shared::now`], which advances while the machine is suspended. Determines the time limit
    /// sent to servers and whether another send is possible.
    pub(crate) expires: Millis,
    pub(crate) started: Instant,
    /// Identifies repetitions of the request; computed on first use.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// Its traits that may crash servers; computed on first use.
    pub(crate) traits: OnceCell<Vec<Trait>>,
    /// Software version that wrote the first event of the stream; `None` until there is one. Only its servers may go on
    /// with the stream.
    pub(crate) version: Option<Version>,
    /// False if it isn't known which version wrote the first event, so that nobody can go on with the stream.
    pub(crate) may_go_on: bool,
    /// The instance that wrote the first event, while it may have ended before and another one have written it.
    pub(crate) unidentified: Option<String>,
    /// Ids of the servers that the request was sent to or that could not be reached.
    pub(crate) tried: Vec<String>,
    /// Closes once it is known whether the server of the last, broken send has terminated.
    pub(crate) crash_probe: Option<watch::Receiver<()>>,
    /// Number of sends that reached a server.
    pub(crate) sends: u32,
    /// Number of sends that failed to reach a server.
    pub(crate) unreached: usize,
    /// True if a send failed since this box has lost its path to the server.
    pub(crate) lacked_path: bool,
    /// The box that the connection of the last send went through; `None` for a direct one.
    pub(crate) via: Cell<Option<SocketAddr>>,
    /// True if the server of the last send had no free slot, as far as this box knew.
    pub(crate) sent_to_busy: bool,
    /// Expiry of the permit for the current send; `None` if the server needs no permit.
    pub(crate) permit_expires: Option<Millis>,
    /// True while the request waits for a slot: no server has it.
    pub(crate) awaits_slot: bool,
    /// Retry delay that a dispatcher stated when it refused the request a slot.
    pub(crate) slot_retry: Option<Duration>,
    /// True if a completed send may have run.
    pub(crate) may_have_run: bool,
    /// True while the current send may be running or may have run. Separate from `may_have_run`, because a send that is
    /// dropped at the deadline can't report its result.
    pub(crate) in_flight: Cell<bool>,
    /// True once the outcome was recorded.
    pub(crate) finished: bool,
    /// Why the request was refused; `None` otherwise.
    pub(crate) refusal: Option<Cause>,
    /// Where its time went.
    pub(crate) timing: Timing,
    /// The decisions made so far, for the log.
    pub(crate) trail: String,
}

/// The result of a send with the body of a non-streamed answer.
enum Fetched {
    Stream(Box<Answer>),
    /// With the time at which its connection was opened.
    Complete(Box<http::response::Parts>, Bytes, Millis),
    Nothing(SendOutcome),
}

/// The step that follows a failed send.
enum NextStep {
    Retry,
    GiveUp,
}

impl Exchange {
    /// Sends the request until there is an outcome or the beginning of a stream, or until a planned stop ends.
    pub(crate) async fn run(&mut self) -> Reply {
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            reply = self.send_until_answered() => return reply,
            () = shared.wait_for_last_answer() => {}
        }
        Reply::Complete(self.on_stop())
    }

    async fn send_until_answered(&mut self) -> Reply {
        if let Verdict::Held { retry_ms } = self.verdict() {
            return Reply::Complete(self.not_sent(&NotSent::Quarantined { retry_ms }));
        }
        if self.takes_up() {
            if let Err(why) = self.bind_to_origin().await {
                return Reply::Complete(self.not_sent(&why));
            }
        }
        let now = self.shared.now();
        self.shared.placement().record_request(&self.service, now);
        if let Err(why) = self.check_turn().await.and_then(|()| self.admit()) {
            return Reply::Complete(self.not_sent(&why));
        }
        loop {
            match tokio::time::timeout_at(self.deadline, self.attempt()).await {
                Ok(Some(reply)) => return reply,
                Ok(None) => {}
                Err(_) => return Reply::Complete(self.on_deadline()),
            }
        }
    }

    /// Chooses a server, and records the time that it took.
    async fn choose_timed(&mut self) -> Result<(Choice, SlotGuard), NotSent> {
        self.timing.begin_choice();
        let chosen = self.choose().await;
        self.timing.end_choice();
        chosen
    }

    /// Makes one attempt. Returns `None` if another one should follow.
    async fn attempt(&mut self) -> Option<Reply> {
        let (choice, mut slot) = match self.choose_timed().await {
            Ok(chosen) => chosen,
            Err(why) => return Some(Reply::Complete(self.not_sent(&why))),
        };
        let fetched = match self.silence_timeout(&choice) {
            Some(timeout) => tokio::time::timeout(timeout, self.send_and_read(&choice))
                .await
                .unwrap_or(Fetched::Nothing(SendOutcome::Silent)),
            None => self.send_and_read(&choice).await,
        };
        if !matches!(fetched, Fetched::Nothing(_)) {
            self.shared.returns().record_start(&self.service, self.urgency(), self.shared.now());
        }
        match fetched {
            Fetched::Stream(answer) => Some(Reply::Stream(answer, slot)),
            Fetched::Complete(parts, bytes, opened) => {
                slot.on_prefill_done(opened);
                self.on_whole_answer(*parts, bytes, slot)
            }
            Fetched::Nothing(sent) => self.on_failed_send(sent, slot),
        }
    }

    /// Sends the request and reads the answer unless it is a stream.
    async fn send_and_read(&mut self, choice: &Choice) -> Fetched {
        match self.send(choice, self.call.last_event).await {
            SendOutcome::Answer(answer) if self.route.kind.is_stream() && answer.parts.status.is_success() => {
                Fetched::Stream(answer)
            }
            SendOutcome::Answer(answer) => {
                let opened = answer.opened();
                match answer.collect(&self.connections, &self.shared.answer_memory).await {
                    Ok((parts, bytes)) => Fetched::Complete(Box::new(parts), bytes, opened),
                    Err(why) => Fetched::Nothing(SendOutcome::Broken(why)),
                }
            }
            sent => Fetched::Nothing(sent),
        }
    }

    /// Returns how long to wait for a server before another one is tried.
    ///
    /// `None` if no other server is available or a second send isn't allowed; ending the request early would gain
    /// nothing then.
    fn silence_timeout(&self, choice: &Choice) -> Option<Duration> {
        let another = self.route.kind == Kind::Idempotent && self.sends + 1 < self.route.max_attempts;
        let timeout = self.route.latency_target * SILENCE_TARGET_FACTOR;
        let left = self.left();
        (another && choice.candidates > 1 && timeout < left).then_some(timeout)
    }

    /// Sends the request to the chosen server within the remaining time.
    pub(crate) async fn send(&mut self, choice: &Choice, last_event: Option<u64>) -> SendOutcome {
        let server = Arc::clone(&choice.server);
        if self.may_have_run && !self.route.kind.is_repeatable() {
            telemetry::emit(Event::SecondSendBroken, format_args!("id={} trail=\"{}\"", self.call.id, self.trail));
            return SendOutcome::Broken("not sent a second time".to_owned());
        }
        let at = self.started.elapsed().as_millis();
        let _ = write!(self.trail, " +{at}:{}@{}", server.id, server.address);
        self.tried.push(server.id.clone());
        let dispatch = Dispatch {
            name: &server.name,
            customer: self.customer.as_ref().map(|c| c.name.as_str()),
            timeout: self.left(),
            urgency: self.call.prompt.as_ref().map(|_| self.urgency()),
            fetch: choice.fetch,
            last_event,
        };
        let permit_expires = self.permit_expires;
        let service = &self.service;
        let message =
            OutgoingRequest { id: &self.call.id, parts: &self.parts, body: &self.body, service, permit_expires };
        self.via.set(None);
        let sent =
            attempt::send(&self.shared, &self.connections, &server, &message, &dispatch, &self.in_flight, &self.via)
                .await;
        if let Some(via) = self.via.get() {
            let _ = write!(self.trail, " via {via}");
        }
        if let SendOutcome::Answer(answer) = &sent {
            let _ = write!(self.trail, " framing={}", answer.framing.as_str());
        }
        sent
    }

    /// Forwards a complete answer, unless it is a failure and another send is possible.
    fn on_whole_answer(&mut self, parts: http::response::Parts, bytes: Bytes, slot: SlotGuard) -> Option<Reply> {
        self.sends += 1;
        let status = parts.status;
        let _ = write!(self.trail, "={}", status.as_u16());
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            slot.finish(Ending::Failed);
            self.may_have_run = true;
            if self.route.kind.is_repeatable() && self.may_send_again() {
                return None;
            }
        } else {
            slot.finish(Ending::Good);
        }
        Some(Reply::Complete(self.forward_answer(parts, bytes)))
    }

    fn forward_answer(&mut self, mut parts: http::response::Parts, bytes: Bytes) -> Response<Body> {
        let not_run_statuses = [408, 421, 429, 503];
        if not_run_statuses.contains(&parts.status.as_u16()) {
            // These statuses indicate to the caller that the request did not run, which this server did not state.
            return self.fail_unknown("the server failed");
        }
        strip_hop_by_hop(&mut parts.headers);
        let outcome = if parts.status.is_success() { Outcome::Answered } else { Outcome::Unknown };
        self.finish(outcome);
        Response::from_parts(parts, answer::body(bytes))
    }

    /// Handles a send without an answer: returns `None` to try again, or the final reply.
    fn on_failed_send(&mut self, sent: SendOutcome, slot: SlotGuard) -> Option<Reply> {
        match self.record_failed_send(sent, slot) {
            NextStep::Retry => None,
            NextStep::GiveUp if self.may_have_run => Some(Reply::Complete(self.fail_unknown("no answer"))),
            NextStep::GiveUp => Some(Reply::Complete(self.refuse(Cause::NotTaken, "no server took the request"))),
        }
    }

    fn record_failed_send(&mut self, sent: SendOutcome, slot: SlotGuard) -> NextStep {
        let (ending, why) = match sent {
            SendOutcome::Unreached(why) => (Ending::Unreached, why),
            SendOutcome::NoPath(why) => {
                self.lacked_path = true;
                (Ending::Left, why)
            }
            SendOutcome::NotRun(why) => (Ending::NotRun, why),
            SendOutcome::Broken(why) => (Ending::Broken, why),
            SendOutcome::Silent => (Ending::Silent, "no answer in time".to_owned()),
            SendOutcome::Withdrawn(why) => (Ending::Left, why.to_owned()),
            SendOutcome::Answer(_) => (Ending::Broken, "an answer out of place".to_owned()),
        };
        let _ = write!(self.trail, "={ending:?}({why})");
        if ending == Ending::Broken {
            self.on_connection_lost(&slot);
        }
        slot.finish(self.server_ending(ending));
        if matches!(ending, Ending::Unreached | Ending::Left) {
            self.unreached += 1;
            return if self.unreached <= MAX_UNREACHED_SERVERS && self.has_time_left() {
                NextStep::Retry
            } else {
                NextStep::GiveUp
            };
        }
        self.sends += 1;
        self.may_have_run |= matches!(ending, Ending::Broken | Ending::Silent);
        let allowed = !self.may_have_run || self.route.kind.is_repeatable();
        if allowed && self.may_send_again() {
            NextStep::Retry
        } else {
            NextStep::GiveUp
        }
    }

    /// Returns what a failed send says about its server. Connections that break or hang while this box has lost its path
    /// say nothing; counted as failures, they would pause every server at every box.
    pub(crate) fn server_ending(&self, ending: Ending) -> Ending {
        let is_own = matches!(ending, Ending::Broken | Ending::Silent)
            && (self.connections.is_lost() || self.via.get().is_some());
        if is_own {
            Ending::Left
        } else {
            ending
        }
    }

    /// Returns true if the route's attempts, the time and the shared retry budget permit another send.
    pub(crate) fn may_send_again(&mut self) -> bool {
        if self.sends >= self.route.max_attempts || !self.has_time_left() {
            return false;
        }
        let now = self.shared.now();
        let granted = self.shared.placement().take_retry(&self.service, now);
        if !granted {
            self.trail.push_str(" budget used up");
        }
        granted
    }

    fn has_time_left(&self) -> bool {
        self.left() > MIN_SEND_TIME
    }

    /// Returns the remaining time.
    pub(crate) fn left(&self) -> Duration {
        Duration::from_millis(self.expires.saturating_sub(self.shared.now()))
    }

    /// Resumes a broken stream at another server. Returns the new answer if there is one.
    pub(crate) async fn resume(&mut self, last_event: Option<u64>) -> Option<(Answer, SlotGuard)> {
        loop {
            let (choice, slot) = self.choose_timed().await.ok()?;
            match self.send(&choice, last_event).await {
                SendOutcome::Answer(answer) if answer.parts.status.is_success() => return Some((*answer, slot)),
                sent => {
                    if let NextStep::GiveUp = self.record_failed_send(sent, slot) {
                        return None;
                    }
                }
            }
        }
    }
}

/// The reply to the caller.
pub(crate) enum Reply {
    /// A complete response.
    Complete(Response<Body>),
    /// The head of a stream whose events are still to be forwarded.
    Stream(Box<Answer>, SlotGuard),
}
