//! Passes the events of a stream on as they come, and goes on at another server where that is allowed.

use crate::answer::strip_hop_by_hop;
use crate::attempt::{Answer, SlotGuard};
use crate::event_splitter::EventSplitter;
use crate::exchange::Exchange;
use crate::outcome::Outcome;
use crate::{Body, TruncatedAnswer};
use bytes::Bytes;
use futures_util::stream;
use http::{header, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use placement::Ending;
use std::fmt::Write;
use telemetry::Event;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Most pieces of a stream that wait for the caller. Few, so that a slow caller slows its server.
const MAX_BUFFERED_PIECES: usize = 4;

type Piece = Result<Frame<Bytes>, TruncatedAnswer>;

/// A stream on its way to the caller.
pub(crate) struct StreamForwarder {
    exchange: Exchange,
    events: EventSplitter,
    caller: mpsc::Sender<Piece>,
    /// When the last event came; none before the first.
    last_event: Option<Instant>,
}

/// How the reading of one server's stream ended.
enum StreamEnd {
    /// It is whole.
    Complete,
    /// The server broke off.
    ConnectionLost(String),
    /// The caller left.
    CallerLeft,
    /// Its time is over.
    DeadlinePassed,
}

impl StreamForwarder {
    /// Starts passing on a stream whose head has come. The head goes to the caller at once.
    pub(crate) fn start(exchange: Exchange, answer: Answer, slot: SlotGuard) -> Response<Body> {
        let (caller, mut pieces) = mpsc::channel::<Piece>(MAX_BUFFERED_PIECES);
        let mut headers = answer.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let mut response =
            Response::new(StreamBody::new(stream::poll_fn(move |context| pieces.poll_recv(context))).boxed_unsync());
        *response.status_mut() = answer.parts.status;
        *response.headers_mut() = headers;
        let forwarder = Self { exchange, events: EventSplitter::default(), caller, last_event: None };
        tokio::task::spawn_local(forwarder.run(answer, slot));
        response
    }

    async fn run(mut self, answer: Answer, slot: SlotGuard) {
        self.exchange.shared.running.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let mut next = Some((answer, slot));
        while let Some((answer, slot)) = next.take() {
            next = self.forward_from_server(answer, slot).await;
        }
        self.exchange.shared.running.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }

    /// Passes on one server's stream. Another answer, if one goes on with it.
    async fn forward_from_server(&mut self, mut answer: Answer, mut slot: SlotGuard) -> Option<(Answer, SlotGuard)> {
        self.exchange.sends += 1;
        match self.forward_events(&mut answer, &mut slot).await {
            StreamEnd::Complete => {
                answer.finish(&self.exchange.connections);
                slot.finish(Ending::Good);
                self.exchange.finish(Outcome::Answered);
                None
            }
            StreamEnd::CallerLeft => {
                self.exchange.finish(Outcome::Left);
                None
            }
            StreamEnd::DeadlinePassed => {
                self.truncate(Outcome::Late).await;
                None
            }
            StreamEnd::ConnectionLost(why) => {
                // The connection is closed before another server goes on: the first then stops its work.
                drop(answer);
                self.exchange.on_connection_lost(&slot);
                slot.finish(Ending::Broken);
                self.resume_elsewhere(&why).await
            }
        }
    }

    async fn forward_events(&mut self, answer: &mut Answer, slot: &mut SlotGuard) -> StreamEnd {
        loop {
            let frame = tokio::select! {
                frame = answer.body.frame() => frame,
                () = self.caller.closed() => return StreamEnd::CallerLeft,
                () = tokio::time::sleep_until(self.exchange.deadline) => return StreamEnd::DeadlinePassed,
            };
            let bytes = match frame {
                None if self.events.is_complete() => return StreamEnd::Complete,
                None => return StreamEnd::ConnectionLost("ended within an event".to_owned()),
                Some(Err(why)) => return StreamEnd::ConnectionLost(why.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let whole = self.events.feed(&bytes);
            if self.events.is_oversized() {
                return StreamEnd::ConnectionLost("an event without end".to_owned());
            }
            if !whole.is_empty() {
                self.on_first_event(slot);
                self.record_event_time(slot);
                if self.caller.send(Ok(Frame::data(whole))).await.is_err() {
                    return StreamEnd::CallerLeft;
                }
            }
        }
    }

    /// Notes when events come, so that the log tells whether a stream was late and by what.
    fn record_event_time(&mut self, slot: &mut SlotGuard) {
        let now = Instant::now();
        let timing = &mut self.exchange.timing;
        match self.last_event.replace(now) {
            None => timing.first = Some(now.duration_since(self.exchange.started)),
            Some(last) => {
                let pause = now.duration_since(last);
                timing.pause = timing.pause.max(pause);
                slot.record_pause(pause);
            }
        }
    }

    /// Notes the first event from a server: its prompt has been read.
    fn on_first_event(&self, slot: &mut SlotGuard) {
        if slot.on_prefill_done() {
            let exchange = &self.exchange;
            if let Some(prompt) = &exchange.call.prompt {
                exchange.shared.placement().record_cached(&exchange.service, &slot.server.id, prompt);
            }
            let ms = exchange.started.elapsed().as_millis();
            telemetry::emit(
                Event::StreamBegan,
                format_args!("id={} server={} ms={ms}", exchange.call.id, slot.server.id),
            );
        }
    }

    async fn resume_elsewhere(&mut self, why: &str) -> Option<(Answer, SlotGuard)> {
        let exchange = &mut self.exchange;
        exchange.may_have_run = true;
        self.events.discard_partial();
        let last = self.events.last_id().or(exchange.call.last_event);
        let _ = write!(exchange.trail, "=broke after {last:?} ({why})");
        if exchange.route.kind.is_repeatable() && exchange.may_send_again() {
            let deadline = exchange.deadline;
            let resumed = tokio::select! {
                resumed = tokio::time::timeout_at(deadline, exchange.resume(last)) => resumed.ok().flatten(),
                () = self.caller.closed() => None,
            };
            if let Some(resumed) = resumed {
                telemetry::emit(Event::StreamResumed, format_args!("id={}", self.exchange.call.id));
                return Some(resumed);
            }
        }
        self.truncate(Outcome::Cut).await;
        None
    }

    /// Ends the caller's answer so that it can't look whole.
    async fn truncate(&mut self, outcome: Outcome) {
        self.exchange.finish(outcome);
        // An error means that the caller has left, which is as good.
        let _ = self.caller.send(Err(TruncatedAnswer)).await;
    }
}
