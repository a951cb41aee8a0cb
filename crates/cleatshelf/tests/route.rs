//! Router boxes as separate processes with a simulated store and servers: start, updates, peers and planned stop.

use lab::ports::free_address;
use platform_lab::{
    config_json, server_entry, start_server, wait_until, Call, Process, Reply, Store, StoreMode, WAIT_TIMEOUT,
};
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
    let one = start(&store, free_address(), &[]);
    wait_until("the box responds", || one.readiness() == 503);
    assert_eq!(one.get("/x/1").0, 503, "without a configuration the status is neither 404 nor 401");
    store.put("servers/i-1", &server_entry(start_server("first", 0), "ready"));
    store.put("op/config", &config_json(3, "/x/"));
    wait_until("the box is ready", || one.is_ready());
    wait_until("the box serves", || one.get("/x/1") == (200, "first".to_owned()));
    assert_eq!(one.get("/y/1").0, 404);
    store.put("op/config", &config_json(9, "/y/"));
    wait_until("the new route is in force", || one.get("/y/1").0 == 200);
    assert_eq!(one.get("/x/1").0, 404);
    store.put("op/config", &config_json(8, "/x/"));
    store.put("servers/i-2", &server_entry(start_server("second", 0), "ready"));
    store.put("servers/i-1", &server_entry(start_server("first", 0), "draining"));
    wait_until("a draining server gets no requests", || one.get("/y/1") == (200, "second".to_owned()));
    assert_eq!(one.get("/x/1").0, 404, "an older version never comes back");
    assert!(one.metrics().contains("cleatshelf_configuration_version 9"));
}

#[test]
fn a_box_without_access_to_the_store_gets_the_state_from_another_box() {
    let store = Store::start();
    store.put("servers/i-1", &server_entry(start_server("first", 0), "ready"));
    store.put("op/config", &config_json(3, "/x/"));
    let (near, far) = (free_address(), free_address());
    let one = start(&store, near, &[near, far]);
    wait_until("the box is ready", || one.is_ready());
    store.set_mode(StoreMode::Unavailable);
    let two = start(&store, far, &[near, far]);
    wait_until("the second box is ready through the first", || two.is_ready());
    wait_until("the second box serves", || two.get("/x/1") == (200, "first".to_owned()));
}

#[test]
fn only_one_box_of_a_small_hall_watches() {
    let store = Store::start();
    store.put("op/config", &config_json(3, "/x/"));
    let addresses = [free_address(), free_address(), free_address()];
    let boxes = addresses.map(|address| start(&store, address, &addresses));
    wait_until("all boxes are ready", || boxes.iter().all(Process::is_ready));
    std::thread::sleep(Duration::from_secs(4));
    let before = store.call_count();
    std::thread::sleep(Duration::from_secs(8));
    // With watches of four seconds for two subjects, one box makes four or five calls, three boxes twelve or more.
    let calls = store.call_count() - before;
    assert!(calls <= 6, "{calls} calls in 8 s");
}

#[test]
fn a_planned_stop_fails_readiness_checks_and_lets_running_requests_complete() {
    let store = Store::start();
    store.put("servers/i-1", &server_entry(start_server("slow", 1_500), "ready"));
    store.put("op/config", &config_json(3, "/x/"));
    let mut one = start(&store, free_address(), &[]);
    wait_until("the box is ready", || one.is_ready());
    let call = Call { method: "GET", path: "/x/1".to_owned(), ..Call::default() };
    let callers = one.callers;
    let running = std::thread::spawn(move || call.send(callers));
    std::thread::sleep(Duration::from_millis(300));
    one.signal("-TERM");
    wait_until("the box is not ready", || !one.is_ready());
    let slow = Reply::Complete { status: 200, body: "slow".to_owned(), has_retry_after: false };
    assert_eq!(running.join().expect("a call"), slow);
    let began = Instant::now();
    let clean = loop {
        if let Some(clean) = one.exited_cleanly() {
            break clean;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "the process does not exit");
        std::thread::sleep(Duration::from_millis(20));
    };
    assert!(clean, "a request was aborted");
}

