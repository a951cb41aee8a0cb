//! One send of a request to one server.

use crate::connections::{Connection, Connections};
use crate::header_codec::{Dispatch, Verdict};
use crate::shared::Shared;
use bytes::Bytes;
use http::{header, request, response, HeaderMap, HeaderValue, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use placement::{Choice, Ending, Millis, Prompt, SendReport, SendUpdate, Work};
use routing::Server;
use std::cell::Cell;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Largest answer that isn't a stream, in bytes: held whole, so that a broken one is never passed on.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// How often a send may meet a connection that ended while unused, before it counts as unreached.
const MAX_STALE_CONNECTIONS: usize = 3;

/// What became of a send.
pub(crate) enum SendOutcome {
    /// Nothing left this box.
    Unreached(String),
    /// The server says that it did not run the request.
    NotRun(String),
    /// Nothing left this box: by the time of a connection it was no longer allowed, for this reason.
    Withdrawn(&'static str),
    /// Sent, and no usable answer: it may have run.
    Broken(String),
    /// The head of the answer.
    Answer(Box<Answer>),
}

/// An answer whose body is still to come.
pub(crate) struct Answer {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    connection: Connection,
    instance: String,
}

/// A request's place in the records of a server; given back when it is dropped.
pub(crate) struct SlotGuard {
    shared: Arc<Shared>,
    service: String,
    pub(crate) server: Arc<Server>,
    /// When it was made.
    pub(crate) sent: Millis,
    work: Work,
    prefill_done: bool,
    /// True once a pause has made the answer late.
    late: bool,
    /// Longest pause between two events, in milliseconds.
    pause_ms: u32,
    ending: Ending,
    /// Whose owners are told once the prompt has been read, and of which part.
    cache_directories: Vec<(Arc<Server>, u64)>,
    /// Names the request to the server's owner; none for requests that are no prompts.
    lease: Option<u64>,
}

impl SlotGuard {
    /// Notes that a request is being sent to a server.
    pub(crate) fn new(shared: &Arc<Shared>, service: &str, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        let work = choice.work;
        shared.placement().record_sent(service, &choice.server.id, work);
        let slot = Self {
            shared: Arc::clone(shared),
            service: service.to_owned(),
            server: Arc::clone(&choice.server),
            sent: shared.now(),
            work,
            prefill_done: false,
            late: false,
            pause_ms: 0,
            ending: Ending::Left,
            cache_directories: choice.cache_directories.clone(),
            lease: prompt.map(|_| shared.numbers.fetch_add(1, Ordering::Relaxed)),
        };
        if let Some(prompt) = prompt {
            let memory = shared.placement().cache_capacity(service);
            let permitted = choice.permit_quotas.is_some();
            slot.report(SendUpdate::Sent { parts: prompt.parts.clone(), work, memory, permitted });
        }
        slot
    }

    /// The prompt has been read. True for the first time.
    pub(crate) fn on_prefill_done(&mut self) -> bool {
        let first = !std::mem::replace(&mut self.prefill_done, true);
        if first {
            self.on_server_answered();
            self.shared.placement().record_prefilled(&self.service, &self.server.id, self.work);
            self.report(SendUpdate::Read);
            self.notify_cache_directories();
        }
        first
    }

    /// Between two events passed so long a time; the first that is too long makes the answer late.
    pub(crate) fn record_pause(&mut self, pause: Duration) {
        let ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        self.pause_ms = self.pause_ms.max(ms);
        if self.work.gap_ms > 0 && ms > self.work.gap_ms && !std::mem::replace(&mut self.late, true) {
            self.shared.placement().record_late(&self.service, &self.server.id, self.work);
            self.report(SendUpdate::Late);
        }
    }

    /// The server answers. Where a later life may have its name, that may be one of which this box hasn't heard, and so
    /// doesn't show that this one lives.
    fn on_server_answered(&self) {
        if self.server.id == self.server.name {
            self.shared.on_server_answered(&self.server.id);
        }
    }

    /// Tells where a part was read that others may look for.
    fn notify_cache_directories(&mut self) {
        for (directory, part) in std::mem::take(&mut self.cache_directories) {
            let update = SendUpdate::Elsewhere { part, by: self.server.id.clone() };
            let report = SendReport { number: 0, server: directory.id.clone(), update };
            self.shared.peer_client.report(&directory, report);
        }
    }

    fn report(&self, update: SendUpdate) {
        if let Some(number) = self.lease {
            let report = SendReport { number, server: self.server.id.clone(), update };
            self.shared.peer_client.report(&self.server, report);
        }
    }

    /// How the send ended; if never told, the caller left.
    pub(crate) fn finish(mut self, ending: Ending) {
        if ending == Ending::Good {
            self.on_server_answered();
        }
        self.ending = ending;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !std::mem::replace(&mut self.prefill_done, true) {
            self.shared.placement().record_prefilled(&self.service, &self.server.id, self.work);
        }
        if !std::mem::replace(&mut self.late, true) {
            self.shared.placement().record_late(&self.service, &self.server.id, self.work);
        }
        self.report(SendUpdate::Ended { ending: self.ending, pause_ms: self.pause_ms });
        let now: Millis = self.shared.now();
        self.shared.placement().record_end(&self.service, &self.server.id, self.work, self.ending, now);
    }
}

/// What is sent.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) parts: &'a request::Parts,
    pub(crate) body: &'a Bytes,
    /// The service whose server it goes to.
    pub(crate) service: &'a str,
    /// Until when it may leave this box, where leave was given for it.
    pub(crate) permit_expires: Option<Millis>,
}

/// Sends a request and waits for the head of its answer. `in_flight` becomes true before its first byte may leave this
/// box, and false again only where it surely has not run.
pub(crate) async fn send(
    shared: &Shared,
    connections: &Connections,
    server: &Server,
    message: &OutgoingRequest<'_>,
    dispatch: &Dispatch<'_>,
    in_flight: &Cell<bool>,
) -> SendOutcome {
    let mut request = build_request(shared, server, message, dispatch);
    for _ in 0..MAX_STALE_CONNECTIONS {
        let mut connection = match connections.open(&server.id, server.address).await {
            Ok(connection) => connection,
            Err(why) => return SendOutcome::Unreached(why.to_string()),
        };
        if let Some(why) = withdrawal_reason(shared, server, message) {
            return SendOutcome::Withdrawn(why);
        }
        in_flight.set(true);
        let sent = shared.now();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let sent = classify_answer(shared, server, message.id, sent, response, connection);
                in_flight.set(!matches!(sent, SendOutcome::NotRun(_)));
                return sent;
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) => {
                    in_flight.set(false);
                    request = unsent;
                }
                None => return SendOutcome::Broken(error_chain(&error.into_error())),
            },
        }
    }
    SendOutcome::Unreached("connections ended before use".to_owned())
}

