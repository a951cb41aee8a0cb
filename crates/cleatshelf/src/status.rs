//! What a box tells its operators.

use serde::{Deserialize, Serialize};

/// A box's state, as `cleatshelf status` shows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// The box.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// It takes callers' requests.
    pub ready: bool,
    /// A planned stop has begun.
    pub stopping: bool,
    /// The release's number; 0 while there is none.
    pub release: u64,
    /// The release's digest.
    pub digest: String,
    /// Refused releases and why.
    pub refused: Vec<RefusedRow>,
    /// Other boxes.
    pub peers: Vec<PeerRow>,
    /// Shards that this box owns.
    pub shards: Vec<ShardRow>,
    /// Leases that this box holds for its callers.
    pub held: usize,
    /// Requests that wait for a lease.
    pub pending: usize,
    /// Requests now in this box.
    pub running: usize,
    /// It holds the platform's watch.
    pub watcher: bool,
    /// Calls made to the platform since start.
    pub platform_calls: u64,
    /// Bytes of frames sent to other boxes since start.
    pub sent_bytes: u64,
    /// Bytes of frames taken in from other boxes since start.
    pub received_bytes: u64,
    /// Messages sent to other boxes since start.
    pub sent_messages: u64,
    /// Broken invariants since start; anything but 0 is a fault in cleatshelf.
    pub broken: u64,
}

/// A refused release.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RefusedRow {
    /// Its number; 0 if its manifest couldn't be read.
    pub number: u64,
    /// Its digest.
    pub digest: String,
    /// Every fault.
    pub reasons: Vec<String>,
}

/// Another box.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PeerRow {
    /// Its name.
    pub name: String,
    /// Its hall.
    pub hall: String,
    /// What is believed of it.
    pub state: String,
}

/// A shard that this box owns.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ShardRow {
    /// Its short name.
    pub id: String,
    /// Its hall.
    pub hall: String,
    /// The model or service.
    pub serves: String,
    /// Lessees are still being asked.
    pub recovering: bool,
    /// Leases held.
    pub held: usize,
    /// Waiting asks by class.
    pub waiting: Vec<(String, usize)>,
    /// Its servers.
    pub upstreams: Vec<UpstreamRow>,
}

/// A server as its owner sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Its name.
    pub name: String,
    /// Slots by the file.
    pub slots: u32,
    /// Slots trusted now.
    pub trusted: u32,
    /// Leases on it.
    pub used: u32,
    /// It is leaving.
    pub leaving: bool,
    /// It gets probes only.
    pub ejected: bool,
    /// Milliseconds to the first token, a moving mean.
    pub first_ms: f64,
    /// Milliseconds between tokens, a moving mean.
    pub between_ms: f64,
}

/// What would happen to a request now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Explanation {
    /// The customer's class would be this.
    pub class: String,
    /// The class's rank.
    pub rank: u8,
    /// The class's target in milliseconds.
    pub first_token_ms: u64,
    /// Shards that would be asked: short name, hall, owner's name, expected wait if this box owns it.
    pub route: Vec<RouteRow>,
    /// In a sentence.
    pub verdict: String,
}

/// One shard that would be asked.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RouteRow {
    /// Its short name.
    pub shard: String,
    /// Its hall.
    pub hall: String,
    /// Its owner's name.
    pub owner: String,
    /// Expected wait in milliseconds, where this box is the owner.
    pub wait_ms: Option<u64>,
}

impl Status {
    /// As a table for people.
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
