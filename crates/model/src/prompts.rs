//! Draws what callers ask for, the same for every arm.

use crate::{Burst, Class, Micros};
use placement::{Part, Prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// Spread of the logarithm of the tokens of a request's own part, and of its answer.
const OWN_SPREAD: f64 = 0.6;
const OUT_SPREAD: f64 = 0.5;

/// Spread of the logarithm of the caller's guess of the tokens of its answer, around the right one.
const GUESS_SPREAD: f64 = 0.4;

/// The longest answer of a class, in medians.
const OUT_MOST: f64 = 5.0;

/// A request as its caller wants it.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    pub(crate) at: Micros,
    /// Index of its class.
    pub(crate) class: usize,
    pub(crate) prompt: Prompt,
    /// Tokens of its answer.
    pub(crate) out: u32,
    /// What its caller draws from: which boxes it comes to.
    pub(crate) luck: u64,
}

/// The requests of one class, in order.
pub(crate) fn wishes(index: usize, class: &Class, bursts: &[Burst], seconds: f64, seed: u64) -> Vec<Wish> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let own = LogNormal::new(class.own_tokens.ln(), OWN_SPREAD).expect("a checked class");
    let out = LogNormal::new(class.out_tokens.ln(), OUT_SPREAD).expect("a checked class");
    let guess = LogNormal::new(0.0, GUESS_SPREAD).expect("a constant");
    let subjects = Zipf::new(class.subjects as f64, class.skew).expect("a checked class");
    let most = (class.out_tokens * OUT_MOST).ceil();
    let mut wishes = Vec::new();
    let mut at = 0.0;
    loop {
        let times: f64 = bursts.iter().filter(|burst| burst.is_on(&class.name, at)).map(|burst| burst.times).product();
        at += Exp::new(class.per_s * times).expect("a checked class").sample(&mut rng);
        if at >= seconds {
            return wishes;
        }
        let subject = subjects.sample(&mut rng) as u64;
        let tokens = own.sample(&mut rng).clamp(1.0, 1e6) as u32;
        let out = out.sample(&mut rng).clamp(1.0, most);
        let mut parts = Vec::new();
        if class.shared_tokens > 0 {
            parts.push(Part { id: ((index as u64 + 1) << 40) | subject, tokens: class.shared_tokens });
        }
        parts.push(Part { id: rng.random::<u64>() | (1 << 63), tokens });
        let prompt = Prompt {
            model: "m".to_owned(),
            tokens: class.shared_tokens + tokens,
            max_out_tokens: most as u32,
            out_tokens_hint: Some((out * guess.sample(&mut rng)).clamp(1.0, most) as u32),
            parts,
        };
        let luck = rng.random();
        wishes.push(Wish { at: (at * 1e6) as Micros, class: index, prompt, out: out as u32, luck });
    }
}

impl Burst {
    /// True while it lasts for this class.
    fn is_on(&self, class: &str, at_s: f64) -> bool {
        self.class == class && self.at_s <= at_s && at_s < self.at_s + self.for_s
    }
}
