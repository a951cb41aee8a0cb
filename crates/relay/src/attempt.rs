//! One attempt to send a request to one server.

use crate::answer_memory::AnswerMemory;
use crate::connect_error::ConnectError;
use crate::connections::{Connection, Connections};
use crate::framing::{is_in_chunks, Framing};
use crate::header_codec::{Dispatch, Verdict};
use crate::request_body::{OutgoingBody, RequestBody};
use crate::shared::Shared;
use bytes::{Bytes, BytesMut};
use http::{header, request, response, HeaderMap, HeaderValue, Request};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use placement::Millis;
use routing::Server;
use std::cell::Cell;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of stale connections (closed by the server while idle) that one send may try before the server counts
/// as unreached.
const MAX_STALE_CONNECTIONS: usize = 3;

/// The result of one send.
pub(crate) enum SendOutcome {
    /// The server accepts no connection: nothing was sent.
    Unreached(String),
    /// This box has lost its path to the server, and no other box helped: nothing was sent.
    NoPath(String),
    /// The server reported that it did not run the request.
    NotRun(String),
    /// Nothing was sent: the send was no longer allowed once a connection was there, for this reason.
    Withdrawn(&'static str),
    /// The request was sent but there is no usable answer. It may have run.
    Broken(String),
    /// The request was sent and given up there, since there was no answer in time. It may have run.
    Silent,
    /// The response head arrived.
    Answer(Box<Answer>),
}

/// A response whose body has not been read yet.
pub(crate) struct Answer {
    pub(crate) parts: response::Parts,
    pub(crate) body: Incoming,
    /// What ends the answer.
    pub(crate) framing: Framing,
    connection: Connection,
    instance: String,
}

/// The request as it is sent to a server.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) parts: &'a request::Parts,
    pub(crate) body: &'a RequestBody,
    /// The service that the server belongs to.
    pub(crate) service: &'a str,
    /// Expiry of the send permit, if the send needs one.
    pub(crate) permit_expires: Option<Millis>,
}

/// Sends a request and waits for the response head.
///
/// `in_flight` becomes true before the first byte may be sent, and is reset only if the request certainly did not run.
/// `via` becomes the box that the connection goes through.
pub(crate) async fn send(
    shared: &Shared,
    connections: &Connections,
    server: &Arc<Server>,
    message: &OutgoingRequest<'_>,
    dispatch: &Dispatch<'_>,
    in_flight: &Cell<bool>,
    via: &Cell<Option<SocketAddr>>,
) -> SendOutcome {
    let mut request = build_request(shared, server, message, dispatch);
    for _ in 0..MAX_STALE_CONNECTIONS {
        let mut connection = match connections.open(server).await {
            Ok(connection) => connection,
            Err(why @ ConnectError::Server(_)) => return SendOutcome::Unreached(why.to_string()),
            Err(why @ ConnectError::NoPath(_)) => return SendOutcome::NoPath(why.to_string()),
        };
        via.set(connection.via);
        if let Some(why) = withdrawal_reason(shared, server, message) {
            return SendOutcome::Withdrawn(why);
        }
        in_flight.set(true);
        let sent = shared.now();
        let answer = connection.sender.try_send_request(request);
        match connections.watch_silence(server, sent, answer).await {
            Ok(response) => {
                connection.on_head();
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

/// Returns the reason why the chosen server must not receive the request any more. Checked directly before sending,
/// since opening a connection may take seconds.
fn withdrawal_reason(shared: &Shared, server: &Server, message: &OutgoingRequest<'_>) -> Option<&'static str> {
    let now = shared.now();
    if message.permit_expires.is_some_and(|until| now > until) {
        return Some("no connection within the leave");
    }
    let may = shared.placement().may_send(message.service, &server.id, message.permit_expires.is_some(), now);
    (!may).then_some("the server takes nothing any more")
}

/// Formats an error with its source.
fn error_chain(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error).map(|s| format!(": {s}"));
    format!("{error}{}", source.unwrap_or_default())
}

fn build_request(
    shared: &Shared,
    server: &Server,
    message: &OutgoingRequest<'_>,
    dispatch: &Dispatch<'_>,
) -> Request<OutgoingBody> {
    let mut headers: HeaderMap = message.parts.headers.clone();
    shared.header_codec.write_dispatch(&mut headers, dispatch);
    if !headers.contains_key(header::HOST) {
        if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
            headers.insert(header::HOST, host);
        }
    }
    let mut request = Request::new(message.body.outgoing());
    *request.method_mut() = message.parts.method.clone();
    *request.uri_mut() = origin_form(&message.parts.uri);
    *request.headers_mut() = headers;
    request
}

/// Reduces an absolute URI to the path and query.
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
    let framing = match Framing::of(&parts) {
        Ok(framing) => framing,
        // Nothing else in such a head is believed either, not even that the request did not run.
        Err(why) => return SendOutcome::Broken(format!("status {status}: {why}")),
    };
    let verdict = shared.header_codec.verdict(id, status, &parts.headers);
    if verdict != Verdict::Foreign {
        shared.on_notice(id, server, sent, shared.header_codec.notice(status, &parts.headers));
        shared.report_unknown_headers(server, &parts.headers);
    }
    match verdict {
        Verdict::Foreign => SendOutcome::Broken(format!("status {status} is not this request's answer")),
        Verdict::NotRun => SendOutcome::NotRun(format!("status {status}")),
        Verdict::Answer => {
            SendOutcome::Answer(Box::new(Answer { parts, body, framing, connection, instance: server.id.clone() }))
        }
    }
}

impl Answer {
    /// Returns when its connection was opened.
    pub(crate) fn opened(&self) -> Millis {
        self.connection.opened
    }

    /// Reads the whole body and returns the connection to the pool. An answer that isn't a stream is buffered, so that a
    /// truncated one is never forwarded.
    pub(crate) async fn collect(
        self,
        connections: &Connections,
        memory: &AnswerMemory,
    ) -> Result<(response::Parts, Bytes), String> {
        let Self { parts, mut body, framing, connection, instance } = self;
        let mut whole = BytesMut::new();
        let mut reservation = memory.reservation();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|why| why.to_string())?.into_data() else { continue };
            if !memory.grow(&mut reservation, data.len()) {
                return Err(format!("more than {} bytes are too many to buffer", whole.len()));
            }
            whole.extend_from_slice(&data);
        }
        if framing == Framing::Connection && is_in_chunks(&whole) {
            return Err("chunks without transfer-encoding".to_owned());
        }
        if framing == Framing::Length && connection.has_surplus(&whole) {
            return Err("bytes after the stated length".to_owned());
        }
        connections.release(&instance, connection, &parts.headers);
        Ok((parts, reservation.hold(whole)))
    }

    /// Returns the connection to the pool after the body was read to its end.
    pub(crate) fn finish(self, connections: &Connections) {
        connections.release(&self.instance, self.connection, &self.parts.headers);
    }
}
