//! Releases, membership, leaving and stopping on real processes, with the platform slow, stale or down and
//! halls disconnected. The tests monitor the release of each box over time: it must never go backwards.

mod common;

use catalog::Release;
use common::*;
use lab::{Caller, Deployment, DeploymentSpec, Outcome, RelayMode, ReleaseMonitor, MODEL};
use rustix::process::Signal;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time within which a release must be in force on every box.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

/// Monitors the release of every box from outside and counts the calls to the platform.
struct Monitor {
    releases: ReleaseMonitor,
    platform: lab::Platform,
    calls: u64,
    box_count: u64,
    started: Instant,
}

/// Maximum calls of a box to the platform per second on average.
const MAX_CALLS_PER_S: f64 = 4.0;
/// Maximum further calls of a box to the platform at its start.
const MAX_CALLS_AT_START: u64 = 40;

impl Monitor {
    fn start(deployment: &Deployment) -> Self {
        let releases = ReleaseMonitor::start(deployment);
        let (platform, calls) = (deployment.platform.clone(), deployment.platform.calls());
        let box_count = deployment.boxes.len() as u64;
        Self { releases, platform, calls, box_count, started: Instant::now() }
    }

    fn finish(self) {
        let violations = self.releases.finish();
        assert!(violations.is_empty(), "{violations:?}");
        let calls = self.platform.calls() - self.calls;
        let allowed_calls = MAX_CALLS_PER_S * self.started.elapsed().as_secs_f64();
        let max_calls = self.box_count * (allowed_calls as u64 + MAX_CALLS_AT_START);
        assert!(calls <= max_calls, "{calls} calls to the platform, at most {max_calls} allowed");
    }
}

async fn in_force(deployment: &Deployment, number: u64) -> bool {
    deployment.wait_until(EVENT_TIMEOUT, |s| s.release >= number && s.ready).await
}

async fn assert_all_boxes_serve(deployment: &Deployment, prompt_prefix: &str) {
    for (i, address) in deployment.caller_addresses().into_iter().enumerate() {
        let prompt = format!("{prompt_prefix} {i}");
        let reply = complete_with_retries(&Caller::new("large-1"), &[address], &prompt, 5).await;
        assert!(is_complete(&reply, &prompt, 5), "{prompt}: {:?}", reply.outcome);
    }
}

#[actix_rt::test]
async fn release_reaches_every_box_with_few_platform_calls() {
    let mut deployment = start(DeploymentSpec { halls: vec![("hall-lansing".into(), 6, 1, 0)], ..one_hall() }).await;
    let monitor = Monitor::start(&deployment);
    let before = deployment.platform.calls();
    let started = Instant::now();
    for _ in 0..5 {
        let number = deployment.publish().expect("a valid release");
        assert!(in_force(&deployment, number).await);
    }
    let calls = deployment.platform.calls() - before;
    // Two watchers, each with a watch and one or two parts for each release, and the member list once a
    // second.
    let max_calls = 5 * 2 * 4 + 2 * (started.elapsed().as_secs() + 2) + 12;
    assert!(calls <= max_calls, "{calls} calls, at most {max_calls} allowed");
    assert!(deployment.platform.open_watches() <= 3, "{} watches", deployment.platform.open_watches());
    monitor.finish();
}

#[actix_rt::test]
async fn platform_outages_before_during_and_after_a_release_are_tolerated() {
    let mut deployment = start(one_hall()).await;
    let monitor = Monitor::start(&deployment);
    deployment.platform.stop();
    assert_all_boxes_serve(&deployment, "platform down").await;
    // A box that starts while the platform is down gets everything from its peers.
    let name = deployment.running_boxes()[0].clone();
    deployment.kill(&name);
    deployment.start_box(&name).expect("a new process");
    assert!(in_force(&deployment, 1).await, "{}", deployment.log(&name));
    deployment.publish().expect("a valid release");
    deployment.platform.restart();
    assert!(in_force(&deployment, 2).await);
    deployment.platform.stop();
    assert_all_boxes_serve(&deployment, "platform down again").await;
    let platform_calls: u64 = deployment.status(&name).await.expect("the box answers").platform_calls;
    assert!(platform_calls < 200, "{platform_calls} calls by one box: too many retries");
    monitor.finish();
}

