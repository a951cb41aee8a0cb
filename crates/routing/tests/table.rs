//! Lookup of routes, services and customers.

use routing::{Access, Customer, Kind, Route, Share, Table};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(150),
        gap_target: None,
        priority: 0,
        shares: vec![Share { service: "api".to_owned(), weight: 1 }],
        max_attempts: 1,
        no_auth: false,
        allowed_regions: None,
    }
}

fn found<'a>(table: &'a Table, host: &str, path: &str) -> Option<&'a str> {
    table.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes =
        vec![route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("b", "b.example", "/")];
    let table = Table::new(1, routes, Vec::new());
    assert_eq!(found(&table, "a.example", "/x/1"), Some("short"));
    assert_eq!(found(&table, "a.example", "/x/y/1"), Some("long"));
    assert_eq!(found(&table, "a.example", "/x"), None);
    assert_eq!(found(&table, "b.example", "/x/y/1"), Some("b"));
    assert_eq!(found(&table, "c.example", "/x/"), None);
}

#[test]
fn a_port_and_capitals_in_the_host_do_not_matter() {
    let table = Table::new(1, vec![route("r", "a.example", "/")], Vec::new());
    assert_eq!(found(&table, "A.Example:8080", "/"), Some("r"));
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("r", "a.example", "/");
    let share = |service: &str, weight| Share { service: service.to_owned(), weight };
    split.shares = vec![share("most", 90), share("some", 10), share("none", 0)];
    let draws = (0..1_000).map(|i| split.service(f64::from(i) / 1_000.0));
    assert_eq!(draws.clone().filter(|service| *service == "most").count(), 900);
    assert_eq!(draws.filter(|service| *service == "none").count(), 0);
    split.shares = vec![share("first", 0), share("second", 0)];
    assert_eq!(split.service(0.99), "first");
}

#[test]
fn a_key_is_required_only_if_there_are_customers_and_the_route_needs_authentication() {
    let closed = route("closed", "a.example", "/");
    let open = Route { no_auth: true, ..route("open", "a.example", "/o/") };
    let without = Table::new(1, vec![closed.clone()], Vec::new());
    assert_eq!(without.access(&closed, None), Access::Granted(None));
    let customer = Customer { name: "lender".to_owned(), priority: Some(1), allowed_regions: None };
    let with = without.with_customers(vec![(customer.clone(), vec!["k1".to_owned(), "k2".to_owned()])]);
    assert_eq!(with.access(&closed, None), Access::Denied);
    assert_eq!(with.access(&closed, Some("k3")), Access::Denied);
    assert_eq!(with.access(&closed, Some("k2")), Access::Granted(Some(customer.into())));
    assert_eq!(with.access(&open, None), Access::Granted(None));
}

#[test]
fn requests_of_any_customer_are_more_urgent_than_those_of_a_route_of_lower_priority() {
    let with_priority = |priority| Route { priority, ..route("r", "a.example", "/") };
    let customer = |priority| Customer { name: "c".to_owned(), priority, allowed_regions: None };
    for priority in 0..=2 {
        let urgencies = |priority| {
            let route = with_priority(priority);
            (0..=20).map(move |priority| route.urgency(Some(&customer(Some(priority))))).collect::<Vec<u8>>()
        };
        let (own, below) = (urgencies(priority), urgencies(priority + 1));
        assert!(own.iter().max() < below.iter().min(), "{own:?} {below:?}");
        assert!(own[0] < own[1], "on the same route, the customer's priority decides");
        assert_eq!(with_priority(priority).urgency(None), with_priority(priority).urgency(Some(&customer(None))));
    }
    assert_eq!(with_priority(u8::MAX).urgency(None), 9);
}
