//! Measures how the cost of each role grows with size, for docs/CAPACITY.md.
//!
//! The production decision code runs in this process without a network, so its elapsed time is processor
//! time. Lightweight nodes (failure detection and release propagation only) run in virtual time, so that
//! hundreds fit in one process; their byte counts are those of the frames that would be sent.

use crate::fleet_simulation::{self, FleetOutcome};
use crate::owner_benchmark;
use crate::Exchange;
use catalog::{Catalog, Release};
use policy::{KeyHistory, Quota, Time, Usage, UsageMeter, UsageTable};
use serde::Serialize;
use std::fmt::Write as _;
use std::time::Instant;

/// Number of measurements of each point.
const REPETITIONS: usize = 3;

/// The measurements at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The median of the repetitions.
    pub value: f64,
    /// The lowest and the highest value.
    pub spread: (f64, f64),
}

/// One metric measured at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// The role whose cost is measured.
    pub role: &'static str,
    /// Name of the metric, with its unit.
    #[serde(rename = "what")]
    pub metric: &'static str,
    /// Unit of the size.
    pub size: &'static str,
    /// The measured points.
    pub points: Vec<Point>,
    /// Least-squares line: value at size 0 and growth per unit of size.
    pub line: (f64, f64),
}

fn least_squares(points: &[Point]) -> (f64, f64) {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|p| p.size).sum::<f64>() / n;
    let mean_y = points.iter().map(|p| p.value).sum::<f64>() / n;
    let covariance = points.iter().map(|p| (p.size - mean_x) * (p.value - mean_y)).sum::<f64>();
    let variance = points.iter().map(|p| (p.size - mean_x).powi(2)).sum::<f64>();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_y - slope * mean_x, slope)
}

fn measure_slope(
    role: &'static str,
    metric: &'static str,
    size: &'static str,
    sizes: &[usize],
    mut run: impl FnMut(usize, u64) -> f64,
) -> Slope {
    let mut points = Vec::new();
    for size in sizes {
        let mut values: Vec<f64> = (0..REPETITIONS).map(|i| run(*size, i as u64 + 1)).collect();
        values.sort_by(f64::total_cmp);
        points.push(Point {
            size: *size as f64,
            value: values[REPETITIONS / 2],
            spread: (values[0], values[REPETITIONS - 1]),
        });
    }
    let line = least_squares(&points);
    Slope { role, metric, size, points, line }
}

fn mean_micros(started: Instant, count: usize) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Builds the classes, customers and upstreams files of a release with `customers` customers.
fn release_files(customers: usize) -> (String, String, String) {
    let classes = include_str!("../../../examples/lakes/classes.toml").to_owned();
    let mut text = String::new();
    for i in 0..customers {
        // Writing to a String can't fail.
        let _ = write!(
            text,
            "[[customer]]\nname = \"customer-{i:05}\"\nkey_hash = \"{i:032x}\"\nclasses = [\"hotline\", \"review\"]\nweight = 1\n\n"
        );
    }
    let upstreams =
        "[[upstream]]\nname = \"a\"\nhall = \"h\"\nmodel = \"m\"\naddress = \"127.0.0.1:1\"\nslots = 8\nresume = true\n".to_owned();
    (classes, text, upstreams)
}

/// Builds a release with `customers` customers; `changed` alters the weight of the first one.
///
/// # Panics
/// Never, because the generated files are valid.
#[must_use]
pub fn release_with_customers(number: u64, customers: usize, changed: usize) -> Release {
    let (classes, mut text, upstreams) = release_files(customers);
    if changed > 0 {
        text = text.replacen("weight = 1", &format!("weight = {}", 1 + changed), 1);
    }
    Release::pack(number, &classes, &text, &upstreams).expect("valid files")
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kilobytes: f64 = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0.0);
    kilobytes * 1024.0
}

