//! Routes, services, customers and servers, each set replaced as a whole under one version.
//!
//! A [`Table`] maps a request to its route and its API key to a customer; a [`Directory`] lists the
//! servers that may be used. Both are plain values without clock or network access. They are read
//! through a [`Publisher`]; server selection is implemented in `placement`.

mod customer;
mod directory;
mod evacuations;
mod excerpt;
mod kind;
mod limits;
mod position;
mod publisher;
mod rank;
mod regions;
mod route;
mod server;
mod service;
mod table;
mod version;

pub use customer::Customer;
pub use directory::{Change, Directory};
pub use evacuations::Evacuations;
pub use excerpt::{Digests, Excerpt};
pub use kind::Kind;
pub use limits::Limits;
pub use position::Position;
pub use publisher::{Freshness, Orders, Publisher, PublisherError, Subject, Update};
pub use rank::{rank, rank_address, rank_bytes};
pub use regions::{AllowedRegions, HallRegions};
pub use route::{Route, Share};
pub use server::Server;
pub use service::{ColdStart, Engine, Service};
pub use table::{Access, Table};
pub use version::Version;
