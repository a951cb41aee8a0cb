//! Test stand-ins for the systems around cleatshelf, a load generator and benchmarks.
//!
//! Small stand-ins for engines, plain services, the platform and network links allow boxes to be tested
//! as real processes that are killed, frozen or disconnected. The stand-ins count the requests they run.
//! This is not a cluster simulator, and nothing here is part of a box's serving path.

mod answer;
mod client;
mod compare;
mod deployment;
mod engine;
mod example_release;
mod exchange;
mod experiment;
mod fleet_measurement;
mod fleet_simulation;
mod load;
mod overhead;
mod owner_benchmark;
mod plain_service;
mod platform;
mod plot;
pub mod ports;
mod profile;
mod relay;
mod release_monitor;
mod report;
mod slopes;
mod soak;
mod stand_in_server;

pub use answer::answer_tokens;
pub use client::{Caller, Outcome, Reply};
pub use compare::{add_server_totals, run_case, ComparisonCase};
pub use deployment::{BoxProcess, Deployment, DeploymentSpec};
pub use engine::{Engine, EngineSpec, PromptRuns};
pub use example_release::{api_key, build_release, customer_names, ReleaseSpec, MODEL};
pub use exchange::{Exchange, ExchangeStats};
pub use experiment::{draw_deployment, run_experiment, ExperimentResults};
pub use fleet_measurement::{measure_fleet, FleetReport};
pub use load::{run_load, LoadRun};
pub use overhead::{measure_overhead, Overhead};
pub use plain_service::PlainService;
pub use platform::Platform;
pub use plot::plot;
pub use profile::{Profile, RequestStream};
pub use relay::{Relay, RelayMode};
pub use release_monitor::ReleaseMonitor;
pub use report::{ClassReport, LoadReport};
pub use slopes::{measure_slopes, slopes_table, Point, Slope};
pub use soak::{Soak, SoakReport};
pub use stand_in_server::StandInServer;
