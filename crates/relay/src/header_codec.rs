//! The border towards the headers that callers and servers use.

use http::{HeaderMap, StatusCode};
use placement::{Limit, Prompt};
use std::net::SocketAddr;
use std::time::Duration;

/// What a caller's head says of its request.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Names this attempt of the caller; servers repeat it in their answers.
    pub id: String,
    /// The key that names the customer.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has, when it resumes a stream.
    pub last_event: Option<u64>,
}

/// What this box tells a server with a request.
#[derive(Clone, Debug)]
pub struct Dispatch<'a> {
    /// What the server is called; another one at its address does not run the request.
    pub name: &'a str,
    /// Name of the customer.
    pub customer: Option<&'a str>,
    /// How long the server may take.
    pub timeout: Duration,
    /// How urgent it is, 0 first, 9 last. Only for model engines.
    pub urgency: Option<u8>,
    /// A server from which to fetch prompt parts.
    pub fetch: Option<SocketAddr>,
    /// The last event that the caller has got.
    pub last_event: Option<u64>,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer to this request.
    Answer,
    /// The server says that it did not run the request and won't.
    NotRun,
    /// Not the answer to this request, or not a server's answer at all.
    Foreign,
}

/// What the head of a server's answer says of the server itself, whatever became of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// True where it leaves, and is to get no new work. It says so in all its answers until it ends.
    pub leaving: bool,
    /// For how long it wants nothing from this box, counted from its answer; none where it doesn't say.
    pub back_off: Option<Duration>,
    /// How many requests it takes from all boxes together, for as long as it says so; none where it can't be read, or another
    /// server speaks.
    pub limit: Option<Limit>,
}

/// A header of an answer that nobody here knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownHeader<'a> {
    /// Its name, in lower case.
    pub name: &'a str,
    /// What may be shown of its value.
    pub value: &'a str,
}

/// Reads and writes the headers by which callers, boxes and servers talk.
pub trait HeaderCodec: Send + Sync {
    /// What a caller's head says.
    ///
    /// # Errors
    /// The header at fault and the reason.
    fn read_call(&self, headers: &HeaderMap) -> Result<Call, String>;

    /// Turns a caller's headers into those for a server.
    fn write_dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>);

    /// What the head of an answer to the request `id` says.
    fn verdict(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// What the head of an answer, which is not foreign, says of its server.
    fn notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Headers of an answer whose meaning is not known.
    fn unknown_headers<'a>(&self, headers: &'a HeaderMap) -> Vec<UnknownHeader<'a>>;
}
