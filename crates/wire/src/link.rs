//! Links: outgoing messages to one peer.

use crate::{Codec, Frame, Key, VERSION};
use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{Ping, PingPong, SendStream};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::Cell;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Maximum number of frames queued for a peer. Further frames are dropped; delivery isn't guaranteed in any case.
const MAX_QUEUED_FRAMES: usize = 8_192;

/// Bounds of the delay before a reconnection.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Time limit for opening a connection and receiving the listener's challenge.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay of the ping after a write, and the time limit for its reply. A connection may become silent permanently
/// without a reset. The sum is below 2 s, the shortest time limit for updates between boxes.
const PING_INTERVAL: Duration = Duration::from_millis(900);
const PONG_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of bytes after which no more frames are added to a write.
const MAX_BATCH_BYTES: usize = 64 * 1024;

/// A link from this box to one peer. Reconnects automatically. Must be created inside a `LocalSet`.
pub struct Link<T> {
    queue: mpsc::Sender<Frame>,
    sent_bytes: Rc<Cell<u64>>,
    message: PhantomData<T>,
}

/// The two ends of a link.
struct Endpoints {
    key: Key,
    from: String,
    to: String,
    address: SocketAddr,
}

impl<T: Serialize + DeserializeOwned + 'static> Link<T> {
    /// Opens a link from the box `from` to the box `to`. `on_disconnect` is called whenever the connection is lost or
    /// can't be opened.
    #[must_use]
    pub fn open(key: &Key, from: &str, to: &str, address: SocketAddr, on_disconnect: Box<dyn Fn()>) -> Self {
        let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let endpoints = Endpoints { key: key.clone(), from: from.to_owned(), to: to.to_owned(), address };
        let sent_bytes = Rc::new(Cell::new(0));
        actix_rt::spawn(run::<T>(endpoints, frames, on_disconnect, Rc::clone(&sent_bytes)));
        Self { queue, sent_bytes, message: PhantomData }
    }

    /// Queues a message. Returns false if it was dropped, because the queue is full or the message can't be encoded.
    pub fn send(&self, message: &T) -> bool {
        let Ok(frame) = Frame::encode(message) else {
            metrics::counter!("cleatshelf_frames_dropped_total").increment(1);
            return false;
        };
        let queued = self.queue.try_send(frame).is_ok();
        if !queued {
            metrics::counter!("cleatshelf_frames_dropped_total").increment(1);
        }
        queued
    }

    /// Returns the number of bytes sent so far, frames with their tags.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.sent_bytes.get()
    }
}

async fn run<T: DeserializeOwned>(
    endpoints: Endpoints,
    mut frames: mpsc::Receiver<Frame>,
    on_disconnect: Box<dyn Fn()>,
    sent_bytes: Rc<Cell<u64>>,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        if let Ok(Ok(mut connection)) = tokio::time::timeout(CONNECT_TIMEOUT, connect::<T>(&endpoints)).await {
            backoff = MIN_BACKOFF;
            if transmit(&mut connection, &mut frames, &sent_bytes).await.is_ok() {
                // Don't abort the connection: the last write is still in transit.
                return;
            }
            connection.task.abort();
        }
        if frames.is_closed() {
            return;
        }
        on_disconnect();
        // Drop the queued frames: they are outdated, and a peer that returns needs current state only.
        while frames.try_recv().is_ok() {}
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// An open connection.
struct Connection<T> {
    stream: SendStream<Bytes>,
    codec: Codec<T>,
    ping: PingPong,
    /// Drives the connection; aborting it closes the connection.
    task: JoinHandle<()>,
}

async fn connect<T: DeserializeOwned>(endpoints: &Endpoints) -> Result<Connection<T>, h2::Error> {
    let refused = || h2::Error::from(h2::Reason::REFUSED_STREAM);
    let tcp = TcpStream::connect(endpoints.address).await.map_err(|_| refused())?;
    tcp.set_nodelay(true).map_err(|_| refused())?;
    let (sender, mut connection) = h2::client::handshake(tcp).await?;
    let ping = connection.ping_pong().ok_or_else(refused)?;
    let task = actix_rt::spawn(async move {
        // The stream reports the same error, where it is handled.
        let _ = connection.await;
    });
    let mut sender: SendRequest<Bytes> = sender.ready().await?;
    let request = http::Request::post("http://box/link")
        .header("from", &endpoints.from)
        .header("version", VERSION)
        .body(())
        .map_err(|_| refused())?;
    let (response, stream) = sender.send_request(request, false)?;
    let response = response.await?;
    let challenge = response.headers().get("challenge").and_then(|c| c.to_str().ok()).ok_or_else(refused)?;
    let session = endpoints.key.session(challenge, &endpoints.from, &endpoints.to);
    Ok(Connection { stream, codec: Codec::new(session), ping, task })
}

/// Sends frames until the connection is lost (an error) or the link is dropped.
async fn transmit<T: DeserializeOwned>(
    connection: &mut Connection<T>,
    frames: &mut mpsc::Receiver<Frame>,
    sent_bytes: &Cell<u64>,
) -> Result<(), h2::Error> {
    let Connection { stream, codec, ping, .. } = connection;
    let written_since_ping = Cell::new(false);
    tokio::select! {
        result = write(stream, codec, frames, sent_bytes, &written_since_ping) => result,
        error = monitor_peer(ping, &written_since_ping) => Err(error),
    }
}

/// Pings the peer while frames are being written. Returns an error if it doesn't reply in time.
async fn monitor_peer(ping: &mut PingPong, written_since_ping: &Cell<bool>) -> h2::Error {
    loop {
        tokio::time::sleep(PING_INTERVAL).await;
        if !written_since_ping.replace(false) {
            continue;
        }
        match tokio::time::timeout(PONG_TIMEOUT, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return error,
            Err(_) => return h2::Reason::CANCEL.into(),
        }
    }
}

async fn write<T: DeserializeOwned>(
    stream: &mut SendStream<Bytes>,
    codec: &mut Codec<T>,
    frames: &mut mpsc::Receiver<Frame>,
    sent_bytes: &Cell<u64>,
    written_since_ping: &Cell<bool>,
) -> Result<(), h2::Error> {
    loop {
        let first = tokio::select! {
            frame = frames.recv() => frame,
            reset = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Err(reset?.into()),
        };
        let Some(first) = first else { return Ok(()) };
        let mut out = BytesMut::new();
        codec.write(&first, &mut out);
        while out.len() < MAX_BATCH_BYTES {
            let Ok(frame) = frames.try_recv() else { break };
            codec.write(&frame, &mut out);
        }
        sent_bytes.set(sent_bytes.get() + out.len() as u64);
        written_since_ping.set(true);
        send_all(stream, out.freeze()).await?;
    }
}

async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or_else(|| h2::Error::from(h2::Reason::CANCEL))??;
        let chunk = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(chunk, false)?;
    }
    Ok(())
}
