//! What is told of once.

use telemetry::SeenNames;

#[test]
fn each_name_is_first_once_and_only_so_many_are() {
    let once = SeenNames::default();
    assert!(once.insert("a") && !once.insert("a") && once.insert("b"));
    let first = (0..1_000).filter(|number| once.insert(&number.to_string())).count();
    assert_eq!(first, 62);
}
