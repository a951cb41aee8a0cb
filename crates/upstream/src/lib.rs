//! Clients of model engines and plain services.
//!
//! [`Engine`] and [`Plain`] are the borders at which other kinds of upstream plug in; [`Http`] speaks
//! the interface that language-model clients know, over `awc`. This crate says truthfully whether a
//! request can have reached an upstream; what follows from that is decided by `policy` and `gateway`.

mod call;
mod events;
mod failure;
mod http;
mod server;

pub use call::{Answer, Call, Endpoint, Passed, Plea};
pub use events::Events;
pub use failure::Failure;
pub use http::{Http, Patience};
pub use server::{Engine, Gauge, Plain, Tokens};
