//! The messages that precede the bytes of a tunnel.
//!
//! The listener sends a challenge, the client the instance that it wants, and the listener its reply. Both messages are
//! authenticated frames behind a length of two bytes. Neither side reads further than the message, since the server's
//! bytes may follow immediately.
//!
//! What follows is as authentic as a connection to a server, whose bytes are not authenticated either.

use crate::Refusal;
use bytes::{Bytes, BytesMut};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{Codec, Frame, Key};

/// Number of hexadecimal digits of the challenge.
const CHALLENGE_DIGITS: usize = 32;

/// Name of the client side in the session keys. Differs from all names of boxes, which are addresses, so that frames of
/// links are no valid handshakes. States the version of what follows the handshake: boxes of different versions refuse
/// each other, since the bytes of one that sends no records have no provable end.
const CLIENT_NAME: &str = "tunnel/2";

/// Asks for a connection to a server instance.
#[derive(Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Id of the instance.
    pub(crate) instance: String,
}

/// The reply to a [`Hello`]: an error if there is no connection.
pub(crate) type Reply = Result<(), Refusal>;

/// The codecs of both directions.
pub(crate) struct Codecs {
    pub(crate) hello: Codec<Hello>,
    pub(crate) reply: Codec<Reply>,
}

impl Codecs {
    /// Creates the codecs of the client, which receives the challenge, for the box `listener`.
    pub(crate) async fn accept_challenge(stream: &mut TcpStream, key: &Key, listener: &str) -> io::Result<Self> {
        let mut digits = [0; CHALLENGE_DIGITS];
        stream.read_exact(&mut digits).await?;
        let challenge = std::str::from_utf8(&digits).map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        Ok(Self::new(key, challenge, listener))
    }

    /// Creates the codecs of the box `listener`, and sends the challenge.
    pub(crate) async fn send_challenge(stream: &mut TcpStream, key: &Key, listener: &str) -> io::Result<Self> {
        let challenge = format!("{:0CHALLENGE_DIGITS$x}", rand::rng().random::<u128>());
        stream.write_all(challenge.as_bytes()).await?;
        Ok(Self::new(key, &challenge, listener))
    }

    fn new(key: &Key, challenge: &str, listener: &str) -> Self {
        Self {
            hello: Codec::new(key.session(challenge, CLIENT_NAME, listener)),
            reply: Codec::new(key.session(challenge, listener, CLIENT_NAME)),
        }
    }
}

/// Sends a message.
pub(crate) async fn send<T: Serialize + DeserializeOwned>(
    stream: &mut TcpStream,
    codec: &mut Codec<T>,
    message: &T,
) -> io::Result<()> {
    let invalid = || io::Error::from(ErrorKind::InvalidInput);
    let frame = Frame::encode(message).map_err(|_| invalid())?;
    let mut bytes = BytesMut::new();
    codec.write(&frame, &mut bytes);
    let length = u16::try_from(bytes.len()).map_err(|_| invalid())?;
    let mut out = BytesMut::from(&length.to_be_bytes()[..]);
    out.extend_from_slice(&bytes);
    stream.write_all(&out).await
}

/// Receives a message.
pub(crate) async fn receive<T: DeserializeOwned>(stream: &mut TcpStream, codec: &mut Codec<T>) -> io::Result<T> {
    let mut bytes = vec![0; stream.read_u16().await?.into()];
    stream.read_exact(&mut bytes).await?;
    codec.feed(&Bytes::from(bytes));
    codec.read().ok().flatten().ok_or_else(|| ErrorKind::InvalidData.into())
}
