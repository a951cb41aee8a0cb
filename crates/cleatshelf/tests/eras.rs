//! The store is restored from a copy some seconds old and assigns revisions again that it had assigned since.
//!
//! Guards against boxes that expect revisions to increase forever and so ignore the store until its revisions have
//! passed the old ones.

use lab::ports::free_address;
use platform_lab::{
    config_json, server_entry, start_boxes, start_server, wait_until, Process, Store, StoreMode, CONVERGENCE_DELAY,
};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Time that the store is unavailable while it is restored.
const OUTAGE: Duration = Duration::from_millis(700);

/// Starts a store with a configuration and one server, and boxes in two halls.
fn start() -> (Store, Vec<Process>) {
    let store = Store::start();
    store.put("servers/i-1", &server_entry(start_server("first", 0), "ready"));
    store.put("op/config", &config_json(3, "/x/"));
    let program = Path::new(env!("CARGO_BIN_EXE_cleatshelf"));
    let boxes = start_boxes(program, &["route"], &store, &["hall", "hall", "other", "other"]);
    (store, boxes)
}

/// Restores the store from a copy after an outage.
fn restore(store: &Store, copy: &platform_lab::Snapshot) {
    store.set_mode(StoreMode::Unavailable);
    std::thread::sleep(OUTAGE);
    store.restore(copy);
    store.set_mode(StoreMode::Available);
}

/// Waits until all boxes have logged that the store was restored.
fn wait_until_logged(boxes: &[Process]) {
    for one in boxes {
        wait_until("the log has the restored directory", || {
            one.log().contains("\"name\":\"StoreRestored\",\"subject\":\"Directory\"")
        });
        wait_until("the log has the restored orders", || {
            one.log().contains("\"name\":\"StoreRestored\",\"subject\":\"Orders\"")
        });
    }
}

/// Returns true if all boxes respond with this status and, unless it is empty, this body.
fn all_respond(boxes: &[Process], path: &str, status: u16, body: &str) -> bool {
    boxes.iter().all(|one| {
        let (actual_status, actual_body) = one.get(path);
        actual_status == status && (body.is_empty() || actual_body == body)
    })
}

#[test]
fn boxes_follow_a_store_that_was_restored_from_a_copy() {
    let (store, boxes) = start();
    let copy = store.snapshot();
    // Servers and a configuration that are written after the copy, and so are lost.
    for number in 0..20 {
        store.put(&format!("servers/i-lost-{number}"), &server_entry(start_server("lost", 0), "draining"));
    }
    store.put("op/config", &config_json(5, "/y/"));
    wait_until("all boxes have the configuration", || all_respond(&boxes, "/y/1", 200, "first"));
    restore(&store, &copy);
    std::thread::sleep(CONVERGENCE_DELAY);
    assert!(all_respond(&boxes, "/y/1", 200, "first"), "the configuration in force stays");
    assert!(all_respond(&boxes, "/x/1", 404, ""), "a replaced configuration doesn't come back");
    // The new revisions are still far below the lost ones.
    store.put("servers/i-2", &server_entry(start_server("second", 0), "ready"));
    store.put("servers/i-1", &server_entry(start_server("first", 0), "draining"));
    wait_until("all boxes have the changes of servers", || all_respond(&boxes, "/y/1", 200, "second"));
    store.put("op/config", &config_json(7, "/z/"));
    wait_until("all boxes have the newer configuration", || all_respond(&boxes, "/z/1", 200, "second"));
    wait_until_logged(&boxes);
}

#[test]
fn a_server_that_left_before_the_restore_does_not_come_back_with_the_copy() {
    let (store, boxes) = start();
    store.put("servers/i-2", &server_entry(start_server("second", 0), "ready"));
    std::thread::sleep(Duration::from_secs(1));
    let copy = store.snapshot();
    store.put("servers/i-1", &server_entry(start_server("first", 0), "draining"));
    wait_until("only the other is used", || (0..4).all(|_| all_respond(&boxes, "/x/1", 200, "second")));
    store.remove("servers/i-1");
    std::thread::sleep(Duration::from_secs(1));
    restore(&store, &copy);
    for _ in 0..30 {
        assert!(all_respond(&boxes, "/x/1", 200, "second"), "a request reached a server instance that had left");
        std::thread::sleep(Duration::from_millis(100));
    }
    wait_until_logged(&boxes);
}

