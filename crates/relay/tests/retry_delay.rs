//! Refused callers are told to return one after another, when slots are expected to be free.

use dispatch::Promises;
use placement::{Fingerprint, Refusal};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use relay::{Cause, Queue, Returns, Turn};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const SERVICE: &str = "svc";

fn queue(waiting: usize, interval_ms: f64, left_ms: u64, draw: f64) -> Queue {
    Queue { waiting, interval_ms: Some(interval_ms), left: Duration::from_millis(left_ms), draw }
}

fn crowded_ms(wait_ms: f64, queue: &Queue) -> u128 {
    Cause::NotPlaced(Refusal::Overloaded { wait_ms }).delay(queue).as_millis()
}

/// Guards against a constant second on top of the forecast, and against callers that are told the same time.
#[test]
fn delay_is_the_forecast_wait_and_a_turn_after_those_refused_before() {
    assert_eq!(crowded_ms(700.0, &queue(0, 50.0, 30_000, 0.0)), 700);
    assert_eq!(crowded_ms(700.0, &queue(20, 50.0, 30_000, 0.5)), 1_725);
    assert_eq!(crowded_ms(0.0, &queue(0, 50.0, 30_000, 0.0)), 100, "a return within a round trip meets the same queue");
    let unknown = Queue { interval_ms: None, ..queue(2, 0.0, 30_000, 0.0) };
    assert_eq!(crowded_ms(700.0, &unknown), 2_100);
}

/// Guards against callers that give up although they could be served, and against callers that wait in vain.
#[test]
fn delay_is_cut_to_a_third_of_the_time_left_only_if_a_slot_is_expected_by_then() {
    assert_eq!(crowded_ms(900.0, &queue(1, 100.0, 3_000, 0.9)), 1_000);
    assert_eq!(crowded_ms(900.0, &queue(5, 100.0, 3_000, 0.0)), 1_400);
}

/// Guards against causes that operators can't tell apart, and against changed delays of causes other than taken slots.
#[test]
fn each_cause_has_its_word_and_its_delay() {
    let shed = [Refusal::Shed { retry_ms: 900 }, Refusal::CustomerShare { retry_ms: 100 }].map(Cause::NotPlaced);
    let cases = [
        (shed[0], "shed", 900, 1_800),
        (shed[1], "customer_share", 400, 800),
        (Cause::NotPlaced(Refusal::Cold), "cold", 600, 1_200),
        (Cause::NotPlaced(Refusal::Limited { retry_ms: 700 }), "limited", 700, 1_400),
        (Cause::NotPlaced(Refusal::BackingOff { retry_ms: 2_000 }), "back_off", 2_000, 2_400),
        (Cause::NotPlaced(Refusal::NoServer), "no_server", 400, 400),
        (Cause::NotTaken, "no_server", 400, 400),
        (Cause::Deadline, "deadline", 400, 400),
        (Cause::Early { retry_ms: 30 }, "early", 30, 30),
        (Cause::Quarantined { retry_ms: 7_000 }, "quarantined", 7_000, 7_000),
    ];
    for (cause, word, least, most) in cases {
        let delays = [0.0, 1.0].map(|draw| cause.delay(&queue(9, 50.0, 1_000, draw)).as_millis());
        assert_eq!((cause.as_str(), delays), (word, [least, most]));
    }
}

#[test]
fn a_caller_that_returns_early_loses_its_place_and_delays_nobody() {
    let mut returns = Returns::default();
    for number in 0..1_000 {
        returns.promise(SERVICE, 0, Fingerprint(number), 1_000);
    }
    assert_eq!(returns.queue(SERVICE, 0, Fingerprint(5_000), 10).0, 512, "promises are bounded");
    assert_eq!(returns.queue(SERVICE, 0, Fingerprint(999), 10).0, 511, "an early return ends its promise");
    assert_eq!(returns.queue(SERVICE, 1, Fingerprint(5_000), 10).0, 0, "each urgency has its own order");
    assert_eq!(returns.queue(SERVICE, 0, Fingerprint(5_000), 1_000).0, 0, "kept promises are over");
}

// ----------------------------------------------------------------------------
// A crowd in virtual time

