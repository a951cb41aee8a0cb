//! Request classes.

use crate::TableReader;

/// A request class: its rank, its latency targets and its guarantees.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The class's name, unique in a release.
    pub name: String,
    /// Scheduling rank; 0 is served first. Two classes may have the same rank.
    pub rank: u8,
    /// True if requests are never shed or preempted in favour of a lower class.
    pub urgent: bool,
    /// Target time from arrival to the first token (or a plain service's response), in milliseconds.
    pub first_token_ms: u64,
    /// Target time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Guaranteed fraction of a shard's slots while the class has requests, 0 to 1.
    pub floor: f64,
    /// Age in milliseconds at which a waiting request is served once ahead of higher ranks; 0 disables this.
    pub pass_after_ms: u64,
    /// True if a running request may be stopped for an urgent one and resumed later.
    pub preemptible: bool,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            name: String::new(),
            rank: 0,
            urgent: false,
            first_token_ms: 560,
            between_tokens_ms: 45,
            floor: 0.0,
            pass_after_ms: 0,
            preemptible: false,
        }
    }
}

impl Class {
    pub(crate) fn read(reader: &mut TableReader<'_>) -> Self {
        let class = Self {
            name: reader.name("name"),
            rank: reader.integer("rank", &(0..=255)) as u8,
            urgent: reader.flag("urgent", false),
            first_token_ms: reader.integer("first_token_ms", &(1..=86_400_000)),
            between_tokens_ms: reader.integer_opt("between_tokens_ms", &(1..=3_600_000)).unwrap_or(45),
            floor: reader.ratio("floor", 0.0),
            pass_after_ms: reader.integer_opt("pass_after_ms", &(0..=86_400_000)).unwrap_or(0),
            preemptible: reader.flag("preemptible", false),
        };
        if class.urgent && class.preemptible {
            reader.fault("preemptible", "an urgent class can't be preemptible");
        }
        if !class.urgent && class.floor == 0.0 && class.pass_after_ms == 0 {
            reader.fault("floor", "a class that isn't urgent needs a floor or pass_after_ms, or it could starve");
        }
        class
    }
}
