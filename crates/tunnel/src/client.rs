//! The box that asks for tunnels.

use crate::handshake::{self, Codecs, Hello};
use crate::{Error, Stream};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use wire::Key;

/// Opens tunnels through other boxes.
#[derive(Clone, Debug)]
pub struct Client {
    key: Key,
}

impl Client {
    /// Creates a client with the key that all boxes share.
    #[must_use]
    pub fn new(key: Key) -> Self {
        Self { key }
    }

    /// Opens a connection to a server instance through the box whose listener has this address. The caller limits the
    /// time. No byte reaches the server before this returns.
    ///
    /// # Errors
    /// If the box can't be reached, or opens no connection.
    pub async fn open(&self, address: SocketAddr, instance: &str) -> Result<Stream, Error> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut codecs = Codecs::accept_challenge(&mut stream, &self.key, &address.to_string()).await?;
        let hello = Hello { instance: instance.to_owned() };
        handshake::send(&mut stream, &mut codecs.hello, &hello).await?;
        let reply = handshake::receive(&mut stream, &mut codecs.reply).await?;
        reply.map_err(Error::Refused)?;
        Ok(Stream::new(stream))
    }
}
