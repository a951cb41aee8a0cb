//! Drives one model request from its first wish for a slot to its last token.

use crate::caller::Caller;
use crate::journal::Journal;
use crate::pace::Pace;
use crate::stage::Stage;
use crate::visit::{Claim, Lease, Visit};
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

/// Tries of one request, the first included.
const TRIES_MOST: u32 = 4;

/// A request recalled this often is no longer asked to step back.
const RECALLS_MOST: u32 = 3;

/// What the caller's side gets: whole events, or the one problem that ends it.
pub type Part = Result<Bytes, Problem>;

/// One model request.
pub struct Drive {
    /// The control thread.
    pub control: Arc<dyn ControlHandle>,
    /// The way to engines.
    pub engine: std::rc::Rc<dyn Engine>,
    /// Bounds.
    pub limits: Arc<Limits>,
    /// Who calls.
    pub caller: Caller,
    /// What is asked.
    pub call: Call,
    /// The model.
    pub model: String,
    /// Tokens expected.
    pub tokens: u32,
    /// Hash of the prompt's beginning.
    pub prefix: u32,
    /// Every engine of the model can resume.
    pub resumable: bool,
    /// When the call came in.
    pub arrived: Time,
}

/// Why a try ended without the whole answer.
enum Stop {
    /// The caller is gone.
    Gone,
    /// The owner wants the slot back.
    Recalled(Sent),
    /// No byte of this try reached the engine.
    Unreached(Sent),
    /// The engine failed or broke off.
    Broken(Sent, String),
    /// The engine said no.
    Refused(Sent, u16, Vec<u8>),
}

/// What is passed on so far.
struct Passing {
    out: mpsc::Sender<Part>,
    /// EventSplitter passed on, kept while the answer may have to be resumed.
    events: Vec<Bytes>,
    keep: bool,
    journal: Journal,
    visit: Visit,
}

impl Passing {
    fn note(&mut self, event: &Bytes) {
        self.journal.token();
        self.visit.tokens += 1;
        if self.keep {
            self.events.push(event.clone());
        }
    }
}

impl Drive {
    /// Runs the request to its end; everything the caller gets goes to `out`.
    pub async fn run(mut self, out: mpsc::Sender<Part>) {
        let journal = Journal::open(&self.caller.class.name, &self.caller.label);
        let gone = out.clone();
        let whole = tokio::select! {
            ended = self.attempt(out.clone(), journal) => ended,
            () = gone.closed() => return,
        };
        let Err((problem, journal)) = whole else { return };
        journal.close(problem.outcome());
        metrics::counter!("cleatshelf_problems_total", "code" => problem.code.as_str()).increment(1);
        if problem.ran == Ran::Unknown && problem.code != Code::KeyUsed {
            let detail = format_args!("class={} code={}", self.caller.class.name, problem.code.as_str());
            telemetry::emit(Event::OutcomeUnknown, detail);
        }
        // The caller may be gone; then nobody needs to be told.
        let _ = out.send(Err(problem)).await;
    }

    async fn attempt(&mut self, out: mpsc::Sender<Part>, journal: Journal) -> Result<(), (Problem, Journal)> {
        let unsent = Unsent::new(self.caller.repeatable);
        let mut claim = match self.claim().await {
            Ok(claim) => claim,
            Err(problem) => return Err((problem, journal)),
        };
        let visit = match Visit::enter(&self.control, self.caller.customer).await {
            Ok(visit) => visit,
            Err(refusal) => return Err((Problem::refused(refusal, unsent.refuse()), journal)),
        };
        let keep = self.caller.repeatable;
        let mut passing = Passing { out, events: Vec::new(), keep, journal, visit };
        let ended = self.tries(Stage::Unsent(unsent), &mut passing, &mut claim).await;
        match ended {
            Ok(()) => {
                passing.journal.close(Outcome::Whole);
                Ok(())
            }
            Err(Some(problem)) => Err((problem, passing.journal)),
            // The caller is gone; the journal counts that when it is dropped.
            Err(None) => Ok(()),
        }
    }

    async fn claim(&self) -> Result<Option<Claim>, Problem> {
        match self.caller.key.filter(|_| !self.caller.repeatable) {
            Some(key) => Claim::make(&self.control, key.hash, key.age_ms).await.map(Some),
            None => Ok(None),
        }
    }

