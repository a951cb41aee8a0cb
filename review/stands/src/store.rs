//! A stand-in for the platform's store: lists, watches and keys. Only the script writes to it.

use crate::http::read_head;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    era: u64,
    revision: u64,
    items: BTreeMap<String, (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    /// While it is set, the store takes channels and answers nothing.
    silent: Arc<AtomicBool>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(crate::free_address()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State { revision: 10, ..State::default() }));
        let store = Self { state, silent: Arc::default(), address };
        let this = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(&stream));
            }
        });
        store
    }

    /// Makes the store answer nothing, or answer again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Writes a value. Returns its revision: the ack.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.write(key, Some(base64(value.as_bytes())))
    }

    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    fn write(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state.lock().expect("no thread panicked");
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value));
        revision
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let (status, era, body) = self.respond(head.target());
            if self.silent.load(Ordering::SeqCst) {
                // A channel on which an answer is lost says nothing more.
                while self.silent.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(10));
                }
                return;
            }
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut writer = stream;
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str) -> (&'static str, u64, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/")).next().unwrap_or_default()
        };
        let prefix = value("pathPrefix");
        let until = Instant::now() + Duration::from_millis(value("waitMs").parse().unwrap_or(0));
        loop {
            {
                let state = self.state.lock().expect("no thread panicked");
                let (era, revision) = (state.era, state.revision);
                match path {
                    "/api/kv-key" => {
                        return match state.items.get(&value("key")) {
                            Some((at, Some(text))) => {
                                let item = item(&value("key"), *at, Some(text));
                                ("200 OK", era, format!("{},\"storeRevision\":{revision}}}", &item[..item.len() - 1]))
                            }
                            _ => ("404 Not Found", era, String::new()),
                        }
                    }
                    "/api/kv-range" => {
                        let after = value("sinceRev");
                        let items: Vec<String> = state
                            .items
                            .iter()
                            .filter(|(key, (_, text))| key.starts_with(&prefix) && text.is_some() && **key > after)
                            .map(|(key, (at, text))| item(key, *at, text.as_ref()))
                            .collect();
                        let body = format!(
                            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{revision}}}",
                            items.join(",")
                        );
                        return ("200 OK", era, body);
                    }
                    "/api/kv-watch" => {
                        let since: u64 = value("sinceRev").parse().unwrap_or(0);
                        if since > revision {
                            return ("410 Gone", era, String::new());
                        }
                        let mut events: Vec<(u64, String)> = state
                            .items
                            .iter()
                            .filter(|(key, (at, _))| key.starts_with(&prefix) && *at > since)
                            .map(|(key, (at, text))| (*at, item(key, *at, text.as_ref())))
                            .collect();
                        events.sort();
                        if !events.is_empty() || Instant::now() >= until {
                            let events: Vec<String> = events.into_iter().map(|(_, text)| text).collect();
                            let body = format!("{{\"events\":[{}],\"storeRevision\":{revision}}}", events.join(","));
                            return ("200 OK", era, body);
                        }
                    }
                    _ => return ("404 Not Found", era, String::new()),
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&String>) -> String {
    match value {
        Some(value) => {
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createdRev\":1,\"lease\":0}}")
        }
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            text.push(if index <= chunk.len() {
                SIGNS[(number >> (18 - 6 * index) & 63) as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
