//! An order of a pool's servers that is the same on every box.

use routing::Server;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Where each server that isn't draining stands, by id, from 0 to 1: by a hash of its life within its hall, the halls
/// taken in turn, so that a part of the order is about the same part of each hall.
pub(crate) fn positions(servers: &[Arc<Server>]) -> HashMap<&str, f64> {
    let mut halls: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for server in servers.iter().filter(|server| !server.draining) {
        halls.entry(&server.hall).or_default().push((routing::rank(0, &server.id), &server.id));
    }
    let count = halls.len() as f64;
    let mut positions = HashMap::new();
    for (turn, hall) in halls.values_mut().enumerate() {
        hall.sort_unstable();
        let first = (turn as f64 + 0.5) / count;
        for (index, (_, id)) in hall.iter().enumerate() {
            positions.insert(*id, (index as f64 + first) / hall.len() as f64);
        }
    }
    positions
}