const SLOTS: usize = 36;
const SERVICE_MS: f64 = 500.0;
/// Longest wait for a slot with which requests are admitted.
const TARGET_MS: f64 = 600.0;
const TIMEOUT_MS: u64 = 30_000;
const CROWD: std::ops::Range<u64> = 4_000..8_000;
/// Plays of a crowd over several boxes, which differ in the boxes that callers come to.
const PLAYS: u64 = 8;
/// Load outside of the crowd and in it, relative to what the slots serve.
const LOADS: [f64; 2] = [0.6, 3.0];

#[derive(Clone, Copy, Default)]
struct Caller {
    arrived: u64,
    /// Returns at once after its first refusal.
    early: bool,
    /// Time at which it was first told to return; 0 if it was not refused.
    told_at: u64,
    /// How much later it was told to return after it came back early.
    later_ms: f64,
    /// Time from its arrival until it was admitted.
    wait_ms: Option<u64>,
}

/// Means over the refused callers that return as told, or that return early.
struct Group {
    served: f64,
    wait_ms: f64,
    later_ms: f64,
}

impl Group {
    fn of(callers: &[Caller], early: bool) -> Self {
        let refused: Vec<&Caller> = callers.iter().filter(|c| c.told_at > 0 && c.early == early).collect();
        let mean =
            |value: &dyn Fn(&Caller) -> f64| refused.iter().map(|c| value(c)).sum::<f64>() / refused.len() as f64;
        let served = mean(&|c| f64::from(u8::from(c.wait_ms.is_some())));
        let wait_ms = mean(&|c| c.wait_ms.unwrap_or_default() as f64) / served;
        Self { served, wait_ms, later_ms: mean(&|c| c.later_ms) }
    }
}

/// Plays a crowd on one box that alone uses the slots. Returns the callers that return as told and those that return
/// early, and the number of requests that were admitted in the 8 s after the crowd.
fn crowd(seed: u64, early_share: f64) -> (Group, Group, u32) {
    crowd_over(1, seed, 0, early_share)
}

/// Plays the same crowd over some boxes of one hall. Each request, and each return, comes to a box drawn anew.
fn crowd_over(boxes: usize, seed: u64, box_seed: u64, early_share: f64) -> (Group, Group, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut drawn = ChaCha8Rng::seed_from_u64(box_seed);
    let (mut all_returns, mut promises, mut admitted_after) = (vec![Returns::default(); boxes], Promises::default(), 0);
    let (mut callers, mut events) = (Vec::new(), BinaryHeap::new());
    let mut at = 0.0_f64;
    while at < 40_000.0 {
        let load = LOADS[usize::from(CROWD.contains(&(at as u64)))];
        at -= (1.0 - rng.random::<f64>()).ln() * SERVICE_MS / SLOTS as f64 / load;
        events.push(Reverse((at as u64, callers.len())));
        callers.push(Caller { arrived: at as u64, early: rng.random::<f64>() < early_share, ..Caller::default() });
    }
    // When each slot is free for the next request.
    let mut slots = [0.0_f64; SLOTS];
    while let Some(Reverse((now, number))) = events.pop() {
        let caller = &mut callers[number];
        let slot = slots.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a slot");
        let wait_ms = (*slot - now as f64).max(0.0);
        let request = Fingerprint(number as u64 + 1);
        let returns = &mut all_returns[drawn.random_range(0..boxes)];
        let turn = match (returns.turn(SERVICE, 0, request, now), promises.left_ms(request.0, now)) {
            (Turn::Due, Some(left_ms)) => Turn::Early { promised_at: now + u64::from(left_ms) },
            (turn, _) => turn,
        };
        if wait_ms <= TARGET_MS && turn == Turn::Due {
            *slot = now as f64 + wait_ms + SERVICE_MS * rng.random_range(0.5..1.5);
            returns.record_start(SERVICE, 0, now);
            admitted_after += u32::from((CROWD.end..CROWD.end + 8_000).contains(&now));
            caller.wait_ms = Some(now - caller.arrived);
            continue;
        }
        let left = Duration::from_millis((caller.arrived + TIMEOUT_MS).saturating_sub(now));
        let delay = if let Turn::Early { promised_at } = turn {
            Duration::from_millis(promised_at - now)
        } else {
            let (waiting, interval_ms) = returns.queue(SERVICE, 0, request, now);
            let queue = Queue { waiting, interval_ms, left, draw: rng.random() };
            Cause::NotPlaced(Refusal::Overloaded { wait_ms }).delay(&queue)
        };
        let told_at = now + delay.as_millis() as u64;
        if turn == Turn::Due {
            returns.promise(SERVICE, 0, request, told_at);
            promises.record(request.0, told_at, now);
        }
        let returns_at_once = caller.early && caller.told_at == 0;
        if caller.early && !returns_at_once && caller.later_ms == 0.0 {
            caller.later_ms = told_at as f64 - caller.told_at as f64;
        }
        if caller.told_at == 0 {
            caller.told_at = told_at;
        }
        if returns_at_once {
            events.push(Reverse((now + 20, number)));
        } else if delay * 3 <= left {
            events.push(Reverse((told_at, number)));
        }
    }
    (Group::of(&callers, false), Group::of(&callers, true), admitted_after)
}

