//! Some clients send their bodies at the pace of a slow line, on kept channels. Others open new channels meanwhile.

use stands::client::request;
use stands::http::{read_body, read_head, Ended};
use stands::record::Record;
use stands::router::{wait_ready, Addresses, Router};
use stands::server::{Handler, Server};
use stands::store::Store;
use stands::{fail_setup, has_trouble, sleep_ms};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HALL: &str = "hall-lansing";
const SENDERS: usize = 12;
/// A slow sender's body, and the time that it takes to send it.
const BODY_BYTES: usize = 24_000;
const BODY_MS: u64 = 1_800;
/// Clients that open a new channel for each request.
const CLIENTS: usize = 8;
const CONTACT_MS: u64 = 3_000;
const RUN_MS: u64 = 9_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":2500,"priority":2,"service":"model","maxAttempts":2,"noAuth":false,"stickySessions":true,"resumable":true,"gapAimMs":1200},{"name":"r-2","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"api","maxAttempts":2,"noAuth":false}],"services":[{"name":"model","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":521945,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"api","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-1"],"priority":1}]}"#;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, temp) = (Record::create(Path::new(&args[1])), Path::new(&args[2]).to_owned());
    let trouble = has_trouble();
    let store = Store::start();
    let handler: Handler = Arc::new(move |head, _, stream| {
        let id = head.get("Cleatshelf-Request-Id").unwrap_or("").to_owned();
        let mut stream = stream;
        let body = "id: 1\ndata: x\n\n";
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: s\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).is_ok()
    });
    store.put("op/config", CONFIG);
    for (id, service, slots) in [("i-a1", "model", 64), ("i-a2", "model", 64), ("i-b1", "api", 6), ("i-b2", "api", 6)] {
        let server = Server::start(id, Arc::clone(&handler));
        store.put(&format!("servers/{id}"), &server.entry(service, HALL, "v1", slots, "ready"));
    }
    let at = [Addresses::free(), Addresses::free()];
    let seeds = [at[0].boxes, at[1].boxes];
    let start = |n: usize| {
        Router::start(&temp, &format!("front-{HALL}-{}", n + 1), HALL, &[HALL], store.address, &at[n], &seeds)
    };
    let (one, other) = (start(0), start(1));
    wait_ready(&[&one, &other]);
    sleep_ms(CONTACT_MS + 500);
    let stop = Arc::new(AtomicBool::new(false));
    let began = Instant::now();
    // Time of each try of a new channel, and whether it was read.
    let tries: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let sent: Arc<Mutex<(usize, usize)>> = Arc::default();
    let mut threads = Vec::new();
    for n in 0..SENDERS {
        let (address, stop, sent) = (one.at.callers, Arc::clone(&stop), Arc::clone(&sent));
        let pace = if trouble { BODY_MS } else { 0 };
        threads.push(std::thread::spawn(move || {
            sleep_ms(n as u64 * BODY_MS / SENDERS as u64);
            let Ok(stream) = TcpStream::connect(address) else { return };
            let Ok(read) = stream.try_clone() else { return };
            let mut reader = BufReader::new(read);
            for k in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let began = Instant::now();
                let body = "x".repeat(BODY_BYTES);
                let more = [
                    ("Cleatshelf-Model", "m"),
                    ("Cleatshelf-Token-Counts", "1460,80"),
                    ("Cleatshelf-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
                ];
                let text = request("POST", "/lohu930/2f", &format!("u-{n}-{k}"), 12_000, &more, &body);
                let text = text.replace("Connection: close\r\n", "");
                let head = text.len() - body.len();
                if (&stream).write_all(&text.as_bytes()[..head]).is_err() {
                    return;
                }
                for piece in body.as_bytes().chunks(BODY_BYTES / 20) {
                    if (&stream).write_all(piece).is_err() {
                        return;
                    }
                    sleep_ms(pace / 20);
                }
                let Ok(Some(head)) = read_head(&mut reader) else { return };
                let whole = read_body(&mut reader, &head, false, |_| {}) != Ended::Cut;
                let mut sent = sent.lock().unwrap();
                sent.0 += 1;
                sent.1 += usize::from(whole && head.status() == 200);
                drop(sent);
                sleep_ms(BODY_MS.saturating_sub(began.elapsed().as_millis() as u64));
            }
        }));
    }
    for n in 0..CLIENTS {
        let (address, stop, tries) = (one.at.callers, Arc::clone(&stop), Arc::clone(&tries));
        threads.push(std::thread::spawn(move || {
            for k in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let at = began.elapsed().as_millis() as u64;
                let text = request("GET", "/cufi504/fi50/2f", &format!("q-{n}-{k}"), 1_000, &[], "");
                let answer = stands::client::call(address, &text, Duration::from_secs(2), |_| {});
                tries.lock().unwrap().push((at, answer.status != 0));
                sleep_ms(150);
            }
        }));
    }
    sleep_ms(RUN_MS);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let tries = {
        let mut t = tries.lock().unwrap().clone();
        t.sort_unstable();
        t
    };
    let taken: Vec<u64> = tries.iter().filter(|(_, taken)| *taken).map(|(at, _)| *at).collect();
    let mut edges = vec![0];
    edges.extend(&taken);
    edges.push(RUN_MS);
    let longest = edges.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0);
    let sent = *sent.lock().unwrap();
    record.line(&format!("slow senders: {} requests, {} answered well", sent.0, sent.1));
    record.line(&format!(
        "new channels: {} tried, {} read; longest time without one that was read: {longest} ms",
        tries.len(),
        taken.len()
    ));
    record.line(&format!("ready meanwhile: {}", one.is_ready()));
    if sent.1 == 0 {
        fail_setup("nothing was served");
    }
    drop((one, other));
    stands::exit(i32::from(longest >= CONTACT_MS));
}
