//! Opens network connections to servers.

use crate::connect_error::ConnectError;
use crate::connect_timeout::ConnectTimeout;
use crate::liveness::{enable_dead_peer_detection, enable_dead_server_detection};
use crate::tunnel_boxes::TunnelChoice;
use crate::Shared;
use placement::{Millis, Path, Way};
use routing::Server;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use telemetry::Event;
use tokio::net::TcpStream;
use tunnel::Refusal;

/// Time limit for opening a tunnel through one box. Several network round trips; a busy box may not be scheduled for some
/// time slices.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens connections to servers, directly or through other boxes, per traffic thread.
pub(crate) struct Dialer {
    shared: Arc<Shared>,
    tunnels: Option<tunnel::Client>,
    /// Time limit for direct connections.
    connect_timeout: Cell<ConnectTimeout>,
    /// This box's path to the servers.
    path: RefCell<Path>,
    tunnel_choice: RefCell<TunnelChoice>,
}

impl Dialer {
    /// Creates a dialer that uses no tunnels if `tunnels` is `None`.
    pub(crate) fn new(shared: Arc<Shared>, tunnels: Option<tunnel::Client>) -> Self {
        Self {
            shared,
            tunnels,
            connect_timeout: Cell::default(),
            path: RefCell::default(),
            tunnel_choice: RefCell::default(),
        }
    }

    /// Returns how to connect to a server instance.
    pub(crate) fn way(&self, instance: &str) -> Way {
        let way = self.path.borrow_mut().way(instance, self.shared.now());
        // Asked last: nearly all sends are direct, and the answer takes a lock that the control thread shares.
        if way == Way::Direct || self.has_tunnels() {
            way
        } else {
            Way::Direct
        }
    }

    /// True while this box's path to the server instance is lost.
    pub(crate) fn is_lost_to(&self, instance: &str) -> bool {
        self.path.borrow().is_lost_to(instance, self.shared.now()) && self.has_tunnels()
    }

    /// True while this box's path to all servers is lost.
    pub(crate) fn is_lost(&self) -> bool {
        self.path.borrow().is_lost() && self.has_tunnels()
    }

    /// True if there are other boxes to ask. A box without any can't tell a lost path from servers that are down.
    fn has_tunnels(&self) -> bool {
        self.tunnels.is_some() && !self.shared.peer_client.tunnel_boxes().is_empty()
    }

    /// True if direct connections to the server instance that are open already may still work.
    pub(crate) fn may_use_open(&self, instance: &str) -> bool {
        self.path.borrow().may_use_open(instance)
    }

    /// Records that bytes of a server arrived.
    pub(crate) fn record_heard(&self) {
        self.path.borrow_mut().record_heard(self.shared.now());
    }

    /// Returns when a request that was sent at `sent` and still waits is a reason to check this box's path.
    pub(crate) fn check_at(&self, sent: Millis) -> Millis {
        self.path.borrow().check_at(sent)
    }

    /// Returns true if the path should be checked now for that request.
    pub(crate) fn begin_check(&self, sent: Millis) -> bool {
        self.path.borrow_mut().begin_check(sent, self.shared.now())
    }

    /// True if a direct connection may be tried although this box's path is lost and no other box helps.
    pub(crate) fn may_try(&self, instance: &str) -> bool {
        self.path.borrow().may_try(instance, self.shared.now())
    }

    /// Opens a direct connection.
    pub(crate) async fn dial(&self, server: &Server) -> io::Result<TcpStream> {
        self.dial_within(server, Duration::MAX).await
    }

    /// Opens a direct connection within this time at most.
    pub(crate) async fn dial_within(&self, server: &Server, limit: Duration) -> io::Result<TcpStream> {
        let mut connect_timeout = self.connect_timeout.get();
        let timeout = connect_timeout.timeout().min(limit);
        let started = Instant::now();
        let connected = tokio::time::timeout(timeout, self.shared.network.connect(server.address)).await;
        // Other tasks may have updated the estimate in the meantime.
        connect_timeout = self.connect_timeout.get();
        match &connected {
            Ok(Ok(stream)) => {
                connect_timeout.record_connected(started.elapsed());
                enable_dead_server_detection(stream);
            }
            // An immediate refusal is no sample of the time that connections take.
            Ok(Err(_)) => {}
            Err(_) => connect_timeout.record_timeout(),
        }
        self.connect_timeout.set(connect_timeout);
        let connected = connected.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()));
        self.record_result(&server.id, connected.as_ref().err());
        connected
    }

    /// Counts the result of a direct connection, and logs when this box's path to the servers is lost or restored.
    fn record_result(&self, instance: &str, error: Option<&io::Error>) {
        let now = self.shared.now();
        let mut path = self.path.borrow_mut();
        let Some(why) = error else {
            if let Some(ms) = path.record_opened(instance, now) {
                telemetry::emit(Event::ServerPathRestored, format_args!("server={instance} ms={ms}"));
            }
            return;
        };
        metrics::counter!("cleatshelf_connections_failed_total", "why" => failure_label(why.kind())).increment(1);
        let refused = why.kind() == ErrorKind::ConnectionRefused;
        if let Some(servers) = path.record_failed(instance, refused, now) {
            telemetry::emit(Event::ServerPathLost, format_args!("servers={servers} why=\"{why}\""));
        }
    }

    /// Returns the boxes to ask for a tunnel, in this order.
    pub(crate) fn tunnel_candidates(&self) -> Vec<SocketAddr> {
        let boxes = self.shared.peer_client.tunnel_boxes();
        self.tunnel_choice.borrow_mut().candidates(&boxes, self.shared.now())
    }

    /// Opens a connection through one of these boxes. Returns it with the address of that box.
    pub(crate) async fn dial_tunnel(
        &self,
        candidates: &[SocketAddr],
        server: &Server,
    ) -> Result<(tunnel::Stream, SocketAddr), ConnectError> {
        let no_box = || ConnectError::NoPath("no box opened a tunnel".to_owned());
        let client = self.tunnels.as_ref().ok_or_else(no_box)?;
        let mut last = no_box();
        for &address in candidates {
            let opened = tokio::time::timeout(TUNNEL_TIMEOUT, client.open(address, &server.id)).await;
            last = match opened {
                Ok(Ok(stream)) => {
                    enable_dead_peer_detection(&stream);
                    return Ok((stream, address));
                }
                Ok(Err(tunnel::Error::Refused(Refusal::Refused))) => {
                    return Err(ConnectError::Server(ErrorKind::ConnectionRefused.into()));
                }
                Ok(Err(tunnel::Error::Refused(Refusal::Failed))) => {
                    return Err(ConnectError::Server(ErrorKind::TimedOut.into()));
                }
                Ok(Err(tunnel::Error::Refused(Refusal::NotListed))) => {
                    ConnectError::NoPath(Refusal::NotListed.as_str().to_owned())
                }
                Ok(Err(why)) => {
                    self.record_declined(address);
                    ConnectError::NoPath(why.to_string())
                }
                Err(_) => {
                    self.record_declined(address);
                    ConnectError::NoPath("tunnel timed out".to_owned())
                }
            };
        }
        Err(last)
    }

    fn record_declined(&self, address: SocketAddr) {
        self.tunnel_choice.borrow_mut().record_declined(address, self.shared.now());
    }
}

/// Returns the metric label of a failed connection.
fn failure_label(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::ConnectionRefused => "refused",
        ErrorKind::TimedOut => "timed_out",
        _ => "other",
    }
}
