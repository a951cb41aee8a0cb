//! Metrics in the Prometheus text format.
//!
//! The registry and the handles come from `metrics-util`; only the rendering is implemented here. The existing
//! Prometheus exporter calibrates the CPU clock for 200 ms at each process start, which on a quarter of a core
//! delays a box's first requests by most of a second.

use metrics::{Counter, Gauge, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use metrics_util::registry::{Registry, Storage};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Histogram bucket bounds in seconds, from a fast token to a long response.
const BUCKET_BOUNDS_S: [f64; 16] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.045, 0.1, 0.2, 0.56, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0, 1200.0];

/// Sums are integers in millionths, so that atomics can add them without a lock.
const MILLIONTHS: f64 = 1_000_000.0;

/// A histogram with the bounds [`BUCKET_BOUNDS_S`].
#[derive(Default)]
struct Buckets {
    /// Number of samples per bucket, not cumulative; the last bucket holds samples above all bounds.
    counts: [AtomicU64; BUCKET_BOUNDS_S.len() + 1],
    /// Sum of all samples in millionths.
    sum: AtomicU64,
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let bucket = BUCKET_BOUNDS_S.partition_point(|bound| *bound < value);
        self.counts[bucket].fetch_add(1, Ordering::Relaxed);
        self.sum.fetch_add((value * MILLIONTHS) as u64, Ordering::Relaxed);
    }
}

struct AtomicStorage;

impl Storage<Key> for AtomicStorage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<Buckets>;

    fn counter(&self, _key: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _key: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, _key: &Key) -> Self::Histogram {
        Arc::default()
    }
}

/// A metrics recorder that renders its metrics for Prometheus.
#[derive(Clone)]
pub struct PrometheusRecorder {
    registry: Arc<Registry<Key, AtomicStorage>>,
}

impl Recorder for PrometheusRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        self.registry.get_or_create_counter(key, |counter| Counter::from_arc(Arc::clone(counter)))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        self.registry.get_or_create_gauge(key, |gauge| Gauge::from_arc(Arc::clone(gauge)))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        self.registry.get_or_create_histogram(key, |histogram| Histogram::from_arc(Arc::clone(histogram)))
    }
}

impl PrometheusRecorder {
    /// Creates an empty recorder without installing it.
    #[must_use]
    pub fn new() -> Self {
        Self { registry: Arc::new(Registry::new(AtomicStorage)) }
    }

    /// Installs a recorder for the whole process.
    ///
    /// # Errors
    /// If a recorder is already installed.
    pub fn install() -> eyre::Result<Self> {
        let recorder = Self::new();
        metrics::set_global_recorder(recorder.clone())
            .map_err(|_| eyre::eyre!("a metrics recorder is already installed"))?;
        Ok(recorder)
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut families: BTreeMap<String, (&'static str, Vec<String>)> = BTreeMap::new();
        let mut add = |key: &Key, kind: &'static str, lines: Vec<String>| {
            families.entry(key.name().to_owned()).or_insert_with(|| (kind, Vec::new())).1.extend(lines);
        };
        self.registry.visit_counters(|key, counter| {
            add(key, "counter", vec![sample(key, "", None, counter.load(Ordering::Relaxed))]);
        });
        self.registry.visit_gauges(|key, gauge| {
            let value = f64::from_bits(gauge.load(Ordering::Relaxed));
            add(key, "gauge", vec![sample(key, "", None, value)]);
        });
        self.registry.visit_histograms(|key, histogram| add(key, "histogram", buckets(key, histogram)));
        let mut text = String::new();
        for (name, (kind, mut lines)) in families {
            if kind != "histogram" {
                lines.sort();
            }
            // Writing to a `String` can't fail.
            let _ = writeln!(text, "# TYPE {name} {kind}");
            text.push_str(&lines.concat());
        }
        text
    }
}

impl Default for PrometheusRecorder {
    fn default() -> Self {
        Self::new()
    }
}

fn buckets(key: &Key, histogram: &Buckets) -> Vec<String> {
    let mut lines = Vec::new();
    let mut sum = 0;
    for (index, count) in histogram.counts.iter().enumerate() {
        sum += count.load(Ordering::Relaxed);
        let bound = BUCKET_BOUNDS_S.get(index).map_or_else(|| "+Inf".to_owned(), f64::to_string);
        lines.push(sample(key, "_bucket", Some(&bound), sum));
    }
    lines.push(sample(key, "_sum", None, histogram.sum.load(Ordering::Relaxed) as f64 / MILLIONTHS));
    lines.push(sample(key, "_count", None, sum));
    lines
}

fn sample(key: &Key, suffix: &str, bound: Option<&str>, value: impl std::fmt::Display) -> String {
    let own = key.labels().map(|label| format!("{}=\"{}\"", label.key(), escape_label(label.value())));
    let labels: Vec<String> = own.chain(bound.map(|bound| format!("le=\"{bound}\""))).collect();
    let labels = if labels.is_empty() { String::new() } else { format!("{{{}}}", labels.join(",")) };
    format!("{}{suffix}{labels} {value}\n", key.name())
}

fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
