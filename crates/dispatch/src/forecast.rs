//! Forecast of when waiting requests start.

use crate::queue::{Key, Queue, Visit, Waiting, URGENCY_CLASSES};
use crate::server::DEFAULT_SERVICE_MS;
use crate::Millis;

/// Throughput of a service's usable servers, derived from learned service times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throughput {
    /// Average time in milliseconds between two slots becoming free while all are in use.
    pub(crate) interval_ms: f64,
    /// Average service time in milliseconds.
    pub(crate) service_ms: f64,
    /// Expected service time in milliseconds of servers without a learned one: the average of the others.
    pub(crate) typical_ms: f64,
}

impl Throughput {
    /// Sums up servers, each given by its slots and its learned service time in milliseconds.
    pub(crate) fn of(servers: impl Iterator<Item = (u32, Option<f64>)> + Clone) -> Self {
        let learned = servers.clone().filter_map(|(_, learned_ms)| learned_ms);
        let (sum_ms, count) = learned.fold((0.0, 0_u32), |(sum_ms, count), ms| (sum_ms + ms, count + 1));
        let typical_ms = if count == 0 { DEFAULT_SERVICE_MS } else { sum_ms / f64::from(count) };
        let (slots, per_ms) = servers.fold((0.0, 0.0), |(slots, per_ms), (count, learned_ms)| {
            (slots + f64::from(count), per_ms + f64::from(count) / learned_ms.unwrap_or(typical_ms))
        });
        if per_ms == 0.0 {
            return Self { interval_ms: f64::INFINITY, service_ms: typical_ms, typical_ms };
        }
        Self { interval_ms: 1.0 / per_ms, service_ms: slots / per_ms, typical_ms }
    }
}

/// A request that can't start in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Late {
    pub(crate) key: Key,
    /// Time in milliseconds after which the requests before it are expected to have started.
    pub(crate) wait_ms: f64,
}

/// Returns the requests that can't start in time, given those before them that can.
pub(crate) fn late(queue: &Queue, throughput: Throughput, now: Millis) -> Vec<Late> {
    let mut late = Vec::new();
    let mut ahead = 0;
    for class in 0..URGENCY_CLASSES {
        let mut first = true;
        queue.visit(class, |waiting| {
            let wait_ms = f64::from(ahead) * throughput.interval_ms;
            if !starts_in_time(queue, class, waiting, first, wait_ms, throughput, now) {
                late.push(Late { key: waiting.key, wait_ms });
                return Visit::Skipped;
            }
            first = false;
            ahead += 1;
            Visit::Counted
        });
    }
    late
}

/// Returns a waiting request if it can't start in time.
pub(crate) fn late_request(queue: &Queue, key: Key, throughput: Throughput, now: Millis) -> Option<Late> {
    let class = queue.class_of(&key)?;
    let mut ahead = queue.waiting_above(class);
    let mut late = None;
    let mut first = true;
    queue.visit(class, |waiting| {
        if waiting.key == key {
            let wait_ms = ahead as f64 * throughput.interval_ms;
            if !starts_in_time(queue, class, waiting, first, wait_ms, throughput, now) {
                late = Some(Late { key, wait_ms });
            }
            return Visit::Last;
        }
        first = false;
        ahead += 1;
        Visit::Counted
    });
    late
}

/// True if a request is expected to start by its deadline. A request with nothing before it gets the next slot, which
/// may become free at any time, so it is not refused before its deadline.
fn starts_in_time(
    queue: &Queue,
    class: usize,
    waiting: &Waiting,
    first: bool,
    wait_ms: f64,
    throughput: Throughput,
    now: Millis,
) -> bool {
    if now >= waiting.deadline {
        return false;
    }
    let left_ms = (waiting.deadline - now) as f64;
    let floor_ms = queue.floor_due_at(class).saturating_sub(now) as f64 + throughput.interval_ms;
    wait_ms <= left_ms || (first && floor_ms <= left_ms)
}

/// Spreads the retries of refused requests, so that they don't return all at once.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Spread {
    offset_ms: f64,
}

impl Spread {
    /// Returns the time in milliseconds after which a refused request should be retried: when the requests before it
    /// have started, then one slot after the other in the order of refusals, within the same length of time.
    pub(crate) fn retry_ms(&mut self, wait_ms: f64, throughput: Throughput) -> u32 {
        let wait_ms = wait_ms.max(throughput.interval_ms);
        if self.offset_ms >= wait_ms {
            self.offset_ms = 0.0;
        }
        let retry_ms = wait_ms + self.offset_ms;
        self.offset_ms += throughput.interval_ms;
        // A conversion from f64 saturates.
        (retry_ms.ceil() as u32).max(1)
    }
}
