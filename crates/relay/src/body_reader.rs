//! Reading of request bodies.

use crate::frontend::STOP_RETRY_DELAY;
use crate::request_body::RequestBody;
use crate::uploads::{GaveWay, Upload, Uploads};
use crate::{answer, Body};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::rc::Rc;
use std::time::Duration;

/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a body that is read although its request is refused, so that the connection can stay open, and the time limit.
const MAX_DISCARDED_BYTES: u64 = 16 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// Retry delay for callers whose body found no memory. Bodies that keep others out give way, or have been served by then.
const MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Buffers a request body among those that are arriving.
pub(crate) async fn read_body(
    uploads: &Rc<Uploads>,
    body: Incoming,
    max_bytes: usize,
) -> Result<RequestBody, ReadError> {
    if body.is_end_stream() {
        return Ok(RequestBody::default());
    }
    let stated = body.size_hint().exact().map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let upload = uploads.begin(stated);
    let read = tokio::select! {
        read = tokio::time::timeout(BODY_TIMEOUT, read_into(body, &upload, max_bytes)) => read,
        GaveWay = upload.gave_way() => Ok(Err(ReadError::GaveWay)),
        () = uploads.shared.wait_for_last_answer() => Ok(Err(ReadError::Stopping)),
    };
    let read = read.unwrap_or(Err(ReadError::TooSlow));
    read.and_then(|()| upload.finish().map_err(ReadError::from))
}

async fn read_into(mut body: Incoming, upload: &Upload, max_bytes: usize) -> Result<(), ReadError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::BrokenOff)?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else { continue };
        if upload.len() + data.len() > max_bytes {
            return Err(ReadError::TooLarge);
        }
        upload.push(&data)?;
    }
    Ok(())
}

/// The reason why a request body was not buffered.
pub(crate) enum ReadError {
    BrokenOff,
    TooLarge,
    TooSlow,
    GaveWay,
    Stopping,
}

impl From<GaveWay> for ReadError {
    fn from(_: GaveWay) -> Self {
        Self::GaveWay
    }
}

impl ReadError {
    /// Returns the response to the caller.
    pub(crate) fn response(&self) -> Response<Body> {
        match self {
            Self::BrokenOff => answer::plain(StatusCode::BAD_REQUEST, "body broke off"),
            Self::TooLarge => answer::plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
            Self::TooSlow => answer::plain(StatusCode::REQUEST_TIMEOUT, "body took too long"),
            Self::GaveWay => answer::refused("no memory for the body", Some(MEMORY_RETRY_DELAY)),
            Self::Stopping => answer::refused("the router is shutting down", Some(STOP_RETRY_DELAY)),
        }
    }
}

/// Reads a short body. Returns false if it is long, or does not arrive at once.
pub(crate) async fn discard(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_DISCARDED_BYTES {
        return false;
    }
    let read = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, |data| data.len() as u64));
            if left == 0 {
                break;
            }
        }
        body.is_end_stream()
    };
    tokio::time::timeout(DISCARD_TIMEOUT, read).await.unwrap_or(false)
}
