//! The list of boxes known to a box, in compact form.

use crate::{Profile, Status};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Boxes by hall. Grouping avoids repeating the hall's name: with 300 boxes, a list takes 7 KB instead of 11
/// KB, and each box that starts receives one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster(BTreeMap<String, Vec<Entry>>);

/// A box of a hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    address: SocketAddr,
    capacity: u32,
    tunnel_port: u16,
    incarnation: u64,
    status: Status,
}

impl Roster {
    /// Creates a roster of these boxes, all of them alive.
    #[must_use]
    pub fn new(boxes: impl IntoIterator<Item = (SocketAddr, Profile)>) -> Self {
        boxes.into_iter().map(|(address, profile)| (address, profile, Status::Alive)).collect()
    }

    /// Returns the boxes with their profiles.
    pub fn into_boxes(self) -> impl Iterator<Item = (SocketAddr, Profile, Status)> {
        self.0.into_iter().flat_map(|(hall, boxes)| {
            boxes.into_iter().map(move |entry| {
                let Entry { address, capacity, tunnel_port, incarnation, status } = entry;
                (address, Profile { hall: hall.clone(), capacity, tunnel_port, incarnation }, status)
            })
        })
    }
}

impl FromIterator<(SocketAddr, Profile, Status)> for Roster {
    fn from_iter<I: IntoIterator<Item = (SocketAddr, Profile, Status)>>(boxes: I) -> Self {
        let mut halls: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
        for (address, profile, status) in boxes {
            let Profile { hall, capacity, tunnel_port, incarnation } = profile;
            halls.entry(hall).or_default().push(Entry { address, capacity, tunnel_port, incarnation, status });
        }
        Self(halls)
    }
}
