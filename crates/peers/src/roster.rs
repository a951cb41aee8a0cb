//! The list of boxes known to a box, in compact form.

use crate::Profile;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Boxes by hall. Grouping avoids repeating the hall's name: with 300 boxes, a list takes 3 KB instead of 8
/// KB, and each box that starts receives one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster(BTreeMap<String, Vec<Entry>>);

/// A box of a hall: its address, capacity and tunnel port.
type Entry = (SocketAddr, u32, u16);

impl Roster {
    /// Creates a roster of these boxes.
    #[must_use]
    pub fn new(boxes: impl IntoIterator<Item = (SocketAddr, Profile)>) -> Self {
        let mut halls: BTreeMap<String, Vec<Entry>> = BTreeMap::new();
        for (address, profile) in boxes {
            halls.entry(profile.hall).or_default().push((address, profile.capacity, profile.tunnel_port));
        }
        Self(halls)
    }

    /// Returns the boxes with their profiles.
    pub fn into_boxes(self) -> impl Iterator<Item = (SocketAddr, Profile)> {
        self.0.into_iter().flat_map(|(hall, boxes)| {
            let profile = move |(address, capacity, tunnel_port)| {
                (address, Profile { hall: hall.clone(), capacity, tunnel_port })
            };
            boxes.into_iter().map(profile)
        })
    }
}
