//! Read-only access to the platform: the configuration service and the membership list.
//!
//! Operators can connect their own platform by implementing [`Source`]; [`HttpSource`] is the one provided
//! here. Nothing in this crate writes to the platform, and each call is counted against the box's
//! [`CallBudget`]. Releases and members are interpreted in `catalog` and `fleet`.

mod call_budget;
mod http;
mod source;

pub use call_budget::CallBudget;
pub use http::HttpSource;
pub use source::{MemberList, Source, SourceError, Value, MANIFEST_KEY};
