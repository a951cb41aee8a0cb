//! Questions and answers of a placement.

use crate::{Load, Millis, Prompt, Quotas, ServerStatus, Speed, Work};
use routing::{AllowedRegions, Server};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A request that needs a server.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Its prompt, if it is for a model.
    pub prompt: Option<&'a Prompt>,
    /// Aim for the answer; for streams, for the first event.
    pub target: Duration,
    /// Longest pause between events of its answer that is still in time.
    pub gap_limit: Option<Duration>,
    /// How urgent it is, 0 first.
    pub urgency: u8,
    /// Bytes of its body, which cross the network to the server.
    pub bytes: usize,
    /// Ids of servers that it must not be sent to again.
    pub tried: &'a [String],
    /// Ids of servers for which no leave was given.
    pub denied: &'a [String],
    /// HallRegions in which it may run, by its route and by its customer; both bind.
    pub allowed_regions: [Option<&'a AllowedRegions>; 2],
    /// What owners said for this request, by server id.
    pub statuses: &'a [(String, ServerStatus)],
    /// Now.
    pub now: Millis,
}

impl PlacementRequest<'_> {
    /// True when it may run in this region.
    #[must_use]
    pub fn allows_region(&self, region: Option<&str>) -> bool {
        self.allowed_regions.iter().flatten().all(|homes| homes.contains(region))
    }

    /// What the owner of this server said for this request.
    #[must_use]
    pub fn status(&self, id: &str) -> Option<&ServerStatus> {
        self.statuses.iter().find(|(server, _)| server == id).map(|(_, status)| status)
    }
}

/// What a choice expects, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct CostEstimate {
    /// In answers that come late.
    pub cost: f64,
    /// Milliseconds to the first event.
    pub wait_ms: f64,
    /// Of these, milliseconds until a place is free; 0 where one is.
    pub slot_wait_ms: f64,
    /// The chance that reading beside it makes it late.
    pub stall_probability: f64,
    /// How many others it makes late.
    pub others_late: f64,
    /// The part of the engines that was preferred for long prompts.
    pub long_share: f64,
    /// How fast the server was taken to be.
    pub speed: Speed,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<Server>,
    /// Another server that keeps shared parts of the prompt which this one lacks.
    pub fetch: Option<SocketAddr>,
    /// What it adds to the server's load.
    pub work: Work,
    /// What it is expected to cost, for the log.
    pub estimate: CostEstimate,
    /// What ran there before, as far as this box knows; for the log.
    pub load: Load,
    /// Servers that could have been chosen, for the log.
    pub candidates: usize,
    /// Where the server will have read a shared part that it lacked: whose owners keep the part's register, and its id.
    pub cache_directories: Vec<(Arc<Server>, u64)>,
    /// What holds for the server, where leave for the send is to be asked for.
    pub permit_quotas: Option<Quotas>,
}

/// Why no server was chosen. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The service has no server that may be tried.
    NoServer,
    /// All that may be tried are cold, and get as much as they bear.
    Cold,
    /// All that may be tried want nothing from this box for now.
    BackingOff {
        /// When the first of them takes requests again, in milliseconds from now.
        retry_ms: Millis,
    },
    /// All that may be tried take few requests from all boxes together, and got them.
    Limited {
        /// When the first of them may take one again, in milliseconds from now; 0 where that isn't known.
        retry_ms: Millis,
    },
    /// All places are taken, and it would wait beyond its aim.
    Overloaded {
        /// How long it would wait for a place, in milliseconds.
        wait_ms: f64,
    },
}
