//! Description of a simulated deployment: engines, boxes, callers and faults.

use catalog::{Fault as FileFault, TableReader};
use serde::Serialize;

/// Properties that all engines of a deployment share.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Maximum number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub memory_tokens: u64,
    /// Size of one token's KV cache entry when it is transferred between engines.
    pub token_bytes: u64,
    /// Bandwidth of the links between engines in Mbit/s.
    pub link_mbps: f64,
    /// Tokens per streamed event.
    #[serde(rename = "stride")]
    pub tokens_per_event: u32,
    /// Base duration in milliseconds of a step that generates one token for each running request.
    pub step_ms: f64,
    /// Milliseconds that each running request adds to a step.
    #[serde(rename = "run_ms")]
    pub per_request_ms: f64,
    /// Prefill throughput in prompt tokens per millisecond.
    #[serde(rename = "read_per_ms")]
    pub prefill_tokens_per_ms: f64,
    /// Maximum prefill chunk: prompt tokens that are prefilled between two events.
    #[serde(rename = "piece_tokens")]
    pub prefill_chunk_tokens: u32,
    /// Variation between engines: standard deviation of the logarithm of their speeds.
    #[serde(rename = "unlike")]
    pub speed_spread: f64,
}

/// A class of callers with similar requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Requests per second of all callers of the class together.
    pub per_s: f64,
    /// Urgency of the requests; 0 is the most urgent.
    pub urgency: u8,
    /// Number of distinct subjects. Prompts of the same subject begin with the same shared part.
    pub subjects: u64,
    /// Skew of the subjects' popularity: the exponent of a Zipf distribution.
    pub skew: f64,
    /// Tokens of the prompt part that all requests of a subject share.
    pub shared_tokens: u32,
    /// Median number of tokens of the prompt part that is unique to a request.
    pub own_tokens: f64,
    /// Median number of tokens of an answer.
    pub out_tokens: f64,
    /// Latency target of the first event, in milliseconds from the caller's first attempt.
    #[serde(rename = "aim_ms")]
    pub target_ms: f64,
    /// Limit of the gap between two events, in milliseconds.
    pub gap_ms: f64,
    /// Time in milliseconds after which callers give up.
    #[serde(rename = "limit_ms")]
    pub timeout_ms: f64,
    /// Worth of an answer that is in time.
    pub worth: f64,
    /// Fraction of `worth` that a late answer is worth.
    pub late: f64,
}

/// A temporary increase of a class's request rate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burst {
    /// Name of the class.
    pub class: String,
    /// Start in seconds.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
    /// Factor on the request rate.
    pub times: f64,
}

/// Kinds of engine faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// Engines take `times` as long for every step.
    Slow,
    /// Engines crash, and restart with an empty KV cache when the fault ends.
    Crash,
    /// Engines announce that they are leaving and drain; new instances replace them when the fault ends.
    Leave,
    /// Engines announce a limit of `times` requests per second from all boxes together.
    Limit,
}

/// A fault that affects a fraction of the engines for a limited time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start in seconds.
    pub at_s: f64,
    /// Duration in seconds.
    pub for_s: f64,
    /// Fraction of the engines that is affected.
    pub share: f64,
    /// Strength: the factor on step times for [`FaultKind::Slow`], requests per second for [`FaultKind::Limit`].
    pub times: f64,
}

/// A deployment, its traffic and its faults.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Virtual time in seconds during which requests arrive.
    pub seconds: f64,
    /// Number of halls.
    pub halls: usize,
    /// Number of boxes, spread evenly over the halls.
    pub boxes: usize,
    /// Number of engines, spread evenly over the halls.
    pub engines: usize,
    /// One-way network delay within a hall, in milliseconds.
    pub near_ms: f64,
    /// One-way network delay between halls, in milliseconds.
    pub far_ms: f64,
    /// Properties of the engines.
    #[serde(rename = "make")]
    pub engine_spec: EngineSpec,
    /// Classes of callers.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Bursts of requests.
    #[serde(rename = "burst")]
    pub bursts: Vec<Burst>,
    /// Faults of engines.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Upper bounds of values in deployment files; drawn deployments lie well within them.
const MAX_DURATION_S: f64 = 3_600.0;
const MAX_MACHINES: u64 = 1_000;
const MAX_DURATION_MS: f64 = 600_000.0;

fn read_engine_spec(reader: &mut TableReader<'_>) -> EngineSpec {
    EngineSpec {
        slots: reader.integer("slots", &(1..=4_096)) as u32,
        memory_tokens: reader.integer("memory_tokens", &(1_000..=1_000_000_000)),
        token_bytes: reader.integer("token_bytes", &(1..=10_000_000)),
        link_mbps: reader.number("link_mbps", &(1.0..=10_000_000.0)),
        tokens_per_event: reader.integer("stride", &(1..=1_024)) as u32,
        step_ms: reader.number("step_ms", &(0.1..=1_000.0)),
        per_request_ms: reader.number("run_ms", &(0.0..=100.0)),
        prefill_tokens_per_ms: reader.number("read_per_ms", &(0.1..=10_000.0)),
        prefill_chunk_tokens: reader.integer("piece_tokens", &(16..=1_000_000)) as u32,
        speed_spread: reader.number("unlike", &(0.0..=2.0)),
    }
}