    /// Tries until the answer is whole. `Err(None)` says that the caller is gone.
    async fn tries(
        &mut self,
        mut stage: Stage,
        passing: &mut Passing,
        claim: &mut Option<Claim>,
    ) -> Result<(), Option<Problem>> {
        let mut cause = Cause::First;
        let mut avoid = None;
        let (mut failures, mut recalls) = (0, 0);
        let mut may_have_run = false;
        loop {
            let acquire = self.wish(cause, avoid, recalls);
            let (lease, permit) = match Lease::acquire(&self.control, acquire).await {
                Ok(granted) => granted,
                Err(refusal) => return Err(Some(Problem::refused(refusal, stage.refuse()))),
            };
            let server = ServerId::of(&lease.server.name);
            let sent = match stage.send(permit, self.control.now()) {
                Ok(sent) => sent,
                Err(same) => {
                    // We woke late: the slot may be somebody else's by now.
                    (stage, cause) = (same, Cause::Recall);
                    continue;
                }
            };
            if let Some(claim) = claim {
                claim.ran = true;
            }
            let sent = self.check_first_send(sent, may_have_run)?;
            let stop = match self.one_try(lease, sent, passing).await {
                Ok(()) => return Ok(()),
                Err(stop) => stop,
            };
            let was_recalled = matches!(stop, Stop::Recalled(_));
            let unreached = matches!(stop, Stop::Unreached(_));
            may_have_run |= !unreached;
            if let Some(claim) = claim.as_mut().filter(|_| unreached) {
                claim.ran = false;
            }
            failures += u32::from(!was_recalled);
            recalls += u32::from(was_recalled);
            stage = next_stage(stop, failures)?;
            cause = if was_recalled { Cause::Recall } else { Cause::Failure };
            avoid = (!was_recalled).then_some(server);
            self.take_up(passing)?;
        }
    }

    /// The invariant at each send: what isn't repeatable has reached no upstream before.
    ///
    /// The types make the opposite impossible; this says so, should they ever be changed.
    fn check_first_send(&self, sent: Sent, may_have_run: bool) -> Result<Sent, Option<Problem>> {
        if self.caller.repeatable || !may_have_run {
            return Ok(sent);
        }
        telemetry::emit(Event::SecondSendBroken, format_args!("class={}", self.caller.class.name));
        Err(Some(failed("it was about to be sent twice", Ran::Unknown)))
    }

    fn wish(&self, cause: Cause, avoid: Option<ServerId>, recalls: u32) -> Acquire {
        Acquire {
            serves: self.model.clone(),
            class: self.caller.class_id(),
            customer: self.caller.customer,
            tokens: self.tokens.saturating_sub(self.call.delivered.tokens).max(1),
            prefix: self.prefix,
            resumable: self.caller.repeatable && self.resumable && recalls < RECALLS_MOST,
            // After a recall the wait begins anew: the class's target was met or missed before.
            arrived: if self.call.delivered.tokens == 0 { self.arrived } else { self.control.now() },
            cause,
            avoid,
        }
    }

    /// Notes what the caller already has, so that the next engine goes on from there.
    fn take_up(&mut self, passing: &Passing) -> Result<(), Option<Problem>> {
        if passing.events.is_empty() {
            return Ok(());
        }
        if !self.resumable {
            let message = "the engine broke off and no engine can resume the answer";
            return Err(Some(Problem::after_send(Code::UpstreamFailed, message, Ran::Yes)));
        }
        self.call.delivered = passed(&passing.events);
        let detail = format_args!("class={} tokens={}", self.caller.class.name, self.call.delivered.tokens);
        telemetry::emit(Event::StreamResumed, detail);
        Ok(())
    }

    async fn one_try(&mut self, mut lease: Lease, sent: Sent, passing: &mut Passing) -> Result<(), Stop> {
        lease.mark_used();
        let began = Instant::now();
        let tokens = tokio::select! {
            started = self.engine.start(lease.server.address, &self.call) => started,
            Ok(()) = &mut lease.recalled => return Err(Stop::Recalled(sent)),
        };
        match tokens {
            Ok(tokens) => self.pass_on(tokens, lease, sent, passing, began).await,
            Err(Failure::Unreached(_)) => {
                lease.report.failed = true;
                Err(Stop::Unreached(sent))
            }
            Err(Failure::Refused { status, body }) => {
                // A caller's mistake says nothing about the engine.
                lease.report.failed = status >= 500;
                Err(Stop::Refused(sent, status, body))
            }
            Err(Failure::Broken(why)) => {
                lease.report.failed = true;
                Err(Stop::Broken(sent, why))
            }
        }
    }

