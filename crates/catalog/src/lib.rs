//! The operators' files: what a class, a customer and an upstream are, how they are checked, and
//! how they travel as a [`Release`].
//!
//! Everything here is a pure function of bytes. Nothing is read from a network or a disk, so every
//! box that sees the same release comes to the same verdict. It isn't where requests are decided:
//! that is `policy`.
//!
//! ```
//! let faults = catalog::Catalog::parse(&[("classes", "[[class]]\nname = 'x'")]).unwrap_err();
//! assert!(faults.iter().any(|f| f.key == "class[0].rank"));
//! ```

mod catalog;
mod class;
mod customer;
mod digest;
mod fault;
mod id;
mod key;
mod parsed;
mod reader;
mod release;
mod upstream;

pub use catalog::Catalog;
pub use class::Class;
pub use customer::Customer;
pub use digest::Digest;
pub use fault::Fault;
pub use id::{BoxId, ClassId, CustomerId, ServerId, ShardId};
pub use key::Key;
pub use parsed::Parsed;
pub use reader::Reader;
pub use release::{part_of, Manifest, Order, Release, CUSTOMER_PARTS, FORMAT, PART_LIMIT};
pub use upstream::{Kind, Pool, Service, Upstream};
