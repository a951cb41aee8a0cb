//! The scenarios.

use crate::client::{send, Reply};
use crate::store::Store;
use crate::util::{free_address, now_ms};
use crate::world::{config, entry, machines, start_servers, stream_headers, Machine, Process, Record};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread::JoinHandle;
use std::time::Duration;

/// A folder that is removed when this is dropped.
struct Temporary(PathBuf);

impl Temporary {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("stand-{}-{}", std::process::id(), now_ms()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Plays a scenario. `Some(true)`: the rule held; `None`: it couldn't run.
pub fn play(name: &str, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let record = Record::create(folder);
    record.line(&format!("case {name}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let temporary = Temporary::new();
    let held = match name {
        "reborn" => reborn(&record, &temporary.0, router, trouble),
        "silent" => silent(&record, &temporary.0, router, trouble),
        "restarted" => restarted(&record, &temporary.0, router, trouble),
        "left" => left(&record, &temporary.0, router, trouble),
        "pages" => pages(&record, &temporary.0, router, trouble),
        "foreign" => foreign(&record, &temporary.0, router, trouble),
        _ => None,
    };
    record.line(match held {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case couldn't run",
    });
    held
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// A server of a scenario.
struct Server {
    id: String,
    address: SocketAddr,
    service: &'static str,
    zone: &'static str,
    version: &'static str,
    slots: u32,
}

impl Server {
    fn new(id: String, service: &'static str, zone: &'static str, version: &'static str, slots: u32) -> Self {
        Self { id, address: free_address(), service, zone, version, slots }
    }

    fn spec(&self) -> (String, SocketAddr, String, String) {
        (self.id.clone(), self.address, self.service.to_owned(), self.version.to_owned())
    }

    fn entry(&self, state: &str, born: u64) -> String {
        entry(self.address, self.service, self.zone, self.version, self.slots, state, born)
    }
}

/// Starts the machines and waits until they are ready and know each other.
fn start(record: &Record, machines: &mut [Machine]) -> Option<()> {
    for machine in machines.iter_mut() {
        machine.start();
        record.line(&format!("{} starts", machine.name));
    }
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(15))) {
        record.line("the machines aren't ready");
        return None;
    }
    pause(3_000);
    Some(())
}

/// Sends requests at once, in turn to the machines.
fn send_all(
    machines: &[Machine],
    count: usize,
    method: &'static str,
    path: &'static str,
    prefix: &str,
    headers: impl Fn(usize) -> String,
) -> Vec<JoinHandle<Reply>> {
    let one = |number: usize| {
        let (front, id, headers) =
            (machines[number % machines.len()].front, format!("{prefix}-{number}"), headers(number));
        std::thread::spawn(move || {
            send(
                front,
                method,
                path,
                &id,
                &headers,
                &if method == "POST" { format!("{{\"question\":\"{id}\"}}") } else { String::new() },
            )
        })
    };
    (0..count).map(one).collect()
}

fn join(record: &Record, calls: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    let replies: Vec<Reply> = calls.into_iter().filter_map(|call| call.join().ok()).collect();
    for reply in &replies {
        let Reply { id, status, whole, sent_ms, .. } = reply;
        let events = reply.events();
        let versions: BTreeSet<&str> = events.iter().map(|(_, version, _)| version.as_str()).collect();
        let served: Vec<&str> = events.iter().fold(Vec::new(), |mut list, (_, _, server)| {
            if list.last() != Some(&server.as_str()) {
                list.push(server);
            }
            list
        });
        record.line_at(
            *sent_ms,
            &format!(
                "client sent {id}: status {status}, {}, {} events of versions {versions:?} by {served:?}",
                if *whole { "whole" } else { "not whole" },
                events.len()
            ),
        );
    }
    replies
}

/// Starts the model servers of a service that is being upgraded, each as a process: two of v1 and two of v2.
fn model_servers(store: &Store, log: &Path, slots: u32) -> (Vec<Server>, Vec<Process>) {
    let servers = vec![
        Server::new("m-1".to_owned(), "model", "hall-a", "v1", slots),
        Server::new("m-2".to_owned(), "model", "hall-b", "v1", slots),
        Server::new("m-3".to_owned(), "model", "hall-a", "v2", slots),
        Server::new("m-4".to_owned(), "model", "hall-b", "v2", slots),
    ];
    let processes = servers.iter().map(|server| start_servers(log, &[server.spec()])).collect();
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry("ready", now_ms()));
    }
    (servers, processes)
}

/// Counts the streams that hold events of two versions.
fn check_order(record: &Record, log: &Path, machines: &[Machine], replies: &[Reply]) -> Option<bool> {
    record.copy_runs(log);
    for machine in machines {
        for word in ["StreamResumed", "ServerEnded", "LifeDoubted", "LifeConfirmed", "PlatformUnreachable"] {
            machine.log_lines(word).iter().for_each(|line| record.line(&format!("{} logs: {line}", machine.name)));
        }
    }
    let is_mixed = |reply: &&Reply| {
        let versions: BTreeSet<String> = reply.events().into_iter().map(|(_, version, _)| version).collect();
        versions.len() > 1
    };
    let mixed = replies.iter().filter(is_mixed).count();
    let begun = replies.iter().filter(|reply| !reply.events().is_empty()).count();
    record.line(&format!(
        "{begun} of {} streams began, {mixed} hold events of two versions (more than 2 break the rule)",
        replies.len()
    ));
    (begun >= 20).then_some(mixed <= 2)
}

/// ORDER: a server that had no request ends and comes back under its id with another version of its software, while the
/// store is down. Then another server crashes, whose streams go on.
fn reborn(record: &Record, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let log = folder.join("runs.txt");
    let store = Store::start(500);
    store.put("op/config", &config(3, 64));
    let (mut servers, mut processes) = model_servers(&store, &log, 64);
    let mut machines = machines(folder, router, &store, &["hall-a", "hall-b"]);
    start(record, &mut machines)?;
    if trouble {
        store.set_down(true);
        record.line("the store is down");
        pause(200);
        processes[0].kill();
        record.line("m-1 (v1) crashes; it has no request");
    }
    pause(300);
    // Some streams begin while m-1 is away.
    let mut calls = send_all(&machines, 16, "POST", "/chat/1", "first", stream_headers);
    pause(1_000);
    if trouble {
        servers[0].version = "v2";
        processes[0] = start_servers(&log, &[servers[0].spec()]);
        record.line("m-1 starts again under its id, with v2; the store doesn't take its entry");
    }
    // Traffic goes on.
    for round in 0..6 {
        pause(300);
        let headers = |number| stream_headers(100 + round * 10 + number);
        calls.extend(send_all(&machines, 4, "POST", "/chat/1", &format!("later-{round}"), headers));
    }
    if trouble {
        processes[1].kill();
        record.line("m-2 (v1) crashes; its streams go on elsewhere");
        pause(700);
        store.set_down(false);
        store.put("servers/m-1", &servers[0].entry("ready", now_ms()));
        record.line("the store is back and takes the entry of m-1");
    }
    let replies = join(record, calls);
    check_order(record, &log, &machines, &replies)
}

/// ORDER: the store falls silent. A server crashes, which the machines see, and comes back under its id with another version
/// of its software. Then another server crashes, whose streams go on.
fn silent(record: &Record, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let log = folder.join("runs.txt");
    let store = Store::start(500);
    store.put("op/config", &config(3, 64));
    let (mut servers, mut processes) = model_servers(&store, &log, 64);
    let mut machines = machines(folder, router, &store, &["hall-a", "hall-b"]);
    start(record, &mut machines)?;
    // Planned work: a configuration, and a server more.
    let added = Server::new("m-5".to_owned(), "model", "hall-b", "v2", 64);
    processes.push(start_servers(&log, &[added.spec()]));
    store.put("servers/m-5", &added.entry("ready", now_ms()));
    store.put("op/config", &config(4, 64));
    record.line("a configuration, and the server m-5 (v2) comes");
    let mut calls = send_all(&machines, 16, "POST", "/chat/1", "first", stream_headers);
    pause(600);
    if trouble {
        store.set_silent(true);
        record.line("the store is silent");
        pause(100);
        processes[0].kill();
        record.line("m-1 (v1) crashes");
    }
    pause(500);
    if trouble {
        servers[0].version = "v2";
        processes[0] = start_servers(&log, &[servers[0].spec()]);
        record.line("m-1 starts again under its id, with v2; the store doesn't take its entry");
    }
    // Traffic goes on.
    for round in 0..8 {
        pause(400);
        let headers = |number| stream_headers(100 + round * 10 + number);
        calls.extend(send_all(&machines, 4, "POST", "/chat/1", &format!("later-{round}"), headers));
    }
    pause(200);
    if trouble {
        processes[1].kill();
        record.line("m-2 (v1) crashes; its streams go on elsewhere");
        pause(500);
        store.set_silent(false);
        store.put("servers/m-1", &servers[0].entry("ready", now_ms()));
        record.line("the store is back and takes the entry of m-1");
    }
    let replies = join(record, calls);
    check_order(record, &log, &machines, &replies)
}

/// ORDER: while the store is down, a server crashes, which the machines see, and comes back under its id with another version
/// of its software. One machine is killed and starts again. Then another server crashes, whose streams go on there.
fn restarted(record: &Record, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let log = folder.join("runs.txt");
    let store = Store::start(500);
    store.put("op/config", &config(3, 64));
    let (mut servers, mut processes) = model_servers(&store, &log, 64);
    let mut machines = machines(folder, router, &store, &["hall-a", "hall-b"]);
    start(record, &mut machines)?;
    let mut calls = send_all(&machines, 16, "POST", "/chat/1", "first", stream_headers);
    pause(700);
    if trouble {
        store.set_down(true);
        record.line("the store is down");
        pause(200);
        processes[0].kill();
        record.line("m-1 (v1) crashes");
        pause(500);
        servers[0].version = "v2";
        processes[0] = start_servers(&log, &[servers[0].spec()]);
        record.line("m-1 starts again under its id, with v2; the store doesn't take its entry");
        pause(300);
        machines[0].kill();
        pause(300);
        machines[0].start();
        record.line(&format!("{} was killed and starts again", machines[0].name));
    }
    if !machines[0].wait_ready(Duration::from_secs(3)) {
        record.line("the machine isn't ready");
        return None;
    }
    record.line(&format!("{} is ready", machines[0].name));
    pause(500);
    // Traffic goes on at that machine.
    for round in 0..7 {
        let headers = |number| stream_headers(100 + round * 10 + number);
        calls.extend(send_all(&machines[..1], 5, "POST", "/chat/1", &format!("later-{round}"), headers));
        pause(300);
    }
    if trouble {
        processes[1].kill();
        record.line("m-2 (v1) crashes; its streams go on elsewhere");
        pause(700);
        store.set_down(false);
        store.put("servers/m-1", &servers[0].entry("ready", now_ms()));
        record.line("the store is back and takes the entry of m-1");
    }
    let replies = join(record, calls);
    check_order(record, &log, &machines, &replies)
}

/// LOST: most machines are taken away as planned. Then one of the two that are left is killed, whose clients take their
/// streams up at the other one.
fn left(record: &Record, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let log = folder.join("runs.txt");
    let store = Store::start(500);
    store.put("op/config", &config(3, 64));
    let (_servers, _processes) = model_servers(&store, &log, 64);
    let zones = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c", "hall-c"];
    let mut machines = machines(folder, router, &store, &zones);
    start(record, &mut machines)?;
    if trouble {
        for index in [1, 2, 4, 5, 6, 7, 8] {
            machines[index].terminate();
            record.line(&format!("{} gets SIGTERM: it is taken away for good", machines[index].name));
            pause(700);
        }
        for index in [1, 2, 4, 5, 6, 7, 8] {
            let gone = machines[index].wait_ended(Duration::from_secs(9));
            record.line(&format!("{} has ended: {gone}", machines[index].name));
        }
        pause(5_000);
    }
    let first = [machines.remove(0)];
    let other = [machines.remove(2)];
    record.line(&format!("streams begin at {}", first[0].name));
    let calls = send_all(&first, 48, "POST", "/chat/1", "first", stream_headers);
    pause(1_500);
    let [mut first] = first;
    first.kill();
    record.line(&format!("{} is killed; clients take their streams up at {}", first.name, other[0].name));
    let broken: Vec<Reply> =
        join(record, calls).into_iter().filter(|reply| !reply.whole && !reply.events().is_empty()).collect();
    let headers = |number: usize| {
        let reply = &broken[number];
        let last = reply.events().last().map_or(0, |(number, _, _)| *number);
        format!("{}Last-Event-Id: {last}\r\nResumes: {}\r\n", stream_headers(number), reply.id)
    };
    let taken_up = join(record, send_all(&other, broken.len(), "POST", "/chat/1", "again", headers));
    let new = join(record, send_all(&other, 12, "POST", "/chat/1", "new", |number| stream_headers(500 + number)));
    record.copy_runs(&log);
    for word in ["id\":\"again-", "id\":\"new-"] {
        other[0].log_lines(word).iter().for_each(|line| record.line(&format!("{} logs: {line}", other[0].name)));
    }
    let count = |replies: &[Reply]| replies.iter().filter(|reply| !reply.events().is_empty()).count();
    let (going_on, begun) = (count(&taken_up), count(&new));
    let shares = (going_on as f64 / taken_up.len().max(1) as f64, begun as f64 / new.len() as f64);
    record.line(&format!(
        "{going_on} of {} streams that were taken up go on ({:.2}); {begun} of {} new ones begin ({:.2}); under half of that breaks the rule",
        taken_up.len(), shares.0, new.len(), shares.1
    ));
    (taken_up.len() >= 12 && begun > 6).then_some(shares.0 >= shares.1 / 2.0)
}

/// Starts `count` servers of the plain service in one process, with their entries.
fn plain_servers(store: &Store, log: &Path, count: usize) -> (Vec<Server>, Process) {
    let servers: Vec<Server> =
        (1..=count).map(|n| Server::new(format!("i-{n:02}"), "api", "hall-a", "v1", 6)).collect();
    let specs: Vec<_> = servers.iter().map(Server::spec).collect();
    let process = start_servers(log, &specs);
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry("ready", now_ms()));
    }
    (servers, process)
}

