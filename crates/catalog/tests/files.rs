//! Validation of the operators' files and integrity of releases.

use catalog::{ApiKeyHasher, Catalog, Digest, Fault, Manifest, Release, CUSTOMER_PARTS, MAX_PART_BYTES};
use proptest::prelude::*;

const CLASSES: &str = include_str!("../../../examples/lakes/classes.toml");
const CUSTOMERS: &str = include_str!("../../../examples/lakes/customers.toml");
const UPSTREAMS: &str = include_str!("../../../examples/lakes/upstreams.toml");

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

#[test]
fn all_faults_of_all_files_are_reported_at_once() {
    let classes = r#"
colour = "red"
[[class]]
name = "hotline"
rank = 300
urgent = true
preemptible = true
first_token_ms = 560
[[class]]
name = "review"
rank = 1
first_token_ms = "soon"
"#;
    let customers = r#"
[[customer]]
name = "a b"
key_hash = "short"
classes = ["hotline", "unknown"]
[[customer]]
name = "twin"
key_hash = "00000000000000000000000000000001"
classes = []
[[customer]]
name = "twin"
key_hash = "00000000000000000000000000000001"
classes = ["hotline"]
default_class = "review"
"#;
    let upstreams = r#"
[[upstream]]
name = "u"
hall = "h"
model = "m"
service = "s"
address = "somewhere"
slots = 0
[[upstream]]
name = "v"
hall = "h"
service = "undeclared"
address = "10.0.0.1:1"
slots = 1
"#;
    let parts = [("classes", classes), ("customers", customers), ("upstreams", upstreams)];
    let faults = Catalog::parse(&parts).expect_err("many faults");
    insta::assert_snapshot!(lines(&faults));
}

#[test]
fn examples_pack_and_a_change_to_one_customer_changes_one_part() {
    let one = Release::pack(1, CLASSES, CUSTOMERS, UPSTREAMS).expect("a valid release");
    let changed = CUSTOMERS.replacen("weight = 4", "weight = 5", 1);
    let two = Release::pack(2, CLASSES, &changed, UPSTREAMS).expect("a valid release");
    let changed_parts = two.parts.keys().filter(|digest| !one.parts.contains_key(*digest)).count();
    assert_eq!(changed_parts, 1);
    assert!(two.check_against(&one).is_empty());
    assert_eq!(one.check_against(&two).len(), 1);
    assert_eq!(two.check_against(&two).len(), 1, "a repeated number is refused before publishing");
}

#[test]
fn parts_with_28_000_customers_fit_into_values_of_the_platform() {
    let customer = |i: usize| {
        format!("[[customer]]\nname = \"customer-{i:05}\"\nkey_hash = \"{i:032x}\"\nclasses = [\"hotline\"]\n\n")
    };
    let customers: String = (0..28_000).map(customer).collect();
    let release = Release::pack(1, CLASSES, &customers, UPSTREAMS).expect("a valid release");
    assert_eq!(release.parts.len(), CUSTOMER_PARTS + 2);
    let largest = release.parts.values().map(Vec::len).max().expect("parts");
    assert!(largest < 20_000, "{largest} bytes in one part");
    assert!(release.text.len() < MAX_PART_BYTES);
    assert_eq!(release.check().expect("a valid release").customers.len(), 28_000);
}

#[test]
fn corrupt_missing_and_oversized_parts_are_refused() {
    let good = Release::pack(1, CLASSES, CUSTOMERS, UPSTREAMS).expect("a valid release");
    let digest = good.manifest.parts["classes"];
    let mut corrupt = good.clone();
    corrupt.parts.insert(digest, b"other bytes".to_vec());
    assert!(lines(&corrupt.check().expect_err("corrupt")).contains("don't match"));
    let mut missing = good.clone();
    missing.parts.remove(&digest);
    assert!(lines(&missing.check().expect_err("missing")).contains("missing"));
    let mut oversized = good.clone();
    oversized.parts.insert(digest, vec![b'#'; MAX_PART_BYTES + 1]);
    assert!(lines(&oversized.check().expect_err("oversized")).contains("more than 1000000"));
}

#[test]
fn manifest_of_a_newer_format_is_refused_for_that_reason_only() {
    let good = Release::pack(1, CLASSES, CUSTOMERS, UPSTREAMS).expect("a valid release");
    let newer = format!("{}\nsomething_new = true\n", good.text.replace("format = 1", "format = 2"));
    let faults = Manifest::parse(&newer).expect_err("a newer format");
    assert_eq!(faults.len(), 1);
    assert!(faults[0].reason.contains("newer cleatshelf"));
}

#[test]
fn cached_parts_do_not_change_the_verdict() {
    let mut cache = catalog::ParseCache::default();
    let one = Release::pack(1, CLASSES, CUSTOMERS, UPSTREAMS).expect("a valid release");
    let changed = CUSTOMERS.replacen("weight = 4", "weight = 5", 1);
    let two = Release::pack(2, CLASSES, &changed, UPSTREAMS).expect("a valid release");
    for release in [&one, &two, &one, &two] {
        let cached = release.check_cached(&mut cache).expect("a valid release");
        let uncached = release.check().expect("a valid release");
        assert_eq!(cached.customers, uncached.customers);
        assert_eq!(cached.classes, uncached.classes);
        assert_eq!(cached.pools, uncached.pools);
    }
    // Faults between parts are found although each part is cached.
    let mut twin = two.clone();
    let digest = twin.manifest.parts
        ["customers-000".replace("000", &format!("{:03}", catalog::customer_part("audit"))).as_str()];
    twin.manifest.parts.insert("customers-copy".into(), digest);
    let faults = twin.check_cached(&mut cache).expect_err("a duplicate customer");
    assert_eq!(lines(&faults), lines(&twin.check().expect_err("a duplicate customer")));
}

#[test]
fn api_key_is_found_by_its_hash_only_with_the_right_salt() {
    let hash = ApiKeyHasher::new("lakes-east-2026").hash("a key");
    let customers = format!("[[customer]]\nname = \"a\"\nkey_hash = \"{hash}\"\nclasses = [\"hotline\"]\n");
    let catalog = Catalog::parse(&[("classes", CLASSES), ("customers", &customers)]).expect("valid files");
    assert_eq!(catalog.customer_by_api_key("a key").map(|(index, _)| index), Some(0));
    assert!(catalog.customer_by_api_key("another key").is_none());
    assert_ne!(hash, ApiKeyHasher::new("another salt").hash("a key"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parsers_never_panic(text in "\\PC{0,200}", name in "classes|customers-001|upstreams|else") {
        let _ = Catalog::parse(&[(name.as_str(), text.as_str())]);
        let _ = Manifest::parse(&text);
        let _ = Digest::parse(&text);
    }

    #[test]
    fn manifest_round_trips(number in 1..u64::MAX / 4, names in prop::collection::btree_set("[a-z]{1,9}", 0..9)) {
        let parts = names.iter().map(|n| (n.clone(), Digest::of(n.as_bytes()))).collect();
        let manifest = Manifest { format: 1, number, parts };
        prop_assert_eq!(Manifest::parse(&manifest.render()).expect("a rendered manifest parses"), manifest);
    }
}
