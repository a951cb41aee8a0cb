//! Leases between two boxes: their expiry, adoption and renewal.

use catalog::{BoxId, Catalog, ClassId, CustomerId, ShardId};
use policy::{Acquire, Action, Broker, Cause, Layout, Message, SchedulingMode, Time, LEASE_TTL_MS};
use std::collections::BTreeMap;
use std::rc::Rc;

const CLASSES: &str = "key_salt='s'\n[[class]]\nname='hotline'\nrank=0\nurgent=true\nfirst_token_ms=5000\n";
const UPSTREAMS: &str = "[[upstream]]\nname='s1'\nhall='h'\nmodel='m'\naddress='127.0.0.1:1'\nslots=2\nresume=true\n";

fn layout() -> Rc<Layout> {
    let catalog = Catalog::parse(&[("classes", CLASSES), ("upstreams", UPSTREAMS)]).expect("a good release");
    Rc::new(Layout::from_catalog(&catalog))
}

fn view(ids: &[BoxId]) -> BTreeMap<String, Vec<BoxId>> {
    BTreeMap::from([("h".to_owned(), ids.to_vec())])
}

fn acquire(now: Time) -> Acquire {
    Acquire {
        serves: "m".into(),
        class: ClassId::of("hotline"),
        customer: CustomerId(1),
        tokens: 10,
        prefix: 0,
        resumable: false,
        arrived: now,
        cause: Cause::First,
        avoid: None,
    }
}

fn shard_of(layout: &Layout) -> ShardId {
    *layout.shards.keys().next().expect("one shard")
}

/// Returns two boxes, the first of which owns the shard when both are alive.
fn boxes(layout: &Layout) -> (BoxId, BoxId) {
    let (a, b) = (BoxId::of("a"), BoxId::of("b"));
    let owner = policy::owner(u64::from(shard_of(layout).0), &[a, b]).expect("an owner");
    if owner == a {
        (a, b)
    } else {
        (b, a)
    }
}

/// Returns a box that would be the owner if it were alive.
fn preferred_third_box(layout: &Layout, a: BoxId, b: BoxId) -> BoxId {
    let shard = u64::from(shard_of(layout).0);
    let mut ids = (0..).map(|i| BoxId::of(&format!("c{i}")));
    ids.find(|id| policy::owner(shard, &[a, b, *id]) == Some(*id)).expect("one of them")
}

fn broker(id: BoxId, layout: &Rc<Layout>, now: Time) -> Broker {
    let mut broker = Broker::new(id, "h", SchedulingMode::Owner, 0, now);
    broker.set_layout(Rc::clone(layout), now);
    broker
}

