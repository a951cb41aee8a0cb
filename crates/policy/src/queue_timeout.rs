//! The time-out of waiting requests, the same for every scheduler.

use catalog::Class;

/// A waiting request is given up after this multiple of its class's target.
const QUEUE_TIMEOUT_TARGET_FACTOR: u64 = 4;

/// No request is given up as late before this age.
const MIN_QUEUE_TIMEOUT_MS: u64 = 2_000;

/// Returns the age in milliseconds at which a waiting request of this class is given up.
pub(crate) fn queue_timeout_ms(class: &Class) -> u64 {
    (class.first_token_ms * QUEUE_TIMEOUT_TARGET_FACTOR).max(MIN_QUEUE_TIMEOUT_MS)
}
