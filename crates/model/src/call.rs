//! A caller's request on its way.

use crate::prompts::Wish;
use crate::Micros;

/// One request, from its caller's first try to its end.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) wish: Wish,
    /// Number of the caller's tries so far, and the box of the last.
    pub(crate) tries: u32,
    pub(crate) at_box: usize,
    /// Sends of this try, and the servers' ids.
    pub(crate) tried: Vec<String>,
    /// The send under way; none while there is none.
    pub(crate) send: Option<u64>,
    /// When its first event came to the caller.
    pub(crate) first: Option<Micros>,
    /// When its last event came so far.
    pub(crate) last: Option<Micros>,
    /// Longest pause between two events.
    pub(crate) pause: Micros,
    pub(crate) ended: bool,
}

impl Call {
    pub(crate) fn new(wish: Wish) -> Self {
        Self {
            wish,
            tries: 0,
            at_box: 0,
            tried: Vec::new(),
            send: None,
            first: None,
            last: None,
            pause: 0,
            ended: false,
        }
    }
}
