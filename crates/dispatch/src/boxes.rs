//! Short numbers of boxes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Numbers the boxes that have sent requests: the queue keeps several keys of each request, and an address takes 32
/// bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Boxes {
    numbers: BTreeMap<SocketAddr, u32>,
    /// By number.
    addresses: Vec<SocketAddr>,
    /// Numbers of boxes that have left.
    free: Vec<u32>,
}

impl Boxes {
    /// Returns the number of a box, a new one if it has none.
    pub(crate) fn number(&mut self, address: SocketAddr) -> u32 {
        *self.numbers.entry(address).or_insert_with(|| {
            if let Some(number) = self.free.pop() {
                self.addresses[number as usize] = address;
                return number;
            }
            self.addresses.push(address);
            self.addresses.len() as u32 - 1
        })
    }

    /// Returns the number of a box that has one.
    pub(crate) fn find(&self, address: SocketAddr) -> Option<u32> {
        self.numbers.get(&address).copied()
    }

    pub(crate) fn address(&self, number: u32) -> SocketAddr {
        self.addresses[number as usize]
    }

    /// Frees the number of a box; no key may use it any more.
    pub(crate) fn remove(&mut self, address: SocketAddr) {
        self.free.extend(self.numbers.remove(&address));
    }
}
