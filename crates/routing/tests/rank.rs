//! Ranks must not change between releases, since boxes of different releases must choose the same owners and
//! the same servers for cached prompt parts.

use routing::{rank, rank_address};

#[test]
fn ranks_of_names_are_stable() {
    let ranks = [rank(0, ""), rank(0, "i-12ab"), rank(7, "i-12ab")];
    insta::assert_debug_snapshot!(ranks);
}

#[test]
fn ranks_of_addresses_are_stable() {
    let of = |key, text: &str| rank_address(key, &text.parse().expect("an address"));
    insta::assert_debug_snapshot!([of(0, "10.1.0.40:8229"), of(7, "10.1.0.40:8229"), of(0, "[::1]:8229")]);
}
