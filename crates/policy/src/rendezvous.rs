//! Rendezvous hashing: boxes with the same view name the same owner without exchanging messages.

use catalog::BoxId;

/// Returns a well-mixed hash of a key and a box (the finalizer of SplitMix64).
fn weight(key: u64, id: BoxId) -> u64 {
    let mut x = key ^ (u64::from(id.0).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the box among `boxes` that owns `key`.
#[must_use]
pub fn owner(key: u64, boxes: &[BoxId]) -> Option<BoxId> {
    boxes.iter().copied().max_by_key(|id| (weight(key, *id), *id))
}

/// Returns the first `count` boxes for `key`, best first.
#[must_use]
pub fn ranked(key: u64, boxes: &[BoxId], count: usize) -> Vec<BoxId> {
    let mut sorted = boxes.to_vec();
    sorted.sort_unstable_by_key(|id| std::cmp::Reverse((weight(key, *id), *id)));
    sorted.truncate(count);
    sorted
}
