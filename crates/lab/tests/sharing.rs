//! Sharing between boxes and halls: customers' limits, and servers of another hall.

mod common;

use common::*;
use lab::{Caller, DeploymentSpec, Outcome};
use std::time::Duration;

#[actix_rt::test]
async fn a_customers_limit_holds_across_the_boxes_of_a_hall() {
    let deployment = start(DeploymentSpec { token_ms: 50, ..small() }).await;
    let doors = deployment.caller_addresses();
    // The customer may have six concurrent requests; all six go through the first box.
    let running: Vec<_> = (0..6)
        .map(|i| {
            let door = doors[0];
            actix_rt::spawn(async move { Caller::new("limited").complete(door, &format!("limited {i}"), 400).await })
        })
        .collect();
    let engines = deployment.engines.clone();
    assert!(until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 6).await, "all six run");
    // The other boxes receive this usage within two seconds.
    let mut refused = None;
    for turn in 0..200 {
        let reply = Caller::new("limited").complete(doors[1 + turn % 2], "one more", 1).await;
        if reply.outcome != Outcome::Complete {
            refused = Some(reply);
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let refused = refused.expect("the limit is known at another box");
    assert_eq!(code_of(&refused), (429, "customer_limit".into(), "no".into()));
    let other = Caller::new("small-1").complete(doors[1], "another customer", 1).await;
    assert_eq!(other.outcome, Outcome::Complete, "another customer isn't held back");
    for (i, task) in running.into_iter().enumerate() {
        assert!(is_whole(&task.await.expect("no panic"), &format!("limited {i}"), 400));
    }
    assert!(at_rest(&deployment).await, "something leaked");
    let reply = persist(&Caller::new("limited"), &doors, "after that", 1).await;
    assert!(is_whole(&reply, "after that", 1), "the limit is free again: {:?}", reply.outcome);
}

#[actix_rt::test]
async fn a_hall_without_the_pool_uses_another_halls_and_says_so_when_cut_off() {
    let halls = vec![("hall-lansing".into(), 2, 2, 0), ("hall-toledo".into(), 2, 0, 1)];
    let deployment = start(DeploymentSpec { halls, with_relays: true, ..small() }).await;
    let toledo = deployment.boxes.iter().find(|(n, _)| n.contains("toledo")).expect("a box of toledo").1.callers;
    for i in 0..6 {
        let prompt = format!("from toledo {i}");
        let reply = persist(&Caller::new("large-1").class("review"), &[toledo], &prompt, 10).await;
        assert!(is_whole(&reply, &prompt, 10), "{prompt}: {:?}", reply.outcome);
    }
    deployment.set_relays_between("hall-lansing", "hall-toledo", lab::RelayMode::Cut);
    let mut reply = Caller::new("large-1").complete(toledo, "cut off", 10).await;
    for _ in 0..200 {
        if reply.outcome != Outcome::Complete {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        reply = Caller::new("large-1").complete(toledo, "cut off", 10).await;
    }
    let Outcome::Refused { ran, retry_ms, .. } = &reply.outcome else { panic!("{:?}", reply.outcome) };
    assert_eq!(ran, "no");
    assert!(retry_ms.is_some(), "it is told when to come back");
    deployment.set_relays_between("hall-lansing", "hall-toledo", lab::RelayMode::Pass(0));
    let reply = persist(&Caller::new("large-1"), &[toledo], "healed", 10).await;
    assert!(is_whole(&reply, "healed", 10), "{:?}", reply.outcome);
    assert!(at_rest(&deployment).await, "something leaked");
}
