//! Requests from other halls at an owner.

use catalog::{BoxId, Catalog, ClassId, CustomerId};
use policy::{Decision, Layout, Message, Scheduler, Shard, SlotRequest, Time};
use std::rc::Rc;

const SLOTS: u64 = 8;
const CLASSES: &str = "key_salt='s'
[[class]]\nname='hotline'\nrank=0\nurgent=true\nfirst_token_ms=500
[[class]]\nname='review'\nrank=3\nfirst_token_ms=60000\npreemptible=true\nfloor=0.125\n";
const UPSTREAMS: &str = "[[upstream]]\nname='s1'\nhall='h'\nmodel='m'\naddress='127.0.0.1:1'\nslots=8\nresume=true\n";

const NEAR: BoxId = BoxId(1);
const FAR: BoxId = BoxId(2);

fn shard() -> Shard {
    let catalog = Catalog::parse(&[("classes", CLASSES), ("upstreams", UPSTREAMS)]).expect("a good release");
    let layout = Rc::new(Layout::from_catalog(&catalog));
    let spec = layout.shards.values().next().expect("one shard").clone();
    Shard::new(&spec, layout)
}

fn request(id: u64, class: &str, remote: bool) -> SlotRequest {
    SlotRequest {
        id,
        class: ClassId::of(class),
        customer: CustomerId(1),
        tokens: 10,
        prefix: 0,
        age_ms: 1,
        resumable: true,
        begun: false,
        remote,
        avoid: None,
    }
}

fn count(decisions: &[Decision], matches: impl Fn(&Message) -> bool) -> usize {
    decisions.iter().filter(|d| matches!(d, Decision::Send(_, message) if matches(message))).count()
}

fn refused(message: &Message) -> bool {
    matches!(message, Message::Refuse(..))
}

fn recalled(message: &Message) -> bool {
    matches!(message, Message::Recall(..))
}

/// Returns a shard whose slots are all used by its own reviews, which have had more than their floor for a
/// while.
fn full_of_reviews(now: &mut Time) -> Shard {
    let mut shard = shard();
    for id in 0..SLOTS {
        shard.request_slot(NEAR, request(id, "review", false), *now);
    }
    assert_eq!(shard.lease_count() as u64, SLOTS);
    for _ in 0..100 {
        *now = now.after(20);
        shard.tick(*now);
    }
    shard
}

#[test]
fn a_remote_urgent_request_is_not_refused_in_favour_of_reviews() {
    let mut now = Time(10_000);
    let mut shard = full_of_reviews(&mut now);
    let decisions = shard.request_slot(FAR, request(100, "hotline", true), now);
    assert_eq!(count(&decisions, refused), 0, "{decisions:?}");
    assert_eq!(count(&decisions, recalled), 1, "{decisions:?}");
}

#[test]
fn remote_urgent_requests_get_at_most_half_of_the_slots() {
    let now = Time(10_000);
    let mut shard = shard();
    let refusals: usize =
        (0..SLOTS).map(|id| count(&shard.request_slot(FAR, request(id, "hotline", true), now), refused)).sum();
    assert_eq!((shard.lease_count() as u64, refusals as u64), (SLOTS / 2, SLOTS / 2));
}

#[test]
fn remote_reviews_neither_wait_nor_cause_recalls() {
    let mut now = Time(10_000);
    let mut shard = full_of_reviews(&mut now);
    let decisions = shard.request_slot(FAR, request(100, "review", true), now);
    assert_eq!((count(&decisions, refused), count(&decisions, recalled)), (1, 0), "{decisions:?}");
}
