//! The operators' files (classes, customers, upstreams), their validation, and their distribution
//! as a [`Release`].
//!
//! Everything here is a pure function of bytes, without any I/O, so every box that reads the same
//! release reaches the same verdict. Decisions about requests are made in `policy`.
//!
//! ```
//! let faults = catalog::Catalog::parse(&[("classes", "[[class]]\nname = 'x'")]).unwrap_err();
//! assert!(faults.iter().any(|f| f.key == "class[0].rank"));
//! ```

mod api_key;
mod catalog;
mod class;
mod customer;
mod digest;
mod fault;
mod id;
mod parse_cache;
mod release;
mod table_reader;
mod upstream;

pub use api_key::ApiKeyHasher;
pub use catalog::Catalog;
pub use class::Class;
pub use customer::Customer;
pub use digest::Digest;
pub use fault::Fault;
pub use id::{BoxId, ClassId, CustomerId, ServerId, ShardId};
pub use parse_cache::ParseCache;
pub use release::{customer_part, Manifest, Release, ReleaseId, CUSTOMER_PARTS, MAX_PART_BYTES, RELEASE_FORMAT};
pub use table_reader::TableReader;
pub use upstream::{Pool, Service, Upstream, UpstreamKind};
