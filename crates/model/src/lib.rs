//! Discrete-event simulation of deployments, and comparison of placement policies on them.
//!
//! A [`Simulation`] runs one [`Deployment`] with one [`Arm`] (policy) and one seed in virtual time. Simulated boxes
//! decide with the production code of the `placement` crate. An [`Experiment`] compares arms on many deployments, given
//! in files or randomly drawn.

mod arm;
mod arrivals;
mod client_request;
mod deployment;
mod draw;
mod engine;
mod experiment;
mod kv_cache;
mod outcome;
mod router;
mod simulation;

pub use arm::Arm;
pub use deployment::{Burst, Class, Deployment, EngineSpec, Fault, FaultKind};
pub use experiment::{ArmComparison, Experiment, RunResult, Source};
pub use outcome::{ClassOutcome, Outcome};
pub use simulation::Simulation;

/// Virtual time in microseconds.
pub type Micros = u64;
