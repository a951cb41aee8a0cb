//! State machine of one model request, from the first lease request to the last token.

use crate::caller::Caller;
use crate::guards::{CustomerAdmission, KeyClaim, Lease};
use crate::request_metrics::RequestMetrics;
use crate::stage::Stage;
use crate::token_timer::TokenTimer;
use crate::{Code, ControlHandle, Limits, Outcome, Problem};
use bytes::Bytes;
use catalog::ServerId;
use policy::{Acquire, Cause, Ran, Sent, Time, Unsent};
use serde_json::Value;
use std::sync::Arc;
use std::time::Instant;
use telemetry::Event;
use tokio::sync::mpsc;
use upstream::{Call, Delivered, Engine, EventSplitter, Failure, TokenStream};

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// After this many recalls the request no longer counts as resumable, so its leases aren't recalled again.
const MAX_RECALLS: u32 = 3;

/// Message to the caller's side: a complete event, or the problem that ends the answer.
pub type AnswerPart = Result<Bytes, Problem>;

/// One model request.
pub struct RequestDriver {
    /// Handle of the control thread.
    pub control: Arc<dyn ControlHandle>,
    /// Client for engines.
    pub engine: std::rc::Rc<dyn Engine>,
    /// Limits on requests.
    pub limits: Arc<Limits>,
    /// The identified caller.
    pub caller: Caller,
    /// The request to the engine.
    pub call: Call,
    /// Name of the model.
    pub model: String,
    /// Expected number of answer tokens.
    pub tokens: u32,
    /// Hash of the prompt prefix.
    pub prefix: u32,
    /// True if every engine of the model can resume an answer of another one.
    pub resumable: bool,
    /// Arrival time of the request.
    pub arrived: Time,
}

/// The reason why an attempt ended before the answer was complete.
enum AttemptError {
    /// The caller disconnected.
    Disconnected,
    /// The owner recalled the lease.
    Recalled(Sent),
    /// No byte of this attempt reached the engine.
    Unreached(Sent),
    /// The engine failed or the connection was lost.
    Broken(Sent, String),
    /// The engine answered with an error status and a body.
    Refused(Sent, u16, Vec<u8>),
}

/// State of the answer delivered so far.
struct Delivery {
    out: mpsc::Sender<AnswerPart>,
    /// Forwarded events, retained while the answer may have to be resumed.
    events: Vec<Bytes>,
    retain_events: bool,
    metrics: RequestMetrics,
    admission: CustomerAdmission,
}

impl Delivery {
    fn record(&mut self, event: &Bytes) {
        self.metrics.record_token();
        self.admission.tokens += 1;
        if self.retain_events {
            self.events.push(event.clone());
        }
    }
}

impl RequestDriver {
    /// Runs the request to its end. Everything for the caller is sent to `out`.
    pub async fn run(mut self, out: mpsc::Sender<AnswerPart>) {
        let metrics = RequestMetrics::new(&self.caller.class.name, &self.caller.label);
        let caller = out.clone();
        let result = tokio::select! {
            result = self.run_request(out.clone(), metrics) => result,
            () = caller.closed() => return,
        };
        let Err((problem, metrics)) = result else { return };
        metrics.finish(problem.outcome());
        metrics::counter!("cleatshelf_problems_total", "code" => problem.code.as_str()).increment(1);
        if problem.ran == Ran::Unknown && problem.code != Code::KeyUsed {
            let detail = format_args!("class={} code={}", self.caller.class.name, problem.code.as_str());
            telemetry::emit(Event::OutcomeUnknown, detail);
        }
        // Fails only if the caller has disconnected.
        let _ = out.send(Err(problem)).await;
    }

    async fn run_request(
        &mut self,
        out: mpsc::Sender<AnswerPart>,
        metrics: RequestMetrics,
    ) -> Result<(), (Problem, RequestMetrics)> {
        let unsent = Unsent::new(self.caller.repeatable);
        let mut claim = match self.claim().await {
            Ok(claim) => claim,
            Err(problem) => return Err((problem, metrics)),
        };
        let admission = match CustomerAdmission::admit(&self.control, self.caller.customer).await {
            Ok(admission) => admission,
            Err(refusal) => return Err((Problem::refused(refusal, unsent.refuse()), metrics)),
        };
        let retain_events = self.caller.repeatable;
        let mut delivery = Delivery { out, events: Vec::new(), retain_events, metrics, admission };
        let result = self.attempt_until_complete(Stage::Unsent(unsent), &mut delivery, &mut claim).await;
        match result {
            Ok(()) => {
                delivery.metrics.finish(Outcome::Complete);
                Ok(())
            }
            Err(Some(problem)) => Err((problem, delivery.metrics)),
            // The caller disconnected; dropping the metrics counts that.
            Err(None) => Ok(()),
        }
    }

