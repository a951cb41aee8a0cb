//! The store comes back from a copy some seconds old, and gives out again the revisions that it had given out since. Boxes went by
//! revisions as by a clock that never falls: they took nothing from the store until its numbers had passed the old ones.

use lab::ports::free;
use platform_lab::{config, entry, server, soon, start_boxes, Mood, Process, Store, CONTACT};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// How long the store is away while it is brought back.
const AWAY: Duration = Duration::from_millis(700);

/// Boxes of two halls, and a store with a configuration and one server.
fn world() -> (Store, Vec<Process>) {
    let store = Store::start();
    store.put("servers/i-1", &entry(server("first", 0), "ready"));
    store.put("op/config", &config(3, "/x/"));
    let program = Path::new(env!("CARGO_BIN_EXE_cleatshelf"));
    let boxes = start_boxes(program, &["route"], &store, &["hall", "hall", "other", "other"]);
    (store, boxes)
}

fn drill(store: &Store, copy: &platform_lab::Copy) {
    store.set(Mood::Away);
    std::thread::sleep(AWAY);
    store.restore(copy);
    store.set(Mood::Well);
}

/// All boxes have seen that the store came back from a copy, and their logs tell of it.
fn noticed(boxes: &[Process]) {
    for one in boxes {
        soon("the log tells of it", || one.log().contains("\"name\":\"StoreRestored\",\"subject\":\"Directory\""));
        soon("of orders, too", || one.log().contains("\"name\":\"StoreRestored\",\"subject\":\"Orders\""));
    }
}

fn all_get(boxes: &[Process], path: &str, status: u16, body: &str) -> bool {
    boxes.iter().all(|one| {
        let (got, text) = one.get(path);
        got == status && (body.is_empty() || text == body)
    })
}

#[test]
fn boxes_follow_a_store_that_came_back_from_a_copy() {
    let (store, boxes) = world();
    let copy = store.copy();
    // Written after the copy, and so lost: other servers, and versions of the configuration.
    for number in 0..20 {
        store.put(&format!("servers/i-lost-{number}"), &entry(server("lost", 0), "draining"));
    }
    store.put("op/config", &config(5, "/y/"));
    soon("the configuration is everywhere", || all_get(&boxes, "/y/1", 200, "first"));
    drill(&store, &copy);
    std::thread::sleep(CONTACT);
    assert!(all_get(&boxes, "/y/1", 200, "first"), "what was in force stays");
    assert!(all_get(&boxes, "/x/1", 404, ""), "what was taken away doesn't come back");
    // Few numbers have been given out again: far fewer than before.
    store.put("servers/i-2", &entry(server("second", 0), "ready"));
    store.put("servers/i-1", &entry(server("first", 0), "draining"));
    soon("news of servers are everywhere", || all_get(&boxes, "/y/1", 200, "second"));
    store.put("op/config", &config(7, "/z/"));
    soon("a newer configuration is everywhere", || all_get(&boxes, "/z/1", 200, "second"));
    noticed(&boxes);
}

#[test]
fn a_server_that_left_before_the_drill_does_not_come_back_with_the_copy() {
    let (store, boxes) = world();
    store.put("servers/i-2", &entry(server("second", 0), "ready"));
    std::thread::sleep(Duration::from_secs(1));
    let copy = store.copy();
    store.put("servers/i-1", &entry(server("first", 0), "draining"));
    soon("only the other is used", || (0..4).all(|_| all_get(&boxes, "/x/1", 200, "second")));
    store.remove("servers/i-1");
    std::thread::sleep(Duration::from_secs(1));
    drill(&store, &copy);
    for _ in 0..30 {
        assert!(all_get(&boxes, "/x/1", 200, "second"), "a life that said that it leaves got a request");
        std::thread::sleep(Duration::from_millis(100));
    }
    noticed(&boxes);
}

#[test]
fn a_server_that_the_copy_lacks_is_used_until_its_entry_is_back() {
    let (store, boxes) = world();
    let copy = store.copy();
    let address = server("second", 0);
    store.put("servers/i-2", &entry(address, "ready"));
    store.put("servers/i-1", &entry(server("first", 0), "draining"));
    soon("the later one serves", || all_get(&boxes, "/x/1", 200, "second"));
    drill(&store, &copy);
    let written_again = std::thread::spawn({
        let store = store.clone();
        move || {
            std::thread::sleep(Duration::from_millis(1_000));
            store.put("servers/i-2", &entry(address, "ready"));
        }
    });
    for _ in 0..30 {
        assert!(all_get(&boxes, "/x/1", 200, "second"), "the pool is emptied by a drill");
        std::thread::sleep(Duration::from_millis(100));
    }
    written_again.join().expect("written");
    noticed(&boxes);
}

