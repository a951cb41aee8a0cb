//! Interface to the servers.

use crate::Refusal;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpStream;

/// Opens connections to servers on behalf of other boxes.
pub trait Connector {
    /// Opens a connection to a server instance, without the help of another box.
    fn connect<'a>(&'a self, instance: &'a str) -> LocalBoxFuture<'a, Result<TcpStream, Refusal>>;

    /// Sets the socket options of a connection from another box.
    fn configure(&self, stream: &TcpStream);
}
