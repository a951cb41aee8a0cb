//! A load profile: which classes ask how often for how much.

use catalog::{Fault, TableReader};

/// One class's stream of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestStream {
    /// The class.
    pub class: String,
    /// Requests a second on average.
    pub rate: f64,
    /// Most tokens of an answer; answers have a quarter to all of that.
    pub max_tokens: u32,
    /// Bytes of the prompt.
    pub prompt_bytes: usize,
    /// Requests of a burst come this many times as often.
    pub burst_factor: f64,
    /// The burst's begin and end, in seconds from the start.
    pub burst: (f64, f64),
    /// Requests are marked as not to be repeated and carry a key.
    pub non_repeatable: bool,
    /// Calls a plain service instead of the model.
    pub service: Option<String>,
    /// A caller that is told to come back gives up after this many seconds.
    pub patience_s: f64,
    /// Target for the first token, from the classes file, in milliseconds.
    pub first_token_ms: u64,
    /// Target between tokens, from the classes file, in milliseconds.
    pub between_tokens_ms: u64,
}

/// A load profile.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Seed of all that is random.
    pub seed: u64,
    /// How long requests come, in seconds.
    pub seconds: f64,
    /// How long answers are waited for after that, in seconds.
    pub drain_s: f64,
    /// One stream for each class.
    pub streams: Vec<RequestStream>,
}

fn number(reader: &mut TableReader<'_>, key: &str, default: Option<f64>) -> f64 {
    let text = reader.string_opt(key);
    match text.map(|t| t.parse::<f64>()) {
        Some(Ok(number)) if number >= 0.0 => number,
        Some(_) => {
            reader.fault(key, "must be a number in quotes, such as \"12.5\"");
            0.0
        }
        None => default.unwrap_or_else(|| {
            reader.fault(key, "is missing");
            0.0
        }),
    }
}

impl RequestStream {
    fn read(reader: &mut TableReader<'_>) -> Self {
        Self {
            class: reader.name("class"),
            rate: number(reader, "rate", None),
            max_tokens: reader.integer_opt("tokens", &(1..=100_000)).unwrap_or(64) as u32,
            prompt_bytes: reader.integer_opt("prompt_bytes", &(1..=1_000_000)).unwrap_or(200) as usize,
            burst_factor: number(reader, "burst_factor", Some(1.0)),
            burst: (number(reader, "burst_from_s", Some(0.0)), number(reader, "burst_to_s", Some(0.0))),
            non_repeatable: reader.flag("once", false),
            service: reader.string_opt("service"),
            patience_s: number(reader, "patience_s", Some(5.0)),
            first_token_ms: 0,
            between_tokens_ms: 0,
        }
    }
}

impl Profile {
    /// Reads a profile; targets come from the classes file's text.
    ///
    /// # Errors
    /// Every fault, a class that isn't in the classes file included.
    pub fn parse(file: &str, text: &str, classes: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse(file, text);
        let mut profile = Self {
            seed: reader.integer_opt("seed", &(0..=u64::MAX / 2)).unwrap_or(1),
            seconds: reader.integer_opt("seconds", &(1..=86_400)).unwrap_or(20) as f64,
            drain_s: reader.integer_opt("drain_s", &(0..=86_400)).unwrap_or(10) as f64,
            streams: reader.tables("stream", RequestStream::read),
        };
        let mut faults = reader.finish();
        let table: toml::Table = classes.parse().unwrap_or_default();
        let known = table.get("class").and_then(toml::Value::as_array).cloned().unwrap_or_default();
        for stream in &mut profile.streams {
            let class = known.iter().find(|c| c.get("name").and_then(toml::Value::as_str) == Some(&stream.class));
            let Some(class) = class else {
                faults.push(Fault::new(file, "stream.class", format!("there is no class '{}'", stream.class)));
                continue;
            };
            let integer =
                |key: &str| class.get(key).and_then(toml::Value::as_integer).and_then(|n| u64::try_from(n).ok());
            stream.first_token_ms = integer("first_token_ms").unwrap_or(0);
            stream.between_tokens_ms = integer("between_tokens_ms").unwrap_or(45);
        }
        if faults.is_empty() {
            Ok(profile)
        } else {
            Err(faults)
        }
    }

    /// The same profile with every rate multiplied.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        self.streams.iter_mut().for_each(|s| s.rate *= factor);
        self
    }
}
