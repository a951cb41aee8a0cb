//! The box that carries connections for others.

use crate::handshake::{self, Codecs};
use crate::splice::splice;
use crate::{Connector, Refusal, Stream};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use wire::Key;

/// Maximum number of simultaneous tunnels. Each takes two descriptors and three buffers of 8 KiB.
const MAX_TUNNELS: usize = 256;

/// Time limit of the handshake, without the connection to the server.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed accept. Probably out of file descriptors: the delay lets other connections close.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval between checks whether all tunnels are closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts tunnels from other boxes on one thread.
#[derive(Clone)]
pub struct Listener {
    key: Key,
    /// The address at which clients reach the listener.
    address: SocketAddr,
    connector: Rc<dyn Connector>,
    open_tunnels: Rc<Cell<usize>>,
}

impl Listener {
    /// Creates a listener that clients reach at `address`.
    #[must_use]
    pub fn new(key: Key, address: SocketAddr, connector: Rc<dyn Connector>) -> Self {
        Self { key, address, connector, open_tunnels: Rc::default() }
    }

    /// Waits until all tunnels are closed, during a planned stop. Other boxes close them once their requests have ended.
    pub async fn wait_until_closed(&self) {
        while self.open_tunnels.get() > 0 {
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
        }
    }

    /// Accepts tunnels until the process exits. Must run inside a `LocalSet`.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let this = self.clone();
            tokio::task::spawn_local(async move {
                let _open = OpenTunnel::new(&this.open_tunnels);
                if let Err(why) = this.serve(stream).await {
                    log::debug!(target: "cleatshelf", "tunnel handshake failed: {why}");
                }
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        self.connector.configure(&stream);
        let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, self.receive_hello(&mut stream));
        let (mut codecs, instance) = handshake.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let connected = if self.open_tunnels.get() > MAX_TUNNELS {
            Err(Refusal::Busy)
        } else {
            self.connector.connect(&instance).await
        };
        let result = connected.as_ref().map_or_else(|refusal| refusal.as_str(), |_| "opened");
        metrics::counter!("cleatshelf_tunnels_total", "result" => result).increment(1);
        let reply = connected.as_ref().map(|_| ()).map_err(|refusal| *refusal);
        handshake::send(&mut stream, &mut codecs.reply, &reply).await?;
        if let Ok(server) = connected {
            splice(Stream::new(stream), server).await;
        }
        Ok(())
    }

    async fn receive_hello(&self, stream: &mut TcpStream) -> io::Result<(Codecs, String)> {
        let mut codecs = Codecs::send_challenge(stream, &self.key, &self.address.to_string()).await?;
        let hello = handshake::receive(stream, &mut codecs.hello).await?;
        Ok((codecs, hello.instance))
    }
}

/// Counts a tunnel as open until dropped.
struct OpenTunnel {
    count: Rc<Cell<usize>>,
}

impl OpenTunnel {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self { count: Rc::clone(count) }
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