fn sent_to(actions: &[Action], to: BoxId) -> Vec<Message> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send(id, message) if *id == to => Some(message.clone()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn a_repeated_grant_does_not_extend_the_lease() {
    let layout = layout();
    let (owner_id, lessee_id) = boxes(&layout);
    let mut now = Time(10_000);
    let mut owner = broker(owner_id, &layout, now);
    let mut lessee = broker(lessee_id, &layout, now);
    owner.set_boxes(view(&[owner_id, lessee_id]), Vec::new(), now);
    owner.receive(lessee_id, Message::Holding(shard_of(&layout), Vec::new()), now);
    owner.receive(owner_id, Message::Holding(shard_of(&layout), Vec::new()), now);
    lessee.set_boxes(view(&[owner_id, lessee_id]), Vec::new(), now);

    let (_, actions) = lessee.acquire(acquire(now), now);
    let request = sent_to(&actions, owner_id).remove(0);
    // The grant is lost, and so is the cancellation that is sent when the lessee's view names another owner
    // for a while.
    let granted_at = now;
    owner.receive(lessee_id, request, now);
    now = now.after(30);
    let elsewhere = preferred_third_box(&layout, owner_id, lessee_id);
    lessee.set_boxes(view(&[owner_id, lessee_id, elsewhere]), Vec::new(), now);
    now = now.after(60);
    let requests = sent_to(&lessee.set_boxes(view(&[owner_id, lessee_id]), Vec::new(), now), owner_id);
    let mut expiries = Vec::new();
    for request in requests {
        for grant in sent_to(&owner.receive(lessee_id, request, now), lessee_id) {
            for action in lessee.receive(owner_id, grant, now) {
                if let Action::Granted { expires, .. } = action {
                    expiries.push(expires);
                }
            }
        }
    }
    assert!(!expiries.is_empty(), "the owner repeats the grant");
    for expires in expiries {
        assert!(expires <= granted_at.after(LEASE_TTL_MS), "{expires:?} is later than the end of the lease");
    }
}

#[test]
fn an_adopted_lease_removes_its_request_from_the_queue() {
    let layout = layout();
    let (owner_id, lessee_id) = boxes(&layout);
    let shard = shard_of(&layout);
    let now = Time(10_000);
    let mut owner = broker(owner_id, &layout, now);
    owner.set_boxes(view(&[owner_id, lessee_id]), Vec::new(), now);
    // While the owner recovers, a request waits. Its lessee got a slot elsewhere, and the cancellation is
    // lost.
    let request = policy::SlotRequest {
        id: 7,
        class: ClassId::of("hotline"),
        customer: CustomerId(1),
        tokens: 10,
        prefix: 0,
        age_ms: 0,
        resumable: false,
        begun: false,
        remote: false,
        avoid: None,
    };
    owner.receive(lessee_id, Message::RequestSlot(shard, request), now);
    let held = policy::LeaseInfo {
        id: 7,
        server: catalog::ServerId::of("s1"),
        class: ClassId::of("hotline"),
        customer: CustomerId(1),
        resumable: false,
    };
    let mut actions = owner.receive(lessee_id, Message::Holding(shard, vec![held]), now);
    actions.extend(owner.tick(now.after(400)));
    let violations: Vec<&Action> =
        actions.iter().filter(|a| matches!(a, Action::Log(event, _) if event.number() >= 900)).collect();
    assert!(violations.is_empty(), "{violations:?}");
    assert_eq!(owner.owned_shards().map(policy::Shard::lease_count).sum::<usize>(), 1);
}

#[test]
fn a_grant_in_transit_does_not_cause_a_recovery() {
    let (layout, now) = (layout(), Time(10_000));
    let (owner_id, lessee_id) = boxes(&layout);
    let (mut owner, mut lessee) = (broker(owner_id, &layout, now), broker(lessee_id, &layout, now));
    let both = view(&[owner_id, lessee_id]);
    let mut messages = sent_to(&owner.set_boxes(both.clone(), Vec::new(), now), lessee_id);
    lessee.set_boxes(both, Vec::new(), now);
    // The lists of leases for the recovery.
    let answers: Vec<Message> =
        messages.drain(..).flat_map(|m| sent_to(&lessee.receive(owner_id, m, now), owner_id)).collect();
    answers.into_iter().for_each(|m| drop(owner.receive(lessee_id, m, now)));
    let request_grant = |owner: &mut Broker, lessee: &mut Broker, now| {
        let (_, actions) = lessee.acquire(acquire(now), now);
        let requests = sent_to(&actions, owner_id);
        requests.into_iter().flat_map(|m| sent_to(&owner.receive(lessee_id, m, now), lessee_id)).collect::<Vec<_>>()
    };
    for grant in request_grant(&mut owner, &mut lessee, now) {
        lessee.receive(owner_id, grant, now);
    }
    assert_eq!(lessee.lease_count(), 1);
    // The second grant is in transit while the lessee renews the leases that it knows of.
    for ms in [300, 600, 900] {
        lessee.tick(now.after(ms));
        owner.tick(now.after(ms));
    }
    let in_transit = request_grant(&mut owner, &mut lessee, now.after(990));
    assert!(matches!(in_transit[..], [Message::Grant { .. }]), "{in_transit:?}");
    let later = now.after(1_000);
    let renewals = sent_to(&lessee.tick(later), owner_id);
    assert!(renewals.iter().any(|m| matches!(m, Message::Renew { count: 1, .. })), "{renewals:?}");
    for renewal in renewals {
        let replies = sent_to(&owner.receive(lessee_id, renewal, later), lessee_id);
        assert!(!replies.iter().any(|m| matches!(m, Message::Recover(_))), "{replies:?}");
    }
}
