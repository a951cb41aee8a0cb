//! Fault injection on real processes; the results are checked against the counts of the upstreams.

mod common;

use common::*;
use lab::{Caller, Deployment, DeploymentSpec, Outcome, Reply, MODEL};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const HALL: &str = "hall-lansing";

/// Sends requests of every class, 40 ms apart, and returns the prompts with their final replies.
async fn run_requests(deployment: &Deployment, count: usize, tokens: u32, name: &str) -> Vec<(String, Reply)> {
    let addresses = deployment.caller_addresses();
    let mut tasks = Vec::new();
    for i in 0..count {
        let class = ["hotline", "contract-check", "review"][i % 3];
        let caller = Caller::new(lab::customer_names().nth(i % 9).expect("nine customers")).class(class);
        let (addresses, prompt) = (addresses.clone(), format!("{name} {i}"));
        tasks.push(actix_rt::spawn(async move {
            let reply = complete_with_retries(&caller, &addresses, &prompt, tokens).await;
            (prompt, reply)
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut replies = Vec::new();
    for task in tasks {
        replies.push(task.await.expect("the task did not panic"));
    }
    replies
}

fn starts(deployment: &Deployment, prompt: &str) -> u32 {
    deployment.engines.iter().map(|(_, e)| e.runs_of(prompt).starts).sum()
}

#[actix_rt::test]
async fn killed_owner_interrupts_only_its_own_callers() {
    let mut deployment = start(one_hall()).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let others: Vec<_> = deployment.boxes.iter().filter(|(n, _)| **n != owner).map(|(_, b)| b.caller_address).collect();
    let mut tasks = Vec::new();
    for i in 0..40usize {
        let (addresses, caller) = (others.clone(), Caller::new("large-1").class("hotline").non_repeatable());
        tasks.push(actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(50 * i as u64)).await;
            (i, complete_with_retries(&caller, &addresses, &format!("owner dies {i}"), 40).await)
        }));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    deployment.kill(&owner);
    deployment.forget_process(&owner);
    for task in tasks {
        let (i, reply) = task.await.expect("the task did not panic");
        let prompt = format!("owner dies {i}");
        assert!(is_complete(&reply, &prompt, 40), "{prompt}: {:?}", reply.outcome);
        assert_eq!(starts(&deployment, &prompt), 1);
    }
    let owns = |s: &cleatshelf::Status| s.shards.iter().filter(|row| row.serves == MODEL).count();
    let started = Instant::now();
    loop {
        let mut owners = 0;
        for name in deployment.running_boxes() {
            owners += deployment.status(&name).await.map_or(0, |s| owns(&s));
        }
        if owners == 1 {
            break;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "{owners} boxes own the shard");
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    assert_eq!(deployment.invariant_violations().await, 0, "{}", logs(&deployment));
}

#[actix_rt::test]
async fn frozen_owner_is_bypassed_and_resumes_safely() {
    let deployment = start(one_hall()).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let others: Vec<_> = deployment.boxes.iter().filter(|(n, _)| **n != owner).map(|(_, b)| b.caller_address).collect();
    deployment.signal(&owner, Signal::STOP);
    let started = Instant::now();
    let mut count = 0;
    while started.elapsed() < Duration::from_secs(5) {
        let prompt = format!("owner frozen {count}");
        let reply =
            complete_with_retries(&Caller::new("large-1").class("hotline").non_repeatable(), &others, &prompt, 10)
                .await;
        assert!(is_complete(&reply, &prompt, 10), "{:?}", reply.outcome);
        count += 1;
    }
    deployment.signal(&owner, Signal::CONT);
    assert!(wait_until(|| deployment.log(&owner).contains("E105 PauseNoticed")).await);
    let replies = run_requests(&deployment, 30, 20, "owner woke").await;
    assert!(replies.iter().all(|(prompt, reply)| is_complete(reply, prompt, 20)));
    for i in 0..count {
        assert_eq!(starts(&deployment, &format!("owner frozen {i}")), 1);
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    assert_eq!(deployment.invariant_violations().await, 0, "{}", logs(&deployment));
}

#[actix_rt::test]
async fn leases_of_a_killed_box_are_released() {
    let mut deployment = start(DeploymentSpec { token_ms: 30, ..one_hall() }).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let name = deployment.running_boxes().into_iter().find(|n| *n != owner).expect("another box");
    let address = deployment.boxes[&name].caller_address;
    for i in 0..10 {
        actix_rt::spawn(
            async move { Caller::new("large-1").complete(address, &format!("lessee dies {i}"), 2_000).await },
        );
    }
    let engines = deployment.engines.clone();
    assert!(wait_until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 10).await);
    deployment.kill(&name);
    deployment.forget_process(&name);
    assert!(
        wait_until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 0).await,
        "the work was cancelled"
    );
    assert!(wait_until_idle(&deployment).await, "its leases were not released");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn box_frozen_between_grant_and_send_sends_nothing_twice() {
    let deployment = start(one_hall()).await;
    let owner = deployment.shard_owner(HALL, MODEL).await.expect("an owner");
    let name = deployment.running_boxes().into_iter().find(|n| *n != owner).expect("another box");
    let address = deployment.boxes[&name].caller_address;
    let mut tasks = Vec::new();
    for i in 0..60usize {
        tasks.push(actix_rt::spawn(async move {
            let caller = Caller::new("large-1").class("hotline").non_repeatable();
            complete_with_retries(&caller, &[address], &format!("lessee frozen {i}"), 10).await
        }));
        if i == 30 {
            deployment.signal(&name, Signal::STOP);
        }
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    deployment.signal(&name, Signal::CONT);
    for (i, task) in tasks.into_iter().enumerate() {
        let reply = task.await.expect("the task did not panic");
        let (prompt, ran) = (format!("lessee frozen {i}"), starts(&deployment, &format!("lessee frozen {i}")));
        assert!(ran <= 1, "{prompt} started {ran} times");
        if let Outcome::Refused { ran: ran_header, .. } = &reply.outcome {
            assert!(ran_header != "no" || ran == 0, "{prompt} was refused as not run but ran");
        }
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn engine_crash_resumes_repeatable_and_fails_non_repeatable_requests() {
    let deployment = start(DeploymentSpec { token_ms: 20, ..one_hall() }).await;
    let address = first_address(&deployment);
    let send = |i: usize, non_repeatable: bool| {
        let caller = Caller::new("large-1");
        let caller = if non_repeatable { caller.non_repeatable() } else { caller };
        actix_rt::spawn(
            async move { caller.complete(address, &format!("engine dies {non_repeatable} {i}"), 200).await },
        )
    };
    let repeatable: Vec<_> = (0..6).map(|i| send(i, false)).collect();
    let non_repeatable: Vec<_> = (0..6).map(|i| send(i, true)).collect();
    let engines = deployment.engines.clone();
    assert!(wait_until(|| engines.iter().all(|(_, e)| e.tokens() > 40)).await, "both engines are generating");
    engines[0].1.crash();
    for (i, task) in repeatable.into_iter().enumerate() {
        let reply = task.await.expect("the task did not panic");
        let prompt = format!("engine dies false {i}");
        assert!(is_complete(&reply, &prompt, 200), "{prompt}: {:?} {}", reply.outcome, reply.text.len());
    }
    let mut failed = 0;
    for (i, task) in non_repeatable.into_iter().enumerate() {
        let reply = task.await.expect("the task did not panic");
        let prompt = format!("engine dies true {i}");
        assert_eq!(starts(&deployment, &prompt), 1, "{prompt}");
        if !is_complete(&reply, &prompt, 200) {
            assert_eq!(reply.outcome, Outcome::Interrupted, "an interrupted stream must not look complete");
            failed += 1;
        }
    }
    assert!(failed > 0, "at least one request ran on the crashed engine");
    engines[0].1.restart();
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    let replies = run_requests(&deployment, 30, 20, "after the crash").await;
    assert!(replies.iter().all(|(prompt, reply)| is_complete(reply, prompt, 20)));
    assert!(regains_its_share(&deployment, &engines[0].1).await, "a restarted engine gets no requests");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn slow_engine_loses_its_share_and_regains_it() {
    let deployment = start(DeploymentSpec { report_lag_ms: 2_000, ..one_hall() }).await;
    let slow = deployment.engines[0].1.clone();
    run_requests(&deployment, 30, 20, "warm").await;
    slow.set_slowness_percent(1_000);
    run_requests(&deployment, 40, 20, "slow").await;
    let before: u32 = (0..40).map(|i| slow.runs_of(&format!("slow {i}")).starts).sum();
    let replies = run_requests(&deployment, 40, 20, "avoided").await;
    assert!(replies.iter().all(|(prompt, reply)| is_complete(reply, prompt, 20)));
    let hotline = (0..40).filter(|i| i % 3 == 0);
    let urgent: u32 = hotline.map(|i| slow.runs_of(&format!("avoided {i}")).starts).sum();
    assert!(urgent <= 2, "{urgent} hotline requests went to an engine ten times too slow (before: {before})");
    slow.set_slowness_percent(100);
    assert!(regains_its_share(&deployment, &slow).await, "a recovered engine gets no requests");
    assert_eq!(deployment.invariant_violations().await, 0);
}

/// Sends urgent requests until one in four of them goes to `engine`, which is one of two.
async fn regains_its_share(deployment: &Deployment, engine: &lab::Engine) -> bool {
    let started = Instant::now();
    let caller = Caller::new("large-1").class("hotline");
    let mut round = 0;
    while started.elapsed() < EVENT_TIMEOUT {
        round += 1;
        let prompts: Vec<String> = (0..16).map(|i| format!("well again {round} {i}")).collect();
        let tasks = prompts.iter().enumerate().map(|(i, prompt)| {
            let (caller, address, prompt) = (caller.clone(), deployment.caller_addresses()[i % 3], prompt.clone());
            actix_rt::spawn(async move { caller.complete(address, &prompt, 20).await })
        });
        for task in tasks.collect::<Vec<_>>() {
            let reply = task.await.expect("the task did not panic");
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
async fn same_request_key_at_two_boxes_runs_once() {
    let deployment = start(one_hall()).await;
    let addresses = deployment.caller_addresses();
    for i in 0..25 {
        let key = uuid::Uuid::now_v7().to_string();
        let deliver = |address| {
            let caller = Caller::new("large-1").class("hotline").non_repeatable().key(&key);
            actix_rt::spawn(async move { caller.complete(address, &format!("twice {i}"), 10).await })
        };
        let both = [deliver(addresses[i % 3]), deliver(addresses[(i + 1) % 3])];
        let mut whole = 0;
        for task in both {
            let reply = task.await.expect("the task did not panic");
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
        let repeated = Caller::new("large-1")
            .class("hotline")
            .non_repeatable()
            .key(&key)
            .complete(addresses[(i + 2) % 3], "late", 5)
            .await;
        if whole == 1 {
            assert_eq!(refusal(&repeated).1, "request_key_used");
        }
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
}

#[actix_rt::test]
async fn non_repeatable_plain_call_is_sent_at_most_once() {
    let deployment = start(one_hall()).await;
    let address = first_address(&deployment);
    let plain = deployment.plain_services[0].2.clone();
    plain.set_delay_ms(400);
    let caller = Caller::new("large-1").class("lookup");
    let calls: Vec<_> = (0..5)
        .map(|i| {
            let caller = caller.clone();
            actix_rt::spawn(
                async move { caller.request(address, "POST", "/services/registry/pay", &format!("{i}")).await },
            )
        })
        .collect();
    assert!(wait_until(|| plain.total_runs() == 5).await, "all requests started");
    plain.crash();
    for (i, task) in calls.into_iter().enumerate() {
        let reply = task.await.expect("the task did not panic");
        assert_eq!(refusal(&reply), (502, "upstream_failed".into(), "unknown".into()));
        assert_eq!(plain.runs("/pay", &i.to_string()), 1);
    }
    let reply = caller.request(address, "POST", "/services/registry/pay", "unreached").await;
    let (status, _, ran) = refusal(&reply);
    assert_eq!((status, ran.as_str()), (503, "no"), "no connection was made, so it did not run");
    plain.restart();
    assert_eq!(plain.runs("/pay", "unreached"), 0);
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
}

#[actix_rt::test]
async fn urgent_burst_is_served_and_reviews_still_complete() {
    let deployment = start(DeploymentSpec { slots: 4, ..one_hall() }).await;
    let addresses = deployment.caller_addresses();
    let mut reviews = Vec::new();
    for i in 0..16usize {
        let (addresses, caller) = (addresses.clone(), Caller::new("large-2").class("review"));
        reviews.push(actix_rt::spawn(async move {
            (i, complete_with_retries(&caller, &addresses, &format!("review {i}"), 100).await)
        }));
    }
    let mut urgent = Vec::new();
    for i in 0..150usize {
        let (address, caller) = (addresses[i % 3], Caller::new("large-1").class("hotline"));
        let started = Instant::now();
        urgent.push(actix_rt::spawn(async move {
            (caller.complete(address, &format!("burst {i}"), 40).await, started.elapsed())
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut refused = 0;
    for task in urgent {
        let (reply, took) = task.await.expect("the task did not panic");
        if let Outcome::Refused { code, ran, retry_ms, .. } = &reply.outcome {
            assert_eq!((code.as_str(), ran.as_str()), ("overloaded", "no"));
            assert!(retry_ms.is_some_and(|ms| ms > 0), "the refusal has a retry delay");
            assert!(took < Duration::from_secs(10));
            refused += 1;
        }
    }
    for task in reviews {
        let (i, reply) = task.await.expect("the task did not panic");
        assert!(is_complete(&reply, &format!("review {i}"), 100), "review {i}: {:?}", reply.outcome);
    }
    assert!(refused > 0, "the burst was beyond capacity");
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    assert_eq!(deployment.invariant_violations().await, 0);
}

#[actix_rt::test]
async fn peer_without_the_link_key_is_rejected() {
    let deployment = start(one_hall()).await;
    let name = deployment.running_boxes()[0].clone();
    let address = deployment.boxes[&name].peer.address;
    let key = wire::Key::new("not-the-key-of-this-deployment");
    let link = wire::Link::<cleatshelf::Envelope>::open(&key, "intruder", &name, address, Box::new(|| {}));
    let change =
        fleet::Change::Box { id: catalog::BoxId::of(&name), state: fleet::State::Dead, incarnation: 9, peer: None };
    let ping = fleet::Message::Ping { number: 1, order: None, changes: vec![change] };
    link.send(&cleatshelf::Envelope::Fleet(ping));
    assert!(wait_until(|| deployment.log(&name).contains("E305 PeerUnproved from=intruder")).await);
    let status = deployment.status(&name).await.expect("the box answers");
    assert!(status.peers.iter().all(|p| p.name != "intruder"));
    // Invalid bytes on the port have no effect either.
    let mut socket = tokio::net::TcpStream::connect(address).await.expect("a connection");
    tokio::io::AsyncWriteExt::write_all(&mut socket, &[0xff; 4_000]).await.expect("sent");
    let replies = run_requests(&deployment, 12, 10, "after rubbish").await;
    assert!(replies.iter().all(|(prompt, reply)| is_complete(reply, prompt, 10)));
}
