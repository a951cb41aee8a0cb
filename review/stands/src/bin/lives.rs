//! While the store is down, an idle server crashes and starts again under its id with other software. Then channels of a
//! machine to servers are reset, and some of the streams go on at that server.

use stands::client::{call, request, reset_on_close};
use stands::record::Record;
use stands::router::{wait_ready, Addresses, Router};
use stands::server::{Handler, Server};
use stands::store::Store;
use stands::{fail_setup, has_trouble, sleep_ms};
use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HALL: &str = "hall-lansing";
const EVENTS: usize = 25;
const EVENT_MS: u64 = 330;
const STREAMS: usize = 60;
const IDS: [&str; 6] = ["i-a1", "i-b2", "i-c3", "i-d4", "i-e5", "i-f6"];
/// The server that crashes.
const CRASHING: usize = 1;
/// Rest that it asks for before, in seconds.
const REST_S: u64 = 3;
/// How long it is away.
const AWAY_MS: u64 = 300;
const LIMIT_MS: u64 = 12_000;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":2500,"priority":2,"service":"model","maxAttempts":2,"noAuth":false,"stickySessions":true,"resumable":true,"gapAimMs":1200}],"services":[{"name":"model","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":521945,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-1"],"priority":1}]}"#;

struct Got {
    id: String,
    status: u16,
    events: usize,
    versions: BTreeSet<String>,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, temp) = (Record::create(Path::new(&args[1])), Path::new(&args[2]).to_owned());
    let trouble = has_trouble();
    record.line(if trouble { "with the disruptions" } else { "without the disruptions" });

    let store = Store::start();
    store.put("op/config", CONFIG);
    let stand = Arc::new(Stand::default());
    let born = |n: usize| 1_796_357_000_000 + n as u64;
    let servers: Vec<Server> = IDS
        .iter()
        .enumerate()
        .map(|(n, id)| {
            let refuses = if n == CRASHING { Arc::clone(&stand.crashed) } else { Arc::default() };
            Server::start_with(id, refuses, handler(n, &record, &stand))
        })
        .collect();
    for (n, server) in servers.iter().enumerate() {
        store.put(&format!("servers/{}", server.id), &server.entry_born("model", HALL, "v1", 64, born(n)));
    }
    let at = [Addresses::free(), Addresses::free(), Addresses::free()];
    let seeds = [at[0].boxes, at[1].boxes, at[2].boxes];
    let start = |n: usize| {
        Router::start(&temp, &format!("front-{HALL}-{}", n + 1), HALL, &[HALL], store.address, &at[n], &seeds)
    };
    let (one, other, third) = (start(0), start(1), start(2));
    wait_ready(&[&one, &other, &third]);
    sleep_ms(3_500);

    // A server that turns requests away may ask for rest: no channel of the machine is in use there for a while.
    stand.rests.store(true, Ordering::SeqCst);
    for n in 0..40 {
        let answer = call(one.at.callers, &text(&format!("w-{n}"), 1_000 + n, "short"), Duration::from_secs(5), |_| {});
        if answer.status != 200 {
            fail_setup("the system doesn't serve");
        }
        if stand.turned_away.load(Ordering::SeqCst) > 0 {
            break;
        }
    }
    let rested = Instant::now();
    stand.rests.store(false, Ordering::SeqCst);
    if stand.turned_away.load(Ordering::SeqCst) == 0 {
        record.line("no request met the server that asks for rest");
        stands::exit(2);
    }
    let begun = Arc::new(AtomicUsize::new(0));
    let streams: Vec<JoinHandle<Got>> = (0..STREAMS)
        .map(|n| {
            let (address, id, begun) = (one.at.callers, format!("s-{n}"), Arc::clone(&begun));
            sleep_ms(5);
            std::thread::spawn(move || {
                let mut is_first = true;
                let answer = call(address, &text(&id, n, "long"), Duration::from_millis(LIMIT_MS), |_| {
                    if std::mem::take(&mut is_first) {
                        begun.fetch_add(1, Ordering::SeqCst);
                    }
                });
                let body = answer.text();
                let versions = body.lines().filter_map(|line| line.split_once(" of ")).map(|(_, v)| v.to_owned());
                Got { id, status: answer.status, events: body.matches("\n\n").count(), versions: versions.collect() }
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_millis(900);
    while begun.load(Ordering::SeqCst) < STREAMS && Instant::now() < until {
        sleep_ms(10);
    }
    record.line(&format!("{} of {STREAMS} streams have begun at servers of v1", begun.load(Ordering::SeqCst)));
    if stand.busy.load(Ordering::SeqCst) {
        record.line("a stream runs at the server that is to crash");
        stands::exit(2);
    }
    if trouble {
        store.set_silent(true);
        record.line("the store is down: silent");
        sleep_ms(200);
        stand.crashed.store(true, Ordering::SeqCst);
        servers[CRASHING].reset_channels();
        record.line(&format!("server {}, which runs nothing, crashes", IDS[CRASHING]));
        sleep_ms(AWAY_MS);
        stand.is_new.store(true, Ordering::SeqCst);
        stand.crashed.store(false, Ordering::SeqCst);
        record.line(&format!(
            "server {} has started again under its id, with v2; it can't write its entry",
            IDS[CRASHING]
        ));
        // The machine adds up to a tenth to the rest that it was asked for.
        let rest = Duration::from_millis(REST_S * 1_100 + 200);
        std::thread::sleep(rest.saturating_sub(rested.elapsed()));
        stand.breaks.store(true, Ordering::SeqCst);
        record.line(&format!("half of the channels of {} to servers are reset", one.name));
        sleep_ms(500);
        store.set_silent(false);
        let entry = servers[CRASHING].entry_born("model", HALL, "v2", 64, born(20_000));
        store.put(&format!("servers/{}", IDS[CRASHING]), &entry);
        record.line("the store answers again, and has the new entry");
    }
    let got: Vec<Got> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    for Got { id, status, events, versions } in &got {
        record
            .line(&format!("client {id}: status {status}, {events} of {EVENTS} events, from servers of {versions:?}"));
    }
    for line in one.log().lines().chain(other.log().lines()).filter(|line| line.contains("StreamResumed")).take(4) {
        record.line(&format!("log: {line}"));
    }
    drop((one, other, third));
    let mixed = got.iter().filter(|got| got.versions.len() > 1).count();
    let broken = mixed > 2;
    record.line(&format!(
        "{}: {mixed} streams hold events from servers of two software versions in one answer",
        if broken { "BROKEN" } else { "held" }
    ));
    stands::exit(i32::from(broken));
}

fn text(id: &str, own: usize, body: &str) -> String {
    let prompt = format!("{:x}:800,{:x}:250", 0x5c1e_0700 + own, 0xe440_0000_u64 + own as u64);
    let more = [
        ("Cleatshelf-Model", "m"),
        ("Cleatshelf-Token-Counts", "1050,120"),
        ("Cleatshelf-Prompt-Prefix", prompt.as_str()),
    ];
    request("POST", "/lohu930/2f", id, LIMIT_MS, &more, &format!("{body} {own}"))
}

/// What the script tells the servers, and they it.
#[derive(Default)]
struct Stand {
    /// The crashing server is away.
    crashed: Arc<AtomicBool>,
    /// It has started again.
    is_new: AtomicBool,
    /// It asks for rest.
    rests: AtomicBool,
    turned_away: AtomicUsize,
    /// A stream began there before the crash.
    busy: AtomicBool,
    /// Every second channel with a stream is reset.
    breaks: AtomicBool,
    streams: AtomicUsize,
}

fn handler(number: usize, record: &Record, stand: &Arc<Stand>) -> Handler {
    let (server, record, stand) = (IDS[number], record.clone(), Arc::clone(stand));
    Arc::new(move |head, body, stream| {
        let id = head.get("Cleatshelf-Request-Id").unwrap_or("").to_owned();
        let first: usize = head.get("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        let mut stream = stream;
        if number == CRASHING && stand.rests.load(Ordering::SeqCst) {
            stand.turned_away.fetch_add(1, Ordering::SeqCst);
            record.line(&format!("server {server} turns {id} away and asks for {REST_S} s of rest"));
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Not-Run: 1\r\nRetry-After: {REST_S}\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let is_new = stand.is_new.load(Ordering::SeqCst);
        let version = if number == CRASHING && is_new { "v2" } else { "v1" };
        let is_short = body.starts_with(b"short");
        let turn = stand.streams.fetch_add(1, Ordering::SeqCst);
        if number == CRASHING && !is_new && !is_short {
            stand.busy.store(true, Ordering::SeqCst);
        }
        record.line(&format!("server {server} ({version}) runs {id} from event {first}"));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: seal.{server}\r\nCleatshelf-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for number in first..=if is_short { 1 } else { EVENTS } {
            for _ in 0..if is_short { 1 } else { EVENT_MS / 10 } {
                std::thread::sleep(Duration::from_millis(10));
                // Only channels from before the reset.
                if stand.breaks.load(Ordering::SeqCst) && first == 1 && turn % 2 == 0 && !is_short {
                    reset_on_close(stream);
                    return false;
                }
            }
            let event = format!("id: {number}\ndata: piece {number} of {version}\n\n");
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}
