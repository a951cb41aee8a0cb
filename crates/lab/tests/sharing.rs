//! Sharing between boxes and halls: customers' limits, and servers of another hall.

mod common;

use common::*;
use lab::{Caller, DeploymentSpec, Outcome};
use std::time::Duration;

#[actix_rt::test]
async fn customer_limit_applies_across_the_boxes_of_a_hall() {
    let deployment = start(DeploymentSpec { token_ms: 50, ..one_hall() }).await;
    let addresses = deployment.caller_addresses();
    // The customer may have six concurrent requests; all six go through the first box.
    let running: Vec<_> = (0..6)
        .map(|i| {
            let address = addresses[0];
            actix_rt::spawn(async move { Caller::new("limited").complete(address, &format!("limited {i}"), 400).await })
        })
        .collect();
    let engines = deployment.engines.clone();
    assert!(wait_until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 6).await, "all six run");
    // The other boxes receive this usage within two seconds.
    let mut refused = None;
    for attempt in 0..200 {
        let reply = Caller::new("limited").complete(addresses[1 + attempt % 2], "one more", 1).await;
        if reply.outcome != Outcome::Complete {
            refused = Some(reply);
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let refused = refused.expect("another box enforces the limit");
    assert_eq!(refusal(&refused), (429, "customer_limit".into(), "no".into()));
    let other = Caller::new("small-1").complete(addresses[1], "another customer", 1).await;
    assert_eq!(other.outcome, Outcome::Complete, "another customer is not limited");
    for (i, task) in running.into_iter().enumerate() {
        assert!(is_complete(&task.await.expect("the task did not panic"), &format!("limited {i}"), 400));
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    let reply = complete_with_retries(&Caller::new("limited"), &addresses, "after that", 1).await;
    assert!(is_complete(&reply, "after that", 1), "the limit is released again: {:?}", reply.outcome);
}

#[actix_rt::test]
async fn hall_without_servers_uses_another_hall_and_refuses_when_disconnected() {
    let halls = vec![("hall-lansing".into(), 2, 2, 0), ("hall-toledo".into(), 2, 0, 1)];
    let deployment = start(DeploymentSpec { halls, with_relays: true, ..one_hall() }).await;
    let toledo = deployment.boxes.iter().find(|(n, _)| n.contains("toledo")).expect("a box of toledo").1.caller_address;
    for i in 0..6 {
        let prompt = format!("from toledo {i}");
        let reply = complete_with_retries(&Caller::new("large-1").class("review"), &[toledo], &prompt, 10).await;
        assert!(is_complete(&reply, &prompt, 10), "{prompt}: {:?}", reply.outcome);
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
    assert!(retry_ms.is_some(), "the refusal has a retry delay");
    deployment.set_relays_between("hall-lansing", "hall-toledo", lab::RelayMode::Pass(0));
    let reply = complete_with_retries(&Caller::new("large-1"), &[toledo], "healed", 10).await;
    assert!(is_complete(&reply, "healed", 10), "{:?}", reply.outcome);
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
}
