//! The borders at which kinds of upstream plug in.

use crate::{Call, Failure, PlainAnswer, PlainRequest};
use async_trait::async_trait;
use bytes::Bytes;
use policy::Load;
use std::net::SocketAddr;

/// The tokens of one answer as they come.
#[async_trait(?Send)]
pub trait TokenStream {
    /// The next event as it is to be passed on, the closing `[DONE]` included; none after that.
    ///
    /// # Errors
    /// [`Failure::Broken`] when the answer ends before `[DONE]`.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure>;
}

/// A model engine. Dropping the tokens cancels the work.
#[async_trait(?Send)]
pub trait Engine {
    /// Sends a request.
    ///
    /// # Errors
    /// [`Failure`], which says whether the request can have reached the engine.
    async fn start(&self, address: SocketAddr, call: &Call) -> Result<Box<dyn TokenStream>, Failure>;
}

/// A plain service.
#[async_trait(?Send)]
pub trait PlainService {
    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    /// [`Failure`], which says whether the request can have reached the service.
    async fn call(&self, address: SocketAddr, request: &PlainRequest) -> Result<PlainAnswer, Failure>;
}

/// An upstream's own report of its load.
#[async_trait(?Send)]
pub trait LoadProbe {
    /// The report, which describes a moment already past.
    ///
    /// # Errors
    /// [`Failure`] when there is none.
    async fn load(&self, address: SocketAddr) -> Result<Load, Failure>;
}
