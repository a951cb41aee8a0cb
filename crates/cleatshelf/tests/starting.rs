//! Boxes that start with a long list of servers.

use lab::ports::free_address;
use platform_lab::{config_json, server_entry, start_server, wait_until, Process, Store};
use routing::{Directory, Freshness, Publisher};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;

/// Number of servers in the list and per page.
const SERVERS: u64 = 300;
const SERVERS_PER_PAGE: usize = 20;

fn start(store: &Store, boxes: SocketAddr, seeds: &[SocketAddr]) -> Process {
    Process::start(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], store, "hall", boxes, seeds)
}

/// Starts a store with a long list, in which all entries are the same server.
fn store() -> Store {
    let store = Store::start();
    store.set_page_size(SERVERS_PER_PAGE);
    let address = start_server("first", 0);
    for number in 0..SERVERS {
        // Evenly distributed names, like those of a platform.
        let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        store.put(&format!("servers/i-{name:08x}"), &server_entry(address, "ready"));
    }
    store.put("op/config", &config_json(3, "/x/"));
    store
}

fn knows_servers(one: &Process, count: u64) -> bool {
    one.metrics().contains(&format!("cleatshelf_servers {count}"))
}

/// Guards against boxes that read the full list before they are ready. After 585 boxes had been killed together, no
/// request was served for 5 s: each box read the list of 6,000 servers, 2.4 MB in 30 pages, which took the store's link
/// 11 s for all of them.
#[test]
fn a_box_serves_with_a_sample_before_it_has_the_full_list() {
    let store = store();
    // With a seed that never responds, and without other boxes.
    for alone in [false, true] {
        store.allow_pages(Some(5));
        let address = free_address();
        let one = start(&store, address, &[if alone { address } else { free_address() }]);
        wait_until("the box is ready with a few pages", || one.is_ready());
        assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
        store.allow_pages(None);
        wait_until("the full list is known", || knows_servers(&one, SERVERS));
        assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
    }
}

fn sample(store: &Store, draw: u64) -> Directory {
    let client = platform::Store::new(store.address);
    let read = async { client.sample(Freshness::Stale, draw).await };
    actix_rt::System::new().block_on(read).expect("a sample")
}

#[test]
fn samples_are_drawn_from_the_full_list_with_few_calls() {
    let store = store();
    let before = store.call_count();
    let samples: Vec<Directory> = (0..40_u64).map(|draw| sample(&store, draw.wrapping_mul(0x9e37_79b9))).collect();
    assert_eq!(store.call_count() - before, 40 * 5, "a sample is the first page and four prefixes");
    for sample in &samples {
        assert!((16..SERVERS as usize / 2).contains(&sample.servers.len()), "{} servers", sample.servers.len());
        assert!(!sample.position.is_known(), "a sample is not the full list");
    }
    let drawn: HashSet<&String> = samples.iter().flat_map(|sample| sample.servers.keys()).collect();
    assert!(drawn.len() as u64 > SERVERS * 9 / 10, "only {} of {SERVERS} servers are in some sample", drawn.len());
}

#[test]
fn a_list_of_one_page_is_read_in_full_and_sampling_works_with_any_names() {
    let store = Store::start();
    store.put("servers/only", &server_entry(start_server("first", 0), "ready"));
    let full = sample(&store, 5);
    assert!(full.position.is_known());
    assert_eq!((full.servers.len(), store.call_count()), (1, 1));
    // Very similar names: every draw must return a page.
    for number in 0..9 {
        store.put(&format!("servers/{number}-x"), &server_entry(start_server("first", 0), "ready"));
    }
    store.set_page_size(4);
    for draw in 0..20 {
        let sample = sample(&store, draw);
        assert!(
            !sample.position.is_known() && sample.servers.len() >= 2,
            "draw {draw}: {} servers",
            sample.servers.len()
        );
    }
}

/// Names of entries of other writers that sort before all servers, among them, and after all, and hold characters that
/// have a meaning in a URL.
const FOREIGN_NAMES: [&str; 8] = ["!&a=b", "#1", "%41", "+", "i-4 x", "i-8?%zz", "~ é\u{1f600}", "~&pathPrefix=op/"];

/// Guards against an entry of another writer that keeps starting boxes from the list of servers: its key was put into a
/// query as it is, so that boxes served with a sample for as long as it stood. If the entry was the copy of a server's
/// entry, all requests could go to the address in it.
#[test]
fn boxes_that_start_use_all_servers_beside_entries_under_odd_names() {
    let store = store();
    let copy = server_entry(start_server("not a server of the platform", 0), "ready");
    // Each of them ends a page and begins one in some of the runs.
    for page_size in [SERVERS_PER_PAGE, 1 + SERVERS_PER_PAGE / 2] {
        store.set_page_size(page_size);
        for name in FOREIGN_NAMES {
            let key = format!("servers/{name}");
            store.put(&key, &copy);
            let address = free_address();
            let one = start(&store, address, &[address]);
            wait_until("the box is ready", || one.is_ready());
            let served = (0..20).filter(|_| one.get("/x/1") == (200, "first".to_owned())).count();
            assert_eq!(served, 20, "requests served beside {name:?} with pages of {page_size}");
            wait_until("the full list is known", || knows_servers(&one, SERVERS));
            store.remove(&key);
        }
    }
}

#[test]
fn entries_of_other_writers_do_not_shape_samples() {
    let store = store();
    for name in FOREIGN_NAMES {
        store.put(&format!("servers/{name}"), "not a server");
    }
    for draw in 0..10_u64 {
        let sample = sample(&store, draw.wrapping_mul(0x9e37_79b9));
        assert!((16..SERVERS as usize / 2).contains(&sample.servers.len()), "{} servers", sample.servers.len());
    }
}

/// An outgoing connection that has taken a port while nobody listened there.
fn take_port(address: SocketAddr) -> (std::net::TcpStream, std::net::TcpListener) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // The port may be in TIME_WAIT. Outgoing connections don't share theirs.
    socket.set_reuse_address(true).expect("an option");
    socket.bind(&address.into()).expect("the port is free");
    socket.set_reuse_address(false).expect("an option");
    socket.connect(&listener.local_addr().expect("an address").into()).expect("a connection");
    (socket.into(), listener)
}

/// Guards against a box that doesn't come back because a connection took one of its ports while it was down: it ended at
/// each start, for as long as the connection lasted and a minute more.
#[test]
fn a_box_comes_back_although_a_connection_has_taken_one_of_its_ports() {
    let store = store();
    let address = free_address();
    let mut one = start(&store, address, &[address]);
    wait_until("the box is ready", || one.is_ready());
    for port in [one.operators, one.boxes, one.callers, one.ready] {
        one.kill();
        let (taken, _other) = take_port(port);
        one.restart();
        if port == one.operators || port == one.boxes {
            // Callers need neither of these.
            wait_until("the box is ready without the port", || one.is_ready());
            assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
        } else {
            std::thread::sleep(std::time::Duration::from_millis(500));
            assert!(!one.is_ready(), "callers can't reach it");
        }
        assert_eq!(one.exited_cleanly(), None, "the process ended");
        // A reset leaves no TIME_WAIT.
        socket2::SockRef::from(&taken).set_linger(Some(std::time::Duration::ZERO)).expect("an option");
        drop(taken);
        wait_until("the box is ready with the port", || one.is_ready());
        assert_eq!(one.get("/x/1"), (200, "first".to_owned()));
        wait_until("all ports are open", || one.metrics().contains("cleatshelf_servers"));
    }
}
