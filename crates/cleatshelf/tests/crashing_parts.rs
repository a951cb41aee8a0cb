//! Parts of prompts that crash every server which begins to write an answer on them, in requests of which no two are alike.

use platform_lab::{
    start_boxes, stream_config_json, Call, Process, Reply, Servers, Store, CONVERGENCE_DELAY, CRASHING_PART,
};
use std::path::Path;
use std::time::{Duration, Instant};

/// Servers that may end under the part before boxes know it, and sends that may follow.
const MAX_TERMINATIONS: usize = 5;
const MAX_LATER_SENDS: usize = 3;

/// Part of the sound requests that must be served at the first attempt, once the part is known.
const MIN_SERVED_RATIO: f64 = 0.9;

/// Time for which requests with the part come at first, and again once boxes must know it.
const CRASHING_TIME: Duration = Duration::from_secs(6);

/// First part of prompts, and a second part that is sound.
const FIRST_PART: u64 = 0xa1;
const SOUND_PART: u64 = 0xb1;

struct World {
    _store: Store,
    servers: Servers,
    boxes: Vec<Process>,
    next_request: u64,
}

impl World {
    fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &stream_config_json(3));
        let servers = Servers::start(&store, &["hall", "other"], 5);
        let halls = ["hall", "hall", "other"];
        let boxes = start_boxes(Path::new(env!("CARGO_BIN_EXE_cleatshelf")), &["route"], &store, &halls);
        Self { _store: store, servers, boxes, next_request: 0 }
    }

    /// Sends a request whose last part and body are its own, in the background.
    fn send(&mut self, parts: &[u64]) -> std::thread::JoinHandle<bool> {
        self.next_request += 1;
        let number = self.next_request;
        let address = self.boxes[number as usize % self.boxes.len()].callers;
        let prompt_parts = parts.iter().copied().chain([0x1_0000 + number]).collect();
        let (id, path, body) = (format!("id-{number}"), "/stream/".to_owned(), format!("own {number}"));
        let call = Call { id, path, body, prompt_parts, ..Call::default() };
        std::thread::spawn(move || matches!(call.send(address), Reply::Complete { status: 200, .. }))
    }

    /// Sends sound and crashing requests in turn for a while. Returns the part of the sound ones that was served.
    fn mix(&mut self, crashing: &[u64], sound: &[u64], time: Duration) -> f64 {
        let began = Instant::now();
        let mut callers = Vec::new();
        while began.elapsed() < time {
            callers.push(self.send(sound));
            callers.push(self.send(sound));
            let _ = self.send(crashing);
            std::thread::sleep(Duration::from_millis(100));
        }
        let count = callers.len();
        let served = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        served.filter(|served| *served).count() as f64 / count as f64
    }
}

fn check(crashing: &[u64], sound: &[u64]) {
    let mut world = World::start();
    let _ = world.mix(crashing, sound, CRASHING_TIME);
    let before = world.servers.crashing_sends();
    std::thread::sleep(CONVERGENCE_DELAY);
    let served = world.mix(crashing, sound, CRASHING_TIME);
    let later = world.servers.crashing_sends() - before;
    println!("{before} sends at first, {later} later, {served:.2} served");
    assert!(later <= MAX_LATER_SENDS, "sent {later} times more after {before} sends");
    assert!(served >= MIN_SERVED_RATIO, "{served:.2} of the sound requests were served");
    assert!(before <= MAX_TERMINATIONS, "{before} sends before the part was known");
}

/// Guards against boxes that know whole requests only, so that each one with the part ends servers anew.
#[test]
fn boxes_stop_sending_requests_with_a_part_that_crashes_servers() {
    check(&[FIRST_PART, CRASHING_PART], &[FIRST_PART, SOUND_PART]);
}

/// Guards against a first part that is only found where a later one is.
#[test]
fn boxes_stop_sending_requests_with_a_first_part_that_crashes_servers() {
    check(&[CRASHING_PART, SOUND_PART], &[FIRST_PART, SOUND_PART]);
}
