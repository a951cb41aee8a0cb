//! Forwards the events of a stream as they arrive, and resumes the stream at another server where the route allows it.

use crate::answer::strip_hop_by_hop;
use crate::attempt::Answer;
use crate::event_splitter::EventSplitter;
use crate::exchange::Exchange;
use crate::framing::{begins_with_chunk, Framing};
use crate::header_codec::Call;
use crate::outcome::Outcome;
use crate::slot_guard::SlotGuard;
use crate::{Body, TruncatedAnswer};
use bytes::Bytes;
use futures_util::stream;
use http::{header, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use placement::{Ending, Millis};
use routing::{Server, Version};
use std::fmt::Write;
use telemetry::Event;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Maximum number of chunks buffered for the caller. Small, so that a slow caller throttles the server.
const MAX_BUFFERED_PIECES: usize = 4;

type Piece = Result<Frame<Bytes>, TruncatedAnswer>;

/// A stream that is being forwarded to a caller.
pub(crate) struct StreamForwarder {
    exchange: Exchange,
    events: EventSplitter,
    caller: mpsc::Sender<Piece>,
    /// Arrival time of the last event; `None` before the first.
    last_event: Option<Instant>,
}

/// The reason why reading one server's stream ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The connection to the server was lost, or the stream is malformed.
    ConnectionLost(String),
    /// The caller disconnected.
    Disconnected,
    /// The deadline passed.
    DeadlineExceeded,
}

impl StreamForwarder {
    /// Starts forwarding a stream whose head has arrived. The head goes to the caller immediately.
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

    /// Forwards one server's stream. Returns the next answer if the stream is resumed at another server.
    async fn forward_from_server(&mut self, mut answer: Answer, mut slot: SlotGuard) -> Option<(Answer, SlotGuard)> {
        self.exchange.sends += 1;
        match self.forward_events(&mut answer, &mut slot).await {
            StreamEnd::Complete => {
                self.exchange.trail.push_str("=whole");
                answer.finish(&self.exchange.connections);
                slot.finish(Ending::Good);
                self.exchange.finish(Outcome::Answered);
                None
            }
            StreamEnd::Disconnected => {
                self.exchange.finish(Outcome::Disconnected);
                None
            }
            StreamEnd::DeadlineExceeded => {
                self.truncate(Outcome::DeadlineExceeded).await;
                None
            }
            StreamEnd::ConnectionLost(why) => {
                // Close the connection before another server resumes the stream, so that the first one stops working on
                // it.
                drop(answer);
                self.exchange.on_connection_lost(&slot);
                slot.finish(self.exchange.server_ending(Ending::Broken));
                self.resume_elsewhere(&why).await
            }
        }
    }

    async fn forward_events(&mut self, answer: &mut Answer, slot: &mut SlotGuard) -> StreamEnd {
        let mut may_be_chunk = answer.framing == Framing::Connection;
        loop {
            let frame = tokio::select! {
                frame = answer.body.frame() => frame,
                () = self.caller.closed() => return StreamEnd::Disconnected,
                () = tokio::time::sleep_until(self.exchange.deadline) => return StreamEnd::DeadlineExceeded,
            };
            let bytes = match frame {
                None if answer.framing == Framing::Connection && !slot.has_answered() => {
                    return StreamEnd::ConnectionLost("ended before its first event".to_owned());
                }
                None if self.events.is_complete() => return StreamEnd::Complete,
                None => return StreamEnd::ConnectionLost("ended within an event".to_owned()),
                Some(Err(why)) => return StreamEnd::ConnectionLost(why.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.exchange.connections.record_heard();
            if may_be_chunk && !bytes.is_empty() {
                may_be_chunk = false;
                if begins_with_chunk(&bytes) {
                    return StreamEnd::ConnectionLost("chunks without transfer-encoding".to_owned());
                }
            }
            let whole = self.events.feed(&bytes);
            if self.events.is_oversized() {
                return StreamEnd::ConnectionLost("an event without end".to_owned());
            }
            if !whole.is_empty() {
                self.on_first_event(slot, answer.opened());
                self.exchange.identify();
                self.exchange.record_part_survivals(slot);
                self.record_event_time(slot);
                if self.caller.send(Ok(Frame::data(whole))).await.is_err() {
                    return StreamEnd::Disconnected;
                }
            }
        }
    }

    /// Records when events arrive, so that the log shows whether a stream was late and why.
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

    /// Handles the first event of a server, which marks the end of prefill.
    fn on_first_event(&mut self, slot: &mut SlotGuard, opened: Millis) {
        if slot.on_prefill_done(opened) {
            let exchange = &mut self.exchange;
            let version = &slot.server.version;
            if let Some(prompt) = &exchange.call.prompt {
                exchange.shared.placement().record_cached(&exchange.service, &slot.server.id, prompt);
            }
            let ms = exchange.started.elapsed().as_millis();
            telemetry::emit(
                Event::StreamBegan,
                format_args!("id={} server={} version=\"{version}\" ms={ms}", exchange.call.id, slot.server.id),
            );
            // The first event of the exchange; of a stream that the caller takes up, the version is known before.
            if exchange.timing.first.is_none() {
                exchange.version = Some(version.clone());
                exchange.may_go_on = exchange.shared.placement().is_identified(&slot.server.id);
                if exchange.may_go_on {
                    exchange.record_origin();
                } else {
                    exchange.unidentified = Some(slot.server.id.clone());
                }
                log_taken_up(&exchange.call, &slot.server);
            }
        }
    }

    async fn resume_elsewhere(&mut self, why: &str) -> Option<(Answer, SlotGuard)> {
        let exchange = &mut self.exchange;
        exchange.may_have_run = true;
        exchange.identify();
        self.events.discard_partial();
        let last = self.events.last_id().or(exchange.call.last_event);
        let _ = write!(exchange.trail, "=broke after {last:?} ({why})");
        if exchange.may_go_on && exchange.route.kind.is_repeatable() && exchange.may_send_again() {
            let deadline = exchange.deadline;
            let resumed = tokio::select! {
                resumed = tokio::time::timeout_at(deadline, exchange.resume(last)) => resumed.ok().flatten(),
                () = self.caller.closed() => None,
            };
            if let Some(resumed) = resumed {
                self.log_resumed(&resumed.1.server, last);
                return Some(resumed);
            }
        }
        self.truncate(Outcome::Truncated).await;
        None
    }

    fn log_resumed(&self, server: &Server, last: Option<u64>) {
        let Exchange { call, version, .. } = &self.exchange;
        telemetry::emit(
            Event::StreamResumed,
            format_args!(
                "id={} server={} version=\"{}\" began=\"{}\" last={}",
                call.id,
                server.id,
                server.version,
                version.as_ref().map_or("-", Version::as_str),
                last.map_or(-1, |last| last as i64)
            ),
        );
    }

    /// Truncates the caller's answer in a way that can't be taken for a complete one.
    async fn truncate(&mut self, outcome: Outcome) {
        self.exchange.finish(outcome);
        // Fails only if the caller has already disconnected.
        let _ = self.caller.send(Err(TruncatedAnswer)).await;
    }
}

/// Logs the first event of a stream that the caller takes up again.
fn log_taken_up(call: &Call, server: &Server) {
    let Some(last) = call.last_event else { return };
    telemetry::emit(
        Event::StreamTakenUp,
        format_args!(
            "id={} resumes={} last={last} server={} version=\"{}\"",
            call.id,
            call.resumes.as_deref().unwrap_or("-"),
            server.id,
            server.version
        ),
    );
}
