//! Open-loop load generator: requests are sent at their intended times, however slow the answers are.

use crate::client::{Caller, Outcome, Reply};
use crate::example_release::customer_names;
use crate::{answer_tokens, ClassReport, LoadReport, Profile, RequestStream};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum immediate retries of a request, each at a box chosen at random.
const MAX_IMMEDIATE_RETRIES: u32 = 5;

/// A load run against some boxes.
pub struct LoadRun<'a> {
    /// Name of the report.
    pub name: &'a str,
    /// The profile.
    pub profile: &'a Profile,
    /// Caller addresses of the boxes; each request uses a random one, as with a load balancer.
    pub addresses: Vec<SocketAddr>,
    /// Prints progress to standard error.
    pub progress: bool,
}

struct Tally {
    row: ClassReport,
    first: Histogram<u64>,
    between: Histogram<u64>,
    tokens_complete: u64,
    tokens_in_time: u64,
    codes: BTreeMap<String, u64>,
}

impl Tally {
    fn new(class: &str) -> Self {
        let histogram = || Histogram::new_with_max(3_600_000, 3).expect("valid bounds");
        Self {
            row: ClassReport { class: class.to_owned(), ..ClassReport::default() },
            first: histogram(),
            between: histogram(),
            tokens_complete: 0,
            tokens_in_time: 0,
            codes: BTreeMap::new(),
        }
    }

    fn finish(mut self) -> (ClassReport, Self) {
        let at = |h: &Histogram<u64>, q| h.value_at_quantile(q);
        self.row.first_ms = (at(&self.first, 0.5), at(&self.first, 0.99), self.first.max());
        self.row.between_p95_ms = at(&self.between, 0.95) as f64 / 10.0;
        (self.row.clone(), self)
    }
}

type Shared = Rc<RefCell<Tally>>;

/// One intended request.
struct PlannedRequest {
    stream: Rc<RequestStream>,
    caller: Caller,
    prompt: String,
    addresses: Rc<Vec<SocketAddr>>,
    intended: Instant,
    random: ChaCha8Rng,
}