fn measure_release(slopes: &mut Vec<Slope>) {
    let sizes = [3_500, 7_000, 14_000, 28_000];
    // Memory is measured first, before there is freed memory that could be reused. The results of each
    // size are kept alive for the same reason.
    let mut retained = Vec::new();
    slopes.push(measure_slope("release", "bytes of memory for a release in force", "customers", &sizes, |size, _| {
        let before = resident_bytes();
        let release = release_with_customers(1, size, 0);
        let catalog: Catalog = release.check().expect("a valid release");
        let layout = policy::Layout::from_catalog(&catalog);
        retained.push((release, catalog, layout));
        (resident_bytes() - before).max(0.0)
    }));
    drop(retained);
    slopes.push(measure_slope("release", "ms to check a release", "customers", &sizes, |size, _| {
        let release = release_with_customers(1, size, 0);
        let started = Instant::now();
        let checked = release.check();
        assert!(checked.is_ok());
        started.elapsed().as_secs_f64() * 1e3
    }));
    slopes.push(measure_slope(
        "release",
        "ms to take a change of one customer into force",
        "customers",
        &sizes,
        |size, _| fleet_simulation::change_ms(size),
    ));
    slopes.push(measure_slope(
        "release",
        "bytes that one changed customer moves to a box",
        "customers",
        &sizes,
        |size, _| fleet_simulation::change_bytes(size) as f64,
    ));
}

fn measure_propagation(slopes: &mut Vec<Slope>) {
    let sizes = [8, 78, 195, 390];
    let runs: Vec<(usize, Vec<FleetOutcome>)> = sizes
        .iter()
        .map(|n| (*n, (0..REPETITIONS).map(|seed| fleet_simulation::run(*n, 5, seed as u64)).collect()))
        .collect();
    let mut push = |role, metric, value: &dyn Fn(&FleetOutcome) -> f64| {
        slopes.push(measure_slope(role, metric, "boxes in 5 halls", &sizes, |size, seed| {
            let found = runs.iter().find(|(n, _)| *n == size).map(|(_, outcomes)| &outcomes[seed as usize - 1]);
            found.map_or(0.0, value)
        }));
    };
    push("spread", "ms from publishing to in force, half of the boxes", &|o| o.p50_ms);
    push("spread", "ms from publishing to in force, 99 in 100", &|o| o.p99_ms);
    push("spread", "ms from publishing to in force, last box", &|o| o.max_ms);
    push("spread", "ms from publishing to in force, last box, hall cut from the platform", &|o| o.hall_cut_ms);
    push("probe", "bytes a second sent by a box, nothing changing", &|o| o.idle_bytes);
    push("probe", "messages a second sent by a box, nothing changing", &|o| o.idle_messages);
    push("probe", "processor us a second of a box, nothing changing", &|o| o.idle_micros);
    push("probe", "ms from a box's death to the last box of its hall knowing", &|o| o.death_ms);
    push("probe", "bytes a second sent by a box while one box dies", &|o| o.death_bytes);
}

fn measure_owner(slopes: &mut Vec<Slope>) {
    let servers = [3, 6, 12, 24];
    slopes.push(measure_slope(
        "shard owner",
        "processor us a request, full, 8 classes",
        "servers of 8 slots",
        &servers,
        |n, seed| owner_benchmark::request_micros(n, 8, 8, seed),
    ));
    let slots = [8, 45, 90, 180];
    slopes.push(measure_slope(
        "shard owner",
        "processor us a request, full, 12 servers, 8 classes",
        "slots of a server",
        &slots,
        |n, seed| owner_benchmark::request_micros(12, n, 8, seed),
    ));
    let classes = [2, 4, 8, 16];
    slopes.push(measure_slope(
        "shard owner",
        "processor us a request, full, 12 servers",
        "classes",
        &classes,
        |n, seed| owner_benchmark::request_micros(12, 8, n, seed),
    ));
    let waiting = [100, 400, 1_600, 3_200];
    slopes.push(measure_slope(
        "shard owner",
        "processor us a tick with so many waiting",
        "asks",
        &waiting,
        owner_benchmark::tick_micros,
    ));
    let held = [100, 400, 1_600, 6_400];
    slopes.push(measure_slope(
        "shard owner",
        "processor us to renew a lessee's leases",
        "leases held",
        &held,
        owner_benchmark::renew_micros,
    ));
}

