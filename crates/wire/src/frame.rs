//! Frames: a length, an authentication tag and a `bincode` payload.

use crate::key::{Session, TAG_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::marker::PhantomData;

/// Size limit of a frame's payload: a release part of one megabyte plus its envelope.
pub const MAX_FRAME_BYTES: usize = 1_100_000;

/// Size limit of the length field, a `bincode` varint.
const MAX_LENGTH_BYTES: usize = 5;

/// Size of the HTTP/2 frame header around each write.
const DATA_FRAME_HEADER_BYTES: usize = 9;

/// The reason why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is larger than [`MAX_FRAME_BYTES`].
    TooLarge,
    /// Its authentication tag is wrong.
    Unauthenticated,
    /// Its payload is no message of this version.
    Undecodable,
}

/// An encoded message without the authentication tag, which depends on the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(pub Vec<u8>);

impl Frame {
    /// Encodes a message.
    ///
    /// # Errors
    /// Returns an error if the message can't be encoded or is larger than [`MAX_FRAME_BYTES`].
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, FrameError> {
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
        let bytes = bytes.map_err(|_| FrameError::Undecodable)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        Ok(Self(bytes))
    }

    /// Returns the size on the connection if sent alone: length, tag, payload and HTTP/2 frame header.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        encode_length(self.0.len()).len() + TAG_BYTES + self.0.len() + DATA_FRAME_HEADER_BYTES
    }
}

fn encode_length(payload: usize) -> Vec<u8> {
    // Encoding an integer can't fail.
    bincode::serde::encode_to_vec(payload as u32, bincode::config::standard()).unwrap_or_default()
}

/// Decodes the length field at the beginning of `bytes`. Returns the length and the size of the field, or `None` if it
/// is incomplete or invalid.
fn decode_length(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = &bytes[..bytes.len().min(MAX_LENGTH_BYTES)];
    let read = bincode::serde::decode_from_slice::<u32, _>(head, bincode::config::standard());
    read.ok().map(|(length, size)| (length as usize, size))
}

/// Encodes and decodes the frames of one stream.
pub struct Codec<T> {
    session: Session,
    buffer: BytesMut,
    /// True once a frame was authenticated.
    pub authenticated: bool,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> Codec<T> {
    /// Creates a codec for the stream with this session.
    #[must_use]
    pub fn new(session: Session) -> Self {
        Self { session, buffer: BytesMut::new(), authenticated: false, message: PhantomData }
    }

    /// Appends a frame to `out`.
    pub fn write(&mut self, frame: &Frame, out: &mut BytesMut) {
        out.extend_from_slice(&encode_length(frame.0.len()));
        out.extend_from_slice(&self.session.next_tag(&frame.0));
        out.extend_from_slice(&frame.0);
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &Bytes) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete message, if there is one.
    ///
    /// # Errors
    /// Returns an error if the frame is refused. The stream must be closed then.
    pub fn read(&mut self) -> Result<Option<T>, FrameError> {
        let Some((length, size)) = decode_length(&self.buffer) else {
            // With all possible bytes present, a length that can't be decoded is invalid.
            return if self.buffer.len() < MAX_LENGTH_BYTES { Ok(None) } else { Err(FrameError::Undecodable) };
        };
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        if self.buffer.len() < size + TAG_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(size);
        let tag = self.buffer.split_to(TAG_BYTES);
        let payload = self.buffer.split_to(length);
        if !self.session.verify(&payload, &tag) {
            return Err(FrameError::Unauthenticated);
        }
        self.authenticated = true;
        let config = bincode::config::standard().with_limit::<{ 2 * MAX_FRAME_BYTES }>();
        match bincode::serde::decode_from_slice(&payload, config) {
            Ok((message, used)) if used == payload.len() => Ok(Some(message)),
            _ => Err(FrameError::Undecodable),
        }
    }
}
