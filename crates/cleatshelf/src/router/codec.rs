//! Encoding of values and configurations for other boxes.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{Read, Write};

/// Maximum decompressed size of a configuration from another box, somewhat more than a publisher's value holds.
const MAX_DECOMPRESSED_BYTES: u64 = 4 << 20;

/// Encodes and compresses a value. Uncompressed, the changes of a thousand servers take 120 KB, sent to each of a
/// hundred boxes.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding plain values can't fail.
    let bytes = bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default();
    compress(&bytes)
}

/// Decompresses and decodes a value from another box.
pub(super) fn decode<T: DeserializeOwned>(compressed: &[u8]) -> Result<T, String> {
    let bytes = decompress(compressed).map_err(|why| why.to_string())?;
    let decoded = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
    decoded.map(|(value, _)| value).map_err(|why| why.to_string())
}

/// Compresses a published configuration. Some hundred routes are 100 kB of text, and a box with a slow link sends it
/// to all others of its hall.
pub(super) fn compress(bytes: &[u8]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory can't fail.
    let _ = encoder.write_all(bytes);
    encoder.finish().unwrap_or_default()
}

/// Decompresses bytes from another box, up to [`MAX_DECOMPRESSED_BYTES`].
pub(super) fn decompress(compressed: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(compressed).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}
