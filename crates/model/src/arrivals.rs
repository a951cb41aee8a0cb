//! Random generation of callers' requests. It depends on the deployment and the seed only, so every arm gets the same
//! requests.

use crate::{Burst, Class, Micros};
use placement::{Part, Prompt};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

/// Standard deviations of the logarithm of the tokens of a request's own part and of its answer.
const OWN_TOKENS_SPREAD: f64 = 0.6;
const OUT_TOKENS_SPREAD: f64 = 0.5;

/// Standard deviation of the logarithm of the ratio between the caller's length hint and the actual length of the
/// answer.
const OUT_HINT_SPREAD: f64 = 0.4;

/// Longest answer of a class, as a multiple of the median.
const MAX_OUT_FACTOR: f64 = 5.0;

/// A request before its first attempt.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Time of the first attempt.
    pub(crate) at: Micros,
    /// Index of the request's class.
    pub(crate) class: usize,
    pub(crate) prompt: Prompt,
    /// Tokens of the complete answer.
    pub(crate) out_tokens: u32,
    /// Seed that determines to which box each attempt goes.
    pub(crate) box_seed: u64,
}

/// Generates the requests of one class in the order of their arrival.
pub(crate) fn arrivals(index: usize, class: &Class, bursts: &[Burst], seconds: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let own_tokens = LogNormal::new(class.own_tokens.ln(), OWN_TOKENS_SPREAD).expect("valid parameters of a class");
    let out_tokens = LogNormal::new(class.out_tokens.ln(), OUT_TOKENS_SPREAD).expect("valid parameters of a class");
    let hint_factor = LogNormal::new(0.0, OUT_HINT_SPREAD).expect("valid constant");
    let subjects = Zipf::new(class.subjects as f64, class.skew).expect("valid parameters of a class");
    let max_out = (class.out_tokens * MAX_OUT_FACTOR).ceil();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let factor: f64 =
            bursts.iter().filter(|burst| burst.is_active(&class.name, at)).map(|burst| burst.times).product();
        at += Exp::new(class.per_s * factor).expect("valid parameters of a class").sample(&mut rng);
        if at >= seconds {
            return arrivals;
        }
        let subject = subjects.sample(&mut rng) as u64;
        let tokens = own_tokens.sample(&mut rng).clamp(1.0, 1e6) as u32;
        let out = out_tokens.sample(&mut rng).clamp(1.0, max_out);
        let mut parts = Vec::new();
        if class.shared_tokens > 0 {
            parts.push(Part { id: ((index as u64 + 1) << 40) | subject, tokens: class.shared_tokens });
        }
        parts.push(Part { id: rng.random::<u64>() | (1 << 63), tokens });
        let prompt = Prompt {
            model: "m".to_owned(),
            tokens: class.shared_tokens + tokens,
            max_out_tokens: max_out as u32,
            out_tokens_hint: Some((out * hint_factor.sample(&mut rng)).clamp(1.0, max_out) as u32),
            parts,
        };
        let box_seed = rng.random();
        arrivals.push(Arrival { at: (at * 1e6) as Micros, class: index, prompt, out_tokens: out as u32, box_seed });
    }
}

impl Burst {
    /// Returns true if the burst applies to `class` at `at_s`.
    fn is_active(&self, class: &str, at_s: f64) -> bool {
        self.class == class && self.at_s <= at_s && at_s < self.at_s + self.for_s
    }
}
