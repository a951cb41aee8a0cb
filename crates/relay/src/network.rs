//! Interface to the network between this box and the servers.

use futures_util::future::{BoxFuture, FutureExt};
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens connections to servers.
pub trait Network: Send + Sync {
    /// Opens a connection to the server at this address. The caller limits the time.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>>;
}

/// The network of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        TcpStream::connect(address).boxed()
    }
}
