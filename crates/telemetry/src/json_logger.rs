//! Log lines as JSON, written by a separate thread so that logging never blocks a request.

use log::{Level, Record};
use serde_json::{Map, Value};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Capacity of the queue for a slow reader, some hundred kilobytes.
const MAX_QUEUED_LINES: usize = 2_048;

/// Queue length at which lines below level `warn` are dropped, to keep room for failures.
const DROP_INFO_AT: u64 = 1_024;

/// Delay during which lines are collected, so that one write covers many of them.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// A logger that queues lines without blocking and writes them from a thread of its own.
#[derive(Clone)]
pub struct JsonLogger {
    queue: SyncSender<String>,
    queued: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl JsonLogger {
    /// Starts the thread that writes log lines to `out`.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let queued = Arc::new(AtomicU64::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer { lines, queued: Arc::clone(&queued), dropped: Arc::clone(&dropped) };
        std::thread::Builder::new().name("log".to_owned()).spawn(move || writer.run(out))?;
        Ok(Self { queue, queued, dropped })
    }

    /// Installs this logger for the whole process. The level comes from `RUST_LOG`, with `info` as the default.
    pub fn install(self) {
        let env = env_logger::Env::default().default_filter_or("info");
        let format = move |_: &mut env_logger::fmt::Formatter, record: &Record<'_>| {
            self.log(record);
            Ok(())
        };
        env_logger::Builder::from_env(env).format(format).init();
    }

    /// Queues a line, or drops and counts it if the queue is too long.
    pub fn log(&self, record: &Record<'_>) {
        let drop_info = self.queued.load(Ordering::Relaxed) >= DROP_INFO_AT;
        if drop_info && record.level() > Level::Warn {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        let line = json_line(record.level(), &record.args().to_string(), SystemTime::now());
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.queue.try_send(line) {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

struct Writer {
    lines: Receiver<String>,
    queued: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    fn run(self, mut out: impl Write) {
        let mut reported = 0;
        while let Ok(first) = self.lines.recv() {
            std::thread::sleep(BATCH_DELAY);
            let mut text = first;
            let mut count = 1;
            while let Ok(line) = self.lines.try_recv() {
                text.push_str(&line);
                count += 1;
            }
            self.queued.fetch_sub(count, Ordering::Relaxed);
            let dropped = self.dropped.load(Ordering::Relaxed);
            if dropped > reported {
                text.push_str(&json_line(
                    Level::Warn,
                    &format!("E107 LinesDropped count={}", dropped - reported),
                    SystemTime::now(),
                ));
                reported = dropped;
            }
            // A write error can't be reported: this is the log itself.
            let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        }
    }
}

/// Formats a message such as `E503 RequestEnded key=value key="two words"` as a line of JSON. Any other message is
/// put unparsed under `text`.
#[must_use]
pub fn json_line(level: Level, message: &str, at: SystemTime) -> String {
    let mut fields = Map::new();
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    fields.insert("at_ms".to_owned(), Value::from(since.as_millis() as u64));
    fields.insert("level".to_owned(), Value::from(level.as_str()));
    match parse_event(message) {
        Some((number, name, rest)) => {
            fields.insert("event".to_owned(), Value::from(number));
            fields.insert("name".to_owned(), Value::from(name));
            insert_pairs(rest, &mut fields);
        }
        None => drop(fields.insert("text".to_owned(), Value::from(message))),
    }
    let mut line = Value::Object(fields).to_string();
    line.push('\n');
    line
}

fn parse_event(message: &str) -> Option<(u16, &str, &str)> {
    let (number, rest) = message.strip_prefix('E')?.split_once(' ')?;
    let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
    Some((number.parse().ok()?, name, rest))
}

fn insert_pairs(mut rest: &str, fields: &mut Map<String, Value>) {
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
