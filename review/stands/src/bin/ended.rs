//! All machines of a zone lose their path to the servers for some seconds: channels are reset, new ones are refused. Some
//! seconds after its return, clients take up streams that began after it.

use stands::client::{call, request, reset_on_close};
use stands::http::{read_body, read_head};
use stands::record::Record;
use stands::router::{wait_ready, Addresses, Router};
use stands::server::{Handler, Server};
use stands::store::Store;
use stands::{fail_setup, has_trouble, sleep_ms};
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HALL: &str = "hall-lansing";
const EVENTS: usize = 30;
const EVENT_MS: u64 = 250;
/// Streams that run when the path is lost, and those that clients take up later.
const EARLY: usize = 24;
const STREAMS: usize = 16;
/// How long the machines are without a path to the servers.
const CUT_MS: u64 = 3_000;
/// `contactMs` of the site.
const CONTACT_MS: u64 = 3_000;
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

type Busy = Arc<Mutex<BTreeSet<String>>>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (record, temp) = (Record::create(Path::new(&args[1])), Path::new(&args[2]).to_owned());
    let trouble = has_trouble();
    record.line(if trouble { "with the disruption" } else { "without the disruption" });

    let store = Store::start();
    let (cut, busy) = (Arc::new(AtomicBool::new(false)), Busy::default());
    let ids = ["i-a1", "i-b2", "i-c3"];
    let servers: Vec<Server> =
        ids.iter().map(|id| Server::start_with(id, Arc::clone(&cut), handler(id, &record, &cut, &busy))).collect();
    store.put("op/config", CONFIG);
    for (n, server) in servers.iter().enumerate() {
        let born = 1_796_357_000_000 + n as u64;
        store.put(&format!("servers/{}", server.id), &server.entry_born("model", HALL, "v1", 64, born));
    }
    let at = [Addresses::free(), Addresses::free()];
    let seeds = [at[0].boxes, at[1].boxes];
    let start = |n: usize| {
        Router::start(&temp, &format!("front-{HALL}-{}", n + 1), HALL, &[HALL], store.address, &at[n], &seeds)
    };
    let (one, other) = (start(0), start(1));
    wait_ready(&[&one, &other]);
    // From the longest time limit of a route on, the machines know which versions serve.
    sleep_ms(LIMIT_MS + 1_000);

    let never = Arc::new(AtomicBool::new(false));
    let begun = Arc::new(AtomicUsize::new(0));
    let early: Vec<JoinHandle<TakenUp>> = (0..EARLY)
        .map(|n| {
            let first = if n % 2 == 0 { one.at.callers } else { other.at.callers };
            stream(&format!("early-{n}"), first, None, Arc::clone(&begun), Arc::clone(&never), &record)
        })
        .collect();
    wait_begun(&begun, EARLY);
    sleep_ms(400);
    let busy_now: Vec<String> = busy.lock().expect("no thread panicked").iter().cloned().collect();
    record.line(&format!("{EARLY} early streams have begun, at the servers {busy_now:?}"));
    if busy_now.len() < ids.len() {
        record.line("not every server has a stream");
        stands::exit(2);
    }
    if trouble {
        cut.store(true, Ordering::SeqCst);
        servers.iter().for_each(Server::reset_channels);
        record.line("cut: no machine reaches a server, channels are reset and new ones refused");
        sleep_ms(CUT_MS);
        cut.store(false, Ordering::SeqCst);
        record.line("the cut has healed");
    }
    let ends: Vec<TakenUp> = early.into_iter().filter_map(|stream| stream.join().ok()).collect();
    let whole = ends.iter().filter(|stream| stream.before == EVENTS).count();
    record.line(&format!("early streams: {whole} of {EARLY} got all events"));
    sleep_ms(CONTACT_MS + 500);

    let (begun, leave) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let streams: Vec<JoinHandle<TakenUp>> = (0..STREAMS)
        .map(|n| {
            let (begun, leave) = (Arc::clone(&begun), Arc::clone(&leave));
            stream(&format!("s-{n}"), one.at.callers, Some(other.at.callers), begun, leave, &record)
        })
        .collect();
    wait_begun(&begun, STREAMS);
    let new = begun.load(Ordering::SeqCst);
    record.line(&format!("{new} of {STREAMS} new streams have begun at {}", one.name));
    sleep_ms(1_000);
    let logged = other.log().len();
    record.line(&format!("the clients' channels break; they take their streams up at {}", other.name));
    leave.store(true, Ordering::SeqCst);
    let taken_up: Vec<TakenUp> = streams.into_iter().filter_map(|stream| stream.join().ok()).collect();
    for TakenUp { id, before, tries } in &taken_up {
        record.line(&format!("stream {id}: {before} events, then tries (status, events): {tries:?}"));
    }
    for line in other.log()[logged..].lines().filter(|line| line.contains("c-s-")).take(3) {
        record.line(&format!("log of {}: {line}", other.name));
    }
    for router in [&one, &other] {
        for line in router.log().lines().filter(|line| line.contains("\"event\":508") || line.contains("\"event\":517"))
        {
            let short: String = line.chars().take(220).collect();
            record.line(&format!("log of {}: {short}", router.name));
        }
    }
    drop((one, other));
    let tried = taken_up.iter().filter(|stream| !stream.tries.is_empty() && stream.before < EVENTS).count();
    let goes_on = |stream: &&TakenUp| stream.tries.iter().any(|(status, events)| *status == 200 && *events > 0);
    let goes_on = taken_up.iter().filter(goes_on).count();
    record.line(&format!("taken up: {tried} streams, of which {goes_on} go on; new streams: {new} of {STREAMS} begin"));
    if tried < 12 || new == 0 {
        record.line("fewer than 12 streams were taken up, or no new one begins");
        stands::exit(2);
    }
    let broken = (goes_on as f64 / tried as f64) < 0.5 * new as f64 / STREAMS as f64;
    record.line(if broken {
        "BROKEN: of the streams that are taken up, under half as many go on as new ones begin"
    } else {
        "held: the streams that are taken up go on"
    });
    stands::exit(i32::from(broken));
}

