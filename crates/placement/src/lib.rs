//! Which server a request is sent to, and whether it may be sent again.
//!
//! A [`Placement`] knows the servers of every service, what this box has running there, what other
//! boxes said of theirs, and how servers behaved lately. It weighs the expected wait, the prompt
//! parts that a server would have to read, memory and distance. A [`RetryBudget`] bounds second sends.
//! No I/O and no clock: the time is an argument.

mod admission;
mod around;
mod arrivals;
mod ask;
mod budget;
mod elsewhere;
mod ends;
mod fingerprint;
mod fit;
mod harm;
mod health;
mod homes;
mod kept;
mod learner;
mod limit;
mod load;
mod member;
mod need;
mod notices;
mod order;
mod owner;
mod permit;
mod placement;
mod pool;
mod prompt;
mod quarantine;
mod rate;
mod speed;
mod split;
mod stalls;
mod standing;
mod turns;
mod warmth;
mod weigh;

pub use ask::{Choice, CostEstimate, PlacementRequest, Refusal};
pub use budget::RetryBudget;
pub use fingerprint::Fingerprint;
pub use health::{Ending, Health};
pub use kept::CachedParts;
pub use learner::SpeedEstimator;
pub use limit::{Limit, LimitUpdate};
pub use load::{Load, Prefill, Work};
pub use owner::{Owner, SendReport, SendUpdate, ServerStatus, StatusQuery};
pub use permit::{PermitReply, PermitRequest, Quota, Quotas};
pub use placement::{Placement, Snapshot};
pub use prompt::{Part, Prompt};
pub use quarantine::{Change, LivenessEvidence, Quarantine, SuspectRecord, Termination, Verdict};
pub use speed::Speed;
pub use standing::AdmissionState;
pub use warmth::{ColdAllowance, Disconnect};

/// Milliseconds of a clock that never goes back.
pub type Millis = u64;
