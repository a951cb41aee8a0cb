//! Servers whose slots a dispatcher assigns.

mod common;

use common::{request_without_prompt, route, server, service, update, MODEL};
use placement::{Placement, PlacementRequest, Refusal, RetryBudget};
use routing::{AllowedRegions, HallRegions, Server, Service, Table};

/// A box in this hall of the region `east` or of no region, and three plain servers with 6 slots each: two in `east`.
fn placement(hall: &str, region_boxes: usize) -> Placement {
    let regions = [("here", "east"), ("near", "east"), ("far", "west")].map(|(h, r)| (h.to_owned(), r.to_owned()));
    let mut placement =
        Placement::new(hall, RetryBudget::new(0.2, 50.0, 10_000)).with_regions(HallRegions::from(regions));
    let plain = Service { engine: None, ..service(64, 4, None) };
    let table = Table::new(1, vec![route(None)], vec![plain]);
    let servers = [(1, "here"), (2, "near"), (3, "far")].map(|(id, hall)| Server { slots: 6, ..server(id, hall) });
    update(&mut placement, &table, servers.to_vec(), &[], 0);
    placement.set_region_boxes(region_boxes);
    placement
}

fn request<'a>(tried: &'a [String], allowed: Option<&'a AllowedRegions>) -> PlacementRequest<'a> {
    let allowed_regions = [allowed, None];
    PlacementRequest { prompt: None, tried, allowed_regions, now: 100, ..request_without_prompt() }
}

/// Guards against a dispatcher where a box's own requests suffice, and against none where they don't.
#[test]
fn slots_are_assigned_where_a_region_has_more_boxes_than_slots() {
    let west = AllowedRegions::new(vec!["west".to_owned()]);
    for (hall, boxes, allowed, expected) in [
        ("here", 12, None, false),
        ("here", 13, None, true),
        ("here", 13, west.as_ref(), false),
        ("far", 6, None, false),
        ("far", 7, None, true),
        // A hall of no region has no servers that a dispatcher could assign.
        ("nowhere", 100, None, false),
    ] {
        assert_eq!(
            placement(hall, boxes).assigns_slots(&request(&[], allowed)),
            expected,
            "{hall} {boxes} {allowed:?}"
        );
    }
    let mut engines = placement("here", 100);
    update(
        &mut engines,
        &Table::new(2, vec![route(None)], vec![service(64, 4, None)]),
        vec![server(1, "here")],
        &[],
        0,
    );
    assert!(!engines.assigns_slots(&request(&[], None)) && engines.assigned_services(0).is_empty());
    assert_eq!(engines.plain_servers(MODEL, Some("east"), 0), Vec::new());
}

/// Guards against grants at servers that may no longer be sent to.
#[test]
fn only_open_servers_are_usable_and_chosen() {
    let mut placement = placement("here", 13);
    let usable = |placement: &Placement, now| -> Vec<(String, u32, bool)> {
        let servers = placement.plain_servers(MODEL, Some("east"), now);
        servers.into_iter().map(|server| (server.id, server.slots, server.usable)).collect()
    };
    assert_eq!(usable(&placement, 0), [("s1".to_owned(), 8, true), ("s2".to_owned(), 8, true)]);
    assert_eq!(placement.choose_server(&request(&[], None), "s2").expect("a server").server.id, "s2");
    placement.record_back_off("s1", 150);
    placement.record_leaving("s2", Some(false), 0);
    let tried = ["s3".to_owned()];
    for (id, refusal) in [
        ("s1", Refusal::BackingOff { retry_ms: 50 }),
        ("s2", Refusal::NoServer),
        ("s3", Refusal::NoServer),
        ("unlisted", Refusal::NoServer),
    ] {
        assert_eq!(placement.choose_server(&request(&tried, None), id).err(), Some(refusal), "{id}");
    }
    assert_eq!(usable(&placement, 149), [("s1".to_owned(), 8, false), ("s2".to_owned(), 8, false)]);
    assert!(usable(&placement, 150)[0].2, "a back-off ends");
}
