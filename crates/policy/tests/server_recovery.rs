//! A server that failed or slowed down regains its share gradually, and is not left without it forever.

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
    let upstreams = format!("{}{}", upstream("good"), upstream("slow"));
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
fn an_ejected_server_returns_with_one_slot_and_grows_by_half_a_slot_per_answer() {
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
        let change = server.record_report(&report(10, false), now);
        assert_eq!(server.capacity(now), 1 + answers / 2, "after {answers} good answers");
        let restored = server.capacity(now) >= SLOTS / 2;
        assert_eq!(
            change.is_some(),
            restored && server.capacity(now) == SLOTS / 2 && answers % 2 == 0,
            "{answers}: {change:?}"
        );
    }
    assert!(!server.is_ejected());
}

#[test]
fn a_failed_probe_doubles_the_ejection() {
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

/// Applies urgent requests only, slightly below what one server can handle. Returns the number granted on the
/// slow server.
fn urgent_load(shard: &mut Shard, now: &mut Time, seconds: u64, slow_gap_ms: u32, next_id: &mut u64) -> u32 {
    const STEP_MS: u64 = 20;
    let slow = ServerId::of("slow");
    let mut running: Vec<(Time, u64, u32)> = Vec::new();
    let mut granted_slow = 0;
    for step in 0..seconds * 1_000 / STEP_MS {
        *now = now.after(STEP_MS);
        let mut decisions = shard.tick(*now);
        if step % 4 == 0 {
            *next_id += 1;
            let request = SlotRequest {
                id: *next_id,
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
            decisions.extend(shard.request_slot(ME, request, *now));
        }
        let (finished, remaining): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _, _)| *at <= *now);
        running = remaining;
        for (_, id, between_ms) in finished {
            decisions.extend(shard.return_lease(ME, &LeaseReturn { id, report: report(between_ms, false) }, *now));
        }
        for decision in decisions {
            let Decision::Send(_, Message::Grant { id, server, .. }) = decision else { continue };
            let between = if server == slow { slow_gap_ms } else { 15 };
            granted_slow += u32::from(server == slow);
            running.push((now.after(20 + 20 * u64::from(between)), id, between));
        }
    }
    for (_, id, between_ms) in running {
        shard.return_lease(ME, &LeaseReturn { id, report: report(between_ms, false) }, *now);
    }
    granted_slow
}

#[test]
fn a_slow_server_is_probed_and_regains_its_share() {
    let (mut shard, mut now, mut next_id) = (shard(), Time(10_000), 0);
    let healthy = urgent_load(&mut shard, &mut now, 10, 10, &mut next_id);
    assert!(healthy > 50, "{healthy} while it was fast");
    urgent_load(&mut shard, &mut now, 10, 100, &mut next_id);
    let probes = urgent_load(&mut shard, &mut now, 60, 100, &mut next_id);
    assert!((1..=8).contains(&probes), "{probes} urgent requests in a minute were spent on probes");
    urgent_load(&mut shard, &mut now, 60, 10, &mut next_id);
    let recovered = urgent_load(&mut shard, &mut now, 10, 10, &mut next_id);
    assert!(recovered > 50, "{recovered} once it was fast again");
}