    async fn pass_on(
        &self,
        mut tokens: Box<dyn TokenStream>,
        mut lease: Lease,
        sent: Sent,
        passing: &mut Passing,
        began: Instant,
    ) -> Result<(), Stop> {
        let mut pace = Pace::new(began);
        loop {
            let event = tokio::select! {
                event = tokens.next() => event,
                Ok(()) = &mut lease.recalled => return Err(Stop::Recalled(sent)),
            };
            match event {
                Ok(Some(event)) if EventSplitter::is_done(&event) => {
                    // With this the caller's side may end at once; nothing must wait after it.
                    return if self.hand_over(&passing.out, event).await { Ok(()) } else { Err(Stop::Gone) };
                }
                Ok(Some(event)) => {
                    pace.token();
                    pace.write(&mut lease);
                    passing.note(&event);
                    if !self.hand_over(&passing.out, event).await {
                        return Err(Stop::Gone);
                    }
                }
                Ok(None) => return Err(Stop::Broken(sent, "the answer had no end".to_owned())),
                Err(why) => {
                    lease.report.failed = true;
                    return Err(Stop::Broken(sent, why.to_string()));
                }
            }
        }
    }

    /// False when the caller is gone or leaves its answer unread.
    async fn hand_over(&self, out: &mpsc::Sender<Part>, event: Bytes) -> bool {
        match out.try_send(Ok(event)) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
            Err(mpsc::error::TrySendError::Full(event)) => {
                matches!(tokio::time::timeout(self.limits.unread_timeout, out.send(event)).await, Ok(Ok(())))
            }
        }
    }
}

/// What follows from a try that ended early: another stage, or the end with what is true of it.
fn next_stage(stop: Stop, failures: u32) -> Result<Stage, Option<Problem>> {
    let spent = failures >= TRIES_MOST;
    match stop {
        Stop::Gone => Err(None),
        Stop::Recalled(sent) => again(sent, "the request can't be resumed"),
        Stop::Unreached(sent) => {
            let stage = Stage::unreached(sent);
            if spent {
                let message = "no upstream could be reached";
                return Err(Some(Problem::after_send(Code::NoServer, message, stage.refuse()).with_retry_ms(1_000)));
            }
            Ok(stage)
        }
        Stop::Broken(sent, why) if spent => Err(Some(failed(&why, sent.finish(false)))),
        Stop::Broken(sent, why) => again(sent, &why),
        Stop::Refused(sent, status, body) => {
            if (500..600).contains(&status) && !spent {
                return match sent.retry() {
                    Ok(resend) => Ok(Stage::Resend(resend)),
                    Err(sent) => Err(Some(passed_on(status, body, sent.finish(false)))),
                };
            }
            Err(Some(passed_on(status, body, sent.finish(status < 500))))
        }
    }
}

fn again(sent: Sent, why: &str) -> Result<Stage, Option<Problem>> {
    sent.retry().map(Stage::Resend).map_err(|sent| Some(failed(why, sent.finish(false))))
}

fn failed(why: &str, ran: Ran) -> Problem {
    Problem::after_send(Code::UpstreamFailed, format!("the upstream failed: {why}"), ran)
}

fn passed_on(status: u16, body: Vec<u8>, ran: Ran) -> Problem {
    let problem = Problem::after_send(Code::UpstreamRefused, format!("the upstream answered {status}"), ran);
    Problem { upstream_answer: Some((status, body)), ..problem }
}

/// The tokens and the text of events.
fn passed(events: &[Bytes]) -> Delivered {
    let mut passed = Delivered::default();
    for event in events {
        let Ok(value) = serde_json::from_slice::<Value>(EventSplitter::data(event)) else { continue };
        let choice = &value["choices"][0];
        let text = choice["delta"]["content"].as_str().or_else(|| choice["text"].as_str()).unwrap_or_default();
        if !text.is_empty() {
            passed.tokens += 1;
            passed.text.push_str(text);
        }
    }
    passed
}
