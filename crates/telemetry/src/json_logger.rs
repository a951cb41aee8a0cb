//! Log lines as JSON, written without ever holding a request up.

use log::{Level, Record};
use serde_json::{Map, Value};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Lines that may wait for a slow reader: some hundred kilobytes.
const WAITING_MOST: usize = 2_048;

/// Waiting lines from which on those below a warning are dropped, to keep room for failures.
const WAITING_PLAIN: u64 = 1_024;

/// How long lines are gathered before they are written, so that many cost one call.
const GATHER: Duration = Duration::from_millis(50);

/// Where lines go: a queue that never blocks, and a thread that empties it.
#[derive(Clone)]
pub struct JsonLogger {
    queue: SyncSender<String>,
    waiting: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl JsonLogger {
    /// Starts a thread that writes lines to `out`.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(WAITING_MOST);
        let waiting = Arc::new(AtomicU64::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer { lines, waiting: Arc::clone(&waiting), dropped: Arc::clone(&dropped) };
        std::thread::Builder::new().name("log".to_owned()).spawn(move || writer.run(out))?;
        Ok(Self { queue, waiting, dropped })
    }

    /// Makes these lines the process's log. The level is read from `RUST_LOG`, `info` without it.
    pub fn install(self) {
        let env = env_logger::Env::default().default_filter_or("info");
        let format = move |_: &mut env_logger::fmt::Formatter, record: &Record<'_>| {
            self.log(record);
            Ok(())
        };
        env_logger::Builder::from_env(env).format(format).init();
    }

    /// Queues a line, or drops and counts it.
    pub fn log(&self, record: &Record<'_>) {
        let crowded = self.waiting.load(Ordering::Relaxed) >= WAITING_PLAIN;
        if crowded && record.level() > Level::Warn {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let line = json_line(record.level(), &record.args().to_string(), SystemTime::now());
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.queue.try_send(line) {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

struct Writer {
    lines: Receiver<String>,
    waiting: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    fn run(self, mut out: impl Write) {
        let mut told = 0;
        while let Ok(first) = self.lines.recv() {
            std::thread::sleep(GATHER);
            let mut text = first;
            let mut count = 1;
            while let Ok(line) = self.lines.try_recv() {
                text.push_str(&line);
                count += 1;
            }
            self.waiting.fetch_sub(count, Ordering::Relaxed);
            let dropped = self.dropped.load(Ordering::Relaxed);
            if dropped > told {
                text.push_str(&json_line(
                    Level::Warn,
                    &format!("E107 LinesDropped count={}", dropped - told),
                    SystemTime::now(),
                ));
                told = dropped;
            }
            // Without a reader nobody can be told of it.
            let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        }
    }
}

/// A line of JSON from a message `E503 RequestEnded key=value key="two words"`; other messages stand whole under
/// `text`.
#[must_use]
pub fn json_line(level: Level, message: &str, at: SystemTime) -> String {
    let mut fields = Map::new();
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    fields.insert("at_ms".to_owned(), Value::from(since.as_millis() as u64));
    fields.insert("level".to_owned(), Value::from(level.as_str()));
    match event(message) {
        Some((number, name, rest)) => {
            fields.insert("event".to_owned(), Value::from(number));
            fields.insert("name".to_owned(), Value::from(name));
            pairs(rest, &mut fields);
        }
        None => drop(fields.insert("text".to_owned(), Value::from(message))),
    }
    let mut line = Value::Object(fields).to_string();
    line.push('\n');
    line
}

fn event(message: &str) -> Option<(u16, &str, &str)> {
    let (number, rest) = message.strip_prefix('E')?.split_once(' ')?;
    let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    Some((number.parse().ok()?, name, rest))
}

fn pairs(mut rest: &str, fields: &mut Map<String, Value>) {
    while let Some((key, after)) = rest.split_once('=') {
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        let value = value.parse::<i64>().map_or_else(|_| Value::from(value), Value::from);
        fields.insert(key.trim().to_owned(), value);
        rest = left;
    }
}
