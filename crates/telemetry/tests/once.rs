//! What is told of once.

use telemetry::Once;

#[test]
fn each_name_is_first_once_and_only_so_many_are() {
    let once = Once::default();
    assert!(once.first("a") && !once.first("a") && once.first("b"));
    let first = (0..1_000).filter(|number| once.first(&number.to_string())).count();
    assert_eq!(first, 62);
}
