//! Refusals, failures and the final accounting of a request.

use crate::answer;
use crate::exchange::Exchange;
use crate::frontend::STOP_RETRY_DELAY;
use crate::not_sent::NotSent;
use crate::outcome::Outcome;
use crate::retry_delay::{Cause, Queue};
use crate::Body;
use dispatch::MAX_WAIT_RATIO;
use http::{Response, StatusCode};
use placement::{Ending, Fingerprint, Loss, Refusal};
use rand::Rng;
use std::fmt::{self, Display, Formatter, Write};
use std::time::Duration;
use telemetry::Event;

/// Metric labels of the urgencies.
const URGENCY_LABELS: [&str; 10] = ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

/// The fields that `RequestEnded` has for refused requests only.
struct RefusalFields<'a>(&'a Exchange);

impl Display for RefusalFields<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Some(cause) = self.0.refusal else { return Ok(()) };
        write!(f, " why={} urgency={} customer=", cause.as_str(), self.0.urgency())?;
        let Some(customer) = &self.0.customer else { return f.write_char('-') };
        // Names are free text. A quote would end the field and start others.
        f.write_char('"')?;
        customer.name.chars().try_for_each(|c| f.write_char(if c == '"' { '\'' } else { c }))?;
        f.write_char('"')
    }
}

impl Exchange {
    pub(crate) fn not_sent(&mut self, why: &NotSent) -> Response<Body> {
        if self.may_have_run {
            return self.fail_unknown("no other server");
        }
        let (cause, text) = match *why {
            NotSent::Refused(refusal) => (Cause::NotPlaced(refusal), self.describe(refusal)),
            NotSent::DeadlineExceeded => (Cause::Deadline, "its time is over"),
            NotSent::Early { retry_ms } => {
                let _ = write!(self.trail, "early, {retry_ms} ms");
                (Cause::Early { retry_ms }, "returned before the time stated")
            }
            NotSent::OriginUnknown => (Cause::OriginUnknown, "what began the stream is unknown"),
            NotSent::OriginGone => (Cause::OriginGone, "nobody serves the version that began the stream"),
            NotSent::Quarantined { retry_ms } => {
                self.trail.push_str("held");
                (Cause::Quarantined { retry_ms }, "servers ended under this request")
            }
        };
        self.refuse(cause, text)
    }