/// Sends requests by machines in touch after a server's leaving was acknowledged, while it serves on, and then ends it.
/// Returns whether DRAIN held.
fn leave_and_check(
    record: &Record,
    log: &Path,
    machines: &[Machine],
    process: &mut Process,
    leaving: &str,
    acked: u64,
) -> Option<bool> {
    // A few requests that can't be repeated, of some hundred ms each, and many short ones.
    let mut calls = send_all(machines, 240, "POST", "/book/1", "book", |_| {
        "Cleatshelf-Deadline-Ms: 5000\r\nWork-Ms: 900\r\n".to_owned()
    });
    pause(300);
    calls.extend(send_all(machines, 120, "GET", "/status/1", "status", |_| {
        "Cleatshelf-Deadline-Ms: 1000\r\n".to_owned()
    }));
    pause(300);
    process.tell(&format!("end {leaving}"));
    record.line(&format!("{leaving} ends, {} ms after its leaving was acknowledged", now_ms() - acked));
    let replies = join(record, calls);
    let runs = record.copy_runs(log);
    let sent: std::collections::HashMap<&str, u64> = replies.iter().map(|r| (r.id.as_str(), r.sent_ms)).collect();
    let late: Vec<_> = runs
        .iter()
        .filter(|(at, what, request, server)| {
            what == "begin" && server == leaving && sent.contains_key(request.as_str()) && *at > acked + 2_000
        })
        .collect();
    let lost = replies.iter().filter(|reply| reply.status == 502 || reply.status == 0).count();
    let good = replies.iter().filter(|reply| reply.status == 200 && reply.whole).count();
    record.line(&format!(
        "{} requests, {good} answered; {} reached {leaving} more than 2,000 ms after its leaving was acknowledged; {lost} clients got 502 or nothing",
        replies.len(),
        late.len()
    ));
    (good > 100).then_some(late.is_empty())
}

