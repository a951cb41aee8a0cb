//! Interfaces for the kinds of upstream.

use crate::{Call, Failure, PlainAnswer, PlainRequest};
use async_trait::async_trait;
use bytes::Bytes;
use policy::Load;
use std::net::SocketAddr;

/// The tokens of one answer as they arrive.
#[async_trait(?Send)]
pub trait TokenStream {
    /// Returns the next event to forward, including the closing `[DONE]`, or `None` after that.
    ///
    /// # Errors
    /// Returns [`Failure::Broken`] if the answer ends before `[DONE]`.
    async fn next(&mut self) -> Result<Option<Bytes>, Failure>;
}

/// A model engine. Dropping the token stream cancels the work.
#[async_trait(?Send)]
pub trait Engine {
    /// Sends a request.
    ///
    /// # Errors
    /// Returns a [`Failure`], which states whether the request can have reached the engine.
    async fn start(&self, address: SocketAddr, call: &Call) -> Result<Box<dyn TokenStream>, Failure>;
}

/// A plain service.
#[async_trait(?Send)]
pub trait PlainService {
    /// Sends a request and waits for the complete answer.
    ///
    /// # Errors
    /// Returns a [`Failure`], which states whether the request can have reached the service.
    async fn call(&self, address: SocketAddr, request: &PlainRequest) -> Result<PlainAnswer, Failure>;
}

/// Source of an upstream's load reports.
#[async_trait(?Send)]
pub trait LoadProbe {
    /// Returns the load report, which may already be outdated.
    ///
    /// # Errors
    /// Returns a [`Failure`] if there is none.
    async fn load(&self, address: SocketAddr) -> Result<Load, Failure>;
}
