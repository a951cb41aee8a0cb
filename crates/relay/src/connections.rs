//! Connections to servers, kept for reuse.

use crate::connect_timeout::ConnectTimeout;
use crate::liveness::enable_dead_peer_detection;
use crate::resettable_stream::ResettableStream;
use bytes::Bytes;
use clock::Clock;
use http::{header, HeaderMap};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use placement::Millis;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// How long an unused connection is kept when its server says nothing of it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How much earlier than its server a connection is given up, so that no request meets its end.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Most unused connections to one server.
const MAX_IDLE_PER_SERVER: usize = 24;

/// Largest buffer of a connection in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Ends the connection's task, and with it the connection.
    task: AbortHandle,
    /// How long it may rest.
    idle_timeout: Duration,
    /// Set while an exchange is not over: dropped then, the connection is reset.
    busy: Rc<Cell<bool>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.busy.get() {
            self.task.abort();
        }
    }
}

/// A connection, and since when it rests. By a clock that counts while the machine is suspended: its server's does.
type IdleConnection = (Connection, Millis);

/// Unused connections by server life, of one traffic thread.
#[derive(Clone)]
pub(crate) struct Connections {
    clock: Arc<dyn Clock>,
    idle: Rc<RefCell<HashMap<String, Vec<IdleConnection>>>>,
    /// How long new ones took lately.
    connect_timeout: Rc<Cell<ConnectTimeout>>,
}

impl Connections {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Rc::default(), connect_timeout: Rc::default() }
    }

    /// A connection to a server: the one used last that still stands, or a new one.
    pub(crate) async fn open(&self, instance: &str, address: SocketAddr) -> std::io::Result<Connection> {
        match self.take_idle(instance) {
            Some(connection) => Ok(connection),
            None => self.open_new(address).await,
        }
    }

    /// Whether a server takes new connections; one that comes about is kept for use.
    pub(crate) async fn probe(&self, instance: &str, address: SocketAddr) -> std::io::Result<()> {
        let connection = self.open_new(address).await?;
        self.release(instance, connection, &HeaderMap::new());
        Ok(())
    }

    async fn open_new(&self, address: SocketAddr) -> std::io::Result<Connection> {
        let mut connect_timeout = self.connect_timeout.get();
        let started = Instant::now();
        let connected = tokio::time::timeout(connect_timeout.timeout(), connect(address)).await;
        // Others may have connected meanwhile.
        connect_timeout = self.connect_timeout.get();
        match &connected {
            Ok(Ok(_)) => connect_timeout.record_connected(started.elapsed()),
            // Refused at once: says nothing of how long connections take.
            Ok(Err(_)) => {}
            Err(_) => connect_timeout.record_timeout(),
        }
        self.connect_timeout.set(connect_timeout);
        connected.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
    }

    fn take_idle(&self, instance: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(instance)?;
        while let Some((connection, since)) = connections.pop() {
            if self.is_usable(&connection, since) && connection.sender.is_ready() {
                connection.busy.set(true);
                return Some(connection);
            }
        }
        idle.remove(instance);
        None
    }

    /// True while a connection that rests since then may be used.
    fn is_usable(&self, connection: &Connection, since: Millis) -> bool {
        u128::from(self.clock.now().saturating_sub(since)) < connection.idle_timeout.as_millis()
    }

    /// Keeps a connection whose exchange is over, unless its server wants it closed.
    pub(crate) fn release(&self, instance: &str, mut connection: Connection, headers: &HeaderMap) {
        let Some(idle_timeout) = idle_timeout(headers) else { return };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(instance.to_owned()).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connection.idle_timeout = idle_timeout;
            connection.busy.set(false);
            connections.push((connection, self.clock.now()));
        }
    }

    /// Closes what has rested too long, and all connections to lives that are not listed.
    pub(crate) fn prune(&self, listed: impl Fn(&str) -> bool) {
        self.idle.borrow_mut().retain(|instance, connections| {
            connections.retain(|(c, since)| self.is_usable(c, *since) && !c.sender.is_closed());
            !connections.is_empty() && listed(instance)
        });
    }
}

/// How long a connection may rest after an answer with these headers; none when it is to be closed.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: header::HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
    if text(header::CONNECTION).to_ascii_lowercase().contains("close") {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|v| v.to_str().ok()).unwrap_or_default();
    let timeout = keep_alive.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let Some(seconds) = timeout.and_then(|t| t.trim().parse::<u64>().ok()) else { return Some(IDLE_TIMEOUT) };
    Duration::from_secs(seconds).checked_sub(IDLE_MARGIN)
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    enable_dead_peer_detection(&stream);
    let busy = Rc::new(Cell::new(true));
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake::<_, Full<Bytes>>(ResettableStream::new(stream, Rc::clone(&busy)))
        .await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(why) = connection.await {
            // The exchange that runs on it sees its own error; an idle one is dropped at its next use.
            log::trace!(target: "cleatshelf", "connection to {address}: {why}");
        }
    });
    metrics::counter!("cleatshelf_connections_opened_total").increment(1);
    Ok(Connection { sender, task: task.abort_handle(), idle_timeout: IDLE_TIMEOUT, busy })
}
