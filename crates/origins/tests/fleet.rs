//! Fleets in virtual time over releases, while boxes are killed and cut off and callers take streams up elsewhere.

mod common;

use common::{directory, origin, table, ROUTE, TIMEOUT_MS};
use origins::{Answer, Keepers, Origins, Stream};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Directory, Table};
use std::collections::HashMap;
use std::net::SocketAddr;

const STEP_MS: u64 = 50;

/// Interval at which boxes tell each other the origins of streams, and at which they hear that the store is followed.
const TELL_INTERVAL_MS: u64 = 100;
const CONTACT_INTERVAL_MS: u64 = 400;

/// Longest time until a box has a change of the list of servers.
const MAX_LIST_LAG_MS: u64 = 1_000;

/// Time without a fault after which a box counts as in touch.
const IN_TOUCH_MS: u64 = 3_000;

/// Time for which a killed box is down, and for which a box is cut off from the store and the other boxes.
const DOWN_MS: u64 = 500;
const CUT_MS: u64 = 4_000;

const SERVERS: usize = 12;

/// Three releases in steps, one of them back; between them, two or three versions serve side by side.
const RELEASES: [(u64, &str); 3] = [(30_000, "v2"), (50_000, "v3"), (70_000, "v1")];
const RELEASE_STEP_MS: u64 = 2_000;
const END_MS: u64 = 100_000;

/// Share of the streams taken up at boxes in touch that must go on.
const MIN_CONTINUED_RATIO: f64 = 0.9;

struct Node {
    hall: usize,
    address: SocketAddr,
    origins: Origins,
    /// How far its list lags behind.
    lag_ms: u64,
    down_until: u64,
    cut_until: u64,
    last_fault: Option<u64>,
}

impl Node {
    fn is_down(&self, now: u64) -> bool {
        now < self.down_until
    }

    fn is_cut(&self, now: u64) -> bool {
        now < self.cut_until
    }

    fn is_in_touch(&self, now: u64) -> bool {
        self.last_fault.is_none_or(|at| now >= at + IN_TOUCH_MS)
    }
}

/// A broken stream whose caller comes back.
struct Broken {
    at: u64,
    box_index: usize,
    stream: Stream,
    version: &'static str,
}

#[derive(Debug, Default)]
struct Report {
    /// Streams that went on, that went on at another version, and that didn't, at boxes in touch while two servers of their
    /// version served.
    continued: u64,
    crossed: u64,
    refused: u64,
    /// Bytes told before the first release, and after it.
    quiet_bytes: usize,
    bytes: usize,
    streams: u64,
}

struct Fleet {
    rng: ChaCha8Rng,
    table: Table,
    nodes: Vec<Node>,
    lists: Vec<Directory>,
    broken: Vec<Broken>,
    report: Report,
    next_stream: u64,
}

/// Returns the version of each server at a time.
fn versions_at(now: u64) -> [&'static str; SERVERS] {
    let mut versions = ["v1"; SERVERS];
    for (start, version) in RELEASES {
        let replaced = (now.saturating_sub(start) / RELEASE_STEP_MS) as usize;
        // A third of the servers keeps its version, so that versions stay side by side.
        versions
            .iter_mut()
            .take(if now < start { 0 } else { replaced.min(SERVERS * 2 / 3) })
            .for_each(|v| *v = version);
    }
    versions
}

fn list_at(now: u64) -> Directory {
    let names: Vec<String> = (0..SERVERS).map(|index| format!("s{index}")).collect();
    let versions = versions_at(now);
    directory(&names.iter().map(String::as_str).zip(versions).collect::<Vec<_>>())
}

