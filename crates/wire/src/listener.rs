//! Listener: incoming messages from other boxes.

use crate::{Codec, FrameError, Key, VERSION};
use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use rand::Rng;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use telemetry::Event;
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of simultaneous connections.
const MAX_CONNECTIONS: usize = 2_048;

/// Maximum number of simultaneous streams per connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 4;

/// Time limit of the HTTP/2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without frames after which a stream is closed. A live peer sends probes far more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Length limit of a box name.
const MAX_NAME_BYTES: usize = 64;

type Handler<T> = Rc<dyn Fn(&str, T)>;

/// Accepts links from other boxes.
pub struct Listener<T> {
    key: Key,
    local_name: String,
    handler: Handler<T>,
    open_connections: Rc<Cell<usize>>,
    received_bytes: Rc<Cell<u64>>,
}

impl<T> Clone for Listener<T> {
    fn clone(&self) -> Self {
        Self {
            key: self.key.clone(),
            local_name: self.local_name.clone(),
            handler: Rc::clone(&self.handler),
            open_connections: Rc::clone(&self.open_connections),
            received_bytes: Rc::clone(&self.received_bytes),
        }
    }
}

impl<T: DeserializeOwned + 'static> Listener<T> {
    /// Creates a listener for the box `local_name`. `handler` receives each authenticated message with the name of its
    /// sender.
    #[must_use]
    pub fn new(key: &Key, local_name: &str, handler: Handler<T>) -> Self {
        Self {
            key: key.clone(),
            local_name: local_name.to_owned(),
            handler,
            open_connections: Rc::new(Cell::new(0)),
            received_bytes: Rc::new(Cell::new(0)),
        }
    }

    /// Returns the number of frame bytes received so far.
    #[must_use]
    pub fn bytes_received(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Accepts connections until the process exits.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                // Probably out of file descriptors: the delay lets other connections close.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            if self.open_connections.get() >= MAX_CONNECTIONS {
                continue;
            }
            self.open_connections.set(self.open_connections.get() + 1);
            let this = self.clone();
            actix_rt::spawn(async move {
                this.serve_connection(tcp).await;
                this.open_connections.set(this.open_connections.get() - 1);
            });
        }
    }

    async fn serve_connection(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let mut builder = h2::server::Builder::new();
        builder.max_concurrent_streams(MAX_STREAMS_PER_CONNECTION);
        builder.initial_window_size(1 << 20).initial_connection_window_size(4 << 20);
        let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake::<_, Bytes>(tcp)).await;
        let Ok(Ok(mut connection)) = handshake else {
            metrics::counter!("cleatshelf_frames_refused_total", "why" => "handshake").increment(1);
            return;
        };
        while let Some(Ok((request, respond))) = connection.accept().await {
            let this = self.clone();
            actix_rt::spawn(async move { this.serve_stream(request, respond).await });
        }
    }

    async fn serve_stream(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let from = header("from").unwrap_or_default();
        let version = header("version").and_then(|v| v.parse::<u32>().ok());
        if version != Some(VERSION) || from.is_empty() || from.len() > MAX_NAME_BYTES {
            refuse_version(&mut respond);
            return;
        }
        let challenge: u128 = rand::rng().random();
        let challenge = format!("{challenge:032x}");
        let response = http::Response::builder().header("challenge", &challenge).body(());
        let Ok(response) = response else { return };
        let Ok(mut answer) = respond.send_response(response, false) else { return };
        let codec = Codec::new(self.key.session(&challenge, &from, &self.local_name));
        if let Err((error, authenticated)) = self.receive_frames(request.into_body(), codec, &from).await {
            report_refused(&from, error, authenticated);
            answer.send_reset(h2::Reason::PROTOCOL_ERROR);
        }
    }

    async fn receive_frames(
        &self,
        mut body: RecvStream,
        mut codec: Codec<T>,
        from: &str,
    ) -> Result<(), (FrameError, bool)> {
        loop {
            let Ok(Some(Ok(bytes))) = tokio::time::timeout(IDLE_TIMEOUT, body.data()).await else { return Ok(()) };
            let _ = body.flow_control().release_capacity(bytes.len());
            self.received_bytes.set(self.received_bytes.get() + bytes.len() as u64);
            codec.feed(&bytes);
            while let Some(message) = codec.read().map_err(|error| (error, codec.authenticated))? {
                (self.handler)(from, message);
            }
        }
    }
}

fn refuse_version(respond: &mut SendResponse<Bytes>) {
    metrics::counter!("cleatshelf_frames_refused_total", "why" => "version").increment(1);
    if let Ok(response) = http::Response::builder().status(http::StatusCode::UPGRADE_REQUIRED).body(()) {
        let _ = respond.send_response(response, true);
    }
}

fn report_refused(from: &str, error: FrameError, authenticated: bool) {
    let why = match error {
        FrameError::TooLarge => "large",
        FrameError::Unauthenticated => "unproved",
        FrameError::Undecodable => "unreadable",
    };
    metrics::counter!("cleatshelf_frames_refused_total", "why" => why).increment(1);
    if error == FrameError::Unauthenticated && !authenticated {
        telemetry::emit(Event::PeerUnproved, format_args!("from={from}"));
    } else {
        telemetry::emit(Event::FrameRefused, format_args!("from={from} why={why}"));
    }
}
