//! Stand-ins for servers, as a process of their own: `stand server LOG SPEC…`, each SPEC an
//! `ID,ADDRESS,SERVICE,VERSION`. A line `leave ID` on its input makes a server say in its answers that it leaves, a line
//! `end ID` ends that server. The log has a line for each request that began, ended or was cut.

use crate::util::{header, now_ms, read_head};
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Events of a stream, and the time between them.
pub const EVENTS: u32 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

struct Server {
    id: String,
    service: String,
    version: String,
    leaving: AtomicBool,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    log: Arc<Mutex<File>>,
}

/// Runs the servers until the process is killed or its input ends.
pub fn run(args: &[String]) {
    let file = File::options().create(true).append(true).open(&args[0]).expect("a log");
    let log = Arc::new(Mutex::new(file));
    let mut servers: HashMap<String, Arc<Server>> = HashMap::new();
    for spec in &args[1..] {
        let fields: Vec<&str> = spec.split(',').collect();
        let listener = bind_again(fields[1]);
        let server = Arc::new(Server {
            id: fields[0].to_owned(),
            service: fields[2].to_owned(),
            version: fields[3].to_owned(),
            leaving: AtomicBool::default(),
            ended: AtomicBool::default(),
            streams: Mutex::default(),
            log: Arc::clone(&log),
        });
        servers.insert(server.id.clone(), Arc::clone(&server));
        std::thread::spawn(move || server.accept(&listener));
    }
    println!("ready");
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let Some((command, id)) = line.split_once(' ') else { continue };
        let Some(server) = servers.get(id) else { continue };
        match command {
            "leave" => server.leaving.store(true, Ordering::Relaxed),
            "end" => server.end(),
            _ => {}
        }
    }
}

/// Binds an address whose last owner has just ended.
fn bind_again(address: &str) -> TcpListener {
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("{address} can't be bound");
}

impl Server {
    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("a listener");
        while !self.ended.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.streams.lock().expect("streams").push(copy);
            }
            let this = Arc::clone(self);
            std::thread::spawn(move || this.serve(stream));
        }
    }

    fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().expect("streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn record(&self, what: &str, request: &str) {
        let line = format!("{} {what} {request} at {} {} {}\n", now_ms(), self.id, self.service, self.version);
        let _ = self.log.lock().expect("a log").write_all(line.as_bytes());
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let mut body = vec![0; length];
            if stream.read_exact(&mut body).is_err() || self.ended.load(Ordering::Relaxed) {
                return;
            }
            let request = header(&head, "cleatshelf-request-id").unwrap_or_default().to_owned();
            let leaving = if self.leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
            if header(&head, "cleatshelf-expect-instance").is_some_and(|expected| expected != self.id) {
                self.record("misdirected", &request);
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nCleatshelf-Instance-Id: {}\r\nCleatshelf-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record("begin", &request);
            let begin = format!(
                "HTTP/1.1 200 OK\r\nCleatshelf-Request-Id: {request}\r\nCleatshelf-Server-Seal: seal\r\n{leaving}"
            );
            let target = head.split(' ').nth(1).unwrap_or_default();
            let result = if target.starts_with("/chat/") {
                self.write_stream(&mut stream, &begin, &head, &request)
            } else {
                let work = header(&head, "work-ms").and_then(|text| text.parse().ok()).unwrap_or(30);
                std::thread::sleep(Duration::from_millis(work));
                let text = format!("done {request} at {} {}", self.id, self.version);
                stream.write_all(format!("{begin}Content-Length: {}\r\n\r\n{text}", text.len()).as_bytes())
            };
            self.record(if result.is_ok() { "end" } else { "cut" }, &request);
            if result.is_err() {
                return;
            }
        }
    }

    fn write_stream(&self, stream: &mut TcpStream, begin: &str, head: &str, request: &str) -> std::io::Result<()> {
        let last: u32 = header(head, "last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        write!(stream, "{begin}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        for number in last + 1..=EVENTS {
            std::thread::sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {request} {} {}\n\n", self.version, self.id);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