fn read_class(reader: &mut TableReader<'_>) -> Class {
    Class {
        name: reader.name("name"),
        per_s: reader.number("per_s", &(0.001..=1_000_000.0)),
        urgency: reader.integer("urgency", &(0..=9)) as u8,
        subjects: reader.integer("subjects", &(1..=10_000_000)),
        skew: reader.number("skew", &(0.0..=10.0)),
        shared_tokens: reader.integer("shared_tokens", &(0..=1_000_000)) as u32,
        own_tokens: reader.number("own_tokens", &(1.0..=1_000_000.0)),
        out_tokens: reader.number("out_tokens", &(1.0..=100_000.0)),
        target_ms: reader.number("aim_ms", &(1.0..=MAX_DURATION_MS)),
        gap_ms: reader.number("gap_ms", &(1.0..=MAX_DURATION_MS)),
        timeout_ms: reader.number("limit_ms", &(1.0..=MAX_DURATION_MS)),
        worth: reader.number("worth", &(0.0..=1_000_000.0)),
        late: reader.ratio("late", 0.0),
    }
}

fn read_burst(reader: &mut TableReader<'_>) -> Burst {
    Burst {
        class: reader.name("class"),
        at_s: reader.number("at_s", &(0.0..=MAX_DURATION_S)),
        for_s: reader.number("for_s", &(0.0..=MAX_DURATION_S)),
        times: reader.number("times", &(1.0..=1_000.0)),
    }
}

fn read_fault(reader: &mut TableReader<'_>) -> Fault {
    let kind = match reader.string("kind").as_str() {
        "slow" => FaultKind::Slow,
        "crash" => FaultKind::Crash,
        "leave" => FaultKind::Leave,
        "limit" => FaultKind::Limit,
        other => {
            reader.fault("kind", format!("'{other}' is not slow, crash, leave or limit"));
            FaultKind::Slow
        }
    };
    Fault {
        kind,
        at_s: reader.number("at_s", &(0.0..=MAX_DURATION_S)),
        for_s: reader.number("for_s", &(0.0..=MAX_DURATION_S)),
        share: reader.number("share", &(0.0..=1.0)),
        times: reader.number_opt("times", &(0.0..=1_000.0)).unwrap_or(1.0),
    }
}

impl Deployment {
    /// Reads a deployment from the text of `file`.
    ///
    /// # Errors
    /// Returns all faults of the file at once, including unknown keys.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<FileFault>> {
        let mut reader = TableReader::parse(file, text);
        let engine_specs = reader.tables("make", read_engine_spec);
        let deployment = Self {
            name: reader.name("name"),
            seconds: reader.number("seconds", &(1.0..=MAX_DURATION_S)),
            halls: reader.integer("halls", &(1..=100)) as usize,
            boxes: reader.integer("boxes", &(1..=MAX_MACHINES)) as usize,
            engines: reader.integer("engines", &(1..=MAX_MACHINES)) as usize,
            near_ms: reader.number("near_ms", &(0.0..=1_000.0)),
            far_ms: reader.number("far_ms", &(0.0..=1_000.0)),
            engine_spec: engine_specs.first().cloned().unwrap_or_else(EngineSpec::placeholder),
            classes: reader.tables("class", read_class),
            bursts: reader.tables("burst", read_burst),
            faults: reader.tables("fault", read_fault),
        };
        if engine_specs.len() != 1 {
            reader.fault("make", "must be given exactly once, as [[make]]");
        }
        if deployment.classes.is_empty() {
            reader.fault("class", "is missing: at least one [[class]] is required");
        }
        for (index, burst) in deployment.bursts.iter().enumerate() {
            if !deployment.classes.iter().any(|class| class.name == burst.class) {
                reader.fault(&format!("burst[{index}].class"), format!("there is no class '{}'", burst.class));
            }
        }
        let file_faults = reader.finish();
        if file_faults.is_empty() {
            Ok(deployment)
        } else {
            Err(file_faults)
        }
    }

    /// Serializes the deployment as text that [`Deployment::parse`] reads.
    ///
    /// # Errors
    /// Returns an error if a number can't be represented in TOML.
    pub fn to_text(&self) -> Result<String, toml::ser::Error> {
        /// Layout of a deployment file, where the engine spec is a list of one table.
        #[derive(Serialize)]
        struct File<'a> {
            name: &'a str,
            seconds: f64,
            halls: usize,
            boxes: usize,
            engines: usize,
            near_ms: f64,
            far_ms: f64,
            make: [&'a EngineSpec; 1],
            class: &'a [Class],
            burst: &'a [Burst],
            fault: &'a [Fault],
        }
        toml::to_string(&File {
            name: &self.name,
            seconds: self.seconds,
            halls: self.halls,
            boxes: self.boxes,
            engines: self.engines,
            near_ms: self.near_ms,
            far_ms: self.far_ms,
            make: [&self.engine_spec],
            class: &self.classes,
            burst: &self.bursts,
            fault: &self.faults,
        })
    }
}

impl EngineSpec {
    /// Stands in for a missing `[[make]]` table, which is reported as a fault.
    fn placeholder() -> Self {
        Self {
            slots: 1,
            memory_tokens: 1_000,
            token_bytes: 1,
            link_mbps: 1.0,
            tokens_per_event: 1,
            step_ms: 1.0,
            per_request_ms: 0.0,
            prefill_tokens_per_ms: 1.0,
            prefill_chunk_tokens: 16,
            speed_spread: 0.0,
        }
    }
}
