//! What the platform publishes, read only: the configuration service, the membership list.
//!
//! The traits stand where an operator's own platform plugs in; [`Http`] is the one we ship. Nothing
//! here writes to the platform, and each call is counted against a budget of the box. What a release
//! or a member means is decided elsewhere (`catalog`, `fleet`).

mod allowance;
mod http;
mod source;

pub use allowance::Allowance;
pub use http::Http;
pub use source::{Listing, Source, Trouble, Value, MANIFEST};
