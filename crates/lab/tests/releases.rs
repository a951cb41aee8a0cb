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
const IN_FORCE_MOST: Duration = Duration::from_secs(12);

/// Monitors the release of every box from outside and counts the calls to the platform.
struct Watch {
    releases: ReleaseMonitor,
    platform: lab::Platform,
    calls: u64,
    boxes: u64,
    began: Instant,
}

/// Calls to the platform that a box may make per second on average, and at its start.
const CALLS_PER_SECOND: f64 = 4.0;
const CALLS_AT_START: u64 = 40;

impl Watch {
    fn over(deployment: &Deployment) -> Self {
        let releases = ReleaseMonitor::start(deployment);
        let (platform, calls) = (deployment.platform.clone(), deployment.platform.calls());
        let boxes = deployment.boxes.len() as u64;
        Self { releases, platform, calls, boxes, began: Instant::now() }
    }

    fn end(self) {
        let wrongs = self.releases.finish();
        assert!(wrongs.is_empty(), "{wrongs:?}");
        let calls = self.platform.calls() - self.calls;
        let long_run = CALLS_PER_SECOND * self.began.elapsed().as_secs_f64();
        let most = self.boxes * (long_run as u64 + CALLS_AT_START);
        assert!(calls <= most, "{calls} calls to the platform, {most} at the most");
    }
}

async fn in_force(deployment: &Deployment, number: u64) -> bool {
    deployment.wait_until(NEVER, |s| s.release >= number && s.ready).await
}

async fn serves(deployment: &Deployment, what: &str) {
    for (i, door) in deployment.caller_addresses().into_iter().enumerate() {
        let prompt = format!("{what} {i}");
        let reply = persist(&Caller::new("large-1"), &[door], &prompt, 5).await;
        assert!(is_whole(&reply, &prompt, 5), "{prompt}: {:?}", reply.outcome);
    }
}

#[actix_rt::test]
async fn a_release_reaches_every_box_with_few_calls_to_the_platform() {
    let mut deployment = start(DeploymentSpec { halls: vec![("hall-lansing".into(), 6, 1, 0)], ..small() }).await;
    let watch = Watch::over(&deployment);
    let before = deployment.platform.calls();
    let began = Instant::now();
    for _ in 0..5 {
        let number = deployment.publish().expect("a good release");
        assert!(in_force(&deployment, number).await);
    }
    let calls = deployment.platform.calls() - before;
    // Two watchers, each with a watch and one or two parts for each release, and the member list once a
    // second.
    let most = 5 * 2 * 4 + 2 * (began.elapsed().as_secs() + 2) + 12;
    assert!(calls <= most, "{calls} calls, {most} at most");
    assert!(deployment.platform.open_watches() <= 3, "{} watches", deployment.platform.open_watches());
    watch.end();
}

#[actix_rt::test]
async fn the_platform_may_be_down_before_during_and_after_a_release() {
    let mut deployment = start(small()).await;
    let watch = Watch::over(&deployment);
    deployment.platform.stop();
    serves(&deployment, "platform down").await;
    // A box that starts while the platform is down gets everything from its peers.
    let name = deployment.running_boxes()[0].clone();
    deployment.kill(&name);
    deployment.start_box(&name).expect("a new process");
    assert!(in_force(&deployment, 1).await, "{}", deployment.log(&name));
    deployment.publish().expect("a good release");
    deployment.platform.restart();
    assert!(in_force(&deployment, 2).await);
    deployment.platform.stop();
    serves(&deployment, "platform down again").await;
    let made: u64 = deployment.status(&name).await.expect("it answers").platform_calls;
    assert!(made < 200, "{made} calls by one box: that is a stampede");
    watch.end();
}

#[actix_rt::test]
async fn a_box_alone_without_platform_and_peers_is_not_ready() {
    let mut deployment = Deployment::prepare(small(), program()).expect("stand-ins");
    deployment.platform.stop();
    let name = deployment.boxes.keys().next().expect("a box").clone();
    deployment.start_box(&name).expect("a process");
    assert!(until(|| deployment.log(&name).contains("E202 PlatformUnreachable")).await);
    let door = deployment.boxes[&name].callers;
    let reply = Caller::new("large-1").complete(door, "too early", 5).await;
    assert_eq!(code_of(&reply), (503, "not_ready".into(), "no".into()));
    assert!(!deployment.status(&name).await.expect("it answers").ready);
}

