//! Measures the overhead of a box: time to the first token, time per token and processor time, compared
//! with direct calls to the engine stand-in in the same run.

use crate::client::{Caller, Outcome, Reply};
use crate::{Deployment, DeploymentSpec};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Requests per second on each path.
const REQUESTS_PER_S: u64 = 50;
/// Duration of each run in seconds.
const DURATION_S: u64 = 12;

/// Tokens per answer in the long run; at 40 ms a token and 50 requests a second about 200 streams
/// are open.
const LONG_ANSWER_TOKENS: u32 = 160;

/// Tokens per answer in the short run, which separates the cost per request from the cost per token.
const SHORT_ANSWER_TOKENS: u32 = 8;

/// Measurement time of an idle box.
const IDLE_WINDOW: Duration = Duration::from_secs(5);

/// Kernel clock ticks per second, the unit of processor time in /proc/PID/stat.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Measured overhead, in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Overhead {
    /// Time to the first token, direct: median, 99th percentile.
    pub direct_first_us: (u64, u64),
    /// Time to the first token through one box: median, 99th percentile.
    pub box_first_us: (u64, u64),
    /// Mean time per token of an answer, direct: median, 99th percentile.
    pub direct_token_us: (u64, u64),
    /// Mean time per token of an answer through one box: median, 99th percentile.
    pub box_token_us: (u64, u64),
    /// Maximum number of concurrent streams through the box.
    pub open_streams: u32,
    /// The box's processor time per second while idle.
    pub cpu_idle_us: f64,
    /// The box's processor time per streamed request, without its tokens.
    pub cpu_request_us: f64,
    /// The box's processor time per token.
    pub cpu_token_us: f64,
    /// Short plain-service requests per second forwarded by one box for 64 concurrent callers.
    pub requests_per_second: f64,
    /// Number of requests through the box in both runs.
    pub requests: u64,
}

struct PathStats {
    first: Histogram<u64>,
    token: Histogram<u64>,
    tokens: u64,
    requests: u64,
}

impl PathStats {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(60_000_000, 3).expect("valid bounds");
        Self { first: histogram(), token: histogram(), tokens: 0, requests: 0 }
    }

    fn record(&mut self, sent: Instant, reply: &Reply) {
        if reply.outcome != Outcome::Complete || reply.times.is_empty() {
            return;
        }
        let first = reply.times[0];
        self.first.saturating_record(first.duration_since(sent).as_micros() as u64);
        let count = reply.times.len() as u64;
        self.requests += 1;
        self.tokens += count;
        if count > 1 {
            let span = reply.times[reply.times.len() - 1].duration_since(first).as_micros() as u64;
            self.token.saturating_record(span / (count - 1));
        }
    }

    fn percentiles(histogram: &Histogram<u64>) -> (u64, u64) {
        (histogram.value_at_quantile(0.5), histogram.value_at_quantile(0.99))
    }
}

/// Returns the processor time used by a process, in seconds.
fn cpu_seconds(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (field(11) + field(12)) / CLOCK_TICKS_PER_S
}

async fn run_requests(
    deployment: &Deployment,
    tokens: u32,
    idle: f64,
    direct: &mut PathStats,
    through: &mut PathStats,
) -> (f64, u64, u64, u32) {
    let address = deployment.caller_addresses()[0];
    let engines: Vec<SocketAddr> = deployment.engines.iter().map(|(_, e)| e.address()).collect();
    let name = deployment.running_boxes()[0].clone();
    let pid = deployment.pid(&name).unwrap_or(0);
    let caller = Caller::new("large-1").class("contract-check");
    let (started, before) = (Instant::now(), cpu_seconds(pid));
    let (requests, token_count) = (through.requests, through.tokens);
    let mut tasks = Vec::new();
    let mut max_open = 0;
    for i in 0..REQUESTS_PER_S * DURATION_S {
        tokio::time::sleep_until((started + Duration::from_micros(i * 1_000_000 / REQUESTS_PER_S)).into()).await;
        // The order alternates, since the second request competes with the first for the processor.
        for is_direct in [i % 2 == 0, i % 2 == 1] {
            let caller = caller.clone();
            let to = if is_direct { engines[i as usize % engines.len()] } else { address };
            tasks.push(actix_rt::spawn(async move {
                let sent = Instant::now();
                // Both paths use the same prompt, so that both answers have the same length.
                (is_direct, sent, caller.complete(to, &format!("overhead {tokens} {i}"), tokens).await)
            }));
        }
        if i % REQUESTS_PER_S == 0 {
            let open = deployment.status(&name).await.map_or(0, |s| s.running as u32);
            max_open = max_open.max(open);
        }
    }
    for task in tasks {
        if let Ok((is_direct, sent, reply)) = task.await {
            (if is_direct { &mut *direct } else { &mut *through }).record(sent, &reply);
        }
    }
    let cpu = cpu_seconds(pid) - before - idle * started.elapsed().as_secs_f64();
    (cpu, through.requests - requests, through.tokens - token_count, max_open)
}

