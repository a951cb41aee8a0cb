//! Malformed, oversized, replayed and unauthenticated frames are refused, and no input causes a panic.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use wire::{Codec, Frame, FrameError, Key, MAX_FRAME_BYTES};

fn codec(secret: &str, from: &str) -> Codec<Vec<u32>> {
    Codec::new(Key::new(secret).session("challenge", from, "b"))
}

fn encode_all(messages: &[Vec<u32>]) -> Bytes {
    let mut writer = codec("secret", "a");
    let mut out = BytesMut::new();
    for message in messages {
        writer.write(&Frame::encode(message).expect("a small message"), &mut out);
    }
    out.freeze()
}

#[test]
fn messages_round_trip_across_any_chunking() {
    let messages = vec![vec![1, 2, 3], vec![], vec![7; 1_000]];
    let bytes = encode_all(&messages);
    let mut reader = codec("secret", "a");
    let mut read = Vec::new();
    for chunk in bytes.chunks(7) {
        reader.feed(&Bytes::copy_from_slice(chunk));
        while let Some(message) = reader.read().expect("good frames") {
            read.push(message);
        }
    }
    assert_eq!(read, messages);
}

#[test]
fn wrong_key_wrong_name_and_replay_are_refused() {
    let bytes = encode_all(&[vec![1]]);
    for mut reader in [codec("another", "a"), codec("secret", "c")] {
        reader.feed(&bytes);
        assert_eq!(reader.read(), Err(FrameError::Unauthenticated));
        assert!(!reader.authenticated);
    }
    let mut reader = codec("secret", "a");
    reader.feed(&bytes);
    assert_eq!(reader.read(), Ok(Some(vec![1])));
    reader.feed(&bytes);
    assert_eq!(reader.read(), Err(FrameError::Unauthenticated), "the same frame a second time");
}

#[test]
fn oversized_frame_is_refused_by_its_length() {
    assert_eq!(Frame::encode(&vec![u32::MAX; MAX_FRAME_BYTES / 4]), Err(FrameError::TooLarge));
    let mut reader = codec("secret", "a");
    // In `bincode`'s varint encoding, 252 announces a length of four bytes.
    let length = (MAX_FRAME_BYTES as u32 + 1).to_le_bytes();
    reader.feed(&Bytes::from([&[252], &length[..]].concat()));
    assert_eq!(reader.read(), Err(FrameError::TooLarge));
}

#[test]
fn invalid_length_is_refused() {
    for first in 253..=255 {
        let mut reader = codec("secret", "a");
        reader.feed(&Bytes::from(vec![first; 4]));
        assert_eq!(reader.read(), Ok(None), "more might come");
        reader.feed(&Bytes::from(vec![first; 4]));
        assert_eq!(reader.read(), Err(FrameError::Undecodable));
    }
}

#[test]
fn small_frame_has_nine_bytes_of_overhead() {
    let frame = Frame::encode(&vec![1u32]).expect("a small message");
    assert_eq!(encode_all(&[vec![1]]).len(), frame.0.len() + 9);
    assert_eq!(frame.wire_bytes(), frame.0.len() + 9 + 9);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_refused_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut reader = codec("secret", "a");
        reader.feed(&Bytes::from(bytes));
        prop_assert!(!matches!(reader.read(), Ok(Some(_))));
    }

    #[test]
    fn single_bit_flip_is_refused(at in 0..60usize, bit in 0..8u8) {
        let mut bytes = encode_all(&[vec![1, 2, 3, 4]]).to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        let mut reader = codec("secret", "a");
        reader.feed(&Bytes::from(bytes));
        prop_assert!(!matches!(reader.read(), Ok(Some(_))));
    }
}