/// Runs the load and waits for the answers. The totals counted by engines and boxes are left for the caller
/// to add.
pub async fn run_load(load: LoadRun<'_>) -> LoadReport {
    let started = Instant::now();
    let addresses = Rc::new(load.addresses);
    let mut tallies = Vec::new();
    let mut generators = Vec::new();
    for (index, stream) in load.profile.streams.iter().enumerate() {
        let tally: Shared = Rc::new(RefCell::new(Tally::new(&stream.class)));
        tallies.push(Rc::clone(&tally));
        let seed = load.profile.seed.wrapping_mul(1_000).wrapping_add(index as u64);
        let generator = generate_requests(
            Rc::new(stream.clone()),
            seed,
            load.profile.seconds,
            Rc::clone(&addresses),
            tally,
            started,
        );
        generators.push(actix_rt::spawn(generator));
    }
    if load.progress {
        let shown: Vec<Shared> = tallies.iter().map(Rc::clone).collect();
        let end_s = load.profile.seconds + load.profile.drain_s;
        actix_rt::spawn(async move {
            while started.elapsed().as_secs_f64() < end_s {
                tokio::time::sleep(Duration::from_secs(5)).await;
                let line: Vec<String> = shown
                    .iter()
                    .map(|t| t.borrow())
                    .map(|t| format!("{} {}/{}", t.row.class, t.row.whole, t.row.sent))
                    .collect();
                eprintln!("{:>4.0}s {}", started.elapsed().as_secs_f64(), line.join("  "));
            }
        });
    }
    for generator in generators {
        // Requests of a generator task that panicked are reported as unfinished.
        let _ = generator.await;
    }
    let drain = Instant::now();
    let open = |t: &Shared| {
        let row = &t.borrow().row;
        row.sent > row.whole + row.refused + row.failed
    };
    while tallies.iter().any(open) && drain.elapsed().as_secs_f64() < load.profile.drain_s {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    summarize(load.name, load.profile, &tallies)
}

fn summarize(name: &str, profile: &Profile, tallies: &[Shared]) -> LoadReport {
    let mut report = LoadReport { name: name.to_owned(), seconds: profile.seconds, ..LoadReport::default() };
    let mut codes: BTreeMap<String, u64> = BTreeMap::new();
    let mut tokens_in_time = 0;
    for tally in tallies {
        let finished = tally.replace(Tally::new("ended"));
        let (mut row, tally) = finished.finish();
        row.unfinished = row.sent - row.whole - row.refused - row.failed;
        report.delivered += tally.tokens_complete;
        tokens_in_time += tally.tokens_in_time;
        report.goodput += row.in_time as f64 / profile.seconds;
        for (code, count) in tally.codes {
            *codes.entry(code).or_default() += count;
        }
        report.rows.push(row);
    }
    report.goodput_tokens = tokens_in_time as f64 / profile.seconds;
    report.codes = codes.into_iter().collect();
    report
}

async fn generate_requests(
    stream: Rc<RequestStream>,
    seed: u64,
    seconds: f64,
    addresses: Rc<Vec<SocketAddr>>,
    tally: Shared,
    started: Instant,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<&str> = customer_names().filter(|c| *c != "limited").collect();
    // Connections are pooled per customer, as in a customer's own client.
    let callers: Vec<Caller> = names.iter().map(|name| Caller::new(name).class(&stream.class)).collect();
    let mut at = 0.0;
    let mut count = 0u64;
    loop {
        let in_burst = at >= stream.burst.0 && at < stream.burst.1;
        let rate = stream.rate * if in_burst { stream.burst_factor } else { 1.0 };
        if rate <= 0.0 {
            return;
        }
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= seconds {
            return;
        }
        let intended = started + Duration::from_secs_f64(at);
        tokio::time::sleep_until(intended.into()).await;
        // The first three customers are large and make two thirds of all requests.
        let large = random.random_bool(0.66);
        let index = if large { random.random_range(0..3) } else { random.random_range(3..names.len()) };
        let mut prompt = format!("{}-{seed}-{count} ", stream.class);
        prompt.extend(std::iter::repeat_n('x', stream.prompt_bytes.saturating_sub(prompt.len())));
        count += 1;
        let mut caller = callers[index].clone();
        if stream.non_repeatable {
            caller = caller.non_repeatable().key(&uuid::Uuid::now_v7().to_string());
        }
        let request = PlannedRequest {
            stream: Rc::clone(&stream),
            caller,
            prompt,
            addresses: Rc::clone(&addresses),
            intended,
            random: ChaCha8Rng::seed_from_u64(random.random()),
        };
        tally.borrow_mut().row.sent += 1;
        actix_rt::spawn(send_request(request, Rc::clone(&tally)));
    }
}

async fn send_request(mut request: PlannedRequest, tally: Shared) {
    let mut immediate_retries = 0;
    loop {
        let address = request.addresses[request.random.random_range(0..request.addresses.len())];
        let reply = match &request.stream.service {
            None => request.caller.complete(address, &request.prompt, request.stream.max_tokens).await,
            Some(service) => {
                let path = format!("/services/{service}/records/{}", request.prompt.trim_end_matches('x').trim_end());
                request.caller.request(address, "GET", &path, "").await
            }
        };
        let wait = match next_step(&reply, &tally) {
            NextStep::Finished => return record_reply(&request, &reply, &tally),
            NextStep::RetryElsewhere if immediate_retries < MAX_IMMEDIATE_RETRIES => {
                immediate_retries += 1;
                Duration::from_millis(5)
            }
            NextStep::RetryElsewhere => return record_refusal(&tally),
            NextStep::RetryAfter(wait) => wait,
        };
        let retry_deadline = Duration::from_secs_f64(request.stream.patience_s);
        if request.intended.elapsed() + wait > retry_deadline {
            return record_refusal(&tally);
        }
        tokio::time::sleep(wait).await;
    }
}

enum NextStep {
    Finished,
    /// Retry almost at once at a box chosen at random, as a load balancer would.
    RetryElsewhere,
    RetryAfter(Duration),
}

fn next_step(reply: &Reply, tally: &Shared) -> NextStep {
    let Outcome::Refused { code, ran, retry_ms, .. } = &reply.outcome else {
        return if reply.outcome == Outcome::Unreachable { NextStep::RetryElsewhere } else { NextStep::Finished };
    };
    let mut tally = tally.borrow_mut();
    *tally.codes.entry(code.clone()).or_default() += 1;
    if ran != "no" {
        return NextStep::Finished;
    }
    tally.row.refusals += 1;
    match retry_ms {
        _ if code == "not_ready" => NextStep::RetryElsewhere,
        Some(ms) => NextStep::RetryAfter(Duration::from_millis(*ms)),
        None => NextStep::Finished,
    }
}

fn record_refusal(tally: &Shared) {
    tally.borrow_mut().row.refused += 1;
}

fn record_reply(request: &PlannedRequest, reply: &Reply, tally: &Shared) {
    let mut tally = tally.borrow_mut();
    match &reply.outcome {
        Outcome::Complete => {}
        Outcome::Refused { ran, .. } if ran == "no" => {
            tally.row.refused += 1;
            return;
        }
        _ => {
            tally.row.failed += 1;
            return;
        }
    }
    tally.row.whole += 1;
    let matches = match &request.stream.service {
        None => answer_tokens(&request.prompt, request.stream.max_tokens).concat() == reply.text,
        Some(_) => reply.text.contains(request.prompt.trim_end_matches('x').trim_end()),
    };
    tally.row.mismatched += u64::from(!matches);
    let Some(first) = reply.times.first() else { return };
    let first_ms = first.duration_since(request.intended).as_millis() as u64;
    tally.first.saturating_record(first_ms);
    let count = reply.times.len() as u64;
    let between_tenths = match reply.times.last() {
        Some(last) if count > 1 => last.duration_since(*first).as_micros() as u64 / 100 / (count - 1),
        _ => 0,
    };
    tally.between.saturating_record(between_tenths);
    let tokens = if request.stream.service.is_some() { 0 } else { count };
    tally.tokens_complete += tokens;
    if first_ms > request.stream.first_token_ms {
        tally.row.late += 1;
    } else if between_tenths > request.stream.between_tokens_ms * 10 {
        tally.row.slow += 1;
    } else {
        tally.row.in_time += 1;
        tally.tokens_in_time += tokens;
    }
}