#[test]
fn an_evacuation_holds_through_a_drill_until_the_operator_has_written_again() {
    let (store, boxes) = world();
    store.put("servers/i-2", &entry_in("other", server("second", 0)));
    soon("both serve", || boxes.iter().any(|one| one.get("/x/1").1 == "second"));
    let copy = store.copy();
    store.put("op/evacuate/hall", "{}");
    soon("evacuated", || (0..4).all(|_| all_get(&boxes, "/x/1", 200, "second")));
    drill(&store, &copy);
    for _ in 0..15 {
        assert!(all_get(&boxes, "/x/1", 200, "second"), "a hall that is evacuated got a request");
        std::thread::sleep(Duration::from_millis(100));
    }
    store.put("op/evacuate/hall", "{}");
    std::thread::sleep(Duration::from_secs(1));
    assert!(all_get(&boxes, "/x/1", 200, "second"));
    store.remove("op/evacuate/hall");
    noticed(&boxes);
    soon("given back", || boxes.iter().any(|one| one.get("/x/1").1 == "first"));
}

#[test]
fn a_box_that_starts_in_a_drill_hears_from_others_what_the_copy_lacks() {
    let (store, boxes) = world();
    let copy = store.copy();
    store.put("op/config", &config(5, "/y/"));
    soon("the configuration is everywhere", || all_get(&boxes, "/y/1", 200, "first"));
    drill(&store, &copy);
    let seeds: Vec<SocketAddr> = boxes.iter().take(2).map(|one| one.boxes).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_cleatshelf"));
    let late = Process::start(program, &["route"], &store, "hall", free(), &seeds);
    soon("it has what was in force", || late.get("/y/1") == (200, "first".to_owned()));
    assert_eq!(late.get("/x/1").0, 404);
    // Nothing was written again so far; what is written next is news to all.
    store.put("op/config", &config(6, "/z/"));
    soon("everywhere", || all_get(&boxes, "/z/1", 200, "first") && late.get("/z/1").0 == 200);
}

#[test]
fn a_box_that_stood_still_through_a_drill_goes_on_with_the_others() {
    let (store, boxes) = world();
    let copy = store.copy();
    for number in 0..20 {
        store.put(&format!("servers/i-lost-{number}"), &entry(server("lost", 0), "draining"));
    }
    std::thread::sleep(Duration::from_secs(1));
    boxes[0].signal("-STOP");
    boxes[3].signal("-STOP");
    drill(&store, &copy);
    store.put("servers/i-2", &entry(server("second", 0), "ready"));
    store.put("servers/i-1", &entry(server("first", 0), "draining"));
    store.put("op/config", &config(7, "/z/"));
    std::thread::sleep(CONTACT);
    boxes[0].signal("-CONT");
    boxes[3].signal("-CONT");
    soon("all are at the newest", || all_get(&boxes, "/z/1", 200, "second"));
    noticed(&boxes);
}

#[test]
fn a_server_that_went_without_a_word_is_not_used_since_the_copy_still_has_it() {
    let (store, boxes) = world();
    store.put("servers/i-2", &entry(server("second", 0), "ready"));
    std::thread::sleep(Duration::from_secs(1));
    let copy = store.copy();
    store.remove("servers/i-1");
    soon("only the other is used", || (0..4).all(|_| all_get(&boxes, "/x/1", 200, "second")));
    drill(&store, &copy);
    for _ in 0..25 {
        assert!(all_get(&boxes, "/x/1", 200, "second"), "a life that only the copy has got a request");
        std::thread::sleep(Duration::from_millis(100));
    }
    noticed(&boxes);
    store.remove("servers/i-1");
    std::thread::sleep(CONTACT);
    assert!(all_get(&boxes, "/x/1", 200, "second"));
}

fn entry_in(hall: &str, address: SocketAddr) -> String {
    entry(address, "ready").replace("\"zone\":\"hall\"", &format!("\"zone\":\"{hall}\""))
}