    /// Adds a refusal's figures to the trail, and returns its text for the caller.
    fn describe(&mut self, refusal: Refusal) -> &'static str {
        // Writing to a `String` can't fail.
        match refusal {
            Refusal::NoServer => {
                let doubted = self.shared.placement().doubted().len();
                if doubted > 0 {
                    let _ = write!(self.trail, " in doubt: {doubted}");
                }
                "no server"
            }
            Refusal::Cold => "all servers are cold",
            Refusal::Limited { retry_ms } => {
                let _ = write!(self.trail, "all have what they take, {retry_ms} ms");
                "all servers have as much as they take"
            }
            Refusal::BackingOff { retry_ms } => {
                let _ = write!(self.trail, "all rest, {retry_ms} ms");
                "all servers rest"
            }
            Refusal::Overloaded { wait_ms } => {
                let _ = write!(self.trail, " crowded, {wait_ms:.0} ms to a place");
                "all places are taken"
            }
            Refusal::Shed { retry_ms } => {
                let _ = write!(self.trail, "shed, {retry_ms} ms");
                "more urgent requests take the slots"
            }
            Refusal::CustomerShare { retry_ms } => {
                let _ = write!(self.trail, "customer share, {retry_ms} ms");
                "the customer has its share of the slots"
            }
        }
    }

    /// Refuses the request, with the delay after which its caller should retry.
    pub(crate) fn refuse(&mut self, cause: Cause, text: &'static str) -> Response<Body> {
        if self.may_have_run {
            telemetry::emit(Event::RefusalBroken, format_args!("id={} trail=\"{}\"", self.call.id, self.trail));
            return self.fail_unknown(text);
        }
        let delay = cause.may_pass().then(|| self.retry_delay(cause));
        self.refusal = Some(cause);
        self.finish(Outcome::Refused);
        answer::refused(text, delay)
    }

    /// Returns the delay after which the caller should retry. If all slots are taken, its return is recorded, so that an
    /// earlier one can be told, and callers that find no slot later return after it.
    fn retry_delay(&self, cause: Cause) -> Duration {
        let (now, left, draw) = (self.shared.now(), self.left(), rand::rng().random_range(0.0..1.0));
        let queue = Queue { waiting: 0, interval_ms: None, left, draw };
        let (urgency, request) = (self.urgency(), self.fingerprint());
        let at = |delay: Duration| now.saturating_add(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        match cause {
            Cause::NotPlaced(Refusal::Overloaded { .. }) => {
                if let Some(delay) = self.slot_retry {
                    // The dispatcher has spread the delays of the requests that it refuses.
                    return delay;
                }
                let mut returns = self.shared.returns();
                let (waiting, interval_ms) = returns.queue(&self.service, urgency, request, now);
                let delay = cause.delay(&Queue { waiting, interval_ms, ..queue });
                // A caller that is told more than it can wait gives up, or comes back as a newcomer: it has lost nothing to
                // wait for.
                let is_promise = delay.as_secs_f64() <= left.as_secs_f64() * MAX_WAIT_RATIO;
                let promised_to = if is_promise { request } else { Fingerprint(0) };
                returns.promise(&self.service, urgency, promised_to, at(delay));
                if is_promise {
                    self.report_promise(delay);
                }
                delay
            }
            _ => cause.delay(&queue),
        }
    }

    /// Tells the box that keeps promises when the caller was told to return. Dispatchers keep those of plain services.
    fn report_promise(&self, delay: Duration) {
        let request = self.promise_key();
        if request != 0 && self.call.prompt.is_some() {
            let left_ms = u32::try_from(delay.as_millis()).unwrap_or(u32::MAX);
            self.shared.peer_client.report_promise(request, left_ms);
        }
    }

    pub(crate) fn fail_unknown(&mut self, why: &'static str) -> Response<Body> {
        self.finish(Outcome::Unknown);
        answer::plain(StatusCode::BAD_GATEWAY, why)
    }

    pub(crate) fn on_deadline(&mut self) -> Response<Body> {
        let server = self.tried.last().filter(|_| !self.awaits_slot && !self.route.kind.is_stream());
        let server = server.filter(|server| !self.connections.is_lost_to(server));
        if let Some(server) = server {
            // A plain server that doesn't answer within the deadline is considered broken; an engine may only be busy.
            let now = self.shared.now();
            self.shared.placement().record_ending(&self.service, server, Ending::Broken, now);
        }
        if !self.may_have_run && !self.in_flight.get() {
            return self.refuse(Cause::Deadline, "no server could be reached in time");
        }
        self.finish(Outcome::DeadlineExceeded);
        answer::plain(StatusCode::GATEWAY_TIMEOUT, "its time is over")
    }

    /// Answers a request that is in progress when the box ends.
    pub(crate) fn on_stop(&mut self) -> Response<Body> {
        if self.may_have_run || self.in_flight.get() {
            self.finish(Outcome::Unknown);
            return answer::plain(StatusCode::GATEWAY_TIMEOUT, "the router is shutting down");
        }
        self.finish(Outcome::Refused);
        answer::refused("the router is shutting down", Some(STOP_RETRY_DELAY))
    }

    /// Returns what the request got nothing for, if that has to do with load.
    fn loss(&self, outcome: Outcome) -> Option<Loss> {
        if self.lacked_path || self.connections.is_lost() {
            // Whether slots are short can't be told by a box that has no path to them.
            return None;
        }
        match self.refusal {
            // Servers also turn requests away while they have free slots, which is a fault and no sign of load.
            Some(Cause::NotTaken) if !self.sent_to_busy => None,
            Some(cause) => cause.loss(),
            // A caller that leaves earlier has reasons of its own.
            None if outcome == Outcome::Disconnected => {
                let was_late = self.timing.first.is_none() && self.started.elapsed() > self.route.latency_target;
                was_late.then_some(Loss::NoSlot)
            }
            None => (outcome == Outcome::DeadlineExceeded).then_some(Loss::NoSlot),
        }
    }

    /// Returns the request's urgency as a metric label.
    fn urgency_label(&self) -> &'static str {
        URGENCY_LABELS[usize::from(self.urgency()).min(URGENCY_LABELS.len() - 1)]
    }

    /// Logs and counts the outcome of the request.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            telemetry::emit(
                Event::SecondOutcomeBroken,
                format_args!("id={} outcome={}", self.call.id, outcome.as_str()),
            );
            return;
        }
        let elapsed = self.started.elapsed();
        metrics::counter!("cleatshelf_requests_total", "outcome" => outcome.as_str(), "route" => self.route.name.clone())
            .increment(1);
        metrics::histogram!("cleatshelf_request_seconds", "route" => self.route.name.clone())
            .record(elapsed.as_secs_f64());
        if outcome == Outcome::Answered && !self.shared.quarantine().is_empty() {
            self.shared.record_survivals(self.traits());
        }
        if let Some(loss) = self.loss(outcome) {
            let now = self.shared.now();
            self.shared.placement().record_lost(&self.service, self.urgency(), loss, now);
            metrics::counter!(
                "cleatshelf_losses_total",
                "service" => self.service.clone(),
                "urgency" => self.urgency_label(),
                "loss" => loss.as_str()
            )
            .increment(1);
        }
        if let Some(cause) = self.refusal {
            metrics::counter!(
                "cleatshelf_refusals_total",
                "service" => self.service.clone(),
                "urgency" => self.urgency_label(),
                "why" => cause.as_str()
            )
            .increment(1);
        }
        let late = if outcome == Outcome::Answered { self.timing.late_reason(&self.route) } else { None };
        if let Some(why) = late {
            metrics::counter!("cleatshelf_streams_late_total", "why" => why, "route" => self.route.name.clone())
                .increment(1);
        }
        let plain = outcome == Outcome::Answered && self.sends <= 1;
        telemetry::emit(
            if plain { Event::RequestAnswered } else { Event::RequestEnded },
            format_args!(
                "id={} request={} outcome={} route={} ms={} choose_ms={} first={} pause={} sends={}{} trail=\"{}\"",
                self.call.id,
                self.fingerprint(),
                outcome.as_str(),
                self.route.name,
                elapsed.as_millis(),
                self.timing.choice_time().as_millis(),
                self.timing.first.map_or(0, |first| first.as_millis()),
                self.timing.pause.as_millis(),
                self.sends,
                RefusalFields(self),
                self.trail.trim_start()
            ),
        );
    }
}
