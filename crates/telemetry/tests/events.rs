//! Checks that docs/EVENTS.md lists exactly the events of the code.

use std::collections::HashSet;
use telemetry::Event;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

fn rows() -> Vec<(String, String, String)> {
    let lines = PAGE.lines().filter(|l| l.starts_with("| ") && !l.starts_with("| number"));
    let cells = lines.map(|l| l.split('|').map(|c| c.trim().to_owned()).collect::<Vec<_>>());
    cells.map(|c| (c[1].clone(), c[2].clone(), c[3].clone())).collect()
}

#[test]
fn events_page_lists_exactly_the_events_of_the_code() {
    let code = Event::ALL.iter().map(|e| (e.number().to_string(), e.name().to_owned(), e.level().to_string()));
    assert_eq!(rows(), code.collect::<Vec<_>>());
}

#[test]
fn event_numbers_are_unique() {
    let numbers: HashSet<u16> = Event::ALL.iter().map(|e| e.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
