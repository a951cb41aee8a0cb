//! Messages from this box to one peer.

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

/// Most frames that wait for a peer; more are dropped, as the network might drop them.
const QUEUE_MOST: usize = 8_192;

/// Shortest and longest wait before connecting again.
const BACKOFF_LEAST: Duration = Duration::from_millis(50);
const BACKOFF_MOST: Duration = Duration::from_millis(500);

/// Longest wait for a connection and for the listener's challenge.
const OPEN_MOST: Duration = Duration::from_secs(1);

/// How long after a write the peer is asked whether it still hears, and how long its answer is waited for. A connection
/// may fall silent for good without a reset; both together are below the shortest bound for news, 2 s.
const PING_AFTER: Duration = Duration::from_millis(900);
const PONG_MOST: Duration = Duration::from_millis(900);

/// Most bytes gathered into one write.
const BATCH_MOST: usize = 64 * 1024;

/// The way from this box to one peer. Connects by itself, again and again; must be made on a local set.
pub struct Link<T> {
    queue: mpsc::Sender<Frame>,
    sent: Rc<Cell<u64>>,
    message: PhantomData<T>,
}

/// Who the two ends are.
struct Ends {
    key: Key,
    from: String,
    to: String,
    address: SocketAddr,
}

impl<T: Serialize + DeserializeOwned + 'static> Link<T> {
    /// A link from the box `from` to the box `to`. `broke` is called whenever it breaks or can't be made.
    #[must_use]
    pub fn open(key: &Key, from: &str, to: &str, address: SocketAddr, broke: Box<dyn Fn()>) -> Self {
        let (queue, frames) = mpsc::channel(QUEUE_MOST);
        let ends = Ends { key: key.clone(), from: from.to_owned(), to: to.to_owned(), address };
        let sent = Rc::new(Cell::new(0));
        actix_rt::spawn(run::<T>(ends, frames, broke, Rc::clone(&sent)));
        Self { queue, sent, message: PhantomData }
    }

    /// Sends a message, or drops it when too many wait. False says that it was dropped.
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

    /// Bytes written to the peer so far, frames with their proofs.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.sent.get()
    }
}

async fn run<T: DeserializeOwned>(
    ends: Ends,
    mut frames: mpsc::Receiver<Frame>,
    broke: Box<dyn Fn()>,
    sent: Rc<Cell<u64>>,
) {
    let mut backoff = BACKOFF_LEAST;
    loop {
        if let Ok(Ok(mut opened)) = tokio::time::timeout(OPEN_MOST, connect::<T>(&ends)).await {
            backoff = BACKOFF_LEAST;
            if carry(&mut opened, &mut frames, &sent).await.is_ok() {
                // What was written last is still on its way.
                return;
            }
            opened.task.abort();
        }
        if frames.is_closed() {
            return;
        }
        broke();
        // What waited is old by now; a peer that comes back needs the present, not the past.
        while frames.try_recv().is_ok() {}
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(BACKOFF_MOST);
    }
}

/// A connection that stands.
struct Opened<T> {
    stream: SendStream<Bytes>,
    codec: Codec<T>,
    ping: PingPong,
    /// Drives the connection; aborted, it is closed.
    task: JoinHandle<()>,
}

async fn connect<T: DeserializeOwned>(ends: &Ends) -> Result<Opened<T>, h2::Error> {
    let refused = || h2::Error::from(h2::Reason::REFUSED_STREAM);
    let tcp = TcpStream::connect(ends.address).await.map_err(|_| refused())?;
    tcp.set_nodelay(true).map_err(|_| refused())?;
    let (sender, mut connection) = h2::client::handshake(tcp).await?;
    let ping = connection.ping_pong().ok_or_else(refused)?;
    let task = actix_rt::spawn(async move {
        // Its end shows on the stream as well, where it is dealt with.
        let _ = connection.await;
    });
    let mut sender: SendRequest<Bytes> = sender.ready().await?;
    let request = http::Request::post("http://box/link")
        .header("from", &ends.from)
        .header("version", VERSION)
        .body(())
        .map_err(|_| refused())?;
    let (response, stream) = sender.send_request(request, false)?;
    let response = response.await?;
    let challenge = response.headers().get("challenge").and_then(|c| c.to_str().ok()).ok_or_else(refused)?;
    let session = ends.key.session(challenge, &ends.from, &ends.to);
    Ok(Opened { stream, codec: Codec::new(session), ping, task })
}

/// Carries frames until the link breaks (an error) or nobody will send any more.
async fn carry<T: DeserializeOwned>(
    opened: &mut Opened<T>,
    frames: &mut mpsc::Receiver<Frame>,
    sent: &Cell<u64>,
) -> Result<(), h2::Error> {
    let Opened { stream, codec, ping, .. } = opened;
    let wrote = Cell::new(false);
    tokio::select! {
        ended = write(stream, codec, frames, sent, &wrote) => ended,
        silent = listen(ping, &wrote) => Err(silent),
    }
}

/// Asks the peer now and then whether it hears, as long as something was written since. Ends when it does not.
async fn listen(ping: &mut PingPong, wrote: &Cell<bool>) -> h2::Error {
    loop {
        tokio::time::sleep(PING_AFTER).await;
        if !wrote.replace(false) {
            continue;
        }
        match tokio::time::timeout(PONG_MOST, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(why)) => return why,
            Err(_) => return h2::Reason::CANCEL.into(),
        }
    }
}

async fn write<T: DeserializeOwned>(
    stream: &mut SendStream<Bytes>,
    codec: &mut Codec<T>,
    frames: &mut mpsc::Receiver<Frame>,
    sent: &Cell<u64>,
    wrote: &Cell<bool>,
) -> Result<(), h2::Error> {
    loop {
        let first = tokio::select! {
            frame = frames.recv() => frame,
            reset = std::future::poll_fn(|cx| stream.poll_reset(cx)) => return Err(reset?.into()),
        };
        let Some(first) = first else { return Ok(()) };
        let mut out = BytesMut::new();
        codec.write(&first, &mut out);
        while out.len() < BATCH_MOST {
            let Ok(frame) = frames.try_recv() else { break };
            codec.write(&frame, &mut out);
        }
        sent.set(sent.get() + out.len() as u64);
        wrote.set(true);
        send_all(stream, out.freeze()).await?;
    }
}

async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or_else(|| h2::Error::from(h2::Reason::CANCEL))??;
        let now = bytes.split_to(granted.min(bytes.len()));
        stream.send_data(now, false)?;
    }
    Ok(())
}