    async fn claim(&self) -> Result<Option<KeyClaim>, Problem> {
        match self.caller.key.filter(|_| !self.caller.repeatable) {
            Some(key) => KeyClaim::acquire(&self.control, key.hash, key.age_ms).await.map(Some),
            None => Ok(None),
        }
    }

    /// Makes attempts until the answer is complete. `Err(None)` means that the caller disconnected.
    async fn attempt_until_complete(
        &mut self,
        mut stage: Stage,
        delivery: &mut Delivery,
        claim: &mut Option<KeyClaim>,
    ) -> Result<(), Option<Problem>> {
        let mut cause = Cause::First;
        let mut avoid = None;
        let (mut failures, mut recalls) = (0, 0);
        let mut may_have_run = false;
        loop {
            let acquire = self.acquire_params(cause, avoid, recalls);
            let (lease, permit) = match Lease::acquire(&self.control, acquire).await {
                Ok(granted) => granted,
                Err(refusal) => return Err(Some(Problem::refused(refusal, stage.refuse()))),
            };
            let server = ServerId::of(&lease.server.name);
            let sent = match stage.send(permit, self.control.now()) {
                Ok(sent) => sent,
                Err(stage_unchanged) => {
                    // The permit expired before this task ran: the slot may be leased to another request by now.
                    (stage, cause) = (stage_unchanged, Cause::Recall);
                    continue;
                }
            };
            if let Some(claim) = claim {
                claim.ran = true;
            }
            let sent = self.check_single_send(sent, may_have_run)?;
            let error = match self.attempt(lease, sent, delivery).await {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            let was_recalled = matches!(error, AttemptError::Recalled(_));
            let unreached = matches!(error, AttemptError::Unreached(_));
            may_have_run |= !unreached;
            if let Some(claim) = claim.as_mut().filter(|_| unreached) {
                claim.ran = false;
            }
            failures += u32::from(!was_recalled);
            recalls += u32::from(was_recalled);
            stage = next_stage(error, failures)?;
            cause = if was_recalled { Cause::Recall } else { Cause::Failure };
            avoid = (!was_recalled).then_some(server);
            self.prepare_resume(delivery)?;
        }
    }

    /// Checks that a request that isn't repeatable has reached no upstream before.
    ///
    /// The types already rule that out. The check reports a violation if they are ever changed.
    fn check_single_send(&self, sent: Sent, may_have_run: bool) -> Result<Sent, Option<Problem>> {
        if self.caller.repeatable || !may_have_run {
            return Ok(sent);
        }
        telemetry::emit(Event::SecondSendBroken, format_args!("class={}", self.caller.class.name));
        Err(Some(upstream_failed("a request that is not repeatable was about to be sent twice", Ran::Unknown)))
    }

    fn acquire_params(&self, cause: Cause, avoid: Option<ServerId>, recalls: u32) -> Acquire {
        Acquire {
            serves: self.model.clone(),
            class: self.caller.class_id(),
            customer: self.caller.customer,
            tokens: self.tokens.saturating_sub(self.call.delivered.tokens).max(1),
            prefix: self.prefix,
            resumable: self.caller.repeatable && self.resumable && recalls < MAX_RECALLS,
            // After a recall the wait starts anew: the class's target was already met or missed with the first tokens.
            arrived: if self.call.delivered.tokens == 0 { self.arrived } else { self.control.now() },
            cause,
            avoid,
        }
    }

    /// Stores the delivered part of the answer in the call, so that the next engine resumes from there.
    fn prepare_resume(&mut self, delivery: &Delivery) -> Result<(), Option<Problem>> {
        if delivery.events.is_empty() {
            return Ok(());
        }
        if !self.resumable {
            let message = "the engine failed and no engine can resume the answer";
            return Err(Some(Problem::after_send(Code::UpstreamFailed, message, Ran::Yes)));
        }
        self.call.delivered = delivered_text(&delivery.events);
        let detail = format_args!("class={} tokens={}", self.caller.class.name, self.call.delivered.tokens);
        telemetry::emit(Event::StreamResumed, detail);
        Ok(())
    }

    async fn attempt(&mut self, mut lease: Lease, sent: Sent, delivery: &mut Delivery) -> Result<(), AttemptError> {
        lease.mark_used();
        let started = Instant::now();
        let tokens = tokio::select! {
            result = self.engine.start(lease.server.address, &self.call) => result,
            Ok(()) = &mut lease.recalled => return Err(AttemptError::Recalled(sent)),
        };
        match tokens {
            Ok(tokens) => self.forward_tokens(tokens, lease, sent, delivery, started).await,
            Err(Failure::Unreached(_)) => {
                lease.report.failed = true;
                Err(AttemptError::Unreached(sent))
            }
            Err(Failure::Refused { status, body }) => {
                // A caller error is no failure of the engine.
                lease.report.failed = status >= 500;
                Err(AttemptError::Refused(sent, status, body))
            }
            Err(Failure::Broken(why)) => {
                lease.report.failed = true;
                Err(AttemptError::Broken(sent, why))
            }
        }
    }

    async fn forward_tokens(
        &self,
        mut tokens: Box<dyn TokenStream>,
        mut lease: Lease,
        sent: Sent,
        delivery: &mut Delivery,
        started: Instant,
    ) -> Result<(), AttemptError> {
        let mut timer = TokenTimer::new(started);
        loop {
            let event = tokio::select! {
                event = tokens.next() => event,
                Ok(()) = &mut lease.recalled => return Err(AttemptError::Recalled(sent)),
            };
            match event {
                Ok(Some(event)) if EventSplitter::is_done(&event) => {
                    // The caller's side may end as soon as it receives this event, so nothing may follow it.
                    return if self.send_to_caller(&delivery.out, event).await {
                        Ok(())
                    } else {
                        Err(AttemptError::Disconnected)
                    };
                }
                Ok(Some(event)) => {
                    timer.record_token();
                    timer.write_to(&mut lease);
                    delivery.record(&event);
                    if !self.send_to_caller(&delivery.out, event).await {
                        return Err(AttemptError::Disconnected);
                    }
                }
                Ok(None) => {
                    return Err(AttemptError::Broken(sent, "the answer ended without its final event".to_owned()))
                }
                Err(why) => {
                    lease.report.failed = true;
                    return Err(AttemptError::Broken(sent, why.to_string()));
                }
            }
        }
    }

    /// Sends an event to the caller. Returns false if the caller disconnected or stopped reading.
    async fn send_to_caller(&self, out: &mpsc::Sender<AnswerPart>, event: Bytes) -> bool {
        match out.try_send(Ok(event)) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
            Err(mpsc::error::TrySendError::Full(event)) => {
                matches!(tokio::time::timeout(self.limits.unread_timeout, out.send(event)).await, Ok(Ok(())))
            }
        }
    }
}