/// DRAIN: all machines are killed and start again. The store's stale reads are of different ages, and a server begins to
/// leave meanwhile.
fn pages(record: &Record, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let log = folder.join("runs.txt");
    let store = Store::start(50);
    store.put("op/config", &config(3, 64));
    let (servers, mut process) = plain_servers(&store, &log, 60);
    let mut machines = machines(folder, router, &store, &["hall-a", "hall-b"]);
    start(record, &mut machines)?;
    if trouble {
        store.set_later_pages_lag(Duration::from_secs(3));
        record.line("stale reads of the store: the first page is current, the next one 3 s old");
        machines.iter_mut().for_each(Machine::kill);
        machines.iter_mut().for_each(Machine::start);
        record.line("all machines are killed and start again");
    }
    pause(100);
    let leaving = "i-55";
    let server = servers.iter().find(|server| server.id == leaving)?;
    process.tell(&format!("leave {leaving}"));
    store.put(&format!("servers/{leaving}"), &server.entry("draining", server_born(&store, leaving)));
    let acked = now_ms();
    record.line(&format!("{leaving} says that it leaves, and the store has taken that"));
    if !machines.iter().all(|machine| machine.wait_ready(Duration::from_secs(10))) {
        return None;
    }
    record.line("the machines are ready");
    // The machines are in touch again after `contactMs`.
    pause(4_000);
    leave_and_check(record, &log, &machines, &mut process, leaving, acked)
}

