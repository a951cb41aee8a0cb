//! Log lines are valid JSON, and a stalled reader blocks no caller of the logger.

use log::{Level, Record};
use std::io::Write;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, UNIX_EPOCH};
use telemetry::{json_line, JsonLogger};

#[test]
fn event_details_become_json_fields() {
    let message = "E503 RequestEnded id=ab12 ms=40 trail=\"+0:s1=Broken(reset by peer) +3:s2=200\"";
    let line = json_line(Level::Info, message, UNIX_EPOCH + Duration::from_millis(5));
    let value: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(value["at_ms"], 5);
    assert_eq!(value["event"], 503);
    assert_eq!(value["name"], "RequestEnded");
    assert_eq!(value["id"], "ab12");
    assert_eq!(value["ms"], 40);
    assert_eq!(value["trail"], "+0:s1=Broken(reset by peer) +3:s2=200");
    assert!(line.ends_with('\n'));
}

#[test]
fn other_messages_are_kept_unparsed_under_text() {
    let value: serde_json::Value =
        serde_json::from_str(&json_line(Level::Warn, "accept: too many files", UNIX_EPOCH)).expect("JSON");
    assert_eq!(value["text"], "accept: too many files");
}

/// A writer that blocks until the test sends a message.
struct StalledWriter(Receiver<()>);

impl Write for StalledWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the test has ended.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_for_a_stalled_reader_are_dropped_and_counted_warnings_last() {
    let (_unblock, blocked) = channel();
    let logger = JsonLogger::start(StalledWriter(blocked)).expect("the writer thread starts");
    let log = |level| logger.log(&Record::builder().level(level).args(format_args!("E100 BoxStarted")).build());
    for _ in 0..5_000 {
        log(Level::Info);
    }
    let dropped_info = logger.dropped();
    assert!(dropped_info > 3_000, "{dropped_info} of 5,000 lines dropped");
    for _ in 0..500 {
        log(Level::Warn);
    }
    assert_eq!(logger.dropped(), dropped_info, "the queue still has room for warnings");
}
