//! Router boxes as separate processes, with a store and servers of this test: start, news, peers, planned stop.

use lab::ports::free;
use platform_lab::{config, entry, server, soon, Call, Mood, Process, Reply, Store, SOON};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

fn start(store: &Store, boxes: SocketAddr, seeds: &[SocketAddr]) -> Process {
    Process::start(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], store, "hall", boxes, seeds)
}

#[test]
fn a_box_is_ready_with_a_configuration_and_follows_changes() {
    let store = Store::start();
    let one = start(&store, free(), &[]);
    soon("the box answers", || one.readiness() == 503);
    assert_eq!(one.get("/x/1").0, 503, "neither 404 nor 401 without a configuration");
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    soon("ready", || one.is_ready());
    soon("served", || one.get("/x/1") == (200, "first".to_owned()));
    assert_eq!(one.get("/y/1").0, 404);
    store.put("op/config", &config(9, "/y/"));
    soon("the new route is in force", || one.get("/y/1").0 == 200);
    assert_eq!(one.get("/x/1").0, 404);
    store.put("op/config", &config(8, "/x/"));
    store.put("servers/i-2", &entry(server("second", 0), "ready"));
    store.put("servers/i-1", &entry(server("first", 0), "draining"));
    soon("a draining server gets nothing", || one.get("/y/1") == (200, "second".to_owned()));
    assert_eq!(one.get("/x/1").0, 404, "an older version never comes back");
    assert!(one.metrics().contains("cleatshelf_configuration_version 9"));
}

#[test]
fn a_box_that_the_store_turns_away_hears_from_another() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let (near, far) = (free(), free());
    let one = start(&store, near, &[near, far]);
    soon("ready", || one.is_ready());
    store.set(Mood::Away);
    let two = start(&store, far, &[near, far]);
    soon("ready through the other", || two.is_ready());
    soon("served", || two.get("/x/1") == (200, "first".to_owned()));
}

#[test]
fn one_box_of_a_small_hall_watches_for_all() {
    let store = Store::start();
    store.put("op/config", &config(3, "/x/"));
    let addresses = [free(), free(), free()];
    let boxes = addresses.map(|address| start(&store, address, &addresses));
    soon("ready", || boxes.iter().all(Process::is_ready));
    std::thread::sleep(Duration::from_secs(4));
    let before = store.calls();
    std::thread::sleep(Duration::from_secs(8));
    // Two subjects in watches of four seconds: four or five calls of one box, twelve and more of three.
    let calls = store.calls() - before;
    assert!(calls <= 6, "{calls} calls in 8 s");
}

#[test]
fn a_planned_stop_lets_a_request_end_and_gives_notice_to_the_balancer() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("slow", 1_500), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let mut one = start(&store, free(), &[]);
    soon("ready", || one.is_ready());
    let call = Call { method: "GET", path: "/x/1".to_owned(), ..Call::default() };
    let callers = one.callers;
    let running = std::thread::spawn(move || call.send(callers));
    std::thread::sleep(Duration::from_millis(300));
    one.signal("-TERM");
    soon("not ready", || !one.is_ready());
    let slow = Reply::Whole { status: 200, body: "slow".to_owned(), back: false };
    assert_eq!(running.join().expect("a call"), slow);
    let began = Instant::now();
    let clean = loop {
        if let Some(clean) = one.ended() {
            break clean;
        }
        assert!(began.elapsed() < SOON, "the box ends");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(clean, "nothing was cut off");
}

#[test]
fn settings_with_faults_are_refused_and_the_box_goes_on() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let one = start(&store, free(), &[]);
    soon("ready", || one.is_ready());
    std::fs::write(&one.settings, "name = 5").expect("written");
    one.signal("-HUP");
    let counted = || one.metrics().contains("cleatshelf_events_total{event=\"SettingsRefused\"}");
    soon("the faults are reported", counted);
    assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
}

/// A box called itself ready once it had its configuration. Its list of servers came one to two milliseconds later, or much later where
/// the store was slow for it, and callers that the balancer sent meanwhile got 503, `no server`: 6 of 40 starts refused their first
/// request.
#[test]
fn a_box_is_ready_with_its_first_list_of_servers_also_an_empty_one() {
    let store = Store::start();
    store.put("op/config", &config(3, "/x/"));
    store.set(Mood::Unlisted);
    let address = free();
    let one = start(&store, address, &[address]);
    soon("the configuration is in force", || one.metrics().contains("ReleaseInForce"));
    for _ in 0..20 {
        assert!(!one.is_ready(), "it doesn't know of any server yet");
        std::thread::sleep(Duration::from_millis(20));
    }
    store.set(Mood::Well);
    soon("ready, though there is no server", || one.is_ready());
}

#[test]
fn bytes_that_are_no_frames_harm_nothing() {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let boxes = free();
    let one = start(&store, boxes, &[boxes]);
    soon("ready", || one.is_ready());
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4_096], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"] {
        let mut stream = TcpStream::connect(boxes).expect("the box");
        stream.write_all(bytes).expect("sent");
    }
    assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
}

/// A configuration whose service's cold servers bear so many requests a second.
fn config_with_cold(version: u64, per_s: u32) -> String {
    config(version, "/x/").replace(r#""maxConns":100"#, &format!(r#""maxConns":100,"coldS":60.0,"coldPerS":{per_s}"#))
}

#[test]
fn boxes_together_send_a_cold_server_no_more_than_it_bears_and_nothing_to_an_evacuated_hall() {
    let store = Store::start();
    store.put("op/config", &config_with_cold(3, 20));
    store.put("servers/i-1", &entry(server("first", 0), "ready").replace("\"coldLeftMs\":0", "\"coldLeftMs\":600000"));
    let addresses = [free(), free()];
    let boxes = addresses.map(|address| start(&store, address, &addresses));
    soon("ready", || boxes.iter().all(Process::is_ready));
    for one in &boxes {
        soon("leave is given once boxes know each other", || one.get("/x/1").0 == 200);
    }
    let began = Instant::now();
    let served: usize = (0..40).map(|round| usize::from(boxes[round % 2].get("/x/1").0 == 200)).sum();
    // 18 within 1.2 s: what it bears without an allowance in the settings, less two. The span before may add some.
    let spans = began.elapsed().as_millis() as usize / 1_200 + 1;
    assert!(served <= 18 * spans, "{served} in {spans} spans");
    store.put("op/evacuate/hall", "{}");
    for one in &boxes {
        soon("known to all", || one.metrics().contains("HallsEvacuated"));
        // Longer than leaves were used up for.
        for _ in 0..6 {
            assert_eq!(one.get("/x/1").0, 503, "its only server's hall is evacuated");
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}