fn measure_exchange(slopes: &mut Vec<Slope>) {
    let role = "owner and lessee";
    let boxes = [8, 26, 52, 78];
    let default_size = |n, seed| Exchange { boxes: n, ..Exchange::default() }.run(seed);
    slopes.push(measure_slope(role, "messages a request, 8 slots a server", "boxes at a shard", &boxes, |n, seed| {
        default_size(n, seed).messages_per_request()
    }));
    slopes.push(measure_slope(
        role,
        "bytes of frames a request, 8 slots a server",
        "boxes at a shard",
        &boxes,
        |n, seed| default_size(n, seed).bytes_per_request(),
    ));
    let boxes = [9, 18, 27, 36];
    let planned = |n, seed| Exchange { boxes: n, ..Exchange::planned() }.run(seed);
    slopes.push(measure_slope(role, "messages a request, planned size", "boxes at a shard", &boxes, |n, seed| {
        planned(n, seed).messages_per_request()
    }));
    slopes.push(measure_slope(
        role,
        "bytes of frames a request, planned size",
        "boxes at a shard",
        &boxes,
        |n, seed| planned(n, seed).bytes_per_request(),
    ));
}

fn measure_limits_and_keys(slopes: &mut Vec<Slope>) {
    let sizes = [100, 1_000, 7_000, 28_000];
    slopes.push(measure_slope(
        "limit keeper",
        "processor us for all boxes' words of a second",
        "active customers",
        &sizes,
        |n, _| {
            let usages: Vec<Usage> =
                (0..n).map(|i| Usage { customer: catalog::CustomerId(i as u32), running: 1, tokens: 100 }).collect();
            let mut usage_table = UsageTable::default();
            let started = Instant::now();
            usage_table.record(catalog::BoxId(1), &usages, Time(1));
            started.elapsed().as_secs_f64() * 1e6
        },
    ));
    slopes.push(measure_slope(
        "limit meter",
        "processor us to tell a second's use",
        "active customers",
        &sizes,
        |n, _| {
            let mut meter = UsageMeter::default();
            let none = Quota { weight: 1, max_concurrent: 0, max_tokens_per_minute: 0 };
            for i in 0..n {
                assert!(meter.admit(catalog::CustomerId(i as u32), none, Time(1)));
            }
            let started = Instant::now();
            let reported = meter.usage_to_report(Time(2)).len();
            assert_eq!(reported, n);
            started.elapsed().as_secs_f64() * 1e6
        },
    ));
    let keys = [10_000, 50_000, 100_000, 400_000];
    slopes.push(measure_slope("key keeper", "processor us a claim", "keys remembered", &keys, |n, _| {
        let mut history = KeyHistory::new(Time(0));
        let claim = |key: u64| policy::Claim { key: key.wrapping_mul(0x9e37_79b9), delivery: key, age_ms: Some(0) };
        (0..n as u64).for_each(|key| {
            history.claim(&claim(key), Time(5_000));
        });
        let started = Instant::now();
        (0..1_000).for_each(|key| {
            history.claim(&claim(n as u64 + key), Time(5_001));
        });
        mean_micros(started, 1_000)
    }));
}

/// A group of measurements and its name on the command line.
type Group = (&'static str, fn(&mut Vec<Slope>));

/// All groups in the order of their measurement.
const GROUPS: [Group; 5] = [
    ("release", measure_release),
    ("owner", measure_owner),
    ("exchange", measure_exchange),
    ("keeper", measure_limits_and_keys),
    ("spread", measure_propagation),
];

/// Measures every slope, or only those of one group.
///
/// # Errors
/// Returns a message that lists the known groups if the group is unknown.
pub fn measure_slopes(only: Option<&str>) -> Result<Vec<Slope>, String> {
    let is_selected = |name: &str| only.is_none_or(|only| only == name);
    let mut slopes = Vec::new();
    let selected: Vec<&Group> = GROUPS.iter().filter(|(name, _)| is_selected(name)).collect();
    if selected.is_empty() {
        let names: Vec<&str> = GROUPS.iter().map(|(name, _)| *name).collect();
        return Err(format!("unknown group; the groups are {}", names.join(", ")));
    }
    for (_, group) in selected {
        group(&mut slopes);
    }
    Ok(slopes)
}

/// Formats the slopes as a text table.
#[must_use]
pub fn slopes_table(slopes: &[Slope]) -> String {
    let mut text = String::new();
    for slope in slopes {
        let _ = writeln!(text, "{}: {} by {}", slope.role, slope.metric, slope.size);
        for p in &slope.points {
            let _ = writeln!(text, "  {:>8} {:>14.2}   ({:.2} to {:.2})", p.size, p.value, p.spread.0, p.spread.1);
        }
        let _ = writeln!(text, "  line     {:.3} + {:.6} x size", slope.line.0, slope.line.1);
    }
    text
}
