//! Stand-ins for everything outside cleatshelf, a load tool, and measurements.
//!
//! Engines, plain services, the platform and links are faked in small, so that boxes can be tried as
//! real processes: killed, frozen, cut off. The stand-ins count what ran. This isn't a cluster
//! simulator, and nothing here is part of a box's serving path.

mod answer;
mod client;
mod compare;
mod deployment;
mod engine;
mod example;
mod exchange;
mod experiment;
mod fleetlet;
mod fleetrun;
mod load;
mod overhead;
mod ownerlet;
mod plain;
mod platform;
mod plot;
pub mod ports;
mod profile;
mod relay;
mod releases;
mod report;
mod serving;
mod slopes;
mod soak;

pub use answer::answer;
pub use client::{Caller, Reply, Stop};
pub use compare::{account, compare, Case};
pub use deployment::{BoxProcess, Deployment, Plan};
pub use engine::{Engine, EngineSpec, Run};
pub use example::{customers, key_of, lakes, Sizes, MODEL};
pub use exchange::{Exchange, Exchanged};
pub use experiment::{drawn, run_experiment, Results};
pub use fleetrun::{fleet_run, FleetRun};
pub use load::{run_load, Load};
pub use overhead::{overhead, Overhead};
pub use plain::Plain;
pub use platform::Platform;
pub use plot::plot;
pub use profile::{Profile, Stream};
pub use relay::{Mode, Relay};
pub use releases::Releases;
pub use report::{Report, Row};
pub use serving::Serving;
pub use slopes::{slopes, table as slopes_table, Point, Slope};
pub use soak::{Soak, Soaked};
