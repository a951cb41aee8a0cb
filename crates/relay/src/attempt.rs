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
const ANSWER_MOST: usize = 32 << 20;

/// How often a send may meet a connection that ended while unused, before it counts as unreached.
const STALE_MOST: usize = 3;

/// What became of a send.
pub(crate) enum Sent {
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
    life: String,
}

/// A request's place in the records of a server; given back when it is dropped.
pub(crate) struct Claim {
    shared: Arc<Shared>,
    service: String,
    pub(crate) server: Arc<Server>,
    /// When it was made.
    pub(crate) sent: Millis,
    work: Work,
    read: bool,
    /// True once a pause has made the answer late.
    late: bool,
    /// Longest pause between two events, in milliseconds.
    pause_ms: u32,
    ending: Ending,
    /// Whose owners are told once the prompt has been read, and of which part.
    registers: Vec<(Arc<Server>, u64)>,
    /// Names the request to the server's owner; none for requests that are no prompts.
    lease: Option<u64>,
}

impl Claim {
    /// Notes that a request is being sent to a server.
    pub(crate) fn new(shared: &Arc<Shared>, service: &str, choice: &Choice, prompt: Option<&Prompt>) -> Self {
        let work = choice.work;
        shared.placement().record_sent(service, &choice.server.id, work);
        let claim = Self {
            shared: Arc::clone(shared),
            service: service.to_owned(),
            server: Arc::clone(&choice.server),
            sent: shared.now(),
            work,
            read: false,
            late: false,
            pause_ms: 0,
            ending: Ending::Left,
            registers: choice.cache_directories.clone(),
            lease: prompt.map(|_| shared.numbers.fetch_add(1, Ordering::Relaxed)),
        };
        if let Some(prompt) = prompt {
            let memory = shared.placement().cache_capacity(service);
            let permitted = choice.permit_quotas.is_some();
            claim.report(SendUpdate::Sent { parts: prompt.parts.clone(), work, memory, permitted });
        }
        claim
    }

    /// The prompt has been read. True for the first time.
    pub(crate) fn read(&mut self) -> bool {
        let first = !std::mem::replace(&mut self.read, true);
        if first {
            self.answered();
            self.shared.placement().record_prefilled(&self.service, &self.server.id, self.work);
            self.report(SendUpdate::Read);
            self.tell_registers();
        }
        first
    }

    /// Between two events passed so long a time; the first that is too long makes the answer late.
    pub(crate) fn paused(&mut self, pause: Duration) {
        let ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
        self.pause_ms = self.pause_ms.max(ms);
        if self.work.gap_ms > 0 && ms > self.work.gap_ms && !std::mem::replace(&mut self.late, true) {
            self.shared.placement().record_late(&self.service, &self.server.id, self.work);
            self.report(SendUpdate::Late);
        }
    }

    /// The server answers. Where a later life may have its name, that may be one of which this box hasn't heard, and so
    /// doesn't show that this one lives.
    fn answered(&self) {
        if self.server.id == self.server.name {
            self.shared.answered(&self.server.id);
        }
    }

    /// Tells where a part was read that others may look for.
    fn tell_registers(&mut self) {
        for (register, part) in std::mem::take(&mut self.registers) {
            let news = SendUpdate::Elsewhere { part, by: self.server.id.clone() };
            let report = SendReport { number: 0, server: register.id.clone(), update: news };
            self.shared.peer_client.report(&register, report);
        }
    }

    fn report(&self, news: SendUpdate) {
        if let Some(number) = self.lease {
            let report = SendReport { number, server: self.server.id.clone(), update: news };
            self.shared.peer_client.report(&self.server, report);
        }
    }

