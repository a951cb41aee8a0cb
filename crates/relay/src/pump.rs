//! Passes the events of a stream on as they come, and goes on at another server where that is allowed.

use crate::answer::strip_hop;
use crate::attempt::{Answer, Claim};
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
const AHEAD_MOST: usize = 4;

type Piece = Result<Frame<Bytes>, TruncatedAnswer>;

/// A stream on its way to the caller.
pub(crate) struct Pump {
    exchange: Exchange,
    events: EventSplitter,
    caller: mpsc::Sender<Piece>,
    /// When the last event came; none before the first.
    last_event: Option<Instant>,
}

/// How the reading of one server's stream ended.
enum Pause {
    /// It is whole.
    Whole,
    /// The server broke off.
    Broke(String),
    /// The caller left.
    Left,
    /// Its time is over.
    Late,
}

impl Pump {
    /// Starts passing on a stream whose head has come. The head goes to the caller at once.
    pub(crate) fn start(exchange: Exchange, answer: Answer, claim: Claim) -> Response<Body> {
        let (caller, mut pieces) = mpsc::channel::<Piece>(AHEAD_MOST);
        let mut headers = answer.parts.headers.clone();
        strip_hop(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        let mut response =
            Response::new(StreamBody::new(stream::poll_fn(move |context| pieces.poll_recv(context))).boxed_unsync());
        *response.status_mut() = answer.parts.status;
        *response.headers_mut() = headers;
        let pump = Self { exchange, events: EventSplitter::default(), caller, last_event: None };
        tokio::task::spawn_local(pump.run(answer, claim));
        response
    }

    async fn run(mut self, answer: Answer, claim: Claim) {
        self.exchange.shared.running.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let mut next = Some((answer, claim));
        while let Some((answer, claim)) = next.take() {
            next = self.read_on(answer, claim).await;
        }
        self.exchange.shared.running.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }

    /// Passes on one server's stream. Another answer, if one goes on with it.
    async fn read_on(&mut self, mut answer: Answer, mut claim: Claim) -> Option<(Answer, Claim)> {
        self.exchange.sends += 1;
        match self.pass(&mut answer, &mut claim).await {
            Pause::Whole => {
                answer.finish(&self.exchange.connections);
                claim.ended(Ending::Good);
                self.exchange.conclude(Outcome::Answered);
                None
            }
            Pause::Left => {
                self.exchange.conclude(Outcome::Left);
                None
            }
            Pause::Late => {
                self.break_off(Outcome::Late).await;
                None
            }
            Pause::Broke(why) => {
                // The connection is closed before another server goes on: the first then stops its work.
                drop(answer);
                self.exchange.broke(&claim);
                claim.ended(Ending::Broken);
                self.go_on(&why).await
            }
        }
    }

    async fn pass(&mut self, answer: &mut Answer, claim: &mut Claim) -> Pause {
        loop {
            let frame = tokio::select! {
                frame = answer.body.frame() => frame,
                () = self.caller.closed() => return Pause::Left,
                () = tokio::time::sleep_until(self.exchange.deadline) => return Pause::Late,
            };
            let bytes = match frame {
                None if self.events.is_complete() => return Pause::Whole,
                None => return Pause::Broke("ended within an event".to_owned()),
                Some(Err(why)) => return Pause::Broke(why.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let whole = self.events.feed(&bytes);
            if self.events.is_oversized() {
                return Pause::Broke("an event without end".to_owned());
            }
            if !whole.is_empty() {
                self.began(claim);
                self.time_event(claim);
                if self.caller.send(Ok(Frame::data(whole))).await.is_err() {
                    return Pause::Left;
                }
            }
        }
    }

    /// Notes when events come, so that the log tells whether a stream was late and by what.
    fn time_event(&mut self, claim: &mut Claim) {
        let now = Instant::now();
        let timing = &mut self.exchange.timing;
        match self.last_event.replace(now) {
            None => timing.first = Some(now.duration_since(self.exchange.began)),
            Some(last) => {
                let pause = now.duration_since(last);
                timing.pause = timing.pause.max(pause);
                claim.paused(pause);
            }
        }
    }

    /// Notes the first event from a server: its prompt has been read.
    fn began(&self, claim: &mut Claim) {
        if claim.read() {
            let exchange = &self.exchange;
            if let Some(prompt) = &exchange.call.prompt {
                exchange.shared.placement().record_cached(&exchange.service, &claim.server.id, prompt);
            }
            let ms = exchange.began.elapsed().as_millis();
            telemetry::emit(
                Event::StreamBegan,
                format_args!("id={} server={} ms={ms}", exchange.call.id, claim.server.id),
            );
        }
    }

    async fn go_on(&mut self, why: &str) -> Option<(Answer, Claim)> {
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
        self.break_off(Outcome::Cut).await;
        None
    }

    /// Ends the caller's answer so that it can't look whole.
    async fn break_off(&mut self, outcome: Outcome) {
        self.exchange.conclude(outcome);
        // An error means that the caller has left, which is as good.
        let _ = self.caller.send(Err(TruncatedAnswer)).await;
    }
}
