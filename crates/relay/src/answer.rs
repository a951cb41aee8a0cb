//! Answers of this box's own.

use crate::{Body, TruncatedAnswer};
use bytes::Bytes;
use http::{header, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use std::time::Duration;

/// A body of these bytes.
pub(crate) fn body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| -> TruncatedAnswer { match never {} }).boxed_unsync()
}

/// An answer that gives a status and a reason.
pub(crate) fn plain(status: StatusCode, why: &'static str) -> Response<Body> {
    let mut response = Response::new(body(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Says that the request has not run and won't, and when to come back.
pub(crate) fn refused(why: &'static str, after: Duration) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, why);
    let seconds = format!("{:.2}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Headers that concern one connection only, and never cross this box.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Takes out the headers that concern one connection only, and those that `connection` names.
pub(crate) fn strip_hop_by_hop(headers: &mut http::HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .filter(|name| !name.is_empty())
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
