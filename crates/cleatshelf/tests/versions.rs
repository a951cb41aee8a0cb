//! Streams that callers take up again at other boxes, while servers of several software versions serve side by side.

use platform_lab::{
    start_boxes, stream_config_json, wait_until, BrokenStream, Call, Process, Reply, Servers, Store, StoreMode,
    StreamEvent, EVENTS_PER_LONG_STREAM, LONG_STREAM_MARKER,
};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Streams that break off together.
const STREAMS: usize = 24;

/// How many of them must go on, while servers of their version serve: 0.9.
const MIN_CONTINUED: usize = 22;

/// Time within which a stream that doesn't go on is answered.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Three boxes in two halls, and servers of two versions.
struct World {
    store: Store,
    servers: Servers,
    boxes: Vec<Process>,
}

impl World {
    fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &stream_config_json(3));
        let servers = Servers::start_with_versions(&store, &["hall"], 6, &["v1", "v2"]);
        let halls = ["hall", "hall", "other"];
        let boxes = start_boxes(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], &store, &halls);
        Self { store, servers, boxes }
    }

    /// Starts long streams at the first box, which is killed while they run. Returns what their callers got. The other
    /// boxes are started anew before, once the streams have begun, if `keepers_start` is set.
    fn streams_broken_by_a_kill(&mut self, keepers_start: bool) -> Vec<(String, Vec<StreamEvent>)> {
        let address = self.boxes[0].callers;
        let start = |number: usize| {
            let call = stream_call(&format!("first-{number}"), None);
            std::thread::spawn(move || (call.id.clone(), events(&call.send(address))))
        };
        let callers: Vec<_> = (0..STREAMS).map(start).collect();
        if keepers_start {
            std::thread::sleep(Duration::from_millis(300));
            self.boxes[1..].iter_mut().for_each(Process::restart);
            // A stream takes two seconds.
            std::thread::sleep(Duration::from_millis(1_300));
        } else {
            std::thread::sleep(Duration::from_millis(700));
        }
        self.boxes[0].kill();
        let broken = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        broken.filter(|(_, events)| !events.is_empty()).collect()
    }
}

fn stream_call(id: &str, takes_up: Option<BrokenStream>) -> Call {
    let (path, body) = ("/stream/".to_owned(), format!("{LONG_STREAM_MARKER} {id}"));
    Call { id: id.to_owned(), path, body, takes_up, ..Call::default() }
}

fn events(reply: &Reply) -> Vec<StreamEvent> {
    match reply {
        Reply::Complete { status: 200, body, .. } | Reply::Truncated { status: 200, body } => {
            StreamEvent::parse_all(body).expect("whole events")
        }
        _ => Vec::new(),
    }
}

/// Takes up a stream that `first` began and that has these events. Returns the events that follow.
fn take_up(address: SocketAddr, first: &str, received: &[StreamEvent]) -> Vec<StreamEvent> {
    let last_event = received.last().map_or(0, |event| event.number);
    let broken = BrokenStream { first_request: Some(first.to_owned()), last_event };
    events(&stream_call(&format!("{first}-again"), Some(broken)).send(address))
}

/// Guards against streams that go on at another software version, or nowhere, after the box that began them was killed.
#[test]
fn streams_of_a_killed_box_go_on_at_the_version_that_began_them() {
    check_streams_go_on(false);
}

/// Guards against records of streams that end with the boxes that keep them: what began a stream was told to its keepers
/// once, and not again to one that had started anew.
#[test]
fn streams_go_on_although_the_boxes_that_keep_their_records_have_started_anew() {
    check_streams_go_on(true);
}

fn check_streams_go_on(keepers_start: bool) {
    let mut world = World::start();
    let broken = world.streams_broken_by_a_kill(keepers_start);
    assert!(broken.len() >= MIN_CONTINUED, "only {} streams began", broken.len());
    let take_up_at = |(number, (first, received)): (usize, &(String, Vec<StreamEvent>))| {
        let (address, first, received) = (world.boxes[1 + number % 2].callers, first.clone(), received.clone());
        std::thread::spawn(move || (take_up(address, &first, &received), received))
    };
    let callers: Vec<_> = broken.iter().enumerate().map(take_up_at).collect();
    let (mut continued, mut crossed) = (0, 0);
    for caller in callers {
        let (later, received) = caller.join().expect("a caller");
        continued += usize::from(later.last().is_some_and(|event| event.number == EVENTS_PER_LONG_STREAM));
        crossed += usize::from(later.iter().any(|event| event.version != received[0].version));
    }
    assert_eq!(crossed, 0, "streams hold events of two versions");
    assert!(continued >= MIN_CONTINUED, "{continued} of {} streams go on", broken.len());
}

/// Guards against streams that go on at any version since no box knows which one began them.
#[test]
fn a_stream_that_nobody_knows_is_refused_at_once_and_not_run() {
    let world = World::start();
    let named = Some("nobody-began-this".to_owned());
    for (number, first_request) in [named, None].into_iter().enumerate() {
        let broken = BrokenStream { first_request, last_event: 2 };
        let call = stream_call(&format!("unknown-{number}"), Some(broken));
        let began = Instant::now();
        let reply = call.send(world.boxes[number].callers);
        assert!(matches!(reply, Reply::Complete { status: 503, .. }), "{reply:?}");
        assert!(began.elapsed() < MAX_REFUSAL_TIME, "{:?}", began.elapsed());
        assert!(world.servers.ledger.runs(&call.id).is_empty());
    }
}

/// Returns the number of servers that a box has logged as being in doubt (521) since its `start`th start (100).
fn doubts_since_start(one: &Process, start: usize) -> usize {
    let log = one.log();
    log.split("\"event\":100,").nth(start).map_or(0, |lines| lines.matches("\"LifeDoubted\"").count())
}

/// Guards against a box that starts while the store is away, gets the list from another box and goes on with streams at a
/// server that has ended since, under whose id a life of another version answers.
#[test]
fn a_box_that_gets_the_list_from_another_one_is_told_which_servers_may_have_ended() {
    let mut world = World::start();
    let address = world.boxes[0].callers;
    let start = |number: usize| std::thread::spawn(move || stream_call(&format!("long-{number}"), None).send(address));
    let callers: Vec<_> = (0..STREAMS).map(start).collect();
    std::thread::sleep(Duration::from_millis(300));
    world.store.set_mode(StoreMode::Unavailable);
    world.servers.crash(0);
    callers.into_iter().for_each(|caller| drop(caller.join().expect("a caller")));
    wait_until("the server is in doubt", || world.boxes.iter().take(2).all(|one| doubts_since_start(one, 1) > 0));
    world.boxes[1].restart();
    wait_until("the box is ready", || world.boxes[1].is_ready());
    wait_until("the box is told of the server", || doubts_since_start(&world.boxes[1], 2) > 0);
}
