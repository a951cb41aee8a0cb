//! Validation of settings.

use cleatshelf::Settings;

const EXAMPLE: &str = include_str!("../../../examples/lakes/box.toml");

#[test]
fn example_settings_are_valid() {
    let settings = Settings::parse("box.toml", EXAMPLE).expect("valid settings");
    assert_eq!(settings.peers.len(), 8);
}

#[test]
fn all_faults_are_reported_with_file_key_and_reason() {
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
fn debug_output_does_not_contain_the_link_key() {
    let settings = Settings::parse("box.toml", EXAMPLE).expect("valid settings");
    assert!(!format!("{settings:?}").contains(&settings.link.key));
}
