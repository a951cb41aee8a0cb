//! TCP relay that can cut, delay or freeze a link.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

const BUFFER_BYTES: usize = 64 * 1024;

/// Behaviour of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards bytes with a delay in milliseconds.
    Pass(u64),
    /// Closes connections, also new ones at once.
    Cut,
    /// Withholds bytes; connections stay open.
    Freeze,
}

/// A relay from its own loopback port to one target.
#[derive(Clone)]
pub struct Relay {
    /// The listening address.
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Relay {
    /// Starts a relay to `target` that forwards everything without delay.
    ///
    /// # Panics
    /// If no loopback port is free.
    #[must_use]
    pub fn start(target: SocketAddr) -> Self {
        let listener = crate::ports::bind_listener();
        listener.set_nonblocking(true).expect("the listener can be made non-blocking");
        let address = listener.local_addr().expect("the listener is bound");
        let (mode, modes) = watch::channel(RelayMode::Pass(0));
        let target = Arc::new(Mutex::new(target));
        let to = Arc::clone(&target);
        std::thread::spawn(move || actix_rt::System::new().block_on(accept(listener, to, modes)));
        Self { address, mode, target }
    }

    /// Changes the behaviour of the relay, for open connections as well.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().expect("the lock is not poisoned") = target;
    }
}

async fn accept(listener: TcpListener, target: Arc<Mutex<SocketAddr>>, modes: watch::Receiver<RelayMode>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("the listener is non-blocking");
    while let Ok((from, _)) = listener.accept().await {
        if *modes.borrow() == RelayMode::Cut {
            continue;
        }
        let to = *target.lock().expect("the lock is not poisoned");
        let modes = modes.clone();
        actix_rt::spawn(async move {
            let Ok(to) = TcpStream::connect(to).await else { return };
            let _ = from.set_nodelay(true);
            let _ = to.set_nodelay(true);
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            tokio::select! {
                () = forward(from_read, to_write, modes.clone()) => {}
                () = forward(to_read, from_write, modes) => {}
            }
        });
    }
}

/// Bytes in flight with their arrival times.
type InFlight = mpsc::UnboundedReceiver<(Instant, Vec<u8>)>;

async fn forward(mut from: OwnedReadHalf, to: OwnedWriteHalf, mut modes: watch::Receiver<RelayMode>) {
    let (queue, queued) = mpsc::unbounded_channel();
    let writer = actix_rt::spawn(deliver(to, queued, modes.clone()));
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = modes.wait_for(|mode| *mode == RelayMode::Cut) => break,
        };
        let Ok(count @ 1..) = read else { break };
        let delay = if let RelayMode::Pass(ms) = *modes.borrow() { ms } else { 0 };
        let at = Instant::now() + Duration::from_millis(delay);
        if queue.send((at, buffer[..count].to_vec())).is_err() {
            break;
        }
    }
    drop(queue);
    // Bytes in flight are still delivered, unless the link was cut.
    let _ = writer.await;
}

async fn deliver(mut to: OwnedWriteHalf, mut queue: InFlight, mut modes: watch::Receiver<RelayMode>) {
    while let Some((at, bytes)) = queue.recv().await {
        tokio::time::sleep_until(at.into()).await;
        let mode = modes.wait_for(|mode| *mode != RelayMode::Freeze).await.map(|m| *m);
        if !matches!(mode, Ok(RelayMode::Pass(_))) || to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
