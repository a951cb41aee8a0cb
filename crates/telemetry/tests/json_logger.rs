//! Log lines are JSON, and a reader that stands still holds nobody up.

use log::{Level, Record};
use std::io::Write;
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, UNIX_EPOCH};
use telemetry::{json_line, JsonLogger};

#[test]
fn an_event_becomes_fields() {
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
fn other_messages_stand_whole() {
    let value: serde_json::Value =
        serde_json::from_str(&json_line(Level::Warn, "accept: too many files", UNIX_EPOCH)).expect("JSON");
    assert_eq!(value["text"], "accept: too many files");
}

/// Takes nothing until it is told to.
struct Stuck(Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // An error means that the test is over.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_for_a_reader_that_stands_still_are_dropped_and_counted_warnings_last() {
    let (_go, wait) = channel();
    let lines = JsonLogger::start(Stuck(wait)).expect("a thread");
    let push = |level| lines.log(&Record::builder().level(level).args(format_args!("E100 BoxStarted")).build());
    for _ in 0..5_000 {
        push(Level::Info);
    }
    let plain = lines.dropped();
    assert!(plain > 3_000, "{plain} of 5,000 dropped");
    for _ in 0..500 {
        push(Level::Warn);
    }
    assert_eq!(lines.dropped(), plain, "there is room for warnings still");
}
