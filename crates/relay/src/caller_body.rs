//! The body of a response to a caller, with the request that it belongs to.

use crate::caller::RequestGuard;
use crate::{Body, TruncatedAnswer};
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body whose request is in progress until it has been written.
pub(crate) struct CallerBody {
    body: Body,
    _request: RequestGuard,
}

impl CallerBody {
    pub(crate) fn new(body: Body, request: RequestGuard) -> Self {
        Self { body, _request: request }
    }
}

impl hyper::body::Body for CallerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