impl Fleet {
    fn new(boxes: usize, seed: u64) -> Self {
        let node = |index: usize| Node {
            hall: index % 3,
            address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 1).into(),
            origins: Origins::default(),
            lag_ms: 0,
            down_until: 0,
            cut_until: 0,
            last_fault: None,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            table: table(1, &["model"]),
            nodes: (0..boxes).map(node).collect(),
            lists: (0..END_MS).step_by(STEP_MS as usize).map(list_at).collect(),
            broken: Vec::new(),
            report: Report::default(),
            next_stream: 0,
        }
    }

    fn run(mut self, streams_per_s: f64) -> Report {
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            self.inject_faults(now);
            self.update_nodes(now);
            self.begin_streams(now, streams_per_s);
            if now.is_multiple_of(TELL_INTERVAL_MS) {
                self.tell(now);
            }
            let (due, later) = std::mem::take(&mut self.broken).into_iter().partition(|broken| broken.at <= now);
            self.broken = later;
            let due: Vec<Broken> = due;
            due.iter().for_each(|broken| self.take_up(broken, now));
        }
        self.report
    }

    /// Kills a tenth of the boxes every 5 s, and cuts another tenth off in between.
    fn inject_faults(&mut self, now: u64) {
        if now < 20_000 || !now.is_multiple_of(2_500) {
            return;
        }
        let is_kill = now.is_multiple_of(5_000);
        for _ in 0..self.nodes.len().div_ceil(10) {
            let index = self.rng.random_range(0..self.nodes.len());
            let node = &mut self.nodes[index];
            if is_kill {
                node.origins = Origins::default();
                node.down_until = now + DOWN_MS;
                node.last_fault = Some(now + DOWN_MS);
                // Callers of its streams come back at once.
                self.break_streams_of(index, now);
            } else {
                node.cut_until = now + CUT_MS;
                node.last_fault = Some(now + CUT_MS);
            }
        }
    }

    fn break_streams_of(&mut self, index: usize, now: u64) {
        let boxes = self.nodes.len();
        for broken in self.broken.iter_mut().filter(|broken| broken.box_index == index) {
            broken.at = broken.at.min(now + 20);
            broken.box_index = (index + 1) % boxes;
        }
    }

    fn update_nodes(&mut self, now: u64) {
        for node in &mut self.nodes {
            if node.is_down(now) || node.is_cut(now) {
                continue;
            }
            if now.is_multiple_of(1_000) {
                node.lag_ms = self.rng.random_range(0..=MAX_LIST_LAG_MS);
            }
            if now.is_multiple_of(CONTACT_INTERVAL_MS) {
                node.origins.record_contact(now);
            }
            let list = &self.lists[(now.saturating_sub(node.lag_ms) / STEP_MS) as usize];
            node.origins.update(Some(&self.table), list, now);
        }
    }

    /// Begins streams, at servers that the boxes see, and decides which of them break.
    fn begin_streams(&mut self, now: u64, per_s: f64) {
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if node.is_down(now) || !self.rng.random_bool(per_s * STEP_MS as f64 / 1e3) {
                continue;
            }
            let version = versions_at(now.saturating_sub(node.lag_ms))[self.rng.random_range(0..SERVERS)];
            let stream = Stream(routing::rank(1, &self.next_stream.to_string()));
            self.next_stream += 1;
            self.report.streams += 1;
            self.nodes[index].origins.begin(stream, ROUTE, &origin(version), now + TIMEOUT_MS, now);
            if self.rng.random_bool(0.3) {
                // Callers mostly come back within their hall, where every third box is.
                let step = if self.rng.random_bool(0.8) { 3 } else { 1 };
                let box_index = (index + step * self.rng.random_range(1..20)) % self.nodes.len();
                let at = now + self.rng.random_range(200..TIMEOUT_MS);
                self.broken.push(Broken { at, box_index, stream, version });
            }
        }
    }

    fn keepers(&self, stream: Stream) -> Keepers {
        const HALLS: [&str; 3] = ["a", "b", "c"];
        Keepers::of(stream.0, &self.nodes.iter().map(|node| (HALLS[node.hall], node.address)))
    }

    fn index_of(&self, address: SocketAddr) -> usize {
        self.nodes.iter().position(|node| node.address == address).expect("a box")
    }

    fn tell(&mut self, now: u64) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_down(now) {
                continue;
            }
            let mut messages: HashMap<SocketAddr, Vec<_>> = HashMap::new();
            for record in self.nodes[index].origins.take_untold(now) {
                let keepers = self.keepers(record.stream);
                keepers.told_by(self.nodes[index].address).for_each(|to| {
                    messages.entry(to).or_default().push(record.clone());
                });
            }
            for (to, records) in messages {
                let bytes =
                    bincode::serde::encode_to_vec(&records, bincode::config::standard()).expect("encoded").len();
                *(if now < RELEASES[0].0 { &mut self.report.quiet_bytes } else { &mut self.report.bytes }) += bytes;
                let to = self.index_of(to);
                let is_lost = [index, to].iter().any(|i| self.nodes[*i].is_cut(now) || self.nodes[*i].is_down(now));
                if !is_lost {
                    records.iter().for_each(|record| self.nodes[to].origins.on_record(record, now));
                }
            }
        }
    }

    fn take_up(&mut self, broken: &Broken, now: u64) {
        let node = &self.nodes[broken.box_index];
        if node.is_down(now) {
            return;
        }
        let own = node.origins.answer(Some(broken.stream), ROUTE, now);
        let asked: Vec<usize> =
            self.keepers(broken.stream).asked_by(node.address).map(|address| self.index_of(address)).collect();
        let can_answer = |index: &&usize| {
            let other = &self.nodes[**index];
            !node.is_cut(now) && !other.is_cut(now) && !other.is_down(now)
        };
        let answer = |index: &usize| self.nodes[*index].origins.answer(Some(broken.stream), ROUTE, now);
        let others: Vec<Answer> = asked.iter().filter(can_answer).map(answer).collect();
        let found = node.origins.find(ROUTE, &own, &others, asked.len(), now);
        let serving = versions_at(now).iter().filter(|version| **version == broken.version).count();
        match found {
            Some(found) if found != origin(broken.version) => self.report.crossed += 1,
            Some(_) => self.report.continued += u64::from(node.is_in_touch(now) && serving >= 2),
            None => self.report.refused += u64::from(node.is_in_touch(now) && serving >= 2),
        }
    }
}

fn check(boxes: usize, streams_per_s: f64) {
    let report = Fleet::new(boxes, boxes as u64).run(streams_per_s);
    assert_eq!(report.crossed, 0, "{boxes} boxes: {report:?}");
    let ratio = report.continued as f64 / (report.continued + report.refused) as f64;
    assert!(ratio >= MIN_CONTINUED_RATIO, "{boxes} boxes: {ratio:.3} go on, {report:?}");
    let per_stream = report.bytes as f64 / report.streams as f64;
    println!("{boxes} boxes: {ratio:.3} go on, {per_stream:.0} bytes a stream during releases, {report:?}");
}

/// Guards against streams that go on at another version, or nowhere, in a release with faults beside it.
#[test]
fn streams_go_on_at_their_version_on_7_boxes() {
    check(7, 4.0);
}

#[test]
fn streams_go_on_at_their_version_on_40_boxes() {
    check(40, 2.0);
}

#[test]
fn streams_go_on_at_their_version_on_300_boxes() {
    check(300, 0.5);
}
