//! What an owner does with asks of other halls.

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

fn ask(id: u64, class: &str, remote: bool) -> SlotRequest {
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

fn told(decisions: &[Decision], is: impl Fn(&Message) -> bool) -> usize {
    decisions.iter().filter(|d| matches!(d, Decision::Send(_, message) if is(message))).count()
}

fn refused(message: &Message) -> bool {
    matches!(message, Message::Refuse(..))
}

fn recalled(message: &Message) -> bool {
    matches!(message, Message::Recall(..))
}

/// A hall whose slots are all taken by its own reviews, which have had more than their floor for a while.
fn full_of_reviews(now: &mut Time) -> Shard {
    let mut shard = shard();
    for id in 0..SLOTS {
        shard.request_slot(NEAR, ask(id, "review", false), *now);
    }
    assert_eq!(shard.lease_count() as u64, SLOTS);
    for _ in 0..100 {
        *now = now.after(20);
        shard.tick(*now);
    }
    shard
}

#[test]
fn another_halls_urgent_ask_is_not_refused_because_of_reviews() {
    let mut now = Time(10_000);
    let mut shard = full_of_reviews(&mut now);
    let said = shard.request_slot(FAR, ask(100, "hotline", true), now);
    assert_eq!(told(&said, refused), 0, "{said:?}");
    assert_eq!(told(&said, recalled), 1, "{said:?}");
}

#[test]
fn another_halls_urgent_asks_get_half_of_the_slots_at_the_most() {
    let now = Time(10_000);
    let mut shard = shard();
    let refusals: usize =
        (0..SLOTS).map(|id| told(&shard.request_slot(FAR, ask(id, "hotline", true), now), refused)).sum();
    assert_eq!((shard.lease_count() as u64, refusals as u64), (SLOTS / 2, SLOTS / 2));
}

#[test]
fn another_halls_reviews_never_wait_and_never_recall() {
    let mut now = Time(10_000);
    let mut shard = full_of_reviews(&mut now);
    let said = shard.request_slot(FAR, ask(100, "review", true), now);
    assert_eq!((told(&said, refused), told(&said, recalled)), (1, 0), "{said:?}");
}
