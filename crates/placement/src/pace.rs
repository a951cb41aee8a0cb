//! How evenly answers must come, and which prompts disturb that.

use routing::Engine;
use std::time::Duration;

/// Answers are quick whose tokens may take less than this each, in milliseconds: a step that also reads a piece of
/// 2,048 prompt tokens takes 45 to 65 ms, and 0.5 ms more for each thousand tokens before that piece.
const QUICK_TOKEN_MS: f64 = 78.0;

/// Prompts longer than this are deep. Measured where a token may take 75 ms: of the quick answers beside one of 30,000
/// tokens a third are late, of those beside none of 25,000 not one.
const DEEP_TOKENS: f64 = 24_000.0;

/// Where a token may take less than this, in milliseconds, shorter prompts disturb too, by so many tokens for each
/// millisecond: steps that read take most of the time already.
const TIGHT_TOKEN_MS: f64 = 55.0;
const TIGHTER_TOKENS: f64 = 2_400.0;

/// No prompt below this is deep, in tokens: it is read in too few steps to fill an event's time.
const DEEP_LEAST: f64 = 8_000.0;

/// Fewest tokens still to be read of a deep prompt that hold quick answers up: half an event's worth of pieces.
const UNREAD_LEAST: u32 = 4_096;

/// Tokens of a deep prompt that are the request's own, and not shared, on average.
const OWN_TOKENS: f64 = 2_000.0;

/// The share of servers on the deep side where a token may take so many milliseconds, what it gains for each millisecond
/// less, and its most. Measured: docs/design/choosing.md.
const SIDE_TOKEN_MS: f64 = 75.0;
const SIDE_SHARE: f64 = 0.34;
const SIDE_GAIN: f64 = 0.0104;
const SIDE_MOST: f64 = 0.6;

/// What a route, or the strictest one of a service, asks of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Pace {
    /// Longest time for a token that is still in time, in milliseconds; none where no answer is quick.
    token_ms: Option<f64>,
}

impl Pace {
    /// The pace of answers whose events may be `gap_aim` apart.
    pub(crate) fn new(gap_aim: Option<Duration>, engine: Option<&Engine>) -> Self {
        let token_ms = gap_aim.zip(engine).map(|(aim, engine)| token_ms(aim, engine));
        Self { token_ms: token_ms.filter(|ms| *ms < QUICK_TOKEN_MS) }
    }

    /// True when such an answer is late as soon as deep prompts are read beside it.
    pub(crate) fn quick(self) -> bool {
        self.token_ms.is_some()
    }

    /// Tokens from which on a prompt is deep, or infinitely many.
    fn deep_tokens(self) -> f64 {
        let Some(token_ms) = self.token_ms else { return f64::INFINITY };
        let tight = (TIGHT_TOKEN_MS - token_ms).max(0.0);
        (DEEP_TOKENS - TIGHTER_TOKENS * tight).max(DEEP_LEAST)
    }

    /// True when reading `unread` of a prompt of so many tokens makes quick answers beside it late.
    pub(crate) fn deep(self, tokens: u32, unread: u32) -> bool {
        f64::from(tokens) > self.deep_tokens() && unread > UNREAD_LEAST
    }

    /// True when prompts that share so many tokens are mostly deep.
    pub(crate) fn keeps_apart(self, shared: u32) -> bool {
        f64::from(shared) > self.deep_tokens() + OWN_TOKENS
    }

    /// How many of a service's servers keep the longest shared parts.
    pub(crate) fn deep_side(self, servers: usize) -> usize {
        let share = self.token_ms.map_or(0.0, |ms| SIDE_SHARE + SIDE_GAIN * (SIDE_TOKEN_MS - ms).max(0.0));
        (servers as f64 * share.min(SIDE_MOST)) as usize
    }
}

fn token_ms(gap_aim: Duration, engine: &Engine) -> f64 {
    gap_aim.as_secs_f64() * 1_000.0 / f64::from(engine.stride.max(1))
}
