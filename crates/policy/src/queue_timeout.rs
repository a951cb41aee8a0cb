//! How long a request may wait before it is given up, the same for every way of deciding.

use catalog::Class;

/// A waiting request is given up after this many times its class's target.
const QUEUE_TIMEOUT_TARGET_FACTOR: u64 = 4;

/// No request is given up for being late before this age, in milliseconds.
const MIN_QUEUE_TIMEOUT_MS: u64 = 2_000;

/// Age in milliseconds at which a waiting request of this class is given up.
pub(crate) fn queue_timeout_ms(class: &Class) -> u64 {
    (class.first_token_ms * QUEUE_TIMEOUT_TARGET_FACTOR).max(MIN_QUEUE_TIMEOUT_MS)
}
