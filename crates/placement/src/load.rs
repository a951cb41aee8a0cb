//! What runs on a server.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What one request adds to its server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// What the server must read before the first answer.
    #[serde(rename = "reading")]
    pub prefill: Prefill,
    /// Tokens of memory that it holds while it runs.
    pub held: u32,
    /// Tokens that it is expected to generate.
    pub out: u32,
    /// How urgent it is, 0 first: where all places are taken, the more urgent displace others.
    pub urgency: u8,
    /// Longest pause between events that is still in time, in milliseconds; 0 where no pause makes it late.
    pub gap_ms: u32,
    /// True where its prompt takes long to read, as [`crate::Split`] tells long from short.
    pub long: bool,
}

/// Prompt tokens that are still to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefill {
    /// How many.
    pub tokens: u64,
    /// Thousands of pairs of one of them and a token before it: an engine looks back at all that stands before.
    #[serde(rename = "pairs_k")]
    pub attention_pairs_k: u64,
    /// Tokens that stand before those that are read between two events, where that is the most.
    pub depth: u32,
}

impl Prefill {
    /// Reading the last `unread` tokens of a prompt, of which `stretch` are read between two events.
    #[must_use]
    pub fn tail(unread: u32, prompt: u32, chunk: u32) -> Self {
        let tokens = u64::from(unread);
        let before = u64::from(prompt) - u64::from(unread.min(prompt) / 2);
        let last = unread.min(chunk);
        let last_depth = u64::from(prompt.saturating_sub(last / 2));
        // A short rest of a deep prompt is read with others between the same events.
        let depth = last_depth * u64::from(last) / u64::from(chunk.max(1));
        Self { tokens, attention_pairs_k: tokens * before / 1_000, depth: u32::try_from(depth).unwrap_or(u32::MAX) }
    }

    /// Thousands of tokens that stand before those read between two events, where that is the most.
    #[must_use]
    pub fn depth_k(self) -> f64 {
        f64::from(self.depth) / 1e3
    }

    /// A part of it.
    #[must_use]
    pub fn scaled(self, ratio: f64) -> Self {
        Self {
            tokens: (self.tokens as f64 * ratio) as u64,
            attention_pairs_k: (self.attention_pairs_k as f64 * ratio) as u64,
            ..self
        }
    }

    /// Both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            attention_pairs_k: self.attention_pairs_k + other.attention_pairs_k,
            depth: self.depth.max(other.depth),
        }
    }

    /// This without `other`. The depth stays until nothing is left.
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

/// The load that one box, or all other boxes, put on a server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    pub running: u32,
    /// How many of them have long prompts; never above `running`.
    pub long: u32,
    /// What of their prompts is still to be read.
    #[serde(rename = "reading")]
    pub prefill: Prefill,
    /// Tokens of memory that they hold.
    pub held: u64,
    /// How many of them there are of each urgency. No entry is 0.
    pub urgencies: BTreeMap<u8, u32>,
    /// How many of them are still in time and will be late after a pause of so many milliseconds. No entry is 0.
    #[serde(rename = "paces")]
    pub gap_limits: BTreeMap<u32, u32>,
}

impl Load {
    /// A request was sent.
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

    /// A request's prompt has been read.
    pub fn record_prefilled(&mut self, work: Work) {
        self.prefill = self.prefill.minus(work.prefill);
    }

    /// A request is late already: no further pause harms it.
    pub fn record_late(&mut self, work: Work) {
        decrement(&mut self.gap_limits, &work.gap_ms);
    }

    /// How many run that a request of this urgency doesn't displace.
    #[must_use]
    pub fn not_displaced_by(&self, urgency: u8) -> u32 {
        self.urgencies.range(..=urgency).fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }

    /// A request ended; [`Load::record_prefilled`] was called before, and [`Load::record_late`] unless it was `late` already.
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
