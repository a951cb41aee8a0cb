//! Values and configurations as bytes for other boxes.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{Read, Write};

/// Largest configuration that another box may send, unpacked: some more than a publisher's value holds.
const PUBLISHED_MOST: u64 = 4 << 20;

/// A value as bytes for other boxes, packed: what becomes of a thousand servers is 120 KB as it is, for each of a hundred boxes.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Plain values can be encoded.
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default();
    pack(&bytes)
}

/// The value in bytes that another box packed.
pub(super) fn decode<T: DeserializeOwned>(packed: &[u8]) -> Result<T, String> {
    let bytes = unpack(packed).map_err(|why| why.to_string())?;
    let read = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
    read.map(|(value, _)| value).map_err(|why| why.to_string())
}

/// Packs a published configuration: some hundred routes are 100 kB of text, and a box with a slow link sends it to
/// all others of its hall.
pub(super) fn pack(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory can't fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// What another box packed, up to [`PUBLISHED_MOST`].
pub(super) fn unpack(packed: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(PUBLISHED_MOST).read_to_end(&mut bytes)?;
    Ok(bytes)
}
