//! The choice of a pool's shard by each box.

use catalog::{BoxId, Catalog, ClassId, CustomerId, ShardId};
use policy::{Acquire, Action, Broker, Cause, Layout, Message, SchedulingMode, Time, SERVERS_PER_SHARD};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::rc::Rc;

const CLASSES: &str = "key_salt='s'\n[[class]]\nname='c'\nrank=0\nurgent=true\nfirst_token_ms=500\n";

/// A pool of several shards.
fn layout() -> Rc<Layout> {
    let mut upstreams = String::new();
    for i in 0..2 * SERVERS_PER_SHARD {
        // Writing to a String cannot fail.
        let _ = write!(
            upstreams,
            "[[upstream]]\nname='s{i}'\nhall='h'\nmodel='m'\naddress='127.0.0.1:1'\nslots=4\nresume=true\n"
        );
    }
    let catalog = Catalog::parse(&[("classes", CLASSES), ("upstreams", &upstreams)]).expect("a good release");
    Rc::new(Layout::from_catalog(&catalog))
}

/// Returns the shards that each of `count` boxes uses for ten requests.
fn shards_used(layout: &Rc<Layout>, count: usize) -> Vec<BTreeSet<ShardId>> {
    let now = Time(1_000);
    let mut ids: Vec<BoxId> = (0..count).map(|i| BoxId::of(&format!("b{i}"))).collect();
    ids.sort_unstable();
    // A leaving box, which owns nothing and never answers.
    let leaving_box = BoxId::of("elsewhere");
    let of_box = |me: &BoxId| {
        let mut broker = Broker::new(*me, "h", SchedulingMode::Owner, 0, now);
        broker.set_layout(Rc::clone(layout), now);
        broker.set_boxes(BTreeMap::from([("h".to_owned(), ids.clone())]), vec![leaving_box], now);
        let mut shards = BTreeSet::new();
        for _ in 0..10 {
            let acquire = Acquire {
                serves: "m".into(),
                class: ClassId::of("c"),
                customer: CustomerId(1),
                tokens: 10,
                prefix: 0,
                resumable: false,
                arrived: now,
                cause: Cause::First,
                avoid: None,
            };
            for action in broker.acquire(acquire, now).1 {
                match action {
                    Action::Send(_, Message::RequestSlot(shard, _)) | Action::Granted { shard, .. } => {
                        shards.insert(shard);
                    }
                    _ => {}
                }
            }
        }
        shards
    };
    ids.iter().map(of_box).collect()
}

#[test]
fn many_boxes_keep_to_one_shard_each_and_few_use_all() {
    let layout = layout();
    let shards = layout.shards.len();
    assert!(shards > 1, "the pool has several shards");
    let many = shards_used(&layout, 5 * shards);
    let mut boxes: BTreeMap<ShardId, usize> = BTreeMap::new();
    for one in &many {
        // An owner whose lessees have not answered yet grants nothing to itself, so it shows no request.
        assert!(one.len() <= 1, "{one:?}");
        one.iter().for_each(|shard| *boxes.entry(*shard).or_default() += 1);
    }
    assert_eq!(boxes.len(), shards, "every shard is used");
    assert!(boxes.values().all(|count| (4..=5).contains(count)), "spread evenly: {boxes:?}");
    let few = shards_used(&layout, 2);
    let used: BTreeSet<ShardId> = few.into_iter().flatten().collect();
    assert_eq!(used.len(), shards);
}
