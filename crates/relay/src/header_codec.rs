//! Interface for the headers that callers and servers use.

use http::{HeaderMap, StatusCode};
use placement::{Limit, Prompt};
use std::net::SocketAddr;
use std::time::Duration;

/// Contents of a caller's request head.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Id of this attempt, chosen by the caller; servers repeat it in their answers.
    pub id: String,
    /// API key of the customer.
    pub key: Option<String>,
    /// The caller's time limit.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
}

/// Contents of the request head that is sent to a server.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// Name of the intended server. Another server at the same address does not run the request.
    pub name: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// Time limit for the server.
    pub timeout: Duration,
    /// Urgency from 0 (most urgent) to 9. Only for model engines.
    pub urgency: Option<u8>,
    /// Address of a server to fetch cached prompt parts from.
    pub fetch: Option<SocketAddr>,
    /// Id of the last event that the caller received.
    pub last_event: Option<u64>,
}

/// Classification of a response head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer to this request.
    Answer,
    /// The server reports that it did not run the request and will not.
    NotRun,
    /// The response belongs to another request, or was not sent by a server.
    Foreign,
}

/// Hints of a response head about the server itself, independent of the request's result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// True if the server is leaving and must receive no new requests. Sent with every answer until it terminates.
    pub leaving: bool,
    /// Back-off that the server requests from this box, from the time of its answer; `None` if it requests none.
    pub back_off: Option<Duration>,
    /// Rate limit over all boxes, valid as long as the server's answers repeat it: [`Limit::None`] if an answer states
    /// none. `None` if it can't be parsed or the answer is another server's.
    pub limit: Option<Limit>,
    /// True if the servers of its service fall over when they have to turn too many requests away.
    pub is_brittle: bool,
}

/// A response header without a known meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownHeader<'a> {
    /// The header name in lower case.
    pub name: &'a str,
    /// The part of the value that may be logged.
    pub value: &'a str,
}

/// Reads and writes the headers exchanged with callers and servers.
pub trait HeaderCodec: Send + Sync {
    /// Reads a caller's request head.
    ///
    /// # Errors
    /// Names the invalid header and the reason.
    fn read_call(&self, headers: &HeaderMap) -> Result<Call, String>;

    /// Converts a caller's headers to those for a server.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// Classifies the head of a response to the request `id`.
    fn verdict(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// Reads the server's hints from a response head that isn't foreign.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Returns the response headers whose meaning isn't known.
    fn unknown_headers<'a>(&self, headers: &'a HeaderMap) -> Vec<UnknownHeader<'a>>;
}