#[actix_rt::test]
async fn box_without_platform_and_peers_is_not_ready() {
    let mut deployment = Deployment::prepare(one_hall(), program()).expect("stand-ins");
    deployment.platform.stop();
    let name = deployment.boxes.keys().next().expect("a box").clone();
    deployment.start_box(&name).expect("a process");
    assert!(wait_until(|| deployment.log(&name).contains("E202 PlatformUnreachable")).await);
    let address = deployment.boxes[&name].caller_address;
    let reply = Caller::new("large-1").complete(address, "too early", 5).await;
    assert_eq!(refusal(&reply), (503, "not_ready".into(), "no".into()));
    assert!(!deployment.status(&name).await.expect("the box answers").ready);
}

#[actix_rt::test]
async fn restarted_box_is_never_ready_with_a_stale_release() {
    let mut deployment = start(DeploymentSpec { with_relays: true, ..one_hall() }).await;
    let monitor = Monitor::start(&deployment);
    // The replica is frozen at release 1 while the peers have release 2.
    deployment.publish().expect("a valid release");
    assert!(in_force(&deployment, 2).await);
    deployment.platform.put("manifest", deployment.build_release(1).expect("release 1").text.into_bytes());
    let name = deployment.running_boxes()[1].clone();
    deployment.kill(&name);
    // Peers are reachable but slow, so the platform's answer arrives long before theirs.
    for ((from, to), relay) in &deployment.relays {
        if *from == name || *to == name {
            relay.set_mode(RelayMode::Pass(250));
        }
    }
    deployment.start_box(&name).expect("a new process");
    let started = Instant::now();
    loop {
        if let Some(status) = deployment.status(&name).await {
            assert!(!status.ready || status.release >= 2, "ready on release {}\n{}", status.release, logs(&deployment));
            if status.ready {
                break;
            }
        }
        assert!(started.elapsed() < EVENT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(deployment.wait_until(EVENT_TIMEOUT, |s| s.release == 2).await, "no box went back to an older release");
    monitor.finish();
}

#[actix_rt::test]
async fn other_boxes_take_over_when_all_watchers_are_killed() {
    let mut deployment = start(DeploymentSpec { halls: vec![("hall-lansing".into(), 5, 1, 0)], ..one_hall() }).await;
    let monitor = Monitor::start(&deployment);
    let mut watchers = Vec::new();
    for name in deployment.running_boxes() {
        if deployment.status(&name).await.expect("the box answers").watcher {
            watchers.push(name);
        }
    }
    assert_eq!(watchers.len(), 2);
    for name in &watchers {
        deployment.kill(name);
        deployment.forget_process(name);
    }
    let started = Instant::now();
    let number = deployment.publish().expect("a valid release");
    assert!(in_force(&deployment, number).await);
    // The users require this time for a release, whichever boxes have failed.
    assert!(started.elapsed() < IN_FORCE_TIMEOUT, "in force after {:?}", started.elapsed());
    monitor.finish();
}

#[actix_rt::test]
async fn concurrent_releases_converge_to_one_on_all_boxes() {
    let mut deployment = start(two_halls()).await;
    let monitor = Monitor::start(&deployment);
    let one = deployment.build_release(2).expect("a valid release");
    deployment.leaving = vec!["unknown-engine".into()];
    deployment.spec.slots = 7;
    let other = deployment.build_release(2).expect("another valid release");
    assert_ne!(one.id(), other.id());
    let newest = one.id().max(other.id()).digest.to_string();
    // Boxes may see either release first; the platform has had both in the end.
    deployment.platform.publish(&one);
    tokio::time::sleep(Duration::from_millis(30)).await;
    deployment.platform.publish(&other);
    deployment.platform.publish(if one.id() > other.id() { &one } else { &other });
    assert!(
        deployment.wait_until(EVENT_TIMEOUT, |s| s.digest == newest).await,
        "all boxes have the higher of the two releases"
    );
    monitor.finish();
}

#[actix_rt::test]
async fn invalid_releases_are_refused_and_the_previous_one_stays() {
    let mut deployment = start(one_hall()).await;
    let monitor = Monitor::start(&deployment);
    let good = deployment.build_release(1).expect("release 1");
    let incomplete = {
        // The release names a part that is never published, so it can never be complete.
        let mut release = deployment.build_release(5).expect("a release");
        release.manifest.parts.insert("extra".into(), catalog::Digest::of(b"never published"));
        release.text = release.manifest.render();
        release
    };
    deployment.platform.publish(&incomplete);
    let truncated = &good.text[..good.text.len() / 2];
    deployment.platform.put("manifest", truncated.as_bytes().to_vec());
    deployment.platform.publish(&with_classes(&good, 4, vec![b'#'; catalog::MAX_PART_BYTES + 1]));
    let too_large =
        |s: &cleatshelf::Status| s.refused.iter().any(|r| r.number == 4 && r.reasons[0].contains("more than 1000000"));
    assert!(deployment.wait_until(EVENT_TIMEOUT, |s| !s.watcher || too_large(s)).await, "{}", logs(&deployment));
    let inconsistent = inconsistent(&good);
    deployment.platform.publish(&inconsistent);
    let refused = deployment.wait_until(IN_FORCE_TIMEOUT, |s| s.refused.iter().any(|r| r.number == 6)).await;
    assert!(refused, "the inconsistent release is reported as refused on every box: {}", logs(&deployment));
    let newer = good.text.replace("format = 1", "format = 99");
    deployment.platform.put("manifest", newer.into_bytes());
    let shown = |s: &cleatshelf::Status| {
        s.refused.iter().any(|r| r.reasons.iter().any(|why| why.contains("made by a newer cleatshelf")))
    };
    assert!(deployment.wait_until(EVENT_TIMEOUT, |s| !s.watcher || shown(s)).await);
    assert!(deployment.wait_until(EVENT_TIMEOUT, |s| s.release == 1 && s.ready).await, "the previous release stays");
    assert_all_boxes_serve(&deployment, "former release").await;
    deployment.release_number = 6;
    let number = deployment.publish().expect("a valid release");
    assert!(in_force(&deployment, number).await, "a valid release after invalid ones is accepted");
    monitor.finish();
}

/// Builds a release with complete parts that refer to a missing class.
fn inconsistent(good: &Release) -> Release {
    let text = b"key_salt = \"x\"\n[[class]]\nname = \"other\"\nrank = 0\nurgent = true\nfirst_token_ms = 5\n".to_vec();
    with_classes(good, 6, text)
}

/// Returns the release with another number and other bytes for its classes.
fn with_classes(good: &Release, number: u64, text: Vec<u8>) -> Release {
    let mut release = good.clone();
    release.manifest.number = number;
    let digest = catalog::Digest::of(&text);
    release.manifest.parts.insert("classes".into(), digest);
    release.parts.insert(digest, text);
    release.text = release.manifest.render();
    release
}

#[actix_rt::test]
async fn hall_without_platform_gets_releases_from_other_halls() {
    let mut deployment = start(two_halls()).await;
    let monitor = Monitor::start(&deployment);
    deployment.platform_relays["hall-toledo"].set_mode(RelayMode::Cut);
    let number = deployment.publish().expect("a valid release");
    assert!(in_force(&deployment, number).await, "releases arrive through the boxes of the other hall");
    monitor.finish();
}

#[actix_rt::test]
async fn isolated_hall_keeps_serving_and_catches_up() {
    let mut deployment = start(two_halls()).await;
    let monitor = Monitor::start(&deployment);
    deployment.platform_relays["hall-toledo"].set_mode(RelayMode::Cut);
    deployment.set_relays_between("hall-lansing", "hall-toledo", RelayMode::Cut);
    let number = deployment.publish().expect("a valid release");
    assert_all_boxes_serve(&deployment, "cut off").await;
    let lansing = deployment.running_boxes().into_iter().filter(|n| n.contains("lansing"));
    for name in lansing {
        let started = Instant::now();
        while deployment.status(&name).await.is_none_or(|s| s.release < number) {
            assert!(started.elapsed() < EVENT_TIMEOUT);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for name in deployment.running_boxes().into_iter().filter(|n| n.contains("toledo")) {
        assert_eq!(deployment.status(&name).await.expect("the box answers").release, 1);
    }
    deployment.set_relays_between("hall-lansing", "hall-toledo", RelayMode::Pass(1));
    assert!(in_force(&deployment, number).await, "the hall catches up through peers alone");
    assert_all_boxes_serve(&deployment, "healed").await;
    monitor.finish();
}

#[actix_rt::test]
async fn box_frozen_during_two_releases_resumes_with_the_newest() {
    let mut deployment = start(one_hall()).await;
    let monitor = Monitor::start(&deployment);
    let name = deployment.running_boxes()[0].clone();
    deployment.signal(&name, Signal::STOP);
    deployment.publish().expect("a valid release");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let number = deployment.publish().expect("a valid release");
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.signal(&name, Signal::CONT);
    assert!(in_force(&deployment, number).await);
    assert_all_boxes_serve(&deployment, "woke").await;
    monitor.finish();
}

#[actix_rt::test]
async fn leaving_upstream_gets_no_new_requests() {
    let plan = DeploymentSpec {
        halls: vec![("hall-lansing".into(), 3, 2, 0)],
        with_relays: true,
        member_list_lag_ms: 300,
        ..one_hall()
    };
    for source in ["file", "list", "engine"] {
        let mut deployment = start(plan.clone()).await;
        let monitor = Monitor::start(&deployment);
        let leaving = deployment.engines[0].1.clone();
        assert_all_boxes_serve(&deployment, "before").await;
        match source {
            "file" => {
                deployment.leaving = vec![leaving.name().to_owned()];
                deployment.publish().expect("a valid release");
            }
            "list" => {
                let list: Vec<_> =
                    deployment.engines.iter().map(|(_, e)| (e.name().to_owned(), e.name() == leaving.name())).collect();
                deployment.platform.set_members(&[], &list);
            }
            _ => leaving.set_leaving(true),
        }
        // New work stops within three seconds, plus the delay of the member list.
        tokio::time::sleep(Duration::from_millis(3_300)).await;
        let before = leaving.starts();
        for i in 0..20 {
            let addresses = deployment.caller_addresses();
            let reply = complete_with_retries(&Caller::new("large-1"), &addresses, &format!("{source} {i}"), 5).await;
            assert_eq!(reply.outcome, Outcome::Complete);
        }
        assert_eq!(leaving.starts(), before, "new work on an upstream that is leaving according to the {source}");
        monitor.finish();
    }
}

#[actix_rt::test]
async fn leaving_mark_reaches_boxes_without_the_member_list() {
    let deployment = start(two_halls()).await;
    let monitor = Monitor::start(&deployment);
    deployment.platform_relays["hall-toledo"].set_mode(RelayMode::Cut);
    let leaving = deployment.engines.iter().find(|(hall, _)| hall == "hall-toledo").expect("an engine").1.clone();
    let list: Vec<_> =
        deployment.engines.iter().map(|(_, e)| (e.name().to_owned(), e.name() == leaving.name())).collect();
    deployment.platform.set_members(&[], &list);
    // The delay of the member list, and three seconds for the gossip through the boxes of the other hall.
    tokio::time::sleep(Duration::from_millis(deployment.spec.member_list_lag_ms + 3_000)).await;
    let before = leaving.starts();
    let toledo: Vec<_> =
        deployment.boxes.iter().filter(|(n, _)| n.contains("toledo")).map(|(_, b)| b.caller_address).collect();
    for i in 0..10 {
        let prompt = format!("unseen list {i}");
        let reply = complete_with_retries(&Caller::new("large-1").class("review"), &toledo, &prompt, 5).await;
        assert!(is_complete(&reply, &prompt, 5), "{prompt}: {:?}", reply.outcome);
    }
    assert_eq!(leaving.starts(), before, "new work on an upstream that is leaving");
    monitor.finish();
}

#[actix_rt::test]
async fn rolling_restart_under_load_fails_no_request() {
    let mut deployment = start(DeploymentSpec { token_ms: 20, ..one_hall() }).await;
    let monitor = Monitor::start(&deployment);
    let addresses = deployment.caller_addresses();
    let stop = Rc::new(Cell::new(false));
    let mut tasks = Vec::new();
    for worker in 0..12usize {
        let (addresses, stop) = (addresses.clone(), Rc::clone(&stop));
        tasks.push(actix_rt::spawn(async move {
            let mut replies = Vec::new();
            for i in 0.. {
                if stop.get() {
                    break;
                }
                let caller = Caller::new("large-1").class(["hotline", "contract-check", "review"][worker % 3]);
                let caller = if worker % 2 == 0 { caller.non_repeatable() } else { caller };
                let prompt = format!("rolling {worker} {i}");
                replies.push((complete_with_retries(&caller, &addresses, &prompt, 40).await, prompt));
            }
            replies
        }));
    }
    for name in deployment.running_boxes() {
        tokio::time::sleep(Duration::from_millis(500)).await;
        deployment.signal(&name, Signal::TERM);
        let started = Instant::now();
        while started.elapsed() < EVENT_TIMEOUT && !deployment.log(&name).contains("E103 StopClean") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(deployment.wait_for_exit(&name, EVENT_TIMEOUT), Some(0), "{}", deployment.log(&name));
        deployment.start_box(&name).expect("a new process");
        assert!(deployment.wait_until(EVENT_TIMEOUT, |s| s.ready).await);
    }
    stop.set(true);
    let mut count = 0;
    for task in tasks {
        for (reply, prompt) in task.await.expect("the task did not panic") {
            assert!(is_complete(&reply, &prompt, 40), "{prompt}: {:?} after {} bytes", reply.outcome, reply.text.len());
            count += 1;
        }
    }
    assert!(count > 30, "only {count} requests");
    monitor.finish();
}

#[actix_rt::test]
async fn owner_killed_during_handover_is_replaced() {
    let mut deployment = start(one_hall()).await;
    let monitor = Monitor::start(&deployment);
    let owner = deployment.shard_owner("hall-lansing", MODEL).await.expect("an owner");
    deployment.signal(&owner, Signal::TERM);
    tokio::time::sleep(Duration::from_millis(30)).await;
    deployment.kill(&owner);
    deployment.forget_process(&owner);
    assert_all_boxes_serve(&deployment, "after the handover").await;
    assert!(wait_until_idle(&deployment).await);
    monitor.finish();
}

#[actix_rt::test]
async fn stopping_owner_hands_over_before_it_exits() {
    let mut deployment = start(DeploymentSpec { token_ms: 40, ..one_hall() }).await;
    let owner = deployment.shard_owner("hall-lansing", MODEL).await.expect("an owner");
    let address = deployment.boxes[&owner].caller_address;
    let long = actix_rt::spawn(async move { Caller::new("large-1").complete(address, "long", 400).await });
    let engines = deployment.engines.clone();
    assert!(wait_until(|| engines.iter().any(|(_, e)| e.running_requests() > 0)).await, "the request started");
    deployment.signal(&owner, Signal::TERM);
    let owns = |s: &cleatshelf::Status| s.shards.iter().any(|row| row.serves == MODEL && !row.recovering);
    let started = Instant::now();
    let mut next = None;
    while next.is_none() && started.elapsed() < EVENT_TIMEOUT {
        for name in deployment.running_boxes().into_iter().filter(|n| *n != owner) {
            if deployment.status(&name).await.is_some_and(|s| owns(&s)) {
                next = Some(name);
            }
        }
    }
    assert!(next.is_some(), "no box took over");
    assert!(!deployment.log(&owner).contains("E103 StopClean"), "the old owner has not exited yet");
    let held = |s: &cleatshelf::Status| s.shards.iter().filter(|r| r.serves == MODEL).map(|r| r.held).sum::<usize>();
    let name = next.expect("a new owner");
    assert!(deployment.status(&name).await.is_some_and(|s| held(&s) == 1), "the new owner knows the running lease");
    assert!(is_complete(&long.await.expect("the task did not panic"), "long", 400));
    assert_eq!(deployment.wait_for_exit(&owner, EVENT_TIMEOUT), Some(0));
}

/// Waits until every box sees both other boxes alive.
async fn wait_until_connected(deployment: &Deployment) -> bool {
    deployment
        .wait_until(EVENT_TIMEOUT, |s| s.ready && s.peers.iter().filter(|p| p.state == "alive").count() == 2)
        .await
}

#[actix_rt::test]
async fn boxes_known_only_from_the_member_list_connect_and_survive_an_address_change() {
    let mut deployment = start(DeploymentSpec { peers_from_platform_only: true, ..one_hall() }).await;
    assert!(wait_until_connected(&deployment).await, "{}", logs(&deployment));
    // All boxes know each other from the member list; from here on they depend only on each other.
    let name = deployment.running_boxes()[1].clone();
    deployment.kill(&name);
    deployment.reassign_addresses(&name).expect("other addresses");
    deployment.start_box(&name).expect("a new process");
    assert!(wait_until_connected(&deployment).await, "{}", logs(&deployment));
    assert_all_boxes_serve(&deployment, "moved").await;
    deployment.platform.stop();
    let owner = deployment.shard_owner("hall-lansing", MODEL).await.expect("an owner");
    let others: Vec<_> = deployment.running_boxes().into_iter().filter(|n| *n != owner).collect();
    // Each box sends its request to the owner at its present address; local shares would be logged as a
    // fallback.
    for name in &others {
        let before = deployment.log(name).matches("LocalFallback").count();
        let reply =
            Caller::new("large-1").complete(deployment.boxes[name].caller_address, &format!("asked {name}"), 5).await;
        assert!(is_complete(&reply, &format!("asked {name}"), 5), "{:?}", reply.outcome);
        assert_eq!(deployment.log(name).matches("LocalFallback").count(), before, "{}", deployment.log(name));
    }
}
