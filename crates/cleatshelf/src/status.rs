//! The status reports of a box for operators.

use serde::{Deserialize, Serialize};

/// The state of a box, as shown by `cleatshelf status`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Name of the box.
    pub name: String,
    /// Hall of the box.
    pub hall: String,
    /// True if the box accepts callers' requests.
    pub ready: bool,
    /// True if a planned stop has begun.
    pub stopping: bool,
    /// Number of the release in force; 0 if there is none.
    pub release: u64,
    /// Digest of the release in force.
    pub digest: String,
    /// Refused releases with the reasons.
    pub refused: Vec<RefusedRow>,
    /// Other boxes.
    pub peers: Vec<PeerRow>,
    /// Shards that this box owns.
    pub shards: Vec<ShardRow>,
    /// Number of leases that this box holds for its callers.
    pub held: usize,
    /// Number of requests that wait for a lease.
    pub pending: usize,
    /// Number of requests now in this box.
    pub running: usize,
    /// True if the box watches the platform.
    pub watcher: bool,
    /// Calls made to the platform since the start.
    pub platform_calls: u64,
    /// Bytes of frames sent to other boxes since the start.
    pub sent_bytes: u64,
    /// Bytes of frames received from other boxes since the start.
    pub received_bytes: u64,
    /// Messages sent to other boxes since the start.
    pub sent_messages: u64,
    /// Violated invariants since the start; any value but 0 indicates a bug in cleatshelf.
    pub broken: u64,
}

/// A refused release.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RefusedRow {
    /// Number of the release; 0 if its manifest could not be parsed.
    pub number: u64,
    /// Digest of the release.
    pub digest: String,
    /// All faults of the release.
    pub reasons: Vec<String>,
}

/// Another box.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerRow {
    /// Name of the box.
    pub name: String,
    /// Hall of the box.
    pub hall: String,
    /// State of the box as seen by this one.
    pub state: String,
}

/// A shard that this box owns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ShardRow {
    /// Id of the shard.
    pub id: String,
    /// Hall of the shard.
    pub hall: String,
    /// The model or service.
    pub serves: String,
    /// True while the leases of a former owner are still being recovered from lessees.
    pub recovering: bool,
    /// Number of leases held.
    pub held: usize,
    /// Number of waiting requests by class.
    pub waiting: Vec<(String, usize)>,
    /// Servers of the shard.
    pub upstreams: Vec<UpstreamRow>,
}

/// The state of a server as seen by its owner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Name of the server.
    pub name: String,
    /// Slots according to the operators' file.
    pub slots: u32,
    /// Slots that the owner grants at present.
    pub trusted: u32,
    /// Leases on the server.
    pub used: u32,
    /// True if the server is leaving.
    pub leaving: bool,
    /// True if the server receives only probes.
    pub ejected: bool,
    /// Moving average of the time to the first token, in milliseconds.
    pub first_ms: f64,
    /// Moving average of the time between tokens, in milliseconds.
    pub between_ms: f64,
}

/// An explanation of the handling that a request would get now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Explanation {
    /// Class of the request.
    pub class: String,
    /// Rank of the class.
    pub rank: u8,
    /// Target of the class for the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Shards from which a lease would be requested, in order.
    pub route: Vec<RouteRow>,
    /// A sentence that describes the outcome.
    pub verdict: String,
}

/// A shard from which a lease would be requested.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RouteRow {
    /// Id of the shard.
    pub shard: String,
    /// Hall of the shard.
    pub hall: String,
    /// Name of its owner.
    pub owner: String,
    /// Expected wait in milliseconds, if this box is the owner.
    pub wait_ms: Option<u64>,
}

impl Status {
    /// Formats the status as a table for the terminal.
    #[must_use]
    pub fn table(&self) -> String {
        let mut lines = vec![
            format!("box      {} in {}", self.name, self.hall),
            format!("ready    {}{}", self.ready, if self.stopping { " (stopping)" } else { "" }),
            format!("release  {} {}", self.release, self.digest),
            format!("requests {} running, {} waiting, {} leases held", self.running, self.pending, self.held),
            format!("platform {} calls{}", self.platform_calls, if self.watcher { ", watcher" } else { "" }),
            format!("links    {} bytes out, {} bytes in", self.sent_bytes, self.received_bytes),
            format!("broken   {} invariants", self.broken),
        ];
        for row in &self.refused {
            lines.push(format!("refused  {} {}: {}", row.number, row.digest, row.reasons.join("; ")));
        }
        lines.push(format!("\n{:<20} {:<20} {}", "PEER", "HALL", "STATE"));
        lines.extend(self.peers.iter().map(|p| format!("{:<20} {:<20} {}", p.name, p.hall, p.state)));
        for shard in &self.shards {
            let waiting: Vec<String> = shard.waiting.iter().map(|(class, n)| format!("{class}={n}")).collect();
            let recovering = if shard.recovering { " recovering" } else { "" };
            lines.push(format!(
                "\nSHARD {} {} in {}{recovering}: {} leases, waiting [{}]",
                shard.id,
                shard.serves,
                shard.hall,
                shard.held,
                waiting.join(" ")
            ));
            lines.push(format!(
                "{:<20} {:>5} {:>7} {:>5} {:>9} {:>11}  {}",
                "UPSTREAM", "SLOTS", "TRUSTED", "USED", "FIRST_MS", "BETWEEN_MS", "STATE"
            ));
            for u in &shard.upstreams {
                let state = match (u.leaving, u.ejected) {
                    (true, _) => "leaving",
                    (_, true) => "ejected",
                    _ => "in service",
                };
                lines.push(format!(
                    "{:<20} {:>5} {:>7} {:>5} {:>9.1} {:>11.2}  {state}",
                    u.name, u.slots, u.trusted, u.used, u.first_ms, u.between_ms
                ));
            }
        }
        lines.join("\n")
    }
}
