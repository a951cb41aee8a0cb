//! Listening ports of a box.

use eyre::WrapErr;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use telemetry::Event;

/// Interval between attempts to listen on a port that is in use.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A port on which a box listens as soon as it is free.
///
/// The port of a process that was killed may be taken by an outgoing connection, also by one of another process, until
/// that is closed and a minute has passed. A box that ended because of it would serve no better after the next start.
pub(super) struct Port {
    address: SocketAddr,
    /// `None` while the port is in use.
    listener: Option<TcpListener>,
}

impl Port {
    /// Listens on a port, if it is free.
    ///
    /// # Errors
    /// If the port can't be listened on for any other reason than that it is in use.
    pub(super) fn open(address: SocketAddr) -> eyre::Result<Self> {
        match TcpListener::bind(address) {
            Ok(listener) => Ok(Self { address, listener: Some(listener) }),
            Err(why) if why.kind() == ErrorKind::AddrInUse => {
                telemetry::emit(Event::PortInUse, format_args!("address={address}"));
                Ok(Self { address, listener: None })
            }
            Err(why) => Err(why).wrap_err_with(|| format!("can't listen on {address}")),
        }
    }

    /// Waits until the port is free, and returns the listener.
    ///
    /// # Errors
    /// If the port can't be listened on for any other reason than that it is in use.
    pub(super) async fn listener(self) -> std::io::Result<tokio::net::TcpListener> {
        let listener = match self.listener {
            Some(listener) => listener,
            None => wait_until_free(self.address).await?,
        };
        listener.set_nonblocking(true)?;
        tokio::net::TcpListener::from_std(listener)
    }
}

async fn wait_until_free(address: SocketAddr) -> std::io::Result<TcpListener> {
    loop {
        actix_rt::time::sleep(RETRY_INTERVAL).await;
        match TcpListener::bind(address) {
            Err(why) if why.kind() == ErrorKind::AddrInUse => {}
            bound => return bound,
        }
    }
}

/// Waits for a listener and passes it to `serve`. A failure is logged: the box goes on without this port.
pub(super) async fn serve_at<F: std::future::Future<Output = ()>>(
    port: Port,
    serve: impl FnOnce(tokio::net::TcpListener) -> F,
) {
    let address = port.address;
    match port.listener().await {
        Ok(listener) => serve(listener).await,
        Err(why) => telemetry::emit(Event::StartFailed, format_args!("address={address} why=\"{why}\"")),
    }
}
