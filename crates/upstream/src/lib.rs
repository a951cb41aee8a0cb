//! Clients of model engines and plain services.
//!
//! [`Engine`] and [`PlainService`] are the borders at which other kinds of upstream plug in; [`HttpClient`] speaks
//! the interface that language-model clients know, over `awc`. This crate says truthfully whether a
//! request can have reached an upstream; what follows from that is decided by `policy` and `gateway`.

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