/// The start time in a server's entry must stay the same while it lives.
fn server_born(store: &Store, id: &str) -> u64 {
    store.born_of(&format!("servers/{id}"))
}

/// DRAIN: the entry of another writer is the last one on a page of the list.
fn foreign(record: &Record, folder: &Path, router: &Path, trouble: bool) -> Option<bool> {
    let log = folder.join("runs.txt");
    let store = Store::start(50);
    store.put("op/config", &config(3, 64));
    let (servers, mut process) = plain_servers(&store, &log, 60);
    if trouble {
        store.put_bytes("servers/i-49 copy", b"\xff\xfe not an entry");
        record.line("another writer has put 'servers/i-49 copy', which names no server");
    }
    let mut machines = machines(folder, router, &store, &["hall-a", "hall-b"]);
    start(record, &mut machines)?;
    let leaving = "i-25";
    let server = servers.iter().find(|server| server.id == leaving)?;
    process.tell(&format!("leave {leaving}"));
    store.put(&format!("servers/{leaving}"), &server.entry("draining", server_born(&store, leaving)));
    let acked = now_ms();
    record.line(&format!("{leaving} says that it leaves, and the store has taken that"));
    pause(4_000);
    let held = leave_and_check(record, &log, &machines, &mut process, leaving, acked);
    for machine in &machines {
        for word in ["PlatformUnreachable", "ServersChanged", "ignored"] {
            machine.log_lines(word).iter().for_each(|line| record.line(&format!("{} logs: {line}", machine.name)));
        }
    }
    held
}
