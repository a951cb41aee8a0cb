//! Fault injection on real processes; the results are checked against the counts of the upstreams.

mod common;

use common::*;
use lab::{Caller, Deployment, DeploymentSpec, Outcome, Reply, MODEL};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const HALL: &str = "hall-lansing";

/// Sends requests of every class, 40 ms apart, and returns the prompts with their final replies.
async fn through(deployment: &Deployment, count: usize, tokens: u32, name: &str) -> Vec<(String, Reply)> {
    let doors = deployment.caller_addresses();
    let mut tasks = Vec::new();
    for i in 0..count {
        let class = ["hotline", "contract-check", "review"][i % 3];
        let caller = Caller::new(lab::customer_names().nth(i % 9).expect("nine customers")).class(class);
        let (doors, prompt) = (doors.clone(), format!("{name} {i}"));
        tasks.push(actix_rt::spawn(async move {
            let reply = persist(&caller, &doors, &prompt, tokens).await;
            (prompt, reply)
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut ended = Vec::new();
    for task in tasks {
        ended.push(task.await.expect("no panic"));
    }
    ended
}

fn starts(deployment: &Deployment, prompt: &str) -> u32 {
    deployment.engines.iter().map(|(_, e)| e.runs_of(prompt).starts).sum()
}

#[actix_rt::test]
async fn a_killed_owner_cuts_only_its_own_callers() {
    let mut deployment = start(small()).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let others: Vec<_> = deployment.boxes.iter().filter(|(n, _)| **n != owner).map(|(_, b)| b.callers).collect();
    let mut tasks = Vec::new();
    for i in 0..40usize {
        let (doors, caller) = (others.clone(), Caller::new("large-1").class("hotline").non_repeatable());
        tasks.push(actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(50 * i as u64)).await;
            (i, persist(&caller, &doors, &format!("owner dies {i}"), 40).await)
        }));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    deployment.kill(&owner);
    deployment.forget_process(&owner);
    for task in tasks {
        let (i, reply) = task.await.expect("no panic");
        let prompt = format!("owner dies {i}");
        assert!(is_whole(&reply, &prompt, 40), "{prompt}: {:?}", reply.outcome);
        assert_eq!(starts(&deployment, &prompt), 1);
    }
    let owns = |s: &cleatshelf::Status| s.shards.iter().filter(|row| row.serves == MODEL).count();
    let began = Instant::now();
    loop {
        let mut owners = 0;
        for name in deployment.running_boxes() {
            owners += deployment.status(&name).await.map_or(0, |s| owns(&s));
        }
        if owners == 1 {
            break;
        }
        assert!(began.elapsed() < NEVER, "{owners} new owners");
    }
    assert!(at_rest(&deployment).await, "something leaked");
    assert_eq!(deployment.invariant_violations().await, 0, "{}", logs(&deployment));
}

#[actix_rt::test]
async fn a_frozen_owner_is_passed_by_and_wakes_without_harm() {
    let deployment = start(small()).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let others: Vec<_> = deployment.boxes.iter().filter(|(n, _)| **n != owner).map(|(_, b)| b.callers).collect();
    deployment.signal(&owner, Signal::STOP);
    let began = Instant::now();
    let mut count = 0;
    while began.elapsed() < Duration::from_secs(5) {
        let prompt = format!("owner frozen {count}");
        let reply = persist(&Caller::new("large-1").class("hotline").non_repeatable(), &others, &prompt, 10).await;
        assert!(is_whole(&reply, &prompt, 10), "{:?}", reply.outcome);
        count += 1;
    }
    deployment.signal(&owner, Signal::CONT);
    assert!(until(|| deployment.log(&owner).contains("E105 PauseNoticed")).await);
    let ended = through(&deployment, 30, 20, "owner woke").await;
    assert!(ended.iter().all(|(prompt, reply)| is_whole(reply, prompt, 20)));
    for i in 0..count {
        assert_eq!(starts(&deployment, &format!("owner frozen {i}")), 1);
    }
    assert!(at_rest(&deployment).await, "something leaked");
    assert_eq!(deployment.invariant_violations().await, 0, "{}", logs(&deployment));
}

#[actix_rt::test]
async fn the_leases_of_a_killed_box_are_free_again() {
    let mut deployment = start(DeploymentSpec { token_ms: 30, ..small() }).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let name = deployment.running_boxes().into_iter().find(|n| *n != owner).expect("another box");
    let door = deployment.boxes[&name].callers;
    for i in 0..10 {
        actix_rt::spawn(async move { Caller::new("large-1").complete(door, &format!("lessee dies {i}"), 2_000).await });
    }
    let engines = deployment.engines.clone();
    assert!(until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 10).await);
    deployment.kill(&name);
    deployment.forget_process(&name);
    assert!(
        until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 0).await,
        "the work was cancelled"
    );
    assert!(at_rest(&deployment).await, "its leases were not freed");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn a_box_frozen_between_grant_and_send_sends_nothing_twice() {
    let deployment = start(small()).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let name = deployment.running_boxes().into_iter().find(|n| *n != owner).expect("another box");
    let door = deployment.boxes[&name].callers;
    let mut tasks = Vec::new();
    for i in 0..60usize {
        tasks.push(actix_rt::spawn(async move {
            let caller = Caller::new("large-1").class("hotline").non_repeatable();
            persist(&caller, &[door], &format!("lessee frozen {i}"), 10).await
        }));
        if i == 30 {
            deployment.signal(&name, Signal::STOP);
        }
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    deployment.signal(&name, Signal::CONT);
    for (i, task) in tasks.into_iter().enumerate() {
        let reply = task.await.expect("no panic");
        let (prompt, ran) = (format!("lessee frozen {i}"), starts(&deployment, &format!("lessee frozen {i}")));
        assert!(ran <= 1, "{prompt} began {ran} times");
        if let Outcome::Refused { ran: word, .. } = &reply.outcome {
            assert!(word != "no" || ran == 0, "{prompt} was refused as not run but ran");
        }
    }
    assert!(at_rest(&deployment).await, "something leaked");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn a_repeatable_answer_survives_its_engine_and_another_fails_honestly() {
    let deployment = start(DeploymentSpec { token_ms: 20, ..small() }).await;
    let door = first_door(&deployment);
    let ask = |i: usize, once: bool| {
        let caller = Caller::new("large-1");
        let caller = if once { caller.non_repeatable() } else { caller };
        actix_rt::spawn(async move { caller.complete(door, &format!("engine dies {once} {i}"), 200).await })
    };
    let repeatable: Vec<_> = (0..6).map(|i| ask(i, false)).collect();
    let once: Vec<_> = (0..6).map(|i| ask(i, true)).collect();
    let engines = deployment.engines.clone();
    assert!(until(|| engines.iter().all(|(_, e)| e.tokens() > 40)).await, "both engines work");
    engines[0].1.crash();
    for (i, task) in repeatable.into_iter().enumerate() {
        let reply = task.await.expect("no panic");
        let prompt = format!("engine dies false {i}");
        assert!(is_whole(&reply, &prompt, 200), "{prompt}: {:?} {}", reply.outcome, reply.text.len());
    }
    let mut failed = 0;
    for (i, task) in once.into_iter().enumerate() {
        let reply = task.await.expect("no panic");
        let prompt = format!("engine dies true {i}");
        assert_eq!(starts(&deployment, &prompt), 1, "{prompt}");
        if !is_whole(&reply, &prompt, 200) {
            assert_eq!(reply.outcome, Outcome::Interrupted, "a broken stream never looks whole");
            failed += 1;
        }
    }
    assert!(failed > 0, "some ran on the engine that crashed");
    engines[0].1.restart();
    assert!(at_rest(&deployment).await, "something leaked");
    let ended = through(&deployment, 30, 20, "after the crash").await;
    assert!(ended.iter().all(|(prompt, reply)| is_whole(reply, prompt, 20)));
    assert!(gets_its_share_back(&deployment, &engines[0].1).await, "an engine that came back is left out");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn a_slowed_engine_loses_its_share_and_gets_it_back() {
    let deployment = start(DeploymentSpec { report_lag_ms: 2_000, ..small() }).await;
    let slow = deployment.engines[0].1.clone();
    through(&deployment, 30, 20, "warm").await;
    slow.set_token_time_percent(1_000);
    through(&deployment, 40, 20, "slow").await;
    let before: u32 = (0..40).map(|i| slow.runs_of(&format!("slow {i}")).starts).sum();
    let ended = through(&deployment, 40, 20, "avoided").await;
    assert!(ended.iter().all(|(prompt, reply)| is_whole(reply, prompt, 20)));
    let hotline = (0..40).filter(|i| i % 3 == 0);
    let urgent: u32 = hotline.map(|i| slow.runs_of(&format!("avoided {i}")).starts).sum();
    assert!(urgent <= 2, "{urgent} hotline requests went to an engine ten times too slow (before: {before})");
    slow.set_token_time_percent(100);
    assert!(gets_its_share_back(&deployment, &slow).await, "an engine that is well again is left out");
    assert_eq!(deployment.invariant_violations().await, 0);
}

/// Sends urgent requests until one in four of them goes to `engine`, which is one of two.
async fn gets_its_share_back(deployment: &Deployment, engine: &lab::Engine) -> bool {
    let began = Instant::now();
    let caller = Caller::new("large-1").class("hotline");
    let mut round = 0;
    while began.elapsed() < NEVER {
        round += 1;
        let prompts: Vec<String> = (0..16).map(|i| format!("well again {round} {i}")).collect();
        let asks = prompts.iter().enumerate().map(|(i, prompt)| {
            let (caller, door, prompt) = (caller.clone(), deployment.caller_addresses()[i % 3], prompt.clone());
            actix_rt::spawn(async move { caller.complete(door, &prompt, 20).await })
        });
        for ask in asks.collect::<Vec<_>>() {
            let reply = ask.await.expect("no panic");
            // While the engine has few slots, some requests exceed the capacity.
            let refused =
                matches!(&reply.outcome, Outcome::Refused { code, ran, .. } if code == "overloaded" && ran == "no");
            assert!(reply.outcome == Outcome::Complete || refused, "{:?}", reply.outcome);
        }
        if prompts.iter().map(|prompt| engine.runs_of(prompt).starts).sum::<u32>() >= 4 {
            return true;
        }
    }
    false
}

#[actix_rt::test]
async fn the_same_key_at_two_boxes_at_once_runs_once() {
    let deployment = start(small()).await;
    let doors = deployment.caller_addresses();
    for i in 0..25 {
        let key = uuid::Uuid::now_v7().to_string();
        let deliver = |door| {
            let caller = Caller::new("large-1").class("hotline").non_repeatable().key(&key);
            actix_rt::spawn(async move { caller.complete(door, &format!("twice {i}"), 10).await })
        };
        let both = [deliver(doors[i % 3]), deliver(doors[(i + 1) % 3])];
        let mut whole = 0;
        for task in both {
            let reply = task.await.expect("no panic");
            match &reply.outcome {
                Outcome::Complete => whole += 1,
                Outcome::Refused { code, ran, .. } => {
                    assert_eq!((code.as_str(), ran.as_str()), ("request_key_used", "unknown"));
                }
                other => panic!("{other:?}"),
            }
        }
        assert!(whole <= 1);
        assert!(starts(&deployment, &format!("twice {i}")) <= 1);
        let again = Caller::new("large-1")
            .class("hotline")
            .non_repeatable()
            .key(&key)
            .complete(doors[(i + 2) % 3], "late", 5)
            .await;
        if whole == 1 {
            assert_eq!(code_of(&again).1, "request_key_used");
        }
    }
    assert!(at_rest(&deployment).await, "something leaked");
}

#[actix_rt::test]
async fn a_plain_call_that_may_not_be_repeated_is_sent_once_whatever_happens() {
    let deployment = start(small()).await;
    let door = first_door(&deployment);
    let plain = deployment.plain_services[0].2.clone();
    plain.set_delay_ms(400);
    let caller = Caller::new("large-1").class("lookup");
    let calls: Vec<_> = (0..5)
        .map(|i| {
            let caller = caller.clone();
            actix_rt::spawn(
                async move { caller.request(door, "POST", "/services/registry/pay", &format!("{i}")).await },
            )
        })
        .collect();
    assert!(until(|| plain.total_runs() == 5).await, "all began");
    plain.crash();
    for (i, task) in calls.into_iter().enumerate() {
        let reply = task.await.expect("no panic");
        assert_eq!(code_of(&reply), (502, "upstream_failed".into(), "unknown".into()));
        assert_eq!(plain.runs("/pay", &i.to_string()), 1);
    }
    let reply = caller.request(door, "POST", "/services/registry/pay", "unreached").await;
    let (status, _, ran) = code_of(&reply);
    assert_eq!((status, ran.as_str()), (503, "no"), "no connection was made, so it did not run");
    plain.restart();
    assert_eq!(plain.runs("/pay", "unreached"), 0);
    assert!(at_rest(&deployment).await, "something leaked");
}

#[actix_rt::test]
async fn an_urgent_burst_is_served_and_reviews_still_end() {
    let deployment = start(DeploymentSpec { slots: 4, ..small() }).await;
    let doors = deployment.caller_addresses();
    let mut reviews = Vec::new();
    for i in 0..16usize {
        let (doors, caller) = (doors.clone(), Caller::new("large-2").class("review"));
        reviews.push(actix_rt::spawn(async move { (i, persist(&caller, &doors, &format!("review {i}"), 100).await) }));
    }
    let mut urgent = Vec::new();
    for i in 0..150usize {
        let (door, caller) = (doors[i % 3], Caller::new("large-1").class("hotline"));
        let began = Instant::now();
        urgent.push(actix_rt::spawn(async move {
            (caller.complete(door, &format!("burst {i}"), 40).await, began.elapsed())
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut refused = 0;
    for task in urgent {
        let (reply, took) = task.await.expect("no panic");
        if let Outcome::Refused { code, ran, retry_ms, .. } = &reply.outcome {
            assert_eq!((code.as_str(), ran.as_str()), ("overloaded", "no"));
            assert!(retry_ms.is_some_and(|ms| ms > 0), "it is told when to come back");
            assert!(took < Duration::from_secs(10));
            refused += 1;
        }
    }
    for task in reviews {
        let (i, reply) = task.await.expect("no panic");
        assert!(is_whole(&reply, &format!("review {i}"), 100), "review {i}: {:?}", reply.outcome);
    }
    assert!(refused > 0, "the burst was beyond capacity");
    assert!(at_rest(&deployment).await, "something leaked");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn a_peer_without_the_key_gets_nothing_in() {
    let deployment = start(small()).await;
    let name = deployment.running_boxes()[0].clone();
    let address = deployment.boxes[&name].peer.address;
    let key = wire::Key::new("not-the-key-of-this-deployment");
    let link = wire::Link::<cleatshelf::Envelope>::open(&key, "intruder", &name, address, Box::new(|| {}));
    let change =
        fleet::Change::Box { id: catalog::BoxId::of(&name), state: fleet::State::Dead, incarnation: 9, peer: None };
    let ping = fleet::Message::Ping { number: 1, order: None, changes: vec![change] };
    link.send(&cleatshelf::Envelope::Fleet(ping));
    assert!(until(|| deployment.log(&name).contains("E305 PeerUnproved from=intruder")).await);
    let status = deployment.status(&name).await.expect("it answers");
    assert!(status.peers.iter().all(|p| p.name != "intruder"));
    // Random bytes on the port have no effect either.
    let mut socket = tokio::net::TcpStream::connect(address).await.expect("a connection");
    tokio::io::AsyncWriteExt::write_all(&mut socket, &[0xff; 4_000]).await.expect("sent");
    let ended = through(&deployment, 12, 10, "after rubbish").await;
    assert!(ended.iter().all(|(prompt, reply)| is_whole(reply, prompt, 10)));
}
