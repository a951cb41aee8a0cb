//! Clients pause for some seconds while they read their streams, and the machine that has them gets SIGTERM. The streams
//! end well within its time to stop.

use stands::client::{connect_small, request};
use stands::http::{read_body, read_head, Ended};
use stands::record::Record;
use stands::router::{wait_ready, Addresses, Router};
use stands::server::{Handler, Server};
use stands::store::Store;
use stands::{fail_setup, has_trouble, sleep_ms};
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

const HALL: &str = "cartago-a";
const EVENTS: usize = 100;
const EVENT_MS: u64 = 50;
/// Bytes of an event's text.
const EVENT_BYTES: usize = 430;
/// How long a slow client doesn't read.
const PAUSE_MS: u64 = 3_000;
/// Receive buffer that the clients ask for.
const BUFFER: i32 = 4_096;
const SLOW: usize = 8;
const QUICK: usize = 4;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":0,"service":"model","maxAttempts":1,"noAuth":false,"stickySessions":true,"resumable":false,"gapAimMs":300}],"services":[{"name":"model","healthPath":"/health","maxConns":830,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":472497,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":9,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-1"],"priority":1}]}"#;

/// What a client got.
struct Got {
    id: String,
    status: u16,
    events: usize,
    ended: Ended,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, temp) = (Record::create(Path::new(&args[1])), Path::new(&args[2]).to_owned());
    let trouble = has_trouble();
    record.line(if trouble { "with the disruption" } else { "without the disruption" });

    let store = Store::start();
    let ended = Arc::new(AtomicUsize::new(0));
    let servers: Vec<Server> =
        ["i-a1", "i-b2"].iter().map(|id| Server::start(id, handler(id, &record, &ended))).collect();
    store.put("op/config", CONFIG);
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry("model", HALL, "v1", 64, "ready"));
    }
    let at = [Addresses::free(), Addresses::free()];
    let seeds = [at[0].boxes, at[1].boxes];
    let start = |n: usize| {
        Router::start(&temp, &format!("front-{HALL}-{}", n + 1), HALL, &[HALL], store.address, &at[n], &seeds)
    };
    let (one, other) = (start(0), start(1));
    wait_ready(&[&one, &other]);
    // contactMs of this site, and some.
    sleep_ms(4_500);

    let slow = (0..SLOW).map(|n| client(&format!("slow-{n}"), one.at.callers, if trouble { PAUSE_MS } else { 0 }));
    let mut clients: Vec<JoinHandle<Got>> = slow.collect();
    clients.extend((0..QUICK).map(|n| client(&format!("quick-{n}"), one.at.callers, 0)));
    record.line(&format!("{} clients have sent a request each on new channels to {}", clients.len(), one.name));
    if trouble {
        sleep_ms(1_000);
        record.line(&format!("SIGTERM to {}", one.name));
        one.signal("TERM");
    }
    let got: Vec<Got> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    for Got { id, status, events, ended } in &got {
        record.line(&format!("client {id}: status {status}, {events} of {EVENTS} events, answer {ended:?}"));
    }
    for line in one.log().lines().filter(|line| line.contains("slow-") || line.contains("Stop")) {
        record.line(&format!("log of {}: {line}", one.name));
    }
    let whole = |got: &&Got| got.status == 200 && got.events == EVENTS && got.ended != Ended::Cut;
    let quick = got.iter().filter(|got| got.id.starts_with("quick")).filter(whole).count();
    let slow = got.iter().filter(|got| got.id.starts_with("slow")).filter(whole).count();
    record.line(&format!("whole: {quick} of {QUICK} quick clients, {slow} of {SLOW} slow clients"));
    drop((one, other));
    if quick < QUICK {
        fail_setup("not even the quick clients were served");
    }
    let broken = slow < SLOW;
    record.line(&format!(
        "{}: {} requests that were read and passed on, around the SIGTERM of their machine, ended without their whole answer",
        if broken { "BROKEN" } else { "held" },
        SLOW - slow
    ));
    stands::exit(i32::from(broken));
}

fn client(id: &str, address: SocketAddr, pause_ms: u64) -> JoinHandle<Got> {
    let id = id.to_owned();
    let prompt = format!("5c1e07a2:800,91bd3f06:410,{:x}:250", id.bytes().fold(7_u64, |n, b| n * 31 + u64::from(b)));
    std::thread::spawn(move || {
        let none = |id: String| Got { id, status: 0, events: 0, ended: Ended::Cut };
        let Ok(stream) = connect_small(address, BUFFER) else { return none(id) };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let more = [
            ("Cleatshelf-Model", "m"),
            ("Cleatshelf-Token-Counts", "1460,450"),
            ("Cleatshelf-Prompt-Prefix", prompt.as_str()),
        ];
        let text = request("POST", "/lohu930/2f", &id, 10_000, &more, "prompt").replace("Connection: close\r\n", "");
        if (&stream).write_all(text.as_bytes()).is_err() {
            return none(id);
        }
        // Read straight from the channel, a little at a time.
        let mut reader = BufReader::with_capacity(512, stream);
        let Ok(Some(head)) = read_head(&mut reader) else { return none(id) };
        let (mut body, mut paused) = (Vec::new(), false);
        let ended = read_body(&mut reader, &head, false, |bytes| {
            body.extend_from_slice(bytes);
            if !paused && pause_ms > 0 {
                paused = true;
                sleep_ms(pause_ms);
            }
        });
        let events = String::from_utf8_lossy(&body).matches("\n\n").count();
        Got { id, status: head.status(), events, ended }
    })
}

fn handler(id: &str, record: &Record, ended: &Arc<AtomicUsize>) -> Handler {
    let (server, record, count) = (id.to_owned(), record.clone(), Arc::clone(ended));
    Arc::new(move |head, _, stream| {
        let id = head.get("Cleatshelf-Request-Id").unwrap_or("").to_owned();
        record.line(&format!("server {server} runs {id}"));
        let mut stream = stream;
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: seal.{server}\r\nCleatshelf-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for number in 1..=EVENTS {
            std::thread::sleep(Duration::from_millis(EVENT_MS));
            let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                record.line(&format!("server {server}: the channel of {id} is gone before event {number}"));
                return false;
            }
        }
        record.line(&format!("server {server} has ended {id} well"));
        count.fetch_add(1, Ordering::SeqCst);
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}
