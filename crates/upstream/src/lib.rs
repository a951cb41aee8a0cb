//! Clients of model engines and plain services.
//!
//! [`Engine`] and [`PlainService`] are the interfaces for other kinds of upstream; [`HttpClient`] implements them with
//! `awc` and the API that language-model clients use. This crate reports reliably whether a request can have reached an
//! upstream; the consequences are decided by `policy` and `gateway`.

mod call;
mod event_splitter;
mod failure;
mod http;
mod server;

pub use call::{Call, Delivered, Endpoint, PlainAnswer, PlainRequest};
pub use event_splitter::EventSplitter;
pub use failure::Failure;
pub use http::{HttpClient, Timeouts};
pub use server::{Engine, LoadProbe, PlainService, TokenStream};
