//! The Prometheus text format.

use telemetry::PrometheusRecorder;

#[test]
fn counters_gauges_and_histograms_are_rendered() {
    let recorder = PrometheusRecorder::new();
    metrics::with_local_recorder(&recorder, || {
        metrics::counter!("requests_total", "outcome" => "answered").increment(2);
        metrics::counter!("requests_total", "outcome" => "a\"b").increment(1);
        metrics::gauge!("running").set(3.5);
        for seconds in [0.0005, 0.15, 0.15, 2_000.0] {
            metrics::histogram!("request_seconds").record(seconds);
        }
    });
    let text = recorder.render();
    assert!(text.contains("# TYPE requests_total counter\n"));
    assert!(text.contains("requests_total{outcome=\"answered\"} 2\n"));
    assert!(text.contains("requests_total{outcome=\"a\\\"b\"} 1\n"));
    assert!(text.contains("running 3.5\n"));
    assert!(text.contains("request_seconds_bucket{le=\"0.001\"} 1\n"));
    assert!(text.contains("request_seconds_bucket{le=\"0.2\"} 3\n"));
    assert!(text.contains("request_seconds_bucket{le=\"+Inf\"} 4\n"));
    assert!(text.contains("request_seconds_count 4\n"));
}
