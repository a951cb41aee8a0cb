//! A server whose address can refuse new channels for a while.

use crate::http::{read_body, read_head, Ended, Head};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Answers one request. Returns true if the channel may carry another one.
pub type Handler = Arc<dyn Fn(&Head, &[u8], &TcpStream) -> bool + Send + Sync>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    refuses: Arc<AtomicBool>,
    /// The channels that are open.
    channels: Arc<Mutex<Vec<Weak<TcpStream>>>>,
}

impl Server {
    pub fn start(id: &str, handler: Handler) -> Self {
        Self::start_with(id, Arc::default(), handler)
    }

    /// Starts a server that refuses new channels while the flag is set. Handlers may look at it too.
    pub fn start_with(id: &str, refuses: Arc<AtomicBool>, handler: Handler) -> Self {
        let listener = TcpListener::bind(crate::free_address()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Self { id: id.to_owned(), address, refuses, channels: Arc::default() };
        let this = server.clone();
        std::thread::spawn(move || this.accept(listener, &handler));
        server
    }

    fn accept(&self, listener: TcpListener, handler: &Handler) {
        let mut listener = Some(listener);
        loop {
            if self.refuses.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else {
                std::thread::sleep(Duration::from_millis(2));
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let stream = Arc::new(stream);
                    self.channels.lock().expect("no thread panicked").push(Arc::downgrade(&stream));
                    let handler = Arc::clone(handler);
                    std::thread::spawn(move || serve(&stream, &handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Refuses new channels, or accepts them again.
    pub fn set_refuses(&self, refuses: bool) {
        self.refuses.store(refuses, Ordering::SeqCst);
    }

    /// Closes all channels that are open.
    pub fn close_channels(&self) {
        self.open_channels().iter().for_each(|channel| drop(channel.shutdown(std::net::Shutdown::Both)));
    }

    /// Resets all channels that are open. Handlers that are at work have to end by themselves.
    pub fn reset_channels(&self) {
        for channel in self.open_channels() {
            crate::client::reset_on_close(&channel);
            // Wakes the thread that serves it.
            let _ = channel.shutdown(std::net::Shutdown::Read);
        }
    }

    fn open_channels(&self) -> Vec<Arc<TcpStream>> {
        self.channels.lock().expect("no thread panicked").drain(..).filter_map(|channel| channel.upgrade()).collect()
    }

    /// The entry in the store, with the time of the server's start.
    pub fn entry_born(&self, service: &str, zone: &str, version: &str, slots: u32, born: u64) -> String {
        let entry = self.entry(service, zone, version, slots, "ready");
        format!("{},\"born\":{born}}}", &entry[..entry.len() - 1])
    }

    /// The entry in the store.
    pub fn entry(&self, service: &str, zone: &str, version: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"callSeq\":4}}",
            self.address
        )
    }
}

/// Serves one channel, which is closed when this returns.
fn serve(stream: &TcpStream, handler: &Handler) {
    let Ok(read) = stream.try_clone() else { return };
    let mut reader = BufReader::new(read);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let mut body = Vec::new();
        if read_body(&mut reader, &head, true, |piece| body.extend_from_slice(piece)) == Ended::Cut {
            return;
        }
        if !handler(&head, &body, stream) {
            return;
        }
    }
}
