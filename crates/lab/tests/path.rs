//! End-to-end tests on real processes: every caller gets its own complete answer, invalid input gets a clear
//! error, and no leases or connections leak.

mod common;

use common::*;
use lab::{Caller, DeploymentSpec, Outcome, MODEL};
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const CLASSES: [&str; 3] = ["hotline", "contract-check", "review"];

#[actix_rt::test]
async fn concurrent_callers_each_get_their_own_complete_answer() {
    let deployment = start(one_hall()).await;
    let addresses = deployment.caller_addresses();
    let mut tasks = Vec::new();
    for i in 0..120usize {
        let class = CLASSES[i % CLASSES.len()];
        let customer = lab::customer_names().nth(i % 9).expect("nine customers");
        let mut caller = Caller::new(customer).class(class);
        if i % 5 == 0 {
            caller = caller.non_repeatable().key(&uuid::Uuid::now_v7().to_string());
        }
        let addresses = addresses.clone();
        tasks.push(actix_rt::spawn(async move {
            let prompt = format!("{class} {i}");
            (complete_with_retries(&caller, &addresses, &prompt, 30).await, prompt)
        }));
    }
    for task in tasks {
        let (reply, prompt) = task.await.expect("the task did not panic");
        assert!(is_complete(&reply, &prompt, 30), "{prompt}: {:?}", reply.outcome);
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    assert_eq!(deployment.invariant_violations().await, 0);
    let starts = |prompt: &str| deployment.engines.iter().map(|(_, e)| e.runs_of(prompt).starts).sum::<u32>();
    for i in 0..120usize {
        let class = CLASSES[i % CLASSES.len()];
        let starts = starts(&format!("{class} {i}"));
        // A review may be recalled before its first token and then starts again at another engine.
        let max_starts = if class == "review" && i % 5 != 0 { 4 } else { 1 };
        assert!((1..=max_starts).contains(&starts), "{class} {i} started {starts} times");
    }
}

#[actix_rt::test]
async fn unstreamed_answers_and_text_completions_are_supported() {
    let deployment = start(one_hall()).await;
    let address = first_address(&deployment);
    let caller = Caller::new("large-1");
    let body = json!({"model": MODEL, "max_tokens": 20, "messages": [{"role": "user", "content": "in one piece"}]});
    let reply = caller.post(address, "/v1/chat/completions", &body).await;
    assert!(is_complete(&reply, "in one piece", 20), "{reply:?}");
    let body = json!({"model": MODEL, "max_tokens": 20, "prompt": "as text", "stream": true});
    let reply = caller.post(address, "/v1/completions", &body).await;
    assert!(is_complete(&reply, "as text", 20), "{reply:?}");
    let reply = caller.request(address, "GET", "/v1/models", "").await;
    assert!(reply.text.contains(MODEL));
}

#[actix_rt::test]
async fn plain_services_accept_any_method_and_body() {
    let deployment = start(one_hall()).await;
    let address = first_address(&deployment);
    let caller = Caller::new("large-1").class("lookup");
    let reply = caller.request(address, "GET", "/services/registry/lenders/7?full=1", "").await;
    assert_eq!(reply.text, "GET /lenders/7 ");
    let reply = caller.request(address, "PUT", "/services/registry/notes", "a note").await;
    assert_eq!(reply.text, "PUT /notes a note");
    assert_eq!(deployment.plain_services[0].2.runs("/notes", "a note"), 1);
    let reply = caller.request(address, "GET", "/services/nowhere/x", "").await;
    assert_eq!(refusal(&reply), (404, "not_found".into(), "no".into()));
}

#[actix_rt::test]
async fn invalid_input_gets_a_specific_error_and_leaks_nothing() {
    let deployment = start(one_hall()).await;
    let address = first_address(&deployment);
    let caller = Caller::new("large-1");
    let good = json!({"model": MODEL, "messages": [{"role": "user", "content": "x"}]});
    let chat = "/v1/chat/completions";

    let reply = caller.request(address, "POST", chat, "{not json").await;
    assert_eq!(refusal(&reply), (400, "invalid_json".into(), "no".into()));
    let reply = caller.post(address, chat, &json!({"messages": [1]})).await;
    assert_eq!(refusal(&reply), (400, "invalid_request".into(), "no".into()));
    let reply = caller.post(address, chat, &json!({"model": MODEL, "messages": "x"})).await;
    assert_eq!(refusal(&reply), (400, "invalid_request".into(), "no".into()));
    let reply = caller.post(address, chat, &json!({"model": "none", "messages": [1]})).await;
    assert_eq!(refusal(&reply), (404, "not_found".into(), "no".into()));
    let reply = Caller::new("stranger").post(address, chat, &good).await;
    assert_eq!(refusal(&reply), (401, "invalid_api_key".into(), "no".into()));
    let reply = caller.clone().class("no-class").post(address, chat, &good).await;
    assert_eq!(refusal(&reply), (400, "unknown_class".into(), "no".into()));
    let reply = caller.clone().non_repeatable().key(&"k".repeat(500)).post(address, chat, &good).await;
    assert_eq!(refusal(&reply), (400, "invalid_request".into(), "no".into()));
    let large = "y".repeat(1_200_000);
    let reply = caller.post(address, chat, &json!({"model": MODEL, "messages": [large]})).await;
    assert_eq!(refusal(&reply), (413, "body_too_large".into(), "no".into()));
    let reply = caller.request(address, "GET", "/elsewhere", "").await;
    assert_eq!(refusal(&reply), (404, "not_found".into(), "no".into()));

    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    let starts: u64 = deployment.engines.iter().map(|(_, e)| e.starts()).sum();
    assert_eq!(starts, 0, "requests refused as not run must not start");
    let scrape = scrape(&deployment).await;
    for code in ["invalid_json", "invalid_request", "not_found", "invalid_api_key", "unknown_class", "body_too_large"] {
        let counted = format!("cleatshelf_problems_total{{code=\"{code}\"}}");
        assert!(scrape.contains(&counted), "{code} is not counted:\n{scrape}");
    }
    assert!(scrape.contains("cleatshelf_requests_total{class=\"none\",outcome=\"wrong\"}"));
}

/// Returns the metrics of the first box.
async fn scrape(deployment: &lab::Deployment) -> String {
    let name = &deployment.running_boxes()[0];
    let url = format!("http://{}/metrics", deployment.boxes[name].operator_address);
    let mut response = awc::Client::default().get(url).send().await.expect("metrics");
    let body = response.body().limit(16 << 20).await.expect("a body");
    String::from_utf8_lossy(&body).into_owned()
}

#[actix_rt::test]
async fn served_requests_appear_in_the_histograms_of_class_and_customer() {
    let deployment = start(one_hall()).await;
    let address = first_address(&deployment);
    let reply = Caller::new("large-1").class("review").complete(address, "measured", 10).await;
    assert!(is_complete(&reply, "measured", 10));
    let text = scrape(&deployment).await;
    for name in ["first_token", "between_tokens", "whole_answer"] {
        let series = format!("cleatshelf_{name}_seconds_bucket{{class=\"review\",customer=\"large-1\"");
        assert!(text.contains(&series), "{series} is missing:\n{text}");
    }
    assert!(text.contains("cleatshelf_requests_total{class=\"review\",outcome=\"whole\"} 1"), "{text}");
}

#[actix_rt::test]
async fn slow_request_bodies_time_out_and_leak_nothing() {
    let deployment = start(one_hall()).await;
    let mut socket = tokio::net::TcpStream::connect(first_address(&deployment)).await.expect("a connection");
    let key = lab::api_key("large-1");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: 1000\r\n\r\n{{\"model\""
    );
    socket.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 4_096];
    let read = tokio::time::timeout(EVENT_TIMEOUT, socket.read(&mut answer)).await.expect("an answer").expect("bytes");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(text.contains("408") && text.contains("body_too_slow"), "{text}");
    drop(socket);
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
}

#[actix_rt::test]
async fn disconnecting_callers_cancel_their_work() {
    let plan = lab::DeploymentSpec { token_ms: 50, ..one_hall() };
    let deployment = start(plan).await;
    let address = first_address(&deployment);
    // One caller disconnects while the answer is streamed, another while it waits for a complete response.
    for streamed in [true, false] {
        let body = json!({"model": MODEL, "max_tokens": 4_000, "stream": streamed,
            "messages": [{"role": "user", "content": format!("long {streamed}")}]});
        let caller = Caller::new("large-1");
        let task = actix_rt::spawn(async move { caller.post(address, "/v1/chat/completions", &body).await });
        let engines = deployment.engines.clone();
        assert!(wait_until(|| engines.iter().any(|(_, e)| e.running_requests() > 0)).await, "the request started");
        tokio::time::sleep(Duration::from_millis(300)).await;
        task.abort();
        let idle = wait_until(|| engines.iter().all(|(_, e)| e.running_requests() == 0)).await;
        assert!(idle, "the engine still generates for a disconnected caller (streamed: {streamed})");
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
}

#[actix_rt::test]
async fn disconnecting_callers_leave_no_open_connections() {
    const DISCONNECTED_CALLERS: usize = 40;
    let deployment = start(DeploymentSpec { token_ms: 20, ..one_hall() }).await;
    let address = first_address(&deployment);
    let pid = deployment.pid(&deployment.running_boxes()[0]).expect("a process");
    let open_files = || std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let before = open_files();
    for i in 0..DISCONNECTED_CALLERS {
        let task =
            actix_rt::spawn(async move { Caller::new("large-1").complete(address, &format!("gone {i}"), 400).await });
        tokio::time::sleep(Duration::from_millis(30)).await;
        task.abort();
    }
    assert!(wait_until_idle(&deployment).await, "leases or requests leaked");
    // A few connections to engines are kept open for the next request.
    assert!(
        wait_until(|| open_files() < before + DISCONNECTED_CALLERS / 2).await,
        "{} open files, {before} before",
        open_files()
    );
}

#[actix_rt::test]
async fn graceful_stop_finishes_running_requests_and_refuses_new_ones() {
    let plan = lab::DeploymentSpec { token_ms: 20, ..one_hall() };
    let mut deployment = start(plan).await;
    let name = deployment.running_boxes()[0].clone();
    let address = first_address(&deployment);
    let running: Vec<_> = (0..6)
        .map(|i| {
            let caller = Caller::new("large-1");
            actix_rt::spawn(async move { caller.complete(address, &format!("stopping {i}"), 200).await })
        })
        .collect();
    let engines = deployment.engines.clone();
    assert!(
        wait_until(|| engines.iter().map(|(_, e)| e.running_requests()).sum::<u32>() == 6).await,
        "all requests started"
    );
    deployment.signal(&name, Signal::TERM);
    let refused = loop {
        let reply = Caller::new("large-1").complete(address, "too late", 5).await;
        if reply.outcome != Outcome::Complete {
            break reply;
        }
    };
    assert_eq!(refusal(&refused), (503, "not_ready".into(), "no".into()));
    for (i, task) in running.into_iter().enumerate() {
        let reply = task.await.expect("the task did not panic");
        assert!(is_complete(&reply, &format!("stopping {i}"), 200), "{:?}", reply.outcome);
    }
    assert_eq!(deployment.wait_for_exit(&name, EVENT_TIMEOUT), Some(0), "{}", deployment.log(&name));
    assert!(deployment.log(&name).contains("E103 StopClean"));
}

#[actix_rt::test]
async fn second_signal_aborts_a_stop_and_logs_the_cut_requests() {
    let plan = lab::DeploymentSpec { token_ms: 50, ..one_hall() };
    let mut deployment = start(plan).await;
    let name = deployment.running_boxes()[0].clone();
    let address = first_address(&deployment);
    let task = actix_rt::spawn(async move { Caller::new("large-1").complete(address, "cut", 4_000).await });
    let engines = deployment.engines.clone();
    assert!(wait_until(|| engines.iter().any(|(_, e)| e.running_requests() > 0)).await, "the request started");
    deployment.signal(&name, Signal::TERM);
    assert!(wait_until(|| deployment.log(&name).contains("E102 StopBegun")).await);
    deployment.signal(&name, Signal::TERM);
    assert_eq!(deployment.wait_for_exit(&name, EVENT_TIMEOUT), Some(1));
    assert!(deployment.log(&name).contains("E104 StopCut cut=1"), "{}", deployment.log(&name));
    assert_ne!(
        task.await.expect("the task did not panic").outcome,
        Outcome::Complete,
        "a cut answer must not look complete"
    );
}
