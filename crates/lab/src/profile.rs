//! Load profiles: the rate and size of requests for each class.

use catalog::{Fault, TableReader};

/// The request stream of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestStream {
    /// The class.
    pub class: String,
    /// Average requests per second.
    pub rate: f64,
    /// Maximum tokens of an answer; answers have between a quarter and all of them.
    pub max_tokens: u32,
    /// Prompt size in bytes.
    pub prompt_bytes: usize,
    /// Factor by which the rate rises during a burst.
    pub burst_factor: f64,
    /// Start and end of the burst, in seconds from the start of the run.
    pub burst: (f64, f64),
    /// Marks requests as non-repeatable and gives each a request key.
    pub non_repeatable: bool,
    /// The plain service to call instead of the model.
    pub service: Option<String>,
    /// A caller that is asked to retry gives up this many seconds after the intended time.
    pub patience_s: f64,
    /// Latency target of the first token from the classes file, in milliseconds.
    pub first_token_ms: u64,
    /// Target of the time between tokens from the classes file, in milliseconds.
    pub between_tokens_ms: u64,
}

/// A load profile.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Time during which requests are sent, in seconds.
    pub seconds: f64,
    /// Maximum wait for outstanding answers after that, in seconds.
    pub drain_s: f64,
    /// Request streams, one for each class.
    pub streams: Vec<RequestStream>,
}

fn read_number(reader: &mut TableReader<'_>, key: &str, default: Option<f64>) -> f64 {
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
            rate: read_number(reader, "rate", None),
            max_tokens: reader.integer_opt("tokens", &(1..=100_000)).unwrap_or(64) as u32,
            prompt_bytes: reader.integer_opt("prompt_bytes", &(1..=1_000_000)).unwrap_or(200) as usize,
            burst_factor: read_number(reader, "burst_factor", Some(1.0)),
            burst: (read_number(reader, "burst_from_s", Some(0.0)), read_number(reader, "burst_to_s", Some(0.0))),
            non_repeatable: reader.flag("once", false),
            service: reader.string_opt("service"),
            patience_s: read_number(reader, "patience_s", Some(5.0)),
            first_token_ms: 0,
            between_tokens_ms: 0,
        }
    }
}

impl Profile {
    /// Parses a profile; latency targets are taken from the text of the classes file.
    ///
    /// # Errors
    /// Returns every fault, including classes that are missing from the classes file.
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

    /// Returns the profile with every rate multiplied by `factor`.
    #[must_use]
    pub fn scaled(mut self, factor: f64) -> Self {
        self.streams.iter_mut().for_each(|s| s.rate *= factor);
        self
    }
}