/// Guards against callers that return in vain, or are told to return so late that they give up. With the forecast plus a
/// second, times 1 to 2, 2,571 of 3,348 callers that came back, with four attempts each, were served (seeds 0 to 3); with
/// this order 3,165 of 3,334.
#[test]
fn of_the_callers_refused_in_a_crowd_95_in_100_are_served_if_they_return_as_told() {
    for seed in 0..8 {
        let (patient, _, admitted) = crowd(seed, 0.0);
        println!("seed {seed}: {:.3} served, mean wait {:.0} ms, {admitted} admitted", patient.served, patient.wait_ms);
        assert!(patient.served >= 0.95, "seed {seed}: {:.3} of the refused callers are served", patient.served);
        let capacity = 8_000.0 / SERVICE_MS * SLOTS as f64;
        assert!(f64::from(admitted) >= 0.95 * capacity, "seed {seed}: {admitted} admitted after the crowd");
    }
}

/// Guards against early returns that are told an earlier time, and against promises of callers that didn't wait for them.
#[test]
fn callers_that_return_at_once_are_told_no_earlier_time_and_the_others_are_served() {
    for seed in 0..8 {
        let (patient, early, _) = crowd(seed, 0.4);
        assert!(early.later_ms >= 0.0, "seed {seed}: told {:.0} ms later", early.later_ms);
        assert!(early.served <= patient.served + 0.02, "seed {seed}: {:.3} served", early.served);
        assert!(patient.served >= 0.95, "seed {seed}: {:.3} of the others served", patient.served);
    }
}

/// Guards against early returns that pay: a box admits whoever meets a free slot, also before callers that return as
/// told.
#[test]
fn callers_that_return_at_once_gain_nothing_and_cost_the_others_nothing() {
    let mut faults = Vec::new();
    for seed in 0..8 {
        let (alone, _, _) = crowd(seed, 0.0);
        let (patient, early, _) = crowd(seed, 0.4);
        let waits = [early.wait_ms, patient.wait_ms, alone.wait_ms].map(|ms| format!("{ms:.0}")).join(", ");
        println!("seed {seed}: early returns, others, and others without early returns wait {waits} ms");
        if early.wait_ms < 0.95 * patient.wait_ms || patient.wait_ms > 1.05 * alone.wait_ms {
            faults.push(seed);
        }
    }
    assert_eq!(faults, Vec::<u64>::new(), "seeds with a gain or a cost");
}

/// Guards against early returns that pay since they come to another box than the one that refused them: with 87 boxes, one
/// return in 87 comes to that.
#[test]
fn callers_that_return_at_once_to_other_boxes_gain_nothing_and_cost_the_others_nothing() {
    let mut faults = Vec::new();
    for boxes in [8, 87] {
        for seed in 0..8 {
            // Plays of the same arrivals differ by up to a tenth with the boxes that are drawn, so means are compared.
            let mut waits_ms = [0.0; 3];
            for box_seed in 0..PLAYS {
                let (alone, _, _) = crowd_over(boxes, seed, box_seed, 0.0);
                let (patient, early, _) = crowd_over(boxes, seed, box_seed, 0.4);
                for (sum, group) in waits_ms.iter_mut().zip([&early, &patient, &alone]) {
                    *sum += group.wait_ms / PLAYS as f64;
                }
            }
            let [early, patient, alone] = waits_ms;
            println!(
                "{boxes} boxes, seed {seed}: early returns, others, and others without early returns wait \
                 {early:.0}, {patient:.0}, {alone:.0} ms"
            );
            if early < 0.95 * patient || patient > 1.05 * alone {
                faults.push((boxes, seed));
            }
        }
    }
    assert_eq!(faults, Vec::new(), "boxes and seeds with a gain or a cost");
}
