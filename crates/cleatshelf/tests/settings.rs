//! Settings: every fault at once, unknown keys included.

use cleatshelf::Settings;

const GOOD: &str = include_str!("../../../examples/lakes/box.toml");

#[test]
fn the_example_is_good() {
    let settings = Settings::parse("box.toml", GOOD).expect("good settings");
    assert_eq!(settings.peers.len(), 8);
}

#[test]
fn every_fault_is_told_at_once_with_file_key_and_reason() {
    let text = r#"
name = "lansing 1"
listen_callers = "localhost:7000"
listen_boxes = "10.0.0.1:7100"
listen_operators = "10.0.0.1:7100"
platform_config = "10.0.0.9:1"
link_key = "short"
traffic_threads = 0
way = "by-luck"
body_bytes = -5
colour = "red"
[[peer]]
name = "a"
hall = "h"
address = "10.0.0.2:1"
weight = 3
[[peer]]
name = "a"
hall = "h"
address = "10.0.0.3:1"
"#;
    let faults = Settings::parse("box.toml", text).expect_err("many faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_secret_is_not_shown() {
    let settings = Settings::parse("box.toml", GOOD).expect("good settings");
    assert!(!format!("{settings:?}").contains(&settings.link.key));
}
