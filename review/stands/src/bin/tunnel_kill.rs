//! All machines of a zone lose their path to the servers for some seconds. Right after its return, a machine still
//! reaches the servers through another one. That one is killed while it carries a stream that has neither a length nor chunks.

use stands::client::{call, request};
use stands::record::Record;
use stands::router::{wait_ready, Addresses, Router};
use stands::server::{Handler, Server};
use stands::store::Store;
use stands::{fail_setup, has_trouble, sleep_ms};
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// One zone with two machines.
const HALL: &str = "hall-lansing";
const EVENTS: usize = 12;
const GAP_MS: u64 = 250;
/// How long the machines are without a path to the servers.
const CUT_MS: u64 = 3_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":2500,"priority":2,"service":"model","maxAttempts":2,"noAuth":false,"stickySessions":true,"resumable":false,"gapAimMs":1200}],"services":[{"name":"model","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":521945,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-1"],"priority":1}]}"#;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, temp) = (Record::create(Path::new(&args[1])), Path::new(&args[2]).to_owned());
    let trouble = has_trouble();
    record.line(if trouble { "with the disruptions" } else { "without the disruptions" });

    let store = Store::start();
    let ids = ["i-a1", "i-b2", "i-c3"];
    let servers: Vec<Server> = ids.iter().map(|id| Server::start(id, handler(id, &record))).collect();
    store.put("op/config", CONFIG);
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry("model", HALL, "v1", 64, "ready"));
    }
    let at = [Addresses::free(), Addresses::free()];
    let seeds = [at[0].boxes, at[1].boxes];
    let start = |n: usize| {
        Router::start(&temp, &format!("front-{HALL}-{}", n + 1), HALL, &[HALL], store.address, &at[n], &seeds)
    };
    let (one, mut other) = (start(0), start(1));
    wait_ready(&[&one, &other]);
    sleep_ms(3_000);

    let stream = |id: &str| {
        let prompt = format!("5c1e07a2:800,91bd3f06:410,{:x}:250", id.len() as u64 * 7919);
        let more = [
            ("Cleatshelf-Model", "m"),
            ("Cleatshelf-Token-Counts", "1460,80"),
            ("Cleatshelf-Prompt-Prefix", prompt.as_str()),
        ];
        request("POST", "/lohu930/2f", id, 12_000, &more, "prompt")
    };
    let limit = Duration::from_secs(10);
    let warm = call(one.at.callers, &stream("warm"), limit, |_| {});
    record.line(&format!("warm: status {} events {} whole {}", warm.status, events(&warm.text()), warm.is_whole()));
    if warm.status != 200 || events(&warm.text()) != EVENTS {
        fail_setup("the system doesn't serve");
    }

    if trouble {
        servers.iter().for_each(|server| server.set_refuses(true));
        sleep_ms(20);
        servers.iter().for_each(Server::close_channels);
        record.line("cut: no machine reaches a server any more, new channels are refused");
        let began = record.seconds();
        let answer = call(one.at.callers, &stream("in-cut-1"), limit, |_| {});
        record.line(&format!("in-cut-1: status {}", answer.status));
        sleep_ms(500);
        let answer = call(one.at.callers, &stream("in-cut-2"), limit, |_| {});
        record.line(&format!("in-cut-2: status {}", answer.status));
        let left = CUT_MS as f64 / 1e3 - (record.seconds() - began);
        sleep_ms((left.max(0.0) * 1e3) as u64);
        servers.iter().for_each(|server| server.set_refuses(false));
        sleep_ms(30);
        record.line("the cut has healed");
    }

    let seen = Arc::new(AtomicUsize::new(0));
    let (counter, address, text) = (Arc::clone(&seen), one.at.callers, stream("tested"));
    let caller = std::thread::spawn(move || {
        call(address, &text, limit, |bytes| {
            counter.fetch_add(events(&String::from_utf8_lossy(bytes)), Ordering::SeqCst);
        })
    });
    if trouble {
        for _ in 0..400 {
            if seen.load(Ordering::SeqCst) >= 4 {
                break;
            }
            sleep_ms(10);
        }
        // Half-way to the next event.
        sleep_ms(GAP_MS / 2);
        record.line(&format!("{} is killed; the client has {} events", other.name, seen.load(Ordering::SeqCst)));
        other.kill();
    }
    let answer = caller.join().unwrap_or_else(|_| fail_setup("the client"));
    let got = events(&answer.text());
    record.line(&format!(
        "tested: status {} events {got} of {EVENTS}, answer whole: {}",
        answer.status,
        answer.is_whole()
    ));
    for line in one.log().lines().filter(|line| line.contains("tested") || line.contains("ServerPath")) {
        record.line(&format!("log of {}: {line}", one.name));
    }
    let broken = answer.status == 200 && answer.is_whole() && got < EVENTS;
    if !broken && answer.status != 200 {
        record.line("the tested stream did not begin");
        stands::exit(2);
    }
    record.line(if broken {
        "BROKEN: an answer that was cut short looks complete to the client"
    } else {
        "held: the client has the whole stream, or sees that it was cut"
    });
    stands::exit(i32::from(broken));
}

/// Number of whole events.
fn events(text: &str) -> usize {
    text.matches("\n\n").count()
}

/// A model server. Its streams have neither a length nor chunks and end with their channel.
fn handler(id: &str, record: &Record) -> Handler {
    let (server, record) = (id.to_owned(), record.clone());
    Arc::new(move |head, _, stream| {
        let id = head.get("Cleatshelf-Request-Id").unwrap_or("").to_owned();
        let first: usize = head.get("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        record.line(&format!("server {server} runs {id} from event {first}"));
        let mut stream = stream;
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: seal.{server}\r\nCleatshelf-Weight-Versions: 1\r\nConnection: close\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for number in first..=EVENTS {
            std::thread::sleep(Duration::from_millis(GAP_MS));
            if stream.write_all(format!("id: {number}\ndata: piece {number}\n\n").as_bytes()).is_err() {
                record.line(&format!("server {server}: the channel of {id} is gone before event {number}"));
                return false;
            }
        }
        record.line(&format!("server {server} has ended {id} after event {EVENTS}"));
        false
    })
}
