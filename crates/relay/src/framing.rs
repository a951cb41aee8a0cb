//! How the end of an answer is told.

use http::{header, response, HeaderMap, HeaderName};

/// Highest status of an answer. RFC 9110 defines no class above.
const MAX_STATUS: u16 = 599;

/// Number of changed, missing or additional characters up to which a field's name counts as a garbled one. No registered
/// field is that similar to one that frames an answer.
const MAX_GARBLED_CHARS: usize = 2;

/// What ends an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// Its stated length.
    Length,
    /// Its last chunk.
    Chunked,
    /// The end of its connection only.
    Connection,
}

impl Framing {
    /// Reads the framing that a head states.
    ///
    /// # Errors
    /// Returns the reason why the head is no answer. Its body would have an end that the server may not have meant.
    pub(crate) fn of(head: &response::Parts) -> Result<Self, &'static str> {
        if head.status.as_u16() > MAX_STATUS {
            return Err("status out of range");
        }
        let (codings, lengths) = (count(head, header::TRANSFER_ENCODING), count(head, header::CONTENT_LENGTH));
        match (codings, lengths) {
            (0, 0) if has_garbled_framing(&head.headers) => Err("garbled framing field"),
            (0, 0) => Ok(Self::Connection),
            (0, 1) if is_number(head.headers[header::CONTENT_LENGTH].as_bytes()) => Ok(Self::Length),
            (0, _) => Err("ambiguous content-length"),
            // Other codings are not decoded, and no request asks for them.
            (1, 0) if head.headers[header::TRANSFER_ENCODING].as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked)
            }
            (_, 0) => Err("unsupported transfer-encoding"),
            (_, _) => Err("both transfer-encoding and content-length"),
        }
    }

    /// Returns the name for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}

fn count(head: &response::Parts, name: HeaderName) -> usize {
    head.headers.get_all(name).iter().count()
}

fn is_number(value: &[u8]) -> bool {
    !value.is_empty() && value.iter().all(u8::is_ascii_digit)
}

fn has_garbled_framing(headers: &HeaderMap) -> bool {
    let framing = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    headers.keys().any(|name| framing.iter().any(|known| distance(name.as_str(), known.as_str()) <= MAX_GARBLED_CHARS))
}

/// Returns the Levenshtein distance of two names.
fn distance(one: &str, other: &str) -> usize {
    if one.len().abs_diff(other.len()) > MAX_GARBLED_CHARS {
        return usize::MAX;
    }
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in other.bytes().enumerate() {
            let substituted = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[other.len()]
}

/// Returns the digits of the line at the beginning of a body if that is the size of a chunk, with or without extensions.
fn chunk_size(body: &[u8]) -> Option<&str> {
    let (digits, rest) = body.split_at(body.iter().take_while(|byte| byte.is_ascii_hexdigit()).count());
    let is_line = !digits.is_empty() && (rest.starts_with(b"\r\n") || rest.starts_with(b";"));
    std::str::from_utf8(digits).ok().filter(|_| is_line)
}

/// Returns true if a body without framing begins like one in chunks, whose head has lost the field that says so.
pub(crate) fn begins_with_chunk(body: &[u8]) -> bool {
    chunk_size(body).is_some()
}

/// Returns true if a body without framing consists of chunks up to the last one.
pub(crate) fn is_in_chunks(mut body: &[u8]) -> bool {
    while let Some(digits) = chunk_size(body) {
        let line = body.windows(2).position(|pair| pair == b"\r\n");
        let (Ok(size), Some(line)) = (usize::from_str_radix(digits, 16), line) else { return false };
        if size == 0 {
            return true;
        }
        let Some(next) = (line + 2).checked_add(size).and_then(|end| body.get(end..)) else { return false };
        let Some(next) = next.strip_prefix(b"\r\n") else { return false };
        body = next;
    }
    false
}
