//! Router boxes as separate processes, and a stand-in for the platform's store.
// Each file of tests uses a part of it.
#![allow(dead_code)]

use lab::ports::free;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for what is due within two seconds; generous, since the machine may be busy.
pub const SOON: Duration = Duration::from_secs(20);

/// Entries by key with the revision of their last change; none for what was taken away.
#[derive(Default)]
pub struct Content {
    revision: u64,
    items: BTreeMap<String, (u64, Option<String>)>,
    /// Addresses of callers are not known to the test; a store that turns all away is enough.
    away: bool,
    pub calls: u64,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub content: Arc<Mutex<Content>>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let store = Self { content: Arc::default(), address };
        let this = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                std::thread::spawn(move || this.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut content = self.content.lock().expect("no thread died");
        content.revision += 1;
        let revision = content.revision;
        content.items.insert(key.to_owned(), (revision, value));
    }

    pub fn turn_away(&self, away: bool) {
        self.content.lock().expect("no thread died").away = away;
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(request) = read_request(&mut stream) {
            let target = request.split(' ').nth(1).unwrap_or_default().to_owned();
            let (status, body) = self.answer(&target);
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}="))).unwrap_or("");
        let until = Instant::now() + Duration::from_millis(value("waitMs").parse().unwrap_or(0));
        let prefix = value("pathPrefix").to_owned();
        let since: u64 = value("sinceRev").parse().unwrap_or(0);
        let key = value("key").to_owned();
        self.content.lock().expect("no thread died").calls += 1;
        loop {
            let content = self.content.lock().expect("no thread died");
            if content.away {
                return ("503 Service Unavailable", String::new());
            }
            let item = |(key, (revision, value)): (&String, &(u64, Option<String>))| match value {
                Some(value) => {
                    format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"createdRev":1,"lease":0}}"#)
                }
                None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
            };
            let there = |(_, (_, value)): &(&String, &(u64, Option<String>))| value.is_some();
            let revision = content.revision;
            match path {
                "/api/kv-key" => {
                    let Some(found) = content.items.get_key_value(&key).filter(there) else {
                        return ("404 Not Found", String::new());
                    };
                    let body = item(found);
                    return ("200 OK", format!(r#"{},"storeRevision":{revision}}}"#, &body[..body.len() - 1]));
                }
                "/api/kv-range" => {
                    let items: Vec<String> = content
                        .items
                        .iter()
                        .filter(there)
                        .filter(|(key, _)| key.starts_with(&prefix))
                        .map(item)
                        .collect();
                    let body =
                        format!(r#"{{"items":[{}],"hasMore":false,"storeRevision":{revision}}}"#, items.join(","));
                    return ("200 OK", body);
                }
                _ => {
                    let new =
                        |(key, (at, _)): &(&String, &(u64, Option<String>))| key.starts_with(&prefix) && *at > since;
                    let events: Vec<String> = content.items.iter().filter(new).map(item).collect();
                    if !events.is_empty() || Instant::now() >= until {
                        let body = format!(r#"{{"events":[{}],"storeRevision":{revision}}}"#, events.join(","));
                        return ("200 OK", body);
                    }
                }
            }
            drop(content);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        for at in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= three.len() { sign } else { '=' });
        }
    }
    text
}

pub fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// A server that answers after `ms` with its name.
pub fn server(name: &'static str, ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                while let Some(request) = read_request(&mut stream) {
                    let id = request.lines().find_map(|l| l.strip_prefix("cleatshelf-request-id: ")).unwrap_or("");
                    std::thread::sleep(Duration::from_millis(ms));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: s\r\nContent-Length: {}\r\n\r\n{name}",
                        name.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn entry(address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"service":"svc","address":"{address}","zone":"hall","version":"v1","slots":8,"state":"{state}","coldLeftMs":0,"callSeq":1}}"#
    )
}

pub fn config(version: u64, prefix: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"a.example","pathPrefix":"{prefix}","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":150,"service":"svc","maxAttempts":2}}],"services":[{{"name":"svc","maxConns":100}}]}}"#
    )
}

/// A router process. Ends with the test.
pub struct Box {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub operators: SocketAddr,
    pub settings: std::path::PathBuf,
    _folder: tempfile::TempDir,
}

impl Box {
    pub fn start(store: &Store, boxes: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let settings = folder.path().join("settings.toml");
        let (callers, ready, operators) = (free(), free(), free());
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let text = format!(
            "name = \"box\"\nhall = \"hall\"\nlisten_callers = \"{callers}\"\nlisten_ready = \"{ready}\"\nlisten_boxes = \"{boxes}\"\nlisten_operators = \"{operators}\"\npublisher = \"{}\"\nseeds = [{}]\nlink_key = \"a secret between boxes\"\nstop_seconds = 8\nfiles_most = 1024\nprocessor_share = 1\nlink_mbps = 100\nretry_ratio = 0.2\nretry_slack = 50\nretry_window_seconds = 10\n",
            store.address,
            seeds.join(",")
        );
        std::fs::write(&settings, text).expect("written");
        let child = Command::new(env!("CARGO_BIN_EXE_cleatshelf"))
            .args(["route", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("a process");
        Self { child, callers, ready, operators, settings, _folder: folder }
    }

    pub fn get(&self, path: &str) -> (u16, String) {
        call(self.callers, path)
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "/api/ready").0 == 200
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("a signal");
        assert!(sent.success());
    }
}

impl Drop for Box {
    fn drop(&mut self) {
        // An error means that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Status and body; 0 when there is no connection or no answer.
pub fn call(address: SocketAddr, path: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(address) else { return (0, String::new()) };
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nCleatshelf-Request-Id: id1\r\nCleatshelf-Deadline-Ms: 5000\r\nConnection: close\r\n\r\n"
    );
    let mut text = String::new();
    if stream.write_all(request.as_bytes()).and_then(|()| stream.read_to_string(&mut text)).is_err() {
        return (0, String::new());
    }
    let status = text.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned())
}

pub fn soon(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < SOON, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
