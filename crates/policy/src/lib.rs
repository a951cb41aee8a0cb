//! Scheduling decisions: which request runs next, on which server, and which may be retried.
//!
//! Everything here is a plain state machine: a message or the time goes in, actions come out. There is no
//! network, no clock and no thread, so long random runs need no cluster. Bytes are moved elsewhere
//! (`gateway`, `upstream`, `wire`), and boxes find each other in `fleet`.
//!
//! [`Broker`] is the whole of one box: it requests slots from the [`Shard`] owners on behalf of its callers,
//! and is itself the owner of the shards that rendezvous hashing assigns to it.

mod broker;
mod key_history;
mod layout;
mod ledger;
mod lessee;
mod message;
mod outcome;
mod queue;
mod queue_timeout;
mod rendezvous;
mod retry_budget;
mod scheduler;
mod server;
mod shard;
mod speed;
mod time;
mod two_choices;
mod usage;

pub use broker::{Broker, SchedulingMode, PAUSE_THRESHOLD_MS};
pub use key_history::{Claim, KeyHistory, Verdict, KEY_RETENTION_MS, MAX_CLOCK_SKEW_MS};
pub use layout::{Layout, Quota, ShardSpec, SERVERS_PER_SHARD};
pub use ledger::Ledger;
pub use lessee::{Acquire, Cause, HeldLease, Lessee};
pub use message::{LeaseInfo, LeaseReturn, Message, Reason, Refusal, Report, SlotRequest};
pub use outcome::{Expired, Permit, Ran, Resend, Sent, Unsent};
pub use queue::{Queue, QueuedRequest};
pub use rendezvous::{owner, ranked};
pub use retry_budget::RetryBudget;
pub use scheduler::{Action, Decision, Scheduler};
pub use server::{HealthChange, Load, Server};
pub use shard::{Shard, HEARTBEAT_INTERVAL_MS, LEASE_TTL_MS, RECOVERY_TIMEOUT_MS};
pub use speed::Speed;
pub use time::Time;
pub use two_choices::{QueueDiscipline, TwoChoices};
pub use usage::{Usage, UsageMeter, UsageTable};
