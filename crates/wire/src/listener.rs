//! Messages from other boxes to this one.

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

/// Most connections at once.
const CONNECTIONS_MOST: usize = 2_048;

/// Most streams of one connection at once.
const STREAMS_MOST: u32 = 4;

/// Longest wait for a connection's first words.
const HANDSHAKE_MOST: Duration = Duration::from_secs(2);

/// A link without a single frame for this long is closed; a living peer probes far more often.
const IDLE_MOST: Duration = Duration::from_secs(60);

/// Longest name of a box.
const NAME_MOST: usize = 64;

type Handler<T> = Rc<dyn Fn(&str, T)>;

/// Takes in links from other boxes.
pub struct Listener<T> {
    key: Key,
    me: String,
    handler: Handler<T>,
    open: Rc<Cell<usize>>,
    received: Rc<Cell<u64>>,
}

impl<T> Clone for Listener<T> {
    fn clone(&self) -> Self {
        Self {
            key: self.key.clone(),
            me: self.me.clone(),
            handler: Rc::clone(&self.handler),
            open: Rc::clone(&self.open),
            received: Rc::clone(&self.received),
        }
    }
}

impl<T: DeserializeOwned + 'static> Listener<T> {
    /// A listener of the box `me`; `handler` gets each proved message with its sender's name.
    #[must_use]
    pub fn new(key: &Key, me: &str, handler: Handler<T>) -> Self {
        Self {
            key: key.clone(),
            me: me.to_owned(),
            handler,
            open: Rc::new(Cell::new(0)),
            received: Rc::new(Cell::new(0)),
        }
    }

    /// Bytes of frames taken in so far.
    #[must_use]
    pub fn bytes_received(&self) -> u64 {
        self.received.get()
    }

    /// Takes connections for as long as the process runs.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let Ok((tcp, _)) = listener.accept().await else {
                // Out of file handles, most likely: waiting lets some be closed.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            if self.open.get() >= CONNECTIONS_MOST {
                continue;
            }
            self.open.set(self.open.get() + 1);
            let this = self.clone();
            actix_rt::spawn(async move {
                this.connection(tcp).await;
                this.open.set(this.open.get() - 1);
            });
        }
    }

    async fn connection(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let mut builder = h2::server::Builder::new();
        builder.max_concurrent_streams(STREAMS_MOST);
        builder.initial_window_size(1 << 20).initial_connection_window_size(4 << 20);
        let shaken = tokio::time::timeout(HANDSHAKE_MOST, builder.handshake::<_, Bytes>(tcp)).await;
        let Ok(Ok(mut connection)) = shaken else {
            metrics::counter!("cleatshelf_frames_refused_total", "why" => "handshake").increment(1);
            return;
        };
        while let Some(Ok((request, respond))) = connection.accept().await {
            let this = self.clone();
            actix_rt::spawn(async move { this.stream(request, respond).await });
        }
    }

    async fn stream(&self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let header = |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let from = header("from").unwrap_or_default();
        let version = header("version").and_then(|v| v.parse::<u32>().ok());
        if version != Some(VERSION) || from.is_empty() || from.len() > NAME_MOST {
            refuse(&mut respond);
            return;
        }
        let challenge: u128 = rand::rng().random();
        let challenge = format!("{challenge:032x}");
        let response = http::Response::builder().header("challenge", &challenge).body(());
        let Ok(response) = response else { return };
        let Ok(mut answer) = respond.send_response(response, false) else { return };
        let codec = Codec::new(self.key.session(&challenge, &from, &self.me));
        if let Err((malformed, proved)) = self.take_frames(request.into_body(), codec, &from).await {
            report(&from, malformed, proved);
            answer.send_reset(h2::Reason::PROTOCOL_ERROR);
        }
    }

    async fn take_frames(
        &self,
        mut body: RecvStream,
        mut codec: Codec<T>,
        from: &str,
    ) -> Result<(), (FrameError, bool)> {
        loop {
            let Ok(Some(Ok(bytes))) = tokio::time::timeout(IDLE_MOST, body.data()).await else { return Ok(()) };
            let _ = body.flow_control().release_capacity(bytes.len());
            self.received.set(self.received.get() + bytes.len() as u64);
            codec.feed(&bytes);
            while let Some(message) = codec.read().map_err(|m| (m, codec.authenticated))? {
                (self.handler)(from, message);
            }
        }
    }
}

fn refuse(respond: &mut SendResponse<Bytes>) {
    metrics::counter!("cleatshelf_frames_refused_total", "why" => "version").increment(1);
    if let Ok(response) = http::Response::builder().status(http::StatusCode::UPGRADE_REQUIRED).body(()) {
        let _ = respond.send_response(response, true);
    }
}

fn report(from: &str, malformed: FrameError, proved: bool) {
    let why = match malformed {
        FrameError::TooLarge => "large",
        FrameError::Unauthenticated => "unproved",
        FrameError::Undecodable => "unreadable",
    };
    metrics::counter!("cleatshelf_frames_refused_total", "why" => why).increment(1);
    if malformed == FrameError::Unauthenticated && !proved {
        telemetry::emit(Event::PeerUnproved, format_args!("from={from}"));
    } else {
        telemetry::emit(Event::FrameRefused, format_args!("from={from} why={why}"));
    }
}
