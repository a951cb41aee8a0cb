//! Streams that callers take up again after an earlier attempt broke off.

use crate::exchange::Exchange;
use crate::not_sent::NotSent;
use origins::{Answer, Origin, Stream};
use std::fmt::Write;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time limit for the answers of the boxes that keep the record of a stream. They are a few milliseconds away.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

impl Exchange {
    /// True if the caller takes up a stream again.
    pub(crate) fn takes_up(&self) -> bool {
        self.call.last_event.is_some() && self.route.kind.is_stream()
    }

    /// Binds the exchange to the service and the version that began the stream which the caller takes up again. Without
    /// them the stream must not go on: servers don't check whether what they write fits to what the caller has.
    pub(crate) async fn bind_to_origin(&mut self) -> Result<(), NotSent> {
        let origin = self.find_origin().await;
        let outcome = match &origin {
            None => "unknown",
            Some(origin) if self.serves(origin) => "bound",
            Some(_) => "gone",
        };
        metrics::counter!("cleatshelf_streams_taken_up_total", "outcome" => outcome).increment(1);
        let Some(origin) = origin else { return Err(NotSent::OriginUnknown) };
        // Writing to a `String` can't fail.
        let _ = write!(self.trail, " takes up {} of {}", origin.service, origin.version);
        if !self.serves(&origin) {
            return Err(NotSent::OriginGone);
        }
        self.service = origin.service;
        self.version = Some(origin.version);
        Ok(())
    }

    /// Returns what began the stream that the caller takes up, if it is known here or at the boxes that keep its record.
    async fn find_origin(&self) -> Option<Origin> {
        let (stream, route) = (self.stream(), self.route.name.as_str());
        let own = self.shared.origins().answer(stream, route, self.shared.now());
        if own.recorded.is_some() {
            return own.recorded;
        }
        let asked = self.shared.peer_client.request_origin(stream, route);
        let count = asked.len();
        let others = receive(asked).await;
        self.shared.origins().find(route, &own, &others, count, self.shared.now())
    }

    /// True if the route still leads to the service of this origin, and a server there runs its version.
    fn serves(&self, origin: &Origin) -> bool {
        self.route.shares.iter().any(|share| share.service == origin.service)
            && self.shared.placement().has_version(&origin.service, &origin.version)
    }

    /// Returns the stream of this exchange: the one that the caller takes up, or that this request begins. `None` if the
    /// caller doesn't name the stream that it takes up.
    fn stream(&self) -> Option<Stream> {
        let first = if self.takes_up() { self.call.resumes.as_deref()? } else { &self.call.id };
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        Some(Stream::of(self.shared.secret, customer, first))
    }

    /// Lets the stream go on if the instance that began it was in doubt and turns out to live on.
    pub(crate) fn identify(&mut self) {
        let Some(instance) = &self.unidentified else { return };
        if self.shared.placement().is_proved(instance) {
            self.unidentified = None;
            self.may_go_on = true;
            self.record_origin();
        }
    }

    /// Records what began the stream, for callers that take it up again. They come back within their own time limit or
    /// that of the route.
    pub(crate) fn record_origin(&self) {
        let (Some(stream), Some(version)) = (self.stream(), self.version.clone()) else { return };
        let now = self.shared.now();
        let time = self.call.timeout.map_or(self.route.timeout, |time| time.max(self.route.timeout));
        let expires = now.saturating_add(u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
        let origin = Origin { service: self.service.clone(), version };
        self.shared.origins().begin(stream, &self.route.name, &origin, expires, now);
    }
}

/// Waits for answers until one has the record, all have come, or the time is over.
async fn receive(asked: Vec<oneshot::Receiver<Answer>>) -> Vec<Answer> {
    let until = Instant::now() + ANSWER_TIMEOUT;
    let mut answers = Vec::new();
    for answer in asked {
        // An error means that the box is out of reach.
        if let Ok(Ok(answer)) = tokio::time::timeout_at(until, answer).await {
            let is_recorded = answer.recorded.is_some();
            answers.push(answer);
            if is_recorded {
                break;
            }
        }
    }
    answers
}