#[test]
fn a_server_that_the_copy_lacks_stays_in_use_until_its_entry_is_back() {
    let (store, boxes) = start();
    let copy = store.snapshot();
    let address = start_server("second", 0);
    store.put("servers/i-2", &server_entry(address, "ready"));
    store.put("servers/i-1", &server_entry(start_server("first", 0), "draining"));
    wait_until("the second server is used", || all_respond(&boxes, "/x/1", 200, "second"));
    restore(&store, &copy);
    let writer = std::thread::spawn({
        let store = store.clone();
        move || {
            std::thread::sleep(Duration::from_millis(1_000));
            store.put("servers/i-2", &server_entry(address, "ready"));
        }
    });
    for _ in 0..30 {
        assert!(all_respond(&boxes, "/x/1", 200, "second"), "the only server is not used after the restore");
        std::thread::sleep(Duration::from_millis(100));
    }
    writer.join().expect("the entry is written");
    wait_until_logged(&boxes);
}

#[test]
fn an_evacuation_is_held_after_a_restore_until_the_operator_has_written_again() {
    let (store, boxes) = start();
    store.put("servers/i-2", &entry_in("other", start_server("second", 0)));
    wait_until("both servers are used", || boxes.iter().any(|one| one.get("/x/1").1 == "second"));
    let copy = store.snapshot();
    store.put("op/evacuate/hall", "{}");
    wait_until("the hall is evacuated", || (0..4).all(|_| all_respond(&boxes, "/x/1", 200, "second")));
    restore(&store, &copy);
    for _ in 0..15 {
        assert!(all_respond(&boxes, "/x/1", 200, "second"), "a request reached an evacuated hall");
        std::thread::sleep(Duration::from_millis(100));
    }
    store.put("op/evacuate/hall", "{}");
    std::thread::sleep(Duration::from_secs(1));
    assert!(all_respond(&boxes, "/x/1", 200, "second"));
    store.remove("op/evacuate/hall");
    wait_until_logged(&boxes);
    wait_until("the hall is in service again", || boxes.iter().any(|one| one.get("/x/1").1 == "first"));
}

#[test]
fn a_box_that_starts_after_a_restore_receives_from_others_what_the_copy_lacks() {
    let (store, boxes) = start();
    let copy = store.snapshot();
    store.put("op/config", &config_json(5, "/y/"));
    wait_until("all boxes have the configuration", || all_respond(&boxes, "/y/1", 200, "first"));
    restore(&store, &copy);
    let seeds: Vec<SocketAddr> = boxes.iter().take(2).map(|one| one.boxes).collect();
    let program = Path::new(env!("CARGO_BIN_EXE_cleatshelf"));
    let late = Process::start(program, &["route"], &store, "hall", free_address(), &seeds);
    wait_until("it has the configuration in force", || late.get("/y/1") == (200, "first".to_owned()));
    assert_eq!(late.get("/x/1").0, 404);
    // The first write after the restore reaches all boxes.
    store.put("op/config", &config_json(6, "/z/"));
    wait_until("all boxes have the newer configuration", || {
        all_respond(&boxes, "/z/1", 200, "first") && late.get("/z/1").0 == 200
    });
}

#[test]
fn a_box_that_was_suspended_during_a_restore_catches_up() {
    let (store, boxes) = start();
    let copy = store.snapshot();
    for number in 0..20 {
        store.put(&format!("servers/i-lost-{number}"), &server_entry(start_server("lost", 0), "draining"));
    }
    std::thread::sleep(Duration::from_secs(1));
    boxes[0].signal("-STOP");
    boxes[3].signal("-STOP");
    restore(&store, &copy);
    store.put("servers/i-2", &server_entry(start_server("second", 0), "ready"));
    store.put("servers/i-1", &server_entry(start_server("first", 0), "draining"));
    store.put("op/config", &config_json(7, "/z/"));
    std::thread::sleep(CONVERGENCE_DELAY);
    boxes[0].signal("-CONT");
    boxes[3].signal("-CONT");
    wait_until("all boxes have the newest state", || all_respond(&boxes, "/z/1", 200, "second"));
    wait_until_logged(&boxes);
}

#[test]
fn a_terminated_server_is_not_used_although_the_copy_still_has_it() {
    let (store, boxes) = start();
    store.put("servers/i-2", &server_entry(start_server("second", 0), "ready"));
    std::thread::sleep(Duration::from_secs(1));
    let copy = store.snapshot();
    store.remove("servers/i-1");
    wait_until("only the other is used", || (0..4).all(|_| all_respond(&boxes, "/x/1", 200, "second")));
    restore(&store, &copy);
    for _ in 0..25 {
        assert!(
            all_respond(&boxes, "/x/1", 200, "second"),
            "a request reached a server instance that only the copy has"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
    wait_until_logged(&boxes);
    store.remove("servers/i-1");
    std::thread::sleep(CONVERGENCE_DELAY);
    assert!(all_respond(&boxes, "/x/1", 200, "second"));
}

fn entry_in(hall: &str, address: SocketAddr) -> String {
    server_entry(address, "ready").replace("\"zone\":\"hall\"", &format!("\"zone\":\"{hall}\""))
}
