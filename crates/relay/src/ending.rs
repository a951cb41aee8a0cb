//! Refusals, failures and the final accounting of a request.

use crate::answer;
use crate::choose::NotSent;
use crate::exchange::Exchange;
use crate::outcome::Outcome;
use crate::Body;
use http::{Response, StatusCode};
use placement::{Ending, Refusal};
use rand::Rng;
use std::fmt::Write;
use std::time::Duration;
use telemetry::Event;

/// Default retry delay of a refusal. Within this time other servers take over from a crashed one.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Lower bound of the retry delay when all slots are taken: the duration of an answer that takes seconds, so that some
/// have finished by then. The delay is randomized up to twice its length, so that refused callers don't return
/// together.
const MIN_CROWDED_DELAY: Duration = Duration::from_secs(1);

/// Lower bound of the retry delay when all servers are cold. Within this time some servers warm up or their owners
/// grant permits.
const MIN_COLD_DELAY: Duration = Duration::from_millis(600);

/// Lower bound of the retry delay when all servers report rate limits. The next window goes to the first callers to
/// return, so the delays are spread over about a second.
const MIN_LIMITED_DELAY: Duration = Duration::from_millis(600);

/// Upper bound of the random factor by which callers' delays exceed the servers' back-off, so that they don't return at
/// the same instant.
const BACKOFF_SPREAD_FACTOR: f64 = 1.2;

impl Exchange {
    pub(crate) fn not_sent(&mut self, why: &NotSent) -> Response<Body> {
        if self.may_have_run {
            return self.fail_unknown("no other server");
        }
        match *why {
            NotSent::Refused(Refusal::NoServer) => self.refuse("no server"),
            NotSent::Refused(Refusal::Cold) => {
                let after = MIN_COLD_DELAY.mul_f64(rand::rng().random_range(1.0..2.0));
                self.refuse_with_delay("all servers are cold", after)
            }
            NotSent::Refused(Refusal::Limited { retry_ms }) => {
                let _ = write!(self.trail, "all have what they take, {retry_ms} ms");
                let wait = Duration::from_millis(retry_ms).max(MIN_LIMITED_DELAY);
                self.refuse_with_delay(
                    "all servers have as much as they take",
                    wait.mul_f64(rand::rng().random_range(1.0..2.0)),
                )
            }
            NotSent::Refused(Refusal::BackingOff { retry_ms }) => {
                let _ = write!(self.trail, "all rest, {retry_ms} ms");
                let wait = Duration::from_millis(retry_ms).max(RETRY_DELAY);
                self.refuse_with_delay(
                    "all servers rest",
                    wait.mul_f64(rand::rng().random_range(1.0..BACKOFF_SPREAD_FACTOR)),
                )
            }
            NotSent::DeadlineExceeded => self.refuse("its time is over"),
            NotSent::Quarantined { retry_ms } => {
                self.trail.push_str("held");
                self.refuse_with_delay("servers ended under this request", Duration::from_millis(retry_ms))
            }
            NotSent::Refused(Refusal::Overloaded { wait_ms }) => {
                let _ = write!(self.trail, " crowded, {wait_ms:.0} ms to a place");
                if let Some(after) = self.slot_retry {
                    // The dispatcher has spread the delays of the requests that it refuses.
                    return self.refuse_with_delay("all places are taken", after);
                }
                let wait = Duration::from_secs_f64(wait_ms / 1e3) + MIN_CROWDED_DELAY;
                self.refuse_with_delay("all places are taken", wait.mul_f64(rand::rng().random_range(1.0..2.0)))
            }
        }
    }

    pub(crate) fn refuse(&mut self, why: &'static str) -> Response<Body> {
        self.refuse_with_delay(why, RETRY_DELAY)
    }

    /// Refuses the request with a retry delay.
    pub(crate) fn refuse_with_delay(&mut self, why: &'static str, after: Duration) -> Response<Body> {
        if self.may_have_run {
            telemetry::emit(Event::RefusalBroken, format_args!("id={} trail=\"{}\"", self.call.id, self.trail));
            return self.fail_unknown(why);
        }
        self.finish(Outcome::Refused);
        answer::refused(why, after)
    }

    pub(crate) fn fail_unknown(&mut self, why: &'static str) -> Response<Body> {
        self.finish(Outcome::Unknown);
        answer::plain(StatusCode::BAD_GATEWAY, why)
    }

    pub(crate) fn on_deadline(&mut self) -> Response<Body> {
        let server = self.tried.last().filter(|_| !self.awaits_slot && !self.route.kind.is_stream());
        if let Some(server) = server {
            // A plain server that doesn't answer within the deadline is considered broken; an engine may only be busy.
            let now = self.shared.now();
            self.shared.placement().record_ending(&self.service, server, Ending::Broken, now);
        }
        if !self.may_have_run && !self.in_flight.get() {
            return self.refuse("no server could be reached in time");
        }
        self.finish(Outcome::DeadlineExceeded);
        answer::plain(StatusCode::GATEWAY_TIMEOUT, "its time is over")
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
            self.shared.record_survival(self.fingerprint());
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
                "id={} request={} outcome={} route={} ms={} first={} pause={} sends={} trail=\"{}\"",
                self.call.id,
                self.fingerprint(),
                outcome.as_str(),
                self.route.name,
                elapsed.as_millis(),
                self.timing.first.map_or(0, |first| first.as_millis()),
                self.timing.pause.as_millis(),
                self.sends,
                self.trail.trim_start()
            ),
        );
    }
}
