//! Router boxes as separate processes, with a store and servers of this test: start, news, peers, planned stop.

use lab::ports::free;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait for what is due within two seconds; generous, since the machine may be busy.
const SOON: Duration = Duration::from_secs(20);

/// Entries by key with the revision of their last change.
#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Addresses of callers are not known to the test; a store that turns all away is enough.
    away: bool,
    calls: u64,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
struct Store {
    content: Arc<Mutex<Content>>,
    address: SocketAddr,
}

impl Store {
    fn start() -> Self {
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

    fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().expect("no thread died");
        content.revision += 1;
        let revision = content.revision;
        content.items.insert(key.to_owned(), (revision, base64(value.as_bytes())));
    }

    fn turn_away(&self, away: bool) {
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
            let item = |(key, (revision, value)): (&String, &(u64, String))| {
                format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"createdRev":1,"lease":0}}"#)
            };
            let revision = content.revision;
            match path {
                "/api/kv-key" => {
                    let Some(found) = content.items.get_key_value(&key) else {
                        return ("404 Not Found", String::new());
                    };
                    let body = item(found);
                    return ("200 OK", format!(r#"{},"storeRevision":{revision}}}"#, &body[..body.len() - 1]));
                }
                "/api/kv-range" => {
                    let items: Vec<String> =
                        content.items.iter().filter(|(key, _)| key.starts_with(&prefix)).map(item).collect();
                    let body =
                        format!(r#"{{"items":[{}],"hasMore":false,"storeRevision":{revision}}}"#, items.join(","));
                    return ("200 OK", body);
                }
                _ => {
                    let new = |(key, (at, _)): &(&String, &(u64, String))| key.starts_with(&prefix) && *at > since;
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
fn base64(bytes: &[u8]) -> String {
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

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// A server that answers after `ms` with its name.
fn server(name: &'static str, ms: u64) -> SocketAddr {
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

fn entry(address: SocketAddr, state: &str) -> String {
    format!(
        r#"{{"service":"svc","address":"{address}","zone":"hall","version":"v1","slots":8,"state":"{state}","coldLeftMs":0,"callSeq":1}}"#
    )
}

fn config(version: u64, prefix: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"a.example","pathPrefix":"{prefix}","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":150,"service":"svc","maxAttempts":2}}],"services":[{{"name":"svc","maxConns":100}}]}}"#
    )
}

/// A router process. Ends with the test.
struct Box {
    child: Child,
    callers: SocketAddr,
    ready: SocketAddr,
    operators: SocketAddr,
    settings: std::path::PathBuf,
    _folder: tempfile::TempDir,
}

impl Box {
    fn start(store: &Store, boxes: SocketAddr, seeds: &[SocketAddr]) -> Self {
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

    fn get(&self, path: &str) -> (u16, String) {
        call(self.callers, path)
    }

    fn is_ready(&self) -> bool {
        call(self.ready, "/api/ready").0 == 200
    }

    fn signal(&self, name: &str) {
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
fn call(address: SocketAddr, path: &str) -> (u16, String) {
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

fn soon(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < SOON, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_box_is_ready_with_a_configuration_and_follows_changes() {
    let store = Store::start();
    let one = Box::start(&store, free(), &[]);
    soon("the box answers", || call(one.ready, "/api/ready").0 == 503);
    assert_eq!(one.get("/x/1").0, 503, "neither 404 nor 401 without a configuration");
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    soon("ready", || one.is_ready());
    soon("served", || one.get("/x/1") == (200, "first".to_owned()));
    assert_eq!(one.get("/y/1").0, 404);
    store.put("op/config", &config(9, "/y/"));
    soon("the new route is in force", || one.get("/y/1").0 == 200);
    assert_eq!(one.get("/x/1").0, 404);
    store.put("op/config", &config(8, "/x/"));
    store.put("servers/i-2", &entry(server("second", 0), "ready"));
    store.put("servers/i-1", &entry(server("first", 0), "draining"));
    soon("a draining server gets nothing", || one.get("/y/1") == (200, "second".to_owned()));
    assert_eq!(one.get("/x/1").0, 404, "an older version never comes back");
    assert_eq!(call(one.operators, "/metrics").0, 200);
    assert!(call(one.operators, "/metrics").1.contains("cleatshelf_configuration_version 9"));
}

#[test]
fn a_box_that_the_store_turns_away_hears_from_another() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let (near, far) = (free(), free());
    let one = Box::start(&store, near, &[near, far]);
    soon("ready", || one.is_ready());
    store.turn_away(true);
    let two = Box::start(&store, far, &[near, far]);
    soon("ready through the other", || two.is_ready());
    soon("served", || two.get("/x/1") == (200, "first".to_owned()));
}

#[test]
fn one_box_of_a_small_hall_watches_for_all() {
    let store = Store::start();
    store.put("op/config", &config(3, "/x/"));
    let addresses = [free(), free(), free()];
    let boxes = addresses.map(|address| Box::start(&store, address, &addresses));
    soon("ready", || boxes.iter().all(Box::is_ready));
    std::thread::sleep(Duration::from_secs(4));
    let calls = || store.content.lock().expect("no thread died").calls;
    let before = calls();
    std::thread::sleep(Duration::from_secs(8));
    // Two subjects in watches of four seconds: four or five calls of one box, twelve and more of three.
    assert!(calls() - before <= 6, "{} calls in 8 s", calls() - before);
}

#[test]
fn a_planned_stop_lets_a_request_end_and_gives_notice_to_the_balancer() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("slow", 1_500), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let mut one = Box::start(&store, free(), &[]);
    soon("ready", || one.is_ready());
    let callers = one.callers;
    let running = std::thread::spawn(move || call(callers, "/x/1"));
    std::thread::sleep(Duration::from_millis(300));
    one.signal("-TERM");
    soon("not ready", || !one.is_ready());
    assert_eq!(running.join().expect("a call"), (200, "slow".to_owned()));
    let began = Instant::now();
    while one.child.try_wait().expect("a process").is_none() {
        assert!(began.elapsed() < SOON, "the box ends");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(one.child.wait().expect("a status").success(), "nothing was cut off");
}

#[test]
fn settings_with_faults_are_refused_and_the_box_goes_on() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let one = Box::start(&store, free(), &[]);
    soon("ready", || one.is_ready());
    std::fs::write(&one.settings, "name = 5").expect("written");
    one.signal("-HUP");
    let counted = || call(one.operators, "/metrics").1.contains("cleatshelf_events_total{event=\"SettingsRefused\"}");
    soon("the faults are reported", counted);
    assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
}

#[test]
fn bytes_that_are_no_frames_harm_nothing() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let boxes = free();
    let one = Box::start(&store, boxes, &[boxes]);
    soon("ready", || one.is_ready());
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4_096], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"] {
        let mut stream = TcpStream::connect(boxes).expect("the box");
        stream.write_all(bytes).expect("sent");
    }
    assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
}

/// A configuration whose service's cold servers bear so many requests a second.
fn config_with_cold(version: u64, per_s: u32) -> String {
    config(version, "/x/").replace(r#""maxConns":100"#, &format!(r#""maxConns":100,"coldS":60.0,"coldPerS":{per_s}"#))
}

#[test]
fn boxes_together_send_a_cold_server_no_more_than_it_bears_and_nothing_to_an_evacuated_hall() {
    let store = Store::start();
    store.put("op/config", &config_with_cold(3, 20));
    store.put("servers/i-1", &entry(server("first", 0), "ready").replace("\"coldLeftMs\":0", "\"coldLeftMs\":600000"));
    let addresses = [free(), free()];
    let boxes = addresses.map(|address| Box::start(&store, address, &addresses));
    soon("ready", || boxes.iter().all(Box::is_ready));
    for one in &boxes {
        soon("leave is given once boxes know each other", || one.get("/x/1").0 == 200);
    }
    let began = Instant::now();
    let served: usize = (0..40).map(|round| usize::from(boxes[round % 2].get("/x/1").0 == 200)).sum();
    // 18 within 1.2 s: what it bears without an allowance in the settings, less two. The span before may add some.
    let spans = began.elapsed().as_millis() as usize / 1_200 + 1;
    assert!(served <= 18 * spans, "{served} in {spans} spans");
    store.put("op/evacuate/hall", "{}");
    for one in &boxes {
        soon("known to all", || call(one.operators, "/metrics").1.contains("HallsEvacuated"));
        // Longer than leaves were used up for.
        for _ in 0..6 {
            assert_eq!(one.get("/x/1").0, 503, "its only server's hall is evacuated");
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}
