//! Times at which refused callers were told to return.

use crate::Millis;
use std::collections::{HashMap, VecDeque};

/// Most promises that are kept, about 60 bytes each. With more, the oldest are dropped, and their callers count as new.
const MAX_PROMISES: usize = 4_096;

/// A return that comes up to this much before its time counts as due: times are rounded, and the network's delay varies.
pub const EARLY_TOLERANCE: Millis = 50;

/// Part of the remaining time that callers wait at most before a retry; callers that are told to wait longer give up, or
/// come back as newcomers: nothing is promised to them.
pub const MAX_WAIT_RATIO: f64 = 1.0 / 3.0;

/// Times at which the callers of refused requests were told to return, by the fingerprints of the requests.
#[derive(Clone, Debug, Default)]
pub struct Promises {
    times: HashMap<u64, Millis>,
    /// The same promises in the order in which they were made. One that was made anew is listed twice.
    order: VecDeque<(u64, Millis)>,
}

impl Promises {
    /// Records that the caller of `request` was told to return at `at`. Fingerprint 0 stands for unknown requests, to which
    /// nothing is promised.
    pub fn record(&mut self, request: u64, at: Millis, now: Millis) {
        if request == 0 {
            return;
        }
        while let Some((oldest, at)) = self.order.front().copied() {
            if at > now && self.order.len() < MAX_PROMISES {
                break;
            }
            self.order.pop_front();
            if self.times.get(&oldest) == Some(&at) {
                self.times.remove(&oldest);
            }
        }
        self.times.insert(request, at);
        self.order.push_back((request, at));
    }

    /// Returns the milliseconds until the caller of `request` was told to return; `None` if that time has come, but for
    /// [`EARLY_TOLERANCE`], or nothing was promised.
    #[must_use]
    pub fn left_ms(&self, request: u64, now: Millis) -> Option<u32> {
        let at = self.times.get(&request).filter(|at| **at > now + EARLY_TOLERANCE)?;
        Some(u32::try_from(at - now).unwrap_or(u32::MAX))
    }
}
