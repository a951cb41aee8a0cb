//! A stand-in for the platform's store, which speaks the calls of PROTOCOL.md that machines use.

use crate::util::{base64, decode_query, read_head};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What is stored: values in base64 with the revisions of their last changes.
type Items = BTreeMap<String, (u64, String)>;

#[derive(Default)]
struct State {
    revision: u64,
    items: Items,
    /// Every write, in order: revision, key and value; `None` for a deletion.
    log: Vec<(u64, String, Option<String>)>,
    /// Content after each write, for reads that may be old.
    history: Vec<(Option<Instant>, u64, Items)>,
    /// Start times in servers' entries.
    borns: BTreeMap<String, u64>,
    down: bool,
    silent: bool,
    page: usize,
    /// How old stale reads of pages after the first are.
    later_pages_lag: Duration,
}

/// A running store. Only the scenario writes to it.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store whose lists come in pages of so many items.
    pub fn start(page: usize) -> Self {
        let listener = crate::util::bind_listener();
        let address = listener.local_addr().expect("an address");
        let state = State { page, history: vec![(None, 0, Items::new())], ..State::default() };
        let store = Self { state: Arc::new(Mutex::new(state)), address };
        let this = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Writes a value. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let born = value.split_once(r#""born":"#).and_then(|(_, rest)| rest.trim_end_matches('}').parse().ok());
        if let Some(born) = born {
            self.state().borns.insert(key.to_owned(), born);
        }
        self.write(key, Some(base64(value.as_bytes())))
    }

    /// Writes bytes that are no JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        self.write(key, Some(base64(value)))
    }

    fn write(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (revision, value.clone()))),
            None => drop(state.items.remove(key)),
        }
        state.log.push((revision, key.to_owned(), value));
        let content = state.items.clone();
        state.history.push((Some(Instant::now()), revision, content));
        revision
    }

    /// Returns the start time in a server's entry.
    pub fn born_of(&self, key: &str) -> u64 {
        let state = self.state();
        let texts = state.borns.get(key);
        texts.copied().unwrap_or_default()
    }

    /// While the store is down, it answers every call with 503.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// While the store is silent, it takes calls and answers none of them, ever.
    pub fn set_silent(&self, silent: bool) {
        self.state().silent = silent;
    }

    /// Sets how old stale reads of pages after the first are; the first page is current.
    pub fn set_later_pages_lag(&self, lag: Duration) {
        self.state().later_pages_lag = lag;
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(head) = read_head(&mut stream) {
            let target = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let Some((status, body)) = self.respond(&target) else {
                // The answer is lost: the channel says nothing more, until the caller gives up.
                let _ = read_head(&mut stream);
                return;
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// `None` if nothing is answered.
    fn respond(&self, target: &str) -> Option<(&'static str, String)> {
        let answer = self.answer(target);
        (!self.state().silent).then_some(answer)
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let found = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")));
            found.map(decode_query).unwrap_or_default()
        };
        let prefix = value("pathPrefix");
        // As the real store does, an answer takes some milliseconds.
        std::thread::sleep(Duration::from_millis(4));
        if self.state().down {
            return ("503 Service Unavailable", String::new());
        }
        match path {
            "/api/kv-range" => self.range(&prefix, &value("sinceRev"), value("staleOk") == "1"),
            "/api/kv-key" => {
                let state = self.state();
                let key = value("key");
                state.items.get(&key).map_or(("404 Not Found", String::new()), |(revision, text)| {
                    let fields = item(&key, *revision, text);
                    let fields = &fields[..fields.len() - 1];
                    ("200 OK", format!(r#"{fields},"storeRevision":{}}}"#, state.revision))
                })
            }
            "/api/kv-watch" => {
                let until = Instant::now() + Duration::from_millis(value("waitMs").parse().unwrap_or(0));
                self.watch(&prefix, value("sinceRev").parse().unwrap_or(0), until)
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str, stale: bool) -> (&'static str, String) {
        let state = self.state();
        let lag = if stale && !after.is_empty() { state.later_pages_lag } else { Duration::ZERO };
        let is_known = |(at, _, _): &&(Option<Instant>, u64, Items)| at.is_none_or(|at| at.elapsed() >= lag);
        let Some((_, revision, items)) = state.history.iter().rev().find(is_known) else {
            return ("503 Service Unavailable", String::new());
        };
        let listed = items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut listed: Vec<String> = listed.map(|(key, (revision, text))| item(key, *revision, text)).collect();
        let more = listed.len() > state.page;
        listed.truncate(state.page);
        ("200 OK", format!(r#"{{"items":[{}],"hasMore":{more},"storeRevision":{revision}}}"#, listed.join(",")))
    }

    fn watch(&self, prefix: &str, since: u64, until: Instant) -> (&'static str, String) {
        loop {
            let state = self.state();
            if state.down {
                return ("503 Service Unavailable", String::new());
            }
            if since > state.revision {
                return ("410 Gone", String::new());
            }
            let news = state.log.iter().filter(|(at, key, _)| *at > since && key.starts_with(prefix));
            let events: Vec<String> = news
                .map(|(at, key, value)| match value {
                    Some(text) => item(key, *at, text),
                    None => format!(r#"{{"key":"{key}","revision":{at},"deleted":true}}"#),
                })
                .collect();
            if state.silent || !events.is_empty() || Instant::now() >= until {
                let body = format!(r#"{{"events":[{}],"storeRevision":{}}}"#, events.join(","), state.revision);
                return ("200 OK", body);
            }
            drop(state);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn item(key: &str, revision: u64, text: &str) -> String {
    format!(r#"{{"key":"{key}","value":"{text}","revision":{revision},"createdRev":1,"lease":0}}"#)
}
