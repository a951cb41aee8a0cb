//! Opens connections to servers for other boxes.

use crate::connections::Connections;
use crate::liveness::enable_dead_peer_detection;
use crate::Shared;
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::io::ErrorKind;
use std::sync::Arc;
use tokio::net::TcpStream;
use tunnel::Refusal;

/// Opens connections to listed servers for other boxes.
pub(crate) struct TunnelConnector {
    pub(crate) shared: Arc<Shared>,
    pub(crate) connections: Connections,
}

impl TunnelConnector {
    async fn open(&self, instance: &str) -> Result<TcpStream, Refusal> {
        if self.shared.is_stopping() {
            return Err(Refusal::Busy);
        }
        let server = self.shared.placement().listed(instance).cloned().ok_or(Refusal::NotListed)?;
        if !self.connections.may_open_stream(instance) {
            return Err(self.refusal(ErrorKind::TimedOut));
        }
        self.connections.open_stream(&server).await.map_err(|why| self.refusal(why.kind()))
    }

    /// Returns what a failed connection to a server says to another box. If only this server fails, that is a statement
    /// about the server.
    fn refusal(&self, failure: ErrorKind) -> Refusal {
        match failure {
            _ if self.connections.is_lost() => Refusal::NoPath,
            ErrorKind::ConnectionRefused => Refusal::Refused,
            _ => Refusal::Failed,
        }
    }
}

impl tunnel::Connector for TunnelConnector {
    fn connect<'a>(&'a self, instance: &'a str) -> LocalBoxFuture<'a, Result<TcpStream, Refusal>> {
        self.open(instance).boxed_local()
    }

    fn configure(&self, stream: &TcpStream) {
        enable_dead_peer_detection(stream);
    }
}
