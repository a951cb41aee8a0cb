//! The boxes that keep the record of a stream.

use routing::rank_address;
use std::net::SocketAddr;

/// Number of boxes, other than the one that began a stream, that are told its origin. Two, so that the origin is known
/// when the box that began it and another one are gone.
const TOLD_BOXES: usize = 2;

/// Number of boxes that are asked for the origin of a stream. One more than are told: the box that began it may be one of
/// those that rank first.
const ASKED_BOXES: usize = TOLD_BOXES + 1;

/// The boxes that keep the record of a stream, the same on all boxes that know the same boxes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keepers {
    /// The highest ranked boxes. The first two are in different halls, if there are two halls.
    ranked: Vec<SocketAddr>,
}

impl Keepers {
    /// Determines the keepers for a key among these boxes, each with its hall.
    pub fn of<'a>(key: u64, boxes: &(impl Iterator<Item = (&'a str, SocketAddr)> + Clone)) -> Self {
        let highest = |suits: &dyn Fn(&str, &SocketAddr) -> bool| {
            boxes
                .clone()
                .filter(|(hall, address)| suits(hall, address))
                .max_by_key(|(_, address)| (rank_address(key, address), *address))
        };
        let Some((first_hall, first)) = highest(&|_, _| true) else { return Self { ranked: Vec::new() } };
        let mut ranked = vec![first];
        ranked.extend(highest(&|hall, _| hall != first_hall).map(|(_, address)| address));
        while ranked.len() < ASKED_BOXES {
            let Some((_, next)) = highest(&|_, address| !ranked.contains(address)) else { break };
            ranked.push(next);
        }
        Self { ranked }
    }

    /// Returns the boxes that `me` tells the origin of a stream.
    pub fn told_by(&self, me: SocketAddr) -> impl Iterator<Item = SocketAddr> + '_ {
        self.asked_by(me).take(TOLD_BOXES)
    }

    /// Returns the boxes that `me` asks for the origin of a stream.
    pub fn asked_by(&self, me: SocketAddr) -> impl Iterator<Item = SocketAddr> + '_ {
        self.ranked.iter().copied().filter(move |address| *address != me)
    }
}
