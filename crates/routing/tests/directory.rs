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

#[test]
fn what_lapsed_stays_until_it_is_back_or_expires() {
    let mut directory = Directory::default();
    directory.apply(vec![server("a", false), server("b", false), server("c", true)], 5);
    let lapsed = ["a", "b", "c", "d"].map(|id| Change::Lapsed(id.to_owned()));
    assert!(directory.apply(lapsed.into(), 6), "the draining one is gone");
    assert_eq!(directory.servers.keys().collect::<Vec<_>>(), ["a", "b"]);
    directory.apply(vec![server("a", false)], 7);
    assert!(!directory.expire("a"), "it is back");
    assert!(directory.expire("b"));
    assert!(!directory.expire("b"));
    assert_eq!(directory.servers.keys().collect::<Vec<_>>(), ["a"]);
    assert!(directory.lapsed.is_empty());
}

#[test]
fn a_list_read_after_an_outage_keeps_what_it_lacks_for_a_while() {
    let mut former = Directory::default();
    former.apply(vec![server("a", false), server("b", true)], 5);
    let mut read = Directory::default();
    read.apply(vec![server("z", false)], 9);
    read.lapse_missing(&former);
    assert_eq!(read.servers.keys().collect::<Vec<_>>(), ["a", "z"], "the draining one is gone");
    assert_eq!(read.lapsed.iter().collect::<Vec<_>>(), ["a"]);
    read.apply(vec![Change::Gone("a".to_owned())], 10);
    assert_eq!((read.servers.len(), read.lapsed.len()), (1, 0));
}
