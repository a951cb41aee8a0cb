//! Streams are cut into whole events.

use relay::EventSplitter;

#[test]
fn only_whole_events_are_passed_on() {
    let mut events = EventSplitter::default();
    assert_eq!(&events.feed(b"id: 1\ndata: a\n")[..], b"");
    assert_eq!(events.last_id(), None);
    assert_eq!(&events.feed(b"\nid: 2\nda")[..], b"id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
    assert!(!events.is_complete());
    events.discard_partial();
    assert!(events.is_complete());
    let both = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    assert_eq!(&events.feed(both)[..], both);
    assert_eq!(events.last_id(), Some(3));
}

#[test]
fn lines_may_end_with_a_return_too() {
    let mut events = EventSplitter::default();
    let event = b"id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(&events.feed(event)[..], event);
    assert_eq!(events.last_id(), Some(7));
}

#[test]
fn every_cut_of_the_bytes_gives_the_same_events() {
    let stream = b"id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for step in 1..stream.len() {
        let mut events = EventSplitter::default();
        let passed: Vec<u8> = stream.chunks(step).flat_map(|chunk| events.feed(chunk).to_vec()).collect();
        assert_eq!(passed, stream);
        assert_eq!(events.last_id(), Some(3));
    }
}

#[test]
fn an_event_without_end_is_noticed() {
    let mut events = EventSplitter::default();
    for _ in 0..300 {
        events.feed(&[b'x'; 1_024]);
    }
    assert!(events.is_oversized());
}