/// Returns the stage after a failed attempt, or the problem that ends the request.
fn next_stage(error: AttemptError, failures: u32) -> Result<Stage, Option<Problem>> {
    let exhausted = failures >= MAX_ATTEMPTS;
    match error {
        AttemptError::Disconnected => Err(None),
        AttemptError::Recalled(sent) => retry_stage(sent, "the request can't be resumed"),
        AttemptError::Unreached(sent) => {
            let stage = Stage::after_unreached(sent);
            if exhausted {
                let message = "no upstream could be reached";
                return Err(Some(Problem::after_send(Code::NoServer, message, stage.refuse()).with_retry_ms(1_000)));
            }
            Ok(stage)
        }
        AttemptError::Broken(sent, why) if exhausted => Err(Some(upstream_failed(&why, sent.finish(false)))),
        AttemptError::Broken(sent, why) => retry_stage(sent, &why),
        AttemptError::Refused(sent, status, body) => {
            if (500..600).contains(&status) && !exhausted {
                return match sent.retry() {
                    Ok(resend) => Ok(Stage::Resend(resend)),
                    Err(sent) => Err(Some(upstream_refused(status, body, sent.finish(false)))),
                };
            }
            Err(Some(upstream_refused(status, body, sent.finish(status < 500))))
        }
    }
}

fn retry_stage(sent: Sent, why: &str) -> Result<Stage, Option<Problem>> {
    sent.retry().map(Stage::Resend).map_err(|sent| Some(upstream_failed(why, sent.finish(false))))
}

fn upstream_failed(why: &str, ran: Ran) -> Problem {
    Problem::after_send(Code::UpstreamFailed, format!("the upstream failed: {why}"), ran)
}

fn upstream_refused(status: u16, body: Vec<u8>, ran: Ran) -> Problem {
    let problem =
        Problem::after_send(Code::UpstreamRefused, format!("the upstream answered with status {status}"), ran);
    Problem { upstream_answer: Some((status, body)), ..problem }
}

/// Extracts the tokens and text of delivered events.
fn delivered_text(events: &[Bytes]) -> Delivered {
    let mut delivered = Delivered::default();
    for event in events {
        let Ok(value) = serde_json::from_slice::<Value>(EventSplitter::data(event)) else { continue };
        let choice = &value["choices"][0];
        let text = choice["delta"]["content"].as_str().or_else(|| choice["text"].as_str()).unwrap_or_default();
        if !text.is_empty() {
            delivered.tokens += 1;
            delivered.text.push_str(text);
        }
    }
    delivered
}
