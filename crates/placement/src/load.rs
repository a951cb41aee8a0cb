//! Load of a server.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Load that one request adds to its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens that the server must process before the first event.
    #[serde(rename = "reading")]
    pub prefill: Prefill,
    /// Tokens of memory that it occupies while it runs.
    pub held: u32,
    /// Expected number of generated tokens.
    pub out: u32,
    /// Urgency, 0 first. Where all slots are taken, more urgent requests displace others.
    pub urgency: u8,
    /// Longest inter-token gap that is still in time, in milliseconds; 0 if no gap makes it late.
    pub gap_ms: u32,
    /// True if its prompt counts as long; see `split`.
    pub long: bool,
}

/// Prompt tokens that still have to be processed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// Number of tokens.
    pub tokens: u64,
    /// Attention pairs in thousands: pairs of one of these tokens and a token before it, since an engine attends to
    /// the whole context.
    #[serde(rename = "pairs_k")]
    pub attention_pairs_k: u64,
    /// Tokens in the context before those that are processed between two events, at the deepest point.
    pub depth: u32,
}

impl Prefill {
    /// Prefill of the last `unread` tokens of a prompt, `chunk` of which are processed between two events.
    #[must_use]
    pub fn tail(unread: u32, prompt: u32, chunk: u32) -> Self {
        let tokens = u64::from(unread);
        let before = u64::from(prompt) - u64::from(unread.min(prompt) / 2);
        let last = unread.min(chunk);
        let last_depth = u64::from(prompt.saturating_sub(last / 2));
        // A short remainder of a deep prompt is processed together with others between the same two events.
        let depth = last_depth * u64::from(last) / u64::from(chunk.max(1));
        Self { tokens, attention_pairs_k: tokens * before / 1_000, depth: u32::try_from(depth).unwrap_or(u32::MAX) }
    }

    /// Returns the depth in thousands of tokens.
    #[must_use]
    pub fn depth_k(self) -> f64 {
        f64::from(self.depth) / 1e3
    }

    /// Returns this multiplied by `ratio`; the depth stays.
    #[must_use]
    pub fn scaled(self, ratio: f64) -> Self {
        Self {
            tokens: (self.tokens as f64 * ratio) as u64,
            attention_pairs_k: (self.attention_pairs_k as f64 * ratio) as u64,
            ..self
        }
    }

    /// Returns the total of both, with the greater depth.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            attention_pairs_k: self.attention_pairs_k + other.attention_pairs_k,
            depth: self.depth.max(other.depth),
        }
    }

    /// Returns this without `other`. The depth stays until nothing is left.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        let tokens = self.tokens.saturating_sub(other.tokens);
        Self {
            tokens,
            attention_pairs_k: self.attention_pairs_k.saturating_sub(other.attention_pairs_k),
            depth: if tokens == 0 { 0 } else { self.depth },
        }
    }
}

/// Load that one box, or all other boxes, put on a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that were sent and have not ended.
    pub running: u32,
    /// Running requests with long prompts; never above `running`.
    pub long: u32,
    /// Remaining prefill of their prompts.
    #[serde(rename = "reading")]
    pub prefill: Prefill,
    /// Tokens of memory that they occupy.
    pub held: u64,
    /// Running requests by urgency. No entry is 0.
    pub urgencies: BTreeMap<u8, u32>,
    /// Running requests that are still in time, by the inter-token gap in milliseconds above which they become late.
    /// No entry is 0.
    #[serde(rename = "paces")]
    pub gap_limits: BTreeMap<u32, u32>,
}

impl Load {
    /// Records a request that was sent.
    pub fn record_sent(&mut self, work: Work) {
        self.running += 1;
        self.long += u32::from(work.long);
        self.prefill = self.prefill.plus(work.prefill);
        self.held += u64::from(work.held);
        *self.urgencies.entry(work.urgency).or_default() += 1;
        if work.gap_ms > 0 {
            *self.gap_limits.entry(work.gap_ms).or_default() += 1;
        }
    }

    /// Records that a request's prompt has been read.
    pub fn record_prefilled(&mut self, work: Work) {
        self.prefill = self.prefill.minus(work.prefill);
    }

    /// Records that a request has become late: further gaps do it no harm.
    pub fn record_late(&mut self, work: Work) {
        decrement(&mut self.gap_limits, &work.gap_ms);
    }

    /// Returns the number of running requests that a request of this urgency doesn't displace.
    #[must_use]
    pub fn not_displaced_by(&self, urgency: u8) -> u32 {
        self.urgencies.range(..=urgency).fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }

    /// Records the end of a request. [`Load::record_prefilled`] must have been called before, and
    /// [`Load::record_late`] unless the request had become late already.
    pub fn record_end(&mut self, work: Work) {
        self.running = self.running.saturating_sub(1);
        self.long = self.long.saturating_sub(u32::from(work.long));
        self.held = self.held.saturating_sub(u64::from(work.held));
        decrement(&mut self.urgencies, &work.urgency);
    }
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    let Some(count) = counts.get_mut(key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}
