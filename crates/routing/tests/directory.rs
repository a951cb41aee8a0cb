//! What becomes of the list of servers.

use routing::{Change, Directory, Server};

fn server(id: &str, draining: bool) -> Change {
    Change::Present(Server {
        id: id.to_owned(),
        service: "api".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "hall".to_owned(),
        slots: 4,
        draining,
    })
}

#[test]
fn changes_are_taken_in_order_and_the_revision_never_falls() {
    let mut directory = Directory::default();
    assert!(directory.apply(vec![server("a", false), server("b", false)], 5));
    assert!(directory.apply(vec![server("a", true), Change::Gone("b".to_owned())], 7));
    assert!(directory.servers["a"].draining);
    assert_eq!(directory.servers.len(), 1);
    assert!(!directory.apply(vec![server("a", true), Change::Gone("b".to_owned())], 6));
    assert_eq!(directory.revision, 7);
}