#[actix_rt::test]
async fn a_restarted_box_is_never_ready_on_a_stale_replicas_release() {
    let mut deployment = start(DeploymentSpec { with_relays: true, ..small() }).await;
    let watch = Watch::over(&deployment);
    // The replica is frozen at release 1 while the peers have release 2.
    deployment.publish().expect("a good release");
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
    let began = Instant::now();
    loop {
        if let Some(status) = deployment.status(&name).await {
            assert!(!status.ready || status.release >= 2, "ready on release {}\n{}", status.release, logs(&deployment));
            if status.ready {
                break;
            }
        }
        assert!(began.elapsed() < NEVER);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(deployment.wait_until(NEVER, |s| s.release == 2).await, "nobody went back");
    watch.end();
}

#[actix_rt::test]
async fn when_all_watchers_are_killed_others_take_over() {
    let mut deployment = start(DeploymentSpec { halls: vec![("hall-lansing".into(), 5, 1, 0)], ..small() }).await;
    let watch = Watch::over(&deployment);
    let mut watchers = Vec::new();
    for name in deployment.running_boxes() {
        if deployment.status(&name).await.expect("it answers").watcher {
            watchers.push(name);
        }
    }
    assert_eq!(watchers.len(), 2);
    for name in &watchers {
        deployment.kill(name);
        deployment.forget_process(name);
    }
    let began = Instant::now();
    let number = deployment.publish().expect("a good release");
    assert!(in_force(&deployment, number).await);
    // The users require this time for a release, whichever boxes have failed.
    assert!(began.elapsed() < IN_FORCE_MOST, "in force after {:?}", began.elapsed());
    watch.end();
}

#[actix_rt::test]
async fn two_operators_at_once_leave_one_release_on_all_boxes() {
    let mut deployment = start(halls()).await;
    let watch = Watch::over(&deployment);
    let one = deployment.build_release(2).expect("a good release");
    deployment.leaving = vec!["nobody".into()];
    deployment.spec.slots = 7;
    let other = deployment.build_release(2).expect("another good release");
    assert_ne!(one.id(), other.id());
    let newest = one.id().max(other.id()).digest.to_string();
    // Boxes may see either release first; the platform has had both in the end.
    deployment.platform.publish(&one);
    tokio::time::sleep(Duration::from_millis(30)).await;
    deployment.platform.publish(&other);
    deployment.platform.publish(if one.id() > other.id() { &one } else { &other });
    assert!(deployment.wait_until(NEVER, |s| s.digest == newest).await, "all boxes have the higher of both");
    watch.end();
}

#[actix_rt::test]
async fn a_bad_release_is_refused_everywhere_and_the_former_stays() {
    let mut deployment = start(small()).await;
    let watch = Watch::over(&deployment);
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
    assert!(deployment.wait_until(NEVER, |s| !s.watcher || too_large(s)).await, "{}", logs(&deployment));
    let contradictory = contradictory(&good);
    deployment.platform.publish(&contradictory);
    let refused = deployment.wait_until(IN_FORCE_MOST, |s| s.refused.iter().any(|r| r.number == 6)).await;
    assert!(refused, "the contradictory release is shown as refused on every box: {}", logs(&deployment));
    let newer = good.text.replace("format = 1", "format = 99");
    deployment.platform.put("manifest", newer.into_bytes());
    let shown = |s: &cleatshelf::Status| {
        s.refused.iter().any(|r| r.reasons.iter().any(|why| why.contains("made by a newer cleatshelf")))
    };
    assert!(deployment.wait_until(NEVER, |s| !s.watcher || shown(s)).await);
    assert!(deployment.wait_until(NEVER, |s| s.release == 1 && s.ready).await, "the former release stays");
    serves(&deployment, "former release").await;
    deployment.release_number = 6;
    let number = deployment.publish().expect("a good release");
    assert!(in_force(&deployment, number).await, "a good release after bad ones is taken");
    watch.end();
}

/// Builds a release with complete parts that refer to a missing class.
fn contradictory(good: &Release) -> Release {
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
async fn a_hall_cut_from_the_platform_learns_from_other_halls() {
    let mut deployment = start(halls()).await;
    let watch = Watch::over(&deployment);
    deployment.platform_relays["hall-toledo"].set_mode(RelayMode::Cut);
    let number = deployment.publish().expect("a good release");
    assert!(in_force(&deployment, number).await, "through the other hall's boxes");
    watch.end();
}

#[actix_rt::test]
async fn a_hall_cut_from_all_serves_on_and_catches_up() {
    let mut deployment = start(halls()).await;
    let watch = Watch::over(&deployment);
    deployment.platform_relays["hall-toledo"].set_mode(RelayMode::Cut);
    deployment.set_relays_between("hall-lansing", "hall-toledo", RelayMode::Cut);
    let number = deployment.publish().expect("a good release");
    serves(&deployment, "cut off").await;
    let lansing = deployment.running_boxes().into_iter().filter(|n| n.contains("lansing"));
    for name in lansing {
        let began = Instant::now();
        while deployment.status(&name).await.is_none_or(|s| s.release < number) {
            assert!(began.elapsed() < NEVER);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for name in deployment.running_boxes().into_iter().filter(|n| n.contains("toledo")) {
        assert_eq!(deployment.status(&name).await.expect("it answers").release, 1);
    }
    deployment.set_relays_between("hall-lansing", "hall-toledo", RelayMode::Pass(1));
    assert!(in_force(&deployment, number).await, "healed through peers alone");
    serves(&deployment, "healed").await;
    watch.end();
}

#[actix_rt::test]
async fn a_box_frozen_over_two_releases_wakes_to_the_newest() {
    let mut deployment = start(small()).await;
    let watch = Watch::over(&deployment);
    let name = deployment.running_boxes()[0].clone();
    deployment.signal(&name, Signal::STOP);
    deployment.publish().expect("a good release");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let number = deployment.publish().expect("a good release");
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.signal(&name, Signal::CONT);
    assert!(in_force(&deployment, number).await);
    serves(&deployment, "woke").await;
    watch.end();
}

#[actix_rt::test]
async fn a_leaving_upstream_gets_no_new_work_on_any_box_that_heard() {
    let plan = DeploymentSpec {
        halls: vec![("hall-lansing".into(), 3, 2, 0)],
        with_relays: true,
        member_list_lag_ms: 300,
        ..small()
    };
    for word in ["file", "list", "engine"] {
        let mut deployment = start(plan.clone()).await;
        let watch = Watch::over(&deployment);
        let leaving = deployment.engines[0].1.clone();
        serves(&deployment, "before").await;
        match word {
            "file" => {
                deployment.leaving = vec![leaving.name().to_owned()];
                deployment.publish().expect("a good release");
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
            let doors = deployment.caller_addresses();
            let reply = persist(&Caller::new("large-1"), &doors, &format!("{word} {i}"), 5).await;
            assert_eq!(reply.outcome, Outcome::Complete);
        }
        assert_eq!(leaving.starts(), before, "new work on an upstream that is leaving by {word}");
        watch.end();
    }
}

#[actix_rt::test]
async fn a_leaving_word_reaches_boxes_that_can_not_see_the_list() {
    let deployment = start(halls()).await;
    let watch = Watch::over(&deployment);
    deployment.platform_relays["hall-toledo"].set_mode(RelayMode::Cut);
    let leaving = deployment.engines.iter().find(|(hall, _)| hall == "hall-toledo").expect("an engine").1.clone();
    let list: Vec<_> =
        deployment.engines.iter().map(|(_, e)| (e.name().to_owned(), e.name() == leaving.name())).collect();
    deployment.platform.set_members(&[], &list);
    // The delay of the member list, and three seconds for the gossip through the boxes of the other hall.
    tokio::time::sleep(Duration::from_millis(deployment.spec.member_list_lag_ms + 3_000)).await;
    let before = leaving.starts();
    let toledo: Vec<_> =
        deployment.boxes.iter().filter(|(n, _)| n.contains("toledo")).map(|(_, b)| b.callers).collect();
    for i in 0..10 {
        let prompt = format!("unseen list {i}");
        let reply = persist(&Caller::new("large-1").class("review"), &toledo, &prompt, 5).await;
        assert!(is_whole(&reply, &prompt, 5), "{prompt}: {:?}", reply.outcome);
    }
    assert_eq!(leaving.starts(), before, "new work on an upstream that is leaving");
    watch.end();
}

#[actix_rt::test]
async fn a_rolling_restart_under_load_cuts_and_fails_nothing() {
    let mut deployment = start(DeploymentSpec { token_ms: 20, ..small() }).await;
    let watch = Watch::over(&deployment);
    let doors = deployment.caller_addresses();
    let stop = Rc::new(Cell::new(false));
    let mut tasks = Vec::new();
    for worker in 0..12usize {
        let (doors, stop) = (doors.clone(), Rc::clone(&stop));
        tasks.push(actix_rt::spawn(async move {
            let mut ended = Vec::new();
            for i in 0.. {
                if stop.get() {
                    break;
                }
                let caller = Caller::new("large-1").class(["hotline", "contract-check", "review"][worker % 3]);
                let caller = if worker % 2 == 0 { caller.non_repeatable() } else { caller };
                let prompt = format!("rolling {worker} {i}");
                ended.push((persist(&caller, &doors, &prompt, 40).await, prompt));
            }
            ended
        }));
    }
    for name in deployment.running_boxes() {
        tokio::time::sleep(Duration::from_millis(500)).await;
        deployment.signal(&name, Signal::TERM);
        let began = Instant::now();
        while began.elapsed() < NEVER && !deployment.log(&name).contains("E103 StopClean") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(deployment.wait_for_exit(&name, NEVER), Some(0), "{}", deployment.log(&name));
        deployment.start_box(&name).expect("a new process");
        assert!(deployment.wait_until(NEVER, |s| s.ready).await);
    }
    stop.set(true);
    let mut count = 0;
    for task in tasks {
        for (reply, prompt) in task.await.expect("no panic") {
            assert!(is_whole(&reply, &prompt, 40), "{prompt}: {:?} after {} bytes", reply.outcome, reply.text.len());
            count += 1;
        }
    }
    assert!(count > 30, "only {count} requests");
    watch.end();
}

#[actix_rt::test]
async fn an_owner_killed_during_its_handover_is_replaced() {
    let mut deployment = start(small()).await;
    let watch = Watch::over(&deployment);
    let owner = deployment.shard_owner("hall-lansing", MODEL).await.expect("an owner");
    deployment.signal(&owner, Signal::TERM);
    tokio::time::sleep(Duration::from_millis(30)).await;
    deployment.kill(&owner);
    deployment.forget_process(&owner);
    serves(&deployment, "after the handover").await;
    assert!(at_rest(&deployment).await);
    watch.end();
}

#[actix_rt::test]
async fn a_stopping_owner_hands_over_before_it_ends() {
    let mut deployment = start(DeploymentSpec { token_ms: 40, ..small() }).await;
    let owner = deployment.shard_owner("hall-lansing", MODEL).await.expect("an owner");
    let door = deployment.boxes[&owner].callers;
    let long = actix_rt::spawn(async move { Caller::new("large-1").complete(door, "long", 400).await });
    let engines = deployment.engines.clone();
    assert!(until(|| engines.iter().any(|(_, e)| e.running_requests() > 0)).await, "it began");
    deployment.signal(&owner, Signal::TERM);
    let owns = |s: &cleatshelf::Status| s.shards.iter().any(|row| row.serves == MODEL && !row.recovering);
    let began = Instant::now();
    let mut next = None;
    while next.is_none() && began.elapsed() < NEVER {
        for name in deployment.running_boxes().into_iter().filter(|n| *n != owner) {
            if deployment.status(&name).await.is_some_and(|s| owns(&s)) {
                next = Some(name);
            }
        }
    }
    assert!(next.is_some(), "nobody took over");
    assert!(!deployment.log(&owner).contains("E103 StopClean"), "it had not ended yet");
    let held = |s: &cleatshelf::Status| s.shards.iter().filter(|r| r.serves == MODEL).map(|r| r.held).sum::<usize>();
    let name = next.expect("a new owner");
    assert!(deployment.status(&name).await.is_some_and(|s| held(&s) == 1), "it knows the lease that still runs");
    assert!(is_whole(&long.await.expect("no panic"), "long", 400));
    assert_eq!(deployment.wait_for_exit(&owner, NEVER), Some(0));
}

/// Waits until every box sees both other boxes alive.
async fn all_meet(deployment: &Deployment) -> bool {
    deployment.wait_until(NEVER, |s| s.ready && s.peers.iter().filter(|p| p.state == "alive").count() == 2).await
}

#[actix_rt::test]
async fn boxes_known_by_the_list_alone_meet_and_one_comes_back_at_another_address() {
    let mut deployment = start(DeploymentSpec { peers_from_platform_only: true, ..small() }).await;
    assert!(all_meet(&deployment).await, "{}", logs(&deployment));
    // All boxes know each other from the member list; from here on they depend only on each other.
    let name = deployment.running_boxes()[1].clone();
    deployment.kill(&name);
    deployment.reassign_addresses(&name).expect("other addresses");
    deployment.start_box(&name).expect("a new process");
    assert!(all_meet(&deployment).await, "{}", logs(&deployment));
    serves(&deployment, "moved").await;
    deployment.platform.stop();
    let owner = deployment.shard_owner("hall-lansing", MODEL).await.expect("an owner");
    let others: Vec<_> = deployment.running_boxes().into_iter().filter(|n| *n != owner).collect();
    // Each box sends its request to the owner at its present address; local shares would be logged as a
    // fallback.
    for name in &others {
        let before = deployment.log(name).matches("LocalFallback").count();
        let reply = Caller::new("large-1").complete(deployment.boxes[name].callers, &format!("asked {name}"), 5).await;
        assert!(is_whole(&reply, &format!("asked {name}"), 5), "{:?}", reply.outcome);
        assert_eq!(deployment.log(name).matches("LocalFallback").count(), before, "{}", deployment.log(name));
    }
}