/// Measures short requests per second through one box, from callers that send the next request as soon as
/// the last one is answered.
async fn requests_per_second(deployment: &Deployment) -> f64 {
    const CALLER_COUNT: usize = 64;
    const DURATION: Duration = Duration::from_secs(5);
    let address = deployment.caller_addresses()[0];
    let started = Instant::now();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|_| {
            actix_rt::spawn(async move {
                let caller = Caller::new("large-1").class("lookup");
                let mut completed = 0u64;
                while started.elapsed() < DURATION {
                    let reply = caller.request(address, "GET", "/services/registry/short", "").await;
                    completed += u64::from(reply.outcome == Outcome::Complete);
                }
                completed
            })
        })
        .collect();
    let mut completed = 0;
    for caller in callers {
        completed += caller.await.unwrap_or(0);
    }
    completed as f64 / started.elapsed().as_secs_f64()
}

/// Measures the overhead of one box.
///
/// # Errors
/// If the box can't be started or doesn't become ready.
pub async fn measure_overhead(program: &Path) -> eyre::Result<Overhead> {
    let halls = vec![("hall-lansing".to_owned(), 1, 4, 2)];
    let plan = DeploymentSpec {
        halls,
        slots: 200,
        token_ms: 40,
        equal_engine_speed: true,
        prefill_ms: 0,
        traffic_threads: 2,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(plan, program)?;
    if !deployment.wait_until_ready(Duration::from_secs(20)).await {
        eyre::bail!("the box did not become ready");
    }
    let pid = deployment.pid(&deployment.running_boxes()[0]).unwrap_or(0);
    let before = cpu_seconds(pid);
    tokio::time::sleep(IDLE_WINDOW).await;
    let idle = (cpu_seconds(pid) - before) / IDLE_WINDOW.as_secs_f64();
    let (mut direct, mut through) = (PathStats::new(), PathStats::new());
    let long = run_requests(&deployment, LONG_ANSWER_TOKENS, idle, &mut direct, &mut through).await;
    let percentiles = (
        PathStats::percentiles(&direct.first),
        PathStats::percentiles(&through.first),
        PathStats::percentiles(&direct.token),
        PathStats::percentiles(&through.token),
    );
    let short = run_requests(&deployment, SHORT_ANSWER_TOKENS, idle, &mut direct, &mut through).await;
    // The two runs give two equations for two unknowns: cpu = requests x a + tokens x b.
    let requests_per_second = requests_per_second(&deployment).await;
    let (r1, t1, r2, t2) = (long.1 as f64, long.2 as f64, short.1 as f64, short.2 as f64);
    let determinant = r1 * t2 - r2 * t1;
    Ok(Overhead {
        direct_first_us: percentiles.0,
        box_first_us: percentiles.1,
        direct_token_us: percentiles.2,
        box_token_us: percentiles.3,
        open_streams: long.3,
        cpu_idle_us: 1e6 * idle,
        cpu_request_us: 1e6 * (long.0 * t2 - short.0 * t1) / determinant,
        cpu_token_us: 1e6 * (r1 * short.0 - r2 * long.0) / determinant,
        requests_per_second,
        requests: through.requests,
    })
}
