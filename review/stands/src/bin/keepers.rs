//! Two software versions serve side by side. A machine that keeps the records of streams is killed and starts again;
//! when it is in touch again, the machine that has the streams is killed. Their clients take them up at the first one.

use stands::client::{call, request};
use stands::http::{read_body, read_head};
use stands::record::Record;
use stands::router::{wait_ready, Addresses, Router};
use stands::server::{Handler, Server};
use stands::store::Store;
use stands::{fail_setup, has_trouble, sleep_ms};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HALL: &str = "hall-lansing";
const EVENTS: usize = 30;
const EVENT_MS: u64 = 350;
const STREAMS: usize = 16;
const NEW_STREAMS: usize = 16;
/// `contactMs` of the site.
const CONTACT_MS: u64 = 3_000;
/// Time limit of the clients and of the route.
const LIMIT_MS: u64 = 12_000;
/// Tries of a client to take up its stream.
const TRIES: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":2500,"priority":2,"service":"model","maxAttempts":2,"noAuth":false,"stickySessions":true,"resumable":true,"gapAimMs":1200}],"services":[{"name":"model","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":521945,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["key-1"],"priority":1}]}"#;

/// What became of a stream that broke off.
struct TakenUp {
    id: String,
    /// Events before the channel broke.
    before: usize,
    /// Status and events of each try to take it up.
    tries: Vec<(u16, usize)>,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, temp) = (Record::create(Path::new(&args[1])), Path::new(&args[2]).to_owned());
    let trouble = has_trouble();
    record.line(if trouble {
        "with the disruption"
    } else {
        "without the disruption: the clients break off themselves"
    });

    let store = Store::start();
    let ids = [("i-a1", "v1"), ("i-a2", "v1"), ("i-b1", "v2"), ("i-b2", "v2")];
    let servers: Vec<(Server, &str)> =
        ids.iter().map(|(id, version)| (Server::start(id, handler(id, version, &record)), *version)).collect();
    store.put("op/config", CONFIG);
    for (server, version) in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry("model", HALL, version, 64, "ready"));
    }
    let at = [Addresses::free(), Addresses::free()];
    let seeds = [at[0].boxes, at[1].boxes];
    let start = |n: usize| {
        Router::start(&temp, &format!("front-{HALL}-{}", n + 1), HALL, &[HALL], store.address, &at[n], &seeds)
    };
    let (mut one, mut other) = (start(0), start(1));
    wait_ready(&[&one, &other]);
    sleep_ms(CONTACT_MS + 500);

    let (begun, leave) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let streams: Vec<JoinHandle<TakenUp>> = (0..STREAMS)
        .map(|n| {
            stream(&format!("s-{n}"), other.at.callers, one.at.callers, Arc::clone(&begun), Arc::clone(&leave), &record)
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(3);
    while begun.load(Ordering::SeqCst) < STREAMS && Instant::now() < until {
        sleep_ms(10);
    }
    record.line(&format!("{} of {STREAMS} streams have begun at {}", begun.load(Ordering::SeqCst), other.name));
    if begun.load(Ordering::SeqCst) < STREAMS {
        fail_setup("the streams did not begin");
    }
    // The records of streams are told in batches of 100 ms.
    sleep_ms(500);
    if trouble {
        record.line(&format!("SIGKILL to {}", one.name));
        one.kill();
        sleep_ms(300);
        one.restart();
        wait_ready(&[&one]);
        record.line(&format!("{} has started again and says that it is ready", one.name));
    }
    sleep_ms(CONTACT_MS + 300);
    let logged = one.log().len();
    if trouble {
        record.line(&format!("SIGKILL to {}; {} is in touch since 0.3 s", other.name, one.name));
        other.kill();
    } else {
        record.line("the clients close their channels and take their streams up at the other machine");
        leave.store(true, Ordering::SeqCst);
    }
    let news: Vec<JoinHandle<bool>> = (0..NEW_STREAMS).map(|n| new_stream(&format!("n-{n}"), one.at.callers)).collect();
    let taken_up: Vec<TakenUp> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    let news = news.into_iter().filter_map(|new| new.join().ok()).filter(|begins| *begins).count();
    for TakenUp { id, before, tries } in &taken_up {
        record.line(&format!("stream {id}: {before} events, then tries (status, events): {tries:?}"));
    }
    for line in one.log()[logged..].lines().filter(|line| line.contains("\"s-") || line.contains("c-s-")).take(6) {
        record.line(&format!("log of {}: {line}", one.name));
    }
    drop((one, other));
    let tried = taken_up.iter().filter(|stream| !stream.tries.is_empty() && stream.before < EVENTS).count();
    let goes_on = |stream: &&TakenUp| stream.tries.iter().any(|(status, events)| *status == 200 && *events > 0);
    let goes_on = taken_up.iter().filter(goes_on).count();
    record.line(&format!(
        "taken up: {tried} streams, of which {goes_on} go on; new streams: {news} of {NEW_STREAMS} begin"
    ));
    if tried < 12 || news == 0 {
        record.line("fewer than 12 streams were taken up, or no new one begins");
        stands::exit(2);
    }
    let broken = (goes_on as f64 / tried as f64) < 0.5 * news as f64 / NEW_STREAMS as f64;
    record.line(if broken {
        "BROKEN: of the streams that are taken up, under half as many go on as new ones begin"
    } else {
        "held: the streams that are taken up go on"
    });
    stands::exit(i32::from(broken));
}

fn text(id: &str, left_ms: u64, more: &[(&str, &str)]) -> String {
    let own = id.rsplit('-').next().and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
    let prompt = format!("5c1e07a2:800,91bd3f06:410,{:x}:250", 0xe440_0000 + own);
    let mut headers = vec![
        ("Cleatshelf-Model", "m"),
        ("Cleatshelf-Token-Counts", "1460,120"),
        ("Cleatshelf-Prompt-Prefix", prompt.as_str()),
    ];
    headers.extend(more);
    request("POST", "/lohu930/2f", id, left_ms, &headers, &format!("prompt {own}"))
}

fn events(bytes: &[u8]) -> usize {
    String::from_utf8_lossy(bytes).matches("\n\n").count()
}

/// A client: its first try at `first`, and when that breaks off, further ones at `then`.
fn stream(
    id: &str,
    first: SocketAddr,
    then: SocketAddr,
    begun: Arc<AtomicUsize>,
    leave: Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<TakenUp> {
    let (id, record) = (id.to_owned(), record.clone());
    std::thread::spawn(move || {
        let began = Instant::now();
        let left = move || LIMIT_MS.saturating_sub(began.elapsed().as_millis() as u64);
        let mut got = Vec::new();
        if let Ok(stream) = TcpStream::connect(first) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS)));
            let _ = (&stream).write_all(text(&id, LIMIT_MS, &[]).as_bytes());
            let closing = stream.try_clone().ok();
            let mut reader = BufReader::new(stream);
            if let Ok(Some(head)) = read_head(&mut reader) {
                let mut is_first = true;
                read_body(&mut reader, &head, false, |bytes| {
                    got.extend_from_slice(bytes);
                    if std::mem::take(&mut is_first) {
                        begun.fetch_add(1, Ordering::SeqCst);
                    }
                    if leave.load(Ordering::SeqCst) {
                        let _ = closing.as_ref().map(|stream| stream.shutdown(Shutdown::Both));
                    }
                });
            }
        }
        let before = events(&got);
        let mut taken_up = TakenUp { id: id.clone(), before, tries: Vec::new() };
        let last = before.to_string();
        while before < EVENTS && taken_up.tries.len() < TRIES && left() > 1_000 {
            let number = taken_up.tries.len() + 1;
            let more = [("Last-Event-Id", last.as_str()), ("Resumes", id.as_str())];
            let own = id.rsplit('-').next().unwrap_or("0");
            let text = text(&format!("c-{id}-t{number}-{own}"), left(), &more);
            let answer = call(then, &text, Duration::from_millis(left()), |_| {});
            let after = answer.head.get("retry-after").and_then(|value| value.parse::<f64>().ok());
            record.line(&format!(
                "client {id} takes up after event {before}, try {number}: status {} retry-after {after:?}",
                answer.status
            ));
            taken_up.tries.push((answer.status, events(&answer.body) * usize::from(answer.status == 200)));
            if answer.status == 200 {
                break;
            }
            // Clients honour it up to a third of the time that they have left.
            let wait = after.unwrap_or(0.2).min(left() as f64 / 3e3);
            sleep_ms((wait * 1e3) as u64);
        }
        taken_up
    })
}

/// A new stream. True if it begins.
fn new_stream(id: &str, address: SocketAddr) -> JoinHandle<bool> {
    let id = id.to_owned();
    std::thread::spawn(move || {
        let Ok(stream) = TcpStream::connect(address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let _ = (&stream).write_all(text(&id, LIMIT_MS, &[]).as_bytes());
        let mut reader = BufReader::new(stream);
        let Ok(Some(head)) = read_head(&mut reader) else { return false };
        let mut first = [0; 64];
        head.status() == 200 && matches!(std::io::Read::read(&mut reader, &mut first), Ok(n) if n > 0)
    })
}

fn handler(id: &str, version: &str, record: &Record) -> Handler {
    let (server, version, record) = (id.to_owned(), version.to_owned(), record.clone());
    Arc::new(move |head, _, stream| {
        let id = head.get("Cleatshelf-Request-Id").unwrap_or("").to_owned();
        let first: usize = head.get("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        record.line(&format!("server {server} ({version}) runs {id} from event {first}"));
        let mut stream = stream;
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: seal.{server}\r\nCleatshelf-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for number in first..=EVENTS {
            std::thread::sleep(Duration::from_millis(EVENT_MS));
            let event = format!("id: {number}\ndata: piece {number} of {version}\n\n");
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}
