//! Byte streams are split into complete events.

use relay::EventSplitter;

#[test]
fn only_complete_events_are_returned() {
    let mut splitter = EventSplitter::default();
    assert_eq!(&splitter.feed(b"id: 1\ndata: a\n")[..], b"");
    assert_eq!(splitter.last_id(), None);
    assert_eq!(&splitter.feed(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(splitter.last_id(), Some(1));
    assert!(!splitter.is_complete());
    splitter.discard_partial();
    assert!(splitter.is_complete());
    let both = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(&splitter.feed(both)[..], both);
    assert_eq!(splitter.last_id(), Some(3));
}

#[test]
fn crlf_line_endings_are_accepted() {
    let mut splitter = EventSplitter::default();
    let event = b"id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(&splitter.feed(event)[..], event);
    assert_eq!(splitter.last_id(), Some(7));
}

#[test]
fn chunk_boundaries_do_not_change_the_events() {
    let stream = b"id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for step in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let passed: Vec<u8> = stream.chunks(step).flat_map(|chunk| splitter.feed(chunk).to_vec()).collect();
        assert_eq!(passed, stream);
        assert_eq!(splitter.last_id(), Some(3));
    }
}

#[test]
fn unterminated_event_is_oversized() {
    let mut splitter = EventSplitter::default();
    for _ in 0..300 {
        splitter.feed(&[b'x'; 1_024]);
    }
    assert!(splitter.is_oversized());
}
