//! Deployments in virtual time, and policies compared on them.
//!
//! A [`Simulation`] plays one [`Deployment`] with one [`Arm`] and one seed. Boxes decide with the program's own `placement`. An
//! [`Experiment`] compares arms on many drawn deployments.

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
