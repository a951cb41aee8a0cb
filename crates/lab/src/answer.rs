//! Answers of the engine stand-in: a pure function of the prompt, so that tests know them in advance.

/// Returns the tokens of the answer to `prompt`, at most `max_tokens` of them. The length depends on the
/// prompt's hash, so it can't be guessed from the request.
#[must_use]
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> Vec<String> {
    let hash = blake3::hash(prompt.as_bytes());
    let bytes = hash.as_bytes();
    let length_ratio = f64::from(u16::from_le_bytes([bytes[0], bytes[1]])) / f64::from(u16::MAX);
    let count = (f64::from(max_tokens) * (0.25 + 0.75 * length_ratio)).ceil().max(1.0) as u32;
    let token_seed = u32::from_le_bytes([bytes[2], bytes[3], bytes[4], bytes[5]]);
    (0..count).map(|i| format!(" {:x}", token_seed.wrapping_mul(i.wrapping_mul(2_654_435_761) | 1) >> 8)).collect()
}