fn wait_begun(begun: &AtomicUsize, count: usize) {
    let until = Instant::now() + Duration::from_secs(4);
    while begun.load(Ordering::SeqCst) < count && Instant::now() < until {
        sleep_ms(10);
    }
    if begun.load(Ordering::SeqCst) < 12 {
        fail_setup("the streams did not begin");
    }
}

fn text(id: &str, own: u64, left_ms: u64, more: &[(&str, &str)]) -> String {
    let prompt = format!("{:x}:800,{:x}:410,{:x}:250", 0x5c1e_0700 + own % 9, 0x91bd_3f00 + own, 0xe440_0000 + own);
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
    then: Option<SocketAddr>,
    begun: Arc<AtomicUsize>,
    leave: Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<TakenUp> {
    let (id, record) = (id.to_owned(), record.clone());
    let own = id.bytes().fold(7_u64, |n, byte| (n * 31 + u64::from(byte)) % 65_521);
    std::thread::spawn(move || {
        let began = Instant::now();
        let left = move || LIMIT_MS.saturating_sub(began.elapsed().as_millis() as u64);
        let mut got = Vec::new();
        if let Ok(stream) = TcpStream::connect(first) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(LIMIT_MS)));
            let _ = (&stream).write_all(text(&id, own, LIMIT_MS, &[]).as_bytes());
            let closing = stream.try_clone().ok();
            let mut reader = BufReader::new(stream);
            if let Ok(Some(head)) = read_head(&mut reader) {
                let mut is_first = true;
                read_body(&mut reader, &head, false, |bytes| {
                    got.extend_from_slice(bytes);
                    if std::mem::take(&mut is_first) && head.status() == 200 {
                        begun.fetch_add(1, Ordering::SeqCst);
                    }
                    if leave.load(Ordering::SeqCst) {
                        if let Some(stream) = &closing {
                            reset_on_close(stream);
                            let _ = stream.shutdown(Shutdown::Both);
                        }
                    }
                });
            }
        }
        let before = events(&got);
        let mut taken_up = TakenUp { id: id.clone(), before, tries: Vec::new() };
        let Some(then) = then else { return taken_up };
        let last = before.to_string();
        while before < EVENTS && taken_up.tries.len() < TRIES && left() > 1_000 {
            let number = taken_up.tries.len() + 1;
            let more = [("Last-Event-Id", last.as_str()), ("Resumes", id.as_str())];
            let text = text(&format!("c-{id}-t{number}"), own, left(), &more);
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

fn handler(id: &str, record: &Record, cut: &Arc<AtomicBool>, busy: &Busy) -> Handler {
    let (server, record, cut, busy) = (id.to_owned(), record.clone(), Arc::clone(cut), Arc::clone(busy));
    Arc::new(move |head, _, stream| {
        let id = head.get("Cleatshelf-Request-Id").unwrap_or("").to_owned();
        let first: usize = head.get("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0) + 1;
        record.line(&format!("server {server} runs {id} from event {first}"));
        busy.lock().expect("no thread panicked").insert(server.clone());
        let mut stream = stream;
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCleatshelf-Request-Id: {id}\r\nCleatshelf-Server-Seal: seal.{server}\r\nCleatshelf-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for number in first..=EVENTS {
            for _ in 0..EVENT_MS / 10 {
                std::thread::sleep(Duration::from_millis(10));
                if cut.load(Ordering::SeqCst) {
                    return false;
                }
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            if stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    })
}
