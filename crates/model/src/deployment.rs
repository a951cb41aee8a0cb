//! What there is: engines, boxes, callers and faults.

use catalog::{Fault as FileFault, TableReader};
use serde::Serialize;

/// What all engines of a deployment are.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Requests that one runs at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Bytes of one token as it crosses a link.
    pub token_bytes: u64,
    /// Links between engines in Mbit/s.
    pub link_mbps: f64,
    /// Tokens of one event.
    pub stride: u32,
    /// Milliseconds of a step that makes one token for each of its requests.
    pub step_ms: f64,
    /// Milliseconds that each request adds to a step.
    pub run_ms: f64,
    /// Prompt tokens that it reads in a millisecond.
    pub read_per_ms: f64,
    /// Prompt tokens that it reads at most between two events.
    pub piece_tokens: u32,
    /// How unlike engines are: spread of the logarithm of their speeds.
    pub unlike: f64,
}

/// Callers who want alike things.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Requests a second of all its callers.
    pub per_s: f64,
    /// How urgent they are, 0 first.
    pub urgency: u8,
    /// How many subjects its prompts begin with.
    pub subjects: u64,
    /// How unevenly the subjects are asked for: the exponent of their ranks.
    pub skew: f64,
    /// Tokens of a subject's part.
    pub shared_tokens: u32,
    /// Median tokens of a request's own part.
    pub own_tokens: f64,
    /// Median tokens of an answer.
    pub out_tokens: f64,
    /// First event in time, in milliseconds from the caller's first try.
    pub aim_ms: f64,
    /// Longest pause between events in time, in milliseconds.
    pub gap_ms: f64,
    /// How long its callers wait, in milliseconds.
    pub limit_ms: f64,
    /// Worth of an answer in time.
    pub worth: f64,
    /// The part of it that a late answer is worth.
    pub late: f64,
}

/// More requests of a class for a while.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Burst {
    /// The class.
    pub class: String,
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds.
    pub for_s: f64,
    /// How many times as many requests come.
    pub times: f64,
}

/// What may happen to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// They take `times` as long.
    Slow,
    /// They end, and start again with empty memories.
    Crash,
    /// They say that they leave, end what they have, and others come.
    Leave,
    /// They say that they take `times` requests a second from all boxes together.
    Limit,
}

/// Something that happens to a part of the engines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When, in seconds.
    pub at_s: f64,
    /// How long, in seconds.
    pub for_s: f64,
    /// The part of the engines.
    pub share: f64,
    /// How strong: how many times as long slow engines take, how many requests a second limited ones.
    pub times: f64,
}

/// A deployment and what happens on it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// How long it is played, in seconds.
    pub seconds: f64,
    /// Its halls.
    pub halls: usize,
    /// Its boxes, spread over the halls.
    pub boxes: usize,
    /// Its engines, spread over the halls.
    pub engines: usize,
    /// Milliseconds of a way within a hall.
    pub near_ms: f64,
    /// Milliseconds of a way between halls.
    pub far_ms: f64,
    /// What its engines are.
    #[serde(rename = "make")]
    pub engine_spec: EngineSpec,
    /// Its callers.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Bursts of callers.
    #[serde(rename = "burst")]
    pub bursts: Vec<Burst>,
    /// What happens to engines.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Ranges of what may stand in a file; drawn deployments lie well within.
const MAX_DURATION_S: f64 = 3_600.0;
const MAX_MACHINES: u64 = 1_000;
const MAX_DURATION_MS: f64 = 600_000.0;

fn read_engine_spec(reader: &mut TableReader<'_>) -> EngineSpec {
    EngineSpec {
        slots: reader.integer("slots", &(1..=4_096)) as u32,
        memory_tokens: reader.integer("memory_tokens", &(1_000..=1_000_000_000)),
        token_bytes: reader.integer("token_bytes", &(1..=10_000_000)),
        link_mbps: reader.number("link_mbps", &(1.0..=10_000_000.0)),
        stride: reader.integer("stride", &(1..=1_024)) as u32,
        step_ms: reader.number("step_ms", &(0.1..=1_000.0)),
        run_ms: reader.number("run_ms", &(0.0..=100.0)),
        read_per_ms: reader.number("read_per_ms", &(0.1..=10_000.0)),
        piece_tokens: reader.integer("piece_tokens", &(16..=1_000_000)) as u32,
        unlike: reader.number("unlike", &(0.0..=2.0)),
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
        aim_ms: reader.number("aim_ms", &(1.0..=MAX_DURATION_MS)),
        gap_ms: reader.number("gap_ms", &(1.0..=MAX_DURATION_MS)),
        limit_ms: reader.number("limit_ms", &(1.0..=MAX_DURATION_MS)),
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
    /// Every fault at once, unknown keys included.
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
            reader.fault("make", "must stand there once, as [[make]]");
        }
        if deployment.classes.is_empty() {
            reader.fault("class", "is missing: without callers nothing happens");
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

    /// The same as text that [`Deployment::parse`] reads.
    ///
    /// # Errors
    /// When a number can't stand in such a text.
    pub fn to_text(&self) -> Result<String, toml::ser::Error> {
        /// As it stands in a file: one make in a list.
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
    /// Stands in where a file has none, which is a fault.
    fn placeholder() -> Self {
        Self {
            slots: 1,
            memory_tokens: 1_000,
            token_bytes: 1,
            link_mbps: 1.0,
            stride: 1,
            step_ms: 1.0,
            run_ms: 0.0,
            read_per_ms: 1.0,
            piece_tokens: 16,
            unlike: 0.0,
        }
    }
}
