//! A server that failed or slowed gets its share back, but slowly and not for ever without it.

use catalog::{BoxId, Catalog, ClassId, CustomerId, ServerId};
use policy::{
    Decision, HealthChange, Layout, LeaseReturn, Message, Report, Scheduler, Server, Shard, SlotRequest, Time,
};
use std::rc::Rc;

const SLOTS: u32 = 8;
const CLASSES: &str =
    "key_salt='s'\n[[class]]\nname='hotline'\nrank=0\nurgent=true\nfirst_token_ms=560\nbetween_tokens_ms=45\n";
const ME: BoxId = BoxId(1);

fn layout() -> Rc<Layout> {
    let upstream = |name: &str| {
        format!("[[upstream]]\nname='{name}'\nhall='h'\nmodel='m'\naddress='127.0.0.1:1'\nslots={SLOTS}\nresume=true\n")
    };
    let upstreams = format!("{}{}", upstream("good"), upstream("ill"));
    let catalog = Catalog::parse(&[("classes", CLASSES), ("upstreams", &upstreams)]).expect("a good release");
    Rc::new(Layout::from_catalog(&catalog))
}

fn shard() -> Shard {
    let layout = layout();
    let spec = layout.shards.values().next().expect("one shard").clone();
    Shard::new(&spec, layout)
}

fn report(between_ms: u32, failed: bool) -> Report {
    Report { tokens: 20, first_ms: 20, between_tenths: 10 * between_ms, failed, unused: false }
}

#[test]
fn an_ejected_server_returns_with_one_slot_and_grows_by_half_a_slot_an_answer() {
    let mut now = Time(10_000);
    let mut server: Server = shard().servers[0].clone();
    for _ in 0..2 {
        assert_eq!(server.record_report(&report(10, true), now), None);
    }
    assert_eq!(server.record_report(&report(10, true), now), Some(HealthChange::Ejected));
    assert_eq!((server.free_slots(now), server.capacity(now)), (0, 0), "no work at first");
    now = now.after(1_000);
    assert_eq!(server.free_slots(now), 1, "one probe");
    for answers in 1..SLOTS {
        let said = server.record_report(&report(10, false), now);
        assert_eq!(server.capacity(now), 1 + answers / 2, "after {answers} good answers");
        let back = server.capacity(now) >= SLOTS / 2;
        assert_eq!(
            said.is_some(),
            back && server.capacity(now) == SLOTS / 2 && answers % 2 == 0,
            "{answers}: {said:?}"
        );
    }
    assert!(!server.is_ejected());
}

#[test]
fn a_probe_that_fails_again_doubles_the_time_without_work() {
    let mut now = Time(10_000);
    let mut server: Server = shard().servers[0].clone();
    (0..3).for_each(|_| {
        server.record_report(&report(10, true), now);
    });
    for expected in [1_000, 2_000, 4_000] {
        assert_eq!(server.free_slots(now.after(expected - 1)), 0);
        now = now.after(expected);
        assert_eq!(server.free_slots(now), 1);
        server.record_report(&report(10, true), now);
    }
}

/// Urgent requests only, a little below what one server bears; counts those that the ill server got.
fn urgent_load(shard: &mut Shard, now: &mut Time, seconds: u64, ill_ms: u32, next: &mut u64) -> u32 {
    const STEP_MS: u64 = 20;
    let ill = ServerId::of("ill");
    let mut running: Vec<(Time, u64, u32)> = Vec::new();
    let mut granted_ill = 0;
    for step in 0..seconds * 1_000 / STEP_MS {
        *now = now.after(STEP_MS);
        let mut said = shard.tick(*now);
        if step % 4 == 0 {
            *next += 1;
            let ask = SlotRequest {
                id: *next,
                class: ClassId::of("hotline"),
                customer: CustomerId(1),
                tokens: 20,
                prefix: 0,
                age_ms: 0,
                resumable: false,
                begun: false,
                remote: false,
                avoid: None,
            };
            said.extend(shard.request_slot(ME, ask, *now));
        }
        let (over, going): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _, _)| *at <= *now);
        running = going;
        for (_, id, between_ms) in over {
            said.extend(shard.return_lease(ME, &LeaseReturn { id, report: report(between_ms, false) }, *now));
        }
        for decision in said {
            let Decision::Send(_, Message::Grant { id, server, .. }) = decision else { continue };
            let between = if server == ill { ill_ms } else { 15 };
            granted_ill += u32::from(server == ill);
            running.push((now.after(20 + 20 * u64::from(between)), id, between));
        }
    }
    for (_, id, between_ms) in running {
        shard.return_lease(ME, &LeaseReturn { id, report: report(between_ms, false) }, *now);
    }
    granted_ill
}

#[test]
fn a_slow_server_is_tried_now_and_then_and_gets_its_share_back() {
    let (mut shard, mut now, mut next) = (shard(), Time(10_000), 0);
    let well = urgent_load(&mut shard, &mut now, 10, 10, &mut next);
    assert!(well > 50, "{well} while it was well");
    urgent_load(&mut shard, &mut now, 10, 100, &mut next);
    let tried = urgent_load(&mut shard, &mut now, 60, 100, &mut next);
    assert!((1..=8).contains(&tried), "{tried} urgent requests in a minute were spent on trying it");
    urgent_load(&mut shard, &mut now, 60, 10, &mut next);
    let again = urgent_load(&mut shard, &mut now, 10, 10, &mut next);
    assert!(again > 50, "{again} once it was well again");
}