/// Why a request that was chosen for this server must not leave any more; asked again right before its first byte does, since
/// a connection may take seconds.
fn withdrawal_reason(shared: &Shared, server: &Server, message: &OutgoingRequest<'_>) -> Option<&'static str> {
    let now = shared.now();
    if message.permit_expires.is_some_and(|until| now > until) {
        return Some("no connection within the leave");
    }
    let may = shared.placement().may_send(message.service, &server.id, message.permit_expires.is_some(), now);
    (!may).then_some("the server takes nothing any more")
}

/// An error with what lies below it.
fn error_chain(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error).map(|s| format!(": {s}"));
    format!("{error}{}", source.unwrap_or_default())
}

fn build_request(
    shared: &Shared,
    server: &Server,
    message: &OutgoingRequest<'_>,
    dispatch: &Dispatch<'_>,
) -> Request<Full<Bytes>> {
    let mut headers: HeaderMap = message.parts.headers.clone();
    shared.header_codec.write_dispatch(&mut headers, dispatch);
    if !headers.contains_key(header::HOST) {
        if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
            headers.insert(header::HOST, host);
        }
    }
    let mut request = Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.parts.method.clone();
    *request.uri_mut() = origin_form(&message.parts.uri);
    *request.headers_mut() = headers;
    request
}

/// Path and query as the caller sent them.
fn origin_form(uri: &http::Uri) -> http::Uri {
    if uri.scheme().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

fn classify_answer(
    shared: &Shared,
    server: &Server,
    id: &str,
    sent: Millis,
    response: http::Response<Incoming>,
    connection: Connection,
) -> SendOutcome {
    let (parts, body) = response.into_parts();
    let status = parts.status;
    let verdict = shared.header_codec.verdict(id, status, &parts.headers);
    if verdict != Verdict::Foreign {
        shared.on_notice(id, server, sent, shared.header_codec.notice(status, &parts.headers));
        shared.report_unknown_headers(server, &parts.headers);
    }
    match verdict {
        Verdict::Foreign => SendOutcome::Broken(format!("status {status} is not this request's answer")),
        Verdict::NotRun => SendOutcome::NotRun(format!("status {status}")),
        Verdict::Answer => {
            SendOutcome::Answer(Box::new(Answer { parts, body, connection, instance: server.id.clone() }))
        }
    }
}

impl Answer {
    /// The whole body.
    pub(crate) async fn collect(self, connections: &Connections) -> Result<(response::Parts, Bytes), String> {
        let Self { parts, body, connection, instance } = self;
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await.map_err(|why| why.to_string())?;
        connections.release(&instance, connection, &parts.headers);
        Ok((parts, whole.to_bytes()))
    }

    /// The answer was read to its end: its connection may be used again.
    pub(crate) fn finish(self, connections: &Connections) {
        connections.release(&self.instance, self.connection, &self.parts.headers);
    }
}
