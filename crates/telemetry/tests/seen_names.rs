//! Each name is reported once, up to a fixed number of names.

use telemetry::SeenNames;

#[test]
fn each_name_is_new_once_up_to_the_limit() {
    let seen = SeenNames::default();
    assert!(seen.insert("a") && !seen.insert("a") && seen.insert("b"));
    let new = (0..1_000).filter(|number| seen.insert(&number.to_string())).count();
    assert_eq!(new, 62);
}
