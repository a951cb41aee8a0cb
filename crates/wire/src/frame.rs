//! One frame: length, proof, and a value in `bincode`.

use crate::key::{Session, TAG_BYTES};
use bytes::{Buf, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::marker::PhantomData;

/// The largest frame's payload in bytes: a release part of a megabyte and a little more.
pub const MAX_FRAME_BYTES: usize = 1_100_000;

/// Most bytes of a frame's length, which is written as `bincode` writes a whole number.
const MAX_LENGTH_BYTES: usize = 5;

/// Bytes that HTTP/2 puts around what is written at once.
const DATA_FRAME_HEADER_BYTES: usize = 9;

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It is larger than [`MAX_FRAME_BYTES`].
    TooLarge,
    /// Its proof is wrong.
    Unauthenticated,
    /// Its bytes are no message of this version.
    Undecodable,
}

/// A message as bytes, not yet proved for a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(pub Vec<u8>);

impl Frame {
    /// The frame of a message.
    ///
    /// # Errors
    /// When the message can't be encoded or is larger than [`MAX_FRAME_BYTES`].
    pub fn encode<T: Serialize>(message: &T) -> Result<Self, FrameError> {
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
        let bytes = bytes.map_err(|_| FrameError::Undecodable)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge);
        }
        Ok(Self(bytes))
    }

    /// Bytes of a frame of its own on the connection: with its length, its proof and the head of HTTP/2.
    #[must_use]
    pub fn wire_bytes(&self) -> usize {
        encode_length(self.0.len()).len() + TAG_BYTES + self.0.len() + DATA_FRAME_HEADER_BYTES
    }
}

fn encode_length(payload: usize) -> Vec<u8> {
    // A whole number can always be encoded.
    bincode::serde::encode_to_vec(payload as u32, bincode::config::standard()).unwrap_or_default()
}

/// The length that `bytes` begin with and its own size; none while it isn't all there.
fn decode_length(bytes: &[u8]) -> Option<(usize, usize)> {
    let head = &bytes[..bytes.len().min(MAX_LENGTH_BYTES)];
    let read = bincode::serde::decode_from_slice::<u32, _>(head, bincode::config::standard());
    read.ok().map(|(length, size)| (length as usize, size))
}

/// Writes and reads the frames of one stream.
pub struct Codec<T> {
    session: Session,
    buffer: BytesMut,
    /// True once a frame was proved.
    pub authenticated: bool,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> Codec<T> {
    /// A codec for the stream with this session.
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

    /// Takes in bytes of the stream.
    pub fn feed(&mut self, bytes: &Bytes) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message, if one is there.
    ///
    /// # Errors
    /// When the frame is refused; the stream must then be closed.
    pub fn read(&mut self) -> Result<Option<T>, FrameError> {
        let Some((length, size)) = decode_length(&self.buffer) else {
            // A length that is whole and still can't be read is no length.
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
