//! What the platform publishes, read only: the configuration service, the membership list.
//!
//! The traits stand where an operator's own platform plugs in; [`HttpSource`] is the one we ship. Nothing
//! here writes to the platform, and each call is counted against a budget of the box. What a release
//! or a member means is decided elsewhere (`catalog`, `fleet`).

mod call_budget;
mod http;
mod source;

pub use call_budget::CallBudget;
pub use http::HttpSource;
pub use source::{MemberList, Source, SourceError, Value, MANIFEST_KEY};
