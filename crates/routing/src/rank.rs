//! Ranks for rendezvous hashing. They are equal on all boxes and must not change between releases.

use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rank of `name` for `key`. Ranks are evenly distributed and independent for each key.
#[must_use]
pub fn rank(key: u64, name: &str) -> u64 {
    rank_bytes(key, name.as_bytes())
}

/// Returns the rank of a byte string for `key`.
#[must_use]
pub fn rank_bytes(key: u64, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, key)
}

/// Returns the rank of a socket address for `key`.
#[must_use]
pub fn rank_address(key: u64, address: &SocketAddr) -> u64 {
    let mut bytes = [0; 18];
    match address.ip() {
        IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    rank_bytes(key, &bytes)
}
