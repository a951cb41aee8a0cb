//! One frame: length, proof, and a value in `bincode`.

use crate::key::{Session, PROOF};
use bytes::{Buf, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::marker::PhantomData;

/// The largest frame's payload in bytes: a release part of a megabyte and a little more.
pub const FRAME_MOST: usize = 1_100_000;

const LENGTH: usize = 4;

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// It is larger than [`FRAME_MOST`].
    TooLarge,
    /// Its proof is wrong.
    Unproved,
    /// Its bytes are no message of this version.
    Unreadable,
}

/// A message as bytes, not yet proved for a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(pub Vec<u8>);

impl Frame {
    /// The frame of a message.
    ///
    /// # Errors
    /// When the message can't be encoded or is larger than [`FRAME_MOST`].
    pub fn of<T: Serialize>(message: &T) -> Result<Self, Malformed> {
        let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
        let bytes = bytes.map_err(|_| Malformed::Unreadable)?;
        if bytes.len() > FRAME_MOST {
            return Err(Malformed::TooLarge);
        }
        Ok(Self(bytes))
    }
}

/// Writes and reads the frames of one stream.
pub struct Codec<T> {
    session: Session,
    buffer: BytesMut,
    /// True once a frame was proved.
    pub proved: bool,
    message: PhantomData<T>,
}

impl<T: DeserializeOwned> Codec<T> {
    /// A codec for the stream with this session.
    #[must_use]
    pub fn new(session: Session) -> Self {
        Self { session, buffer: BytesMut::new(), proved: false, message: PhantomData }
    }

    /// Appends a frame to `out`.
    pub fn write(&mut self, frame: &Frame, out: &mut BytesMut) {
        out.extend_from_slice(&(frame.0.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.session.prove(&frame.0));
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
    pub fn read(&mut self) -> Result<Option<T>, Malformed> {
        if self.buffer.len() < LENGTH {
            return Ok(None);
        }
        let length = u32::from_le_bytes([self.buffer[0], self.buffer[1], self.buffer[2], self.buffer[3]]) as usize;
        if length > FRAME_MOST {
            return Err(Malformed::TooLarge);
        }
        if self.buffer.len() < LENGTH + PROOF + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH);
        let proof = self.buffer.split_to(PROOF);
        let payload = self.buffer.split_to(length);
        if !self.session.check(&payload, &proof) {
            return Err(Malformed::Unproved);
        }
        self.proved = true;
        let config = bincode::config::standard().with_limit::<{ 2 * FRAME_MOST }>();
        match bincode::serde::decode_from_slice(&payload, config) {
            Ok((message, used)) if used == payload.len() => Ok(Some(message)),
            _ => Err(Malformed::Unreadable),
        }
    }
}