    /// How the send ended; if never told, the caller left.
    pub(crate) fn ended(mut self, ending: Ending) {
        if ending == Ending::Good {
            self.answered();
        }
        self.ending = ending;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if !std::mem::replace(&mut self.read, true) {
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
pub(crate) struct Message<'a> {
    pub(crate) id: &'a str,
    pub(crate) parts: &'a request::Parts,
    pub(crate) body: &'a Bytes,
    /// The service whose server it goes to.
    pub(crate) service: &'a str,
    /// Until when it may leave this box, where leave was given for it.
    pub(crate) leave_until: Option<Millis>,
}

/// Sends a request and waits for the head of its answer. `under_way` becomes true before its first byte may leave this
/// box, and false again only where it surely has not run.
pub(crate) async fn send(
    shared: &Shared,
    connections: &Connections,
    server: &Server,
    message: &Message<'_>,
    dispatch: &Dispatch<'_>,
    under_way: &Cell<bool>,
) -> Sent {
    let mut request = request_of(shared, server, message, dispatch);
    for _ in 0..STALE_MOST {
        let mut connection = match connections.open(&server.id, server.address).await {
            Ok(connection) => connection,
            Err(why) => return Sent::Unreached(why.to_string()),
        };
        if let Some(why) = withdrawn(shared, server, message) {
            return Sent::Withdrawn(why);
        }
        under_way.set(true);
        let sent = shared.now();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let sent = judge(shared, server, message.id, sent, response, connection);
                under_way.set(!matches!(sent, Sent::NotRun(_)));
                return sent;
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) => {
                    under_way.set(false);
                    request = unsent;
                }
                None => return Sent::Broken(cause(&error.into_error())),
            },
        }
    }
    Sent::Unreached("connections ended before use".to_owned())
}

/// Why a request that was chosen for this server must not leave any more; asked again right before its first byte does, since
/// a connection may take seconds.
fn withdrawn(shared: &Shared, server: &Server, message: &Message<'_>) -> Option<&'static str> {
    let now = shared.now();
    if message.leave_until.is_some_and(|until| now > until) {
        return Some("no connection within the leave");
    }
    let may = shared.placement().may_send(message.service, &server.id, message.leave_until.is_some(), now);
    (!may).then_some("the server takes nothing any more")
}

/// An error with what lies below it.
fn cause(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error).map(|s| format!(": {s}"));
    format!("{error}{}", source.unwrap_or_default())
}

fn request_of(
    shared: &Shared,
    server: &Server,
    message: &Message<'_>,
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
    *request.uri_mut() = origin(&message.parts.uri);
    *request.headers_mut() = headers;
    request
}

/// Path and query as the caller sent them.
fn origin(uri: &http::Uri) -> http::Uri {
    if uri.scheme().is_none() {
        return uri.clone();
    }
    let path = uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().unwrap_or_else(|_| uri.clone())
}

fn judge(
    shared: &Shared,
    server: &Server,
    id: &str,
    sent: Millis,
    response: http::Response<Incoming>,
    connection: Connection,
) -> Sent {
    let (parts, body) = response.into_parts();
    let status = parts.status;
    let verdict = shared.header_codec.verdict(id, status, &parts.headers);
    if verdict != Verdict::Foreign {
        shared.noticed(id, server, sent, shared.header_codec.notice(status, &parts.headers));
        shared.note_unknown(server, &parts.headers);
    }
    match verdict {
        Verdict::Foreign => Sent::Broken(format!("status {status} is not this request's answer")),
        Verdict::NotRun => Sent::NotRun(format!("status {status}")),
        Verdict::Answer => Sent::Answer(Box::new(Answer { parts, body, connection, life: server.id.clone() })),
    }
}

impl Answer {
    /// The whole body.
    pub(crate) async fn collect(self, connections: &Connections) -> Result<(response::Parts, Bytes), String> {
        let Self { parts, body, connection, life } = self;
        let whole = Limited::new(body, ANSWER_MOST).collect().await.map_err(|why| why.to_string())?;
        connections.keep(&life, connection, &parts.headers);
        Ok((parts, whole.to_bytes()))
    }

    /// The answer was read to its end: its connection may be used again.
    pub(crate) fn finish(self, connections: &Connections) {
        connections.keep(&self.life, self.connection, &self.parts.headers);
    }
}