#[test]
fn reloaded_settings_with_faults_are_refused_and_the_box_keeps_serving() {
    let store = Store::start();
    store.put("servers/i-1", &server_entry(start_server("first", 0), "ready"));
    store.put("op/config", &config_json(3, "/x/"));
    let one = start(&store, free_address(), &[]);
    wait_until("the box is ready", || one.is_ready());
    std::fs::write(&one.settings, "name = 5").expect("the settings are written");
    one.signal("-HUP");
    let has_counted = || one.metrics().contains("cleatshelf_events_total{event=\"SettingsRefused\"}");
    wait_until("the faults are reported", has_counted);
    assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
}

/// Guards against a box that is ready as soon as it has its configuration. Its list of servers arrives 1 to 2 ms later,
/// or much later from a slow store, and requests from the load balancer meanwhile get 503 `no server`: 6 of 40 starts
/// refused their first request.
#[test]
fn a_box_is_ready_only_with_its_first_list_of_servers_even_if_it_is_empty() {
    let store = Store::start();
    store.put("op/config", &config_json(3, "/x/"));
    store.set_mode(StoreMode::ServersUnavailable);
    let address = free_address();
    let one = start(&store, address, &[address]);
    wait_until("the configuration is in force", || one.metrics().contains("ReleaseInForce"));
    for _ in 0..20 {
        assert!(!one.is_ready(), "the box is ready without a list of servers");
        std::thread::sleep(Duration::from_millis(20));
    }
    store.set_mode(StoreMode::Available);
    wait_until("the box is ready with an empty list", || one.is_ready());
}

#[test]
fn bytes_that_are_not_frames_are_ignored() {
    let store = Store::start();
    store.put("servers/i-1", &server_entry(start_server("first", 0), "ready"));
    store.put("op/config", &config_json(3, "/x/"));
    let boxes = free_address();
    let one = start(&store, boxes, &[boxes]);
    wait_until("the box is ready", || one.is_ready());
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 4_096], b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"] {
        let mut stream = TcpStream::connect(boxes).expect("the box accepts the connection");
        stream.write_all(bytes).expect("the bytes are sent");
    }
    assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
}

/// Returns a configuration whose service limits cold servers to `per_s` requests per second.
fn config_with_cold(version: u64, per_s: u32) -> String {
    config_json(version, "/x/")
        .replace(r#""maxConns":100"#, &format!(r#""maxConns":100,"coldS":60.0,"coldPerS":{per_s}"#))
}

#[test]
fn boxes_together_obey_the_limit_of_a_cold_server_and_send_nothing_to_an_evacuated_hall() {
    let store = Store::start();
    store.put("op/config", &config_with_cold(3, 20));
    store.put(
        "servers/i-1",
        &server_entry(start_server("first", 0), "ready").replace("\"coldLeftMs\":0", "\"coldLeftMs\":600000"),
    );
    let addresses = [free_address(), free_address()];
    let boxes = addresses.map(|address| start(&store, address, &addresses));
    wait_until("all boxes are ready", || boxes.iter().all(Process::is_ready));
    for one in &boxes {
        wait_until("permits are granted once the boxes know each other", || one.get("/x/1").0 == 200);
    }
    let began = Instant::now();
    let served: usize = (0..40).map(|round| usize::from(boxes[round % 2].get("/x/1").0 == 200)).sum();
    // 18 per window of 1.2 s: the limit without an allowance in the settings, minus two. The window before may add
    // some.
    let windows = began.elapsed().as_millis() as usize / 1_200 + 1;
    assert!(served <= 18 * windows, "{served} requests in {windows} windows");
    store.put("op/evacuate/hall", "{}");
    for one in &boxes {
        wait_until("the box knows the evacuation", || one.metrics().contains("HallsEvacuated"));
        // Longer than the window in which all permits were used up.
        for _ in 0..6 {
            assert_eq!(one.get("/x/1").0, 503, "a request reached the only server although its hall is evacuated");
            std::thread::sleep(Duration::from_millis(300));
        }
    }
}
