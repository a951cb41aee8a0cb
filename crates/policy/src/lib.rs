//! The decisions: which request runs next, on which server, and what may be tried again.
//!
//! Everything here is a plain state machine. A message or the time goes in, actions come out;
//! there is no network, no clock and no thread, so long random runs need no cluster. It isn't
//! where bytes move (`gateway`, `upstream`, `wire`) or where boxes find each other (`fleet`).
//!
//! [`Broker`] is the whole of one box: it asks the [`Shard`] owners on behalf of its callers, and
//! is itself the owner of the shards that rendezvous hashing gives it.

mod alone;
mod broker;
mod budget;
mod decider;
mod layout;
mod ledger;
mod lessee;
mod limit;
mod memory;
mod message;
mod outcome;
mod patience;
mod queue;
mod rank;
mod server;
mod shard;
mod speed;
mod time;

pub use alone::{Alone, Discipline};
pub use broker::{Broker, Way, PAUSE_MS};
pub use budget::Budget;
pub use decider::{Action, Decider, Decision};
pub use layout::{Layout, Share, Spec, SHARD_SERVERS};
pub use ledger::Ledger;
pub use lessee::{Acquire, Cause, Grant, Lessee};
pub use limit::{Limit, Meter, Usage};
pub use memory::{Claim, Memory, Verdict, RETENTION_MS, SKEW_MS};
pub use message::{Ask, Held, Message, Reason, Refusal, Report, Return};
pub use outcome::{Expired, Permit, Ran, Resend, Sent, Unsent};
pub use queue::{Queue, Waiting};
pub use rank::{owner, ranked};
pub use server::{Load, Server, Standing};
pub use shard::{Shard, LEASE_MS, RECOVER_MS, SIGN_MS};
pub use speed::Speed;
pub use time::Time;
