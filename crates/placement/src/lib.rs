//! Selects the server for each request, and decides whether a request may be sent again.
//!
//! A [`Placement`] knows the servers of every service, the requests that this box runs there, the status that other
//! boxes report for theirs, and how servers behaved recently. It weighs the expected wait, the prompt parts that a
//! server would have to read, memory and distance. A [`RetryBudget`] bounds retries (second sends). The crate does no
//! I/O and reads no clock: time is an argument.

mod admission;
mod admission_state;
mod arrivals;
mod brittle;
mod cache_directory;
mod cached_parts;
mod candidates;
mod cold;
mod completions;
mod cost;
mod customer_sums;
mod customers;
mod demand;
mod demand_report;
mod doubt;
mod fingerprint;
mod health;
mod homes;
mod impact;
mod least_squares;
mod limit;
mod lives;
mod load;
mod member;
mod notices;
mod order;
mod owner;
mod path;
mod permit;
mod placement;
mod plain;
mod pool;
mod prompt;
mod quarantine;
mod rate;
mod request;
mod retry_budget;
mod sample;
mod shedding;
mod slot_usage;
mod speed;
mod speed_estimator;
mod split;
mod stalls;
mod suspect_trait;
mod urgency;

pub use admission::AdmissionSummary;
pub use admission_state::AdmissionState;
pub use cached_parts::CachedParts;
pub use cold::{ColdAllowance, Disconnect};
pub use customer_sums::CustomerSums;
pub use customers::{CustomerReport, CustomerWork, Customers};
pub use demand_report::{DemandReport, DemandSums};
pub use doubt::Doubt;
pub use fingerprint::Fingerprint;
pub use health::{Ending, Health};
pub use limit::{Limit, LimitUpdate};
pub use load::{Load, Prefill, Work};
pub use owner::{Owner, SendReport, SendUpdate, ServerStatus, ServiceDemand, StatusQuery};
pub use path::{Path, Way};
pub use permit::{PermitReply, PermitRequest, Quota, Quotas};
pub use placement::{Placement, Snapshot};
pub use plain::PlainServer;
pub use prompt::{Part, Prompt};
pub use quarantine::{Change, LivenessEvidence, Quarantine, SuspectRecord, Termination, Verdict};
pub use request::{Choice, CostEstimate, PlacementRequest, Refusal};
pub use retry_budget::RetryBudget;
pub use shedding::{ClassCount, ClassCounts, Loss, Shortage, ShortageSums};
pub use speed::Speed;
pub use speed_estimator::SpeedEstimator;
pub use suspect_trait::{Scope, Trait};

/// Milliseconds on a monotonic clock.
pub type Millis = u64;
