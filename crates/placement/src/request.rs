//! Requests to a placement, and its results.

use crate::{Load, Loss, Millis, Prompt, Quotas, ServerStatus, Speed, Work};
use routing::{AllowedRegions, Server, Version};
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
    /// Latency target for the answer; for streams, for the first event.
    pub target: Duration,
    /// Longest inter-token gap of its answer that is still in time.
    pub gap_limit: Option<Duration>,
    /// Urgency, 0 first.
    pub urgency: u8,
    /// Bytes of its body, which cross the network to the server.
    pub bytes: usize,
    /// Ids of servers that it must not be sent to again.
    pub tried: &'a [String],
    /// Ids of servers for which a permit was denied.
    pub denied: &'a [String],
    /// Software version that wrote the stream so far; only its servers may go on with it. `None` for a new request.
    pub version: Option<&'a Version>,
    /// Regions in which it may run, by its route and by its customer; both apply.
    pub allowed_regions: [Option<&'a AllowedRegions>; 2],
    /// Status that the owners of servers reported for this request, by server id.
    pub statuses: &'a [(String, ServerStatus)],
    /// Current time.
    pub now: Millis,
}

impl PlacementRequest<'_> {
    /// True if it may run in this region.
    #[must_use]
    pub fn allows_region(&self, region: Option<&str>) -> bool {
        self.allowed_regions.iter().flatten().all(|regions| regions.contains(region))
    }

    /// True if this server may answer it, as far as software versions matter.
    #[must_use]
    pub fn allows_version(&self, server: &Server) -> bool {
        self.version.is_none_or(|version| *version == server.version)
    }

    /// Returns the status of this server that its owner reported for this request.
    #[must_use]
    pub fn status(&self, id: &str) -> Option<&ServerStatus> {
        self.statuses.iter().find(|(server, _)| server == id).map(|(_, status)| status)
    }
}

/// Cost estimate of a choice, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct CostEstimate {
    /// Expected number of late answers.
    pub cost: f64,
    /// Milliseconds to the first event.
    pub wait_ms: f64,
    /// Of these, milliseconds until a slot is free; 0 if one is free now.
    pub slot_wait_ms: f64,
    /// Probability that prefill of other requests makes it late.
    pub stall_probability: f64,
    /// Expected number of other answers that it makes late.
    pub others_late: f64,
    /// Share of the engines that was preferred for long prompts.
    pub long_share: f64,
    /// Assumed speed of the server.
    pub speed: Speed,
}

/// The chosen server and the conditions of the send.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<Server>,
    /// Another server that caches shared parts of the prompt which this one lacks.
    pub fetch: Option<SocketAddr>,
    /// Load that the request adds to the server.
    pub work: Work,
    /// Cost estimate, for the log.
    pub estimate: CostEstimate,
    /// Load of the server before, as far as this box knows; for the log.
    pub load: Load,
    /// Number of eligible servers, for the log.
    pub candidates: usize,
    /// Number of statuses that owners reported for the request, for the log.
    pub answered: usize,
    /// True if the status of this server is among them; for the log.
    pub known: bool,
    /// If the server will read a shared part that it lacks: the servers whose owners keep the part's cache directory,
    /// each with the part's id.
    pub cache_directories: Vec<(Arc<Server>, u64)>,
    /// Quotas of the server, if the send needs a permit.
    pub permit_quotas: Option<Quotas>,
}

/// Reason why no server was chosen. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The service has no server that may be used.
    NoServer,
    /// No server may be used now, and at least one that is open to this box is cold: cold servers get few requests.
    Cold,
    /// No server may be used now; at least one asked this box to back off, and no other is cold or limited.
    BackingOff {
        /// Milliseconds until the first of them accepts requests again.
        retry_ms: Millis,
    },
    /// No server may be used now; at least one open to this box limits the requests from all boxes, and none is cold.
    Limited {
        /// Milliseconds until the first of them may accept a request again; 0 if unknown.
        retry_ms: Millis,
    },
    /// All slots are taken, and the request would wait beyond its latency target.
    Overloaded {
        /// Expected wait for a slot in milliseconds.
        wait_ms: f64,
    },
    /// Requests of its urgency are shed, because a more urgent class of the service is short of slots.
    Shed {
        /// Milliseconds until the shortage is expected to have passed.
        retry_ms: Millis,
    },
    /// Slots are short, and its customer has used more than its fair share of them.
    CustomerShare {
        /// Milliseconds until the customer is expected to be within its share again.
        retry_ms: Millis,
    },
}

impl Refusal {
    /// Returns the loss that the refusal is for the request's class, if it is one.
    #[must_use]
    pub fn loss(self) -> Option<Loss> {
        match self {
            Self::Overloaded { .. } => Some(Loss::NoSlot),
            Self::CustomerShare { .. } => Some(Loss::CustomerShare),
            Self::Shed { .. } | Self::NoServer | Self::Cold | Self::BackingOff { .. } | Self::Limited { .. } => None,
        }
    }
}
