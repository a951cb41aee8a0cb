//! Parsing and serialization of deployments and experiments.

use model::{Arm, Deployment, Experiment, Source};

#[test]
fn drawn_deployments_round_trip_through_toml() {
    for seed in 0..200 {
        let drawn = Deployment::draw(seed, 30.0, 400);
        let text = drawn.to_text().expect("a text");
        assert_eq!(Deployment::parse("drawn.toml", &text), Ok(drawn.clone()), "{text}");
        assert!((3..=400).contains(&drawn.boxes) && (3..=400).contains(&drawn.engines));
        assert_eq!(Deployment::draw(seed, 30.0, 400), drawn);
    }
    assert_ne!(Deployment::draw(1, 30.0, 400), Deployment::draw(2, 30.0, 400));
}

#[test]
fn parse_reports_every_fault_of_a_deployment_file() {
    let text = Deployment::draw(3, 30.0, 20).to_text().expect("a text");
    let text = text.replace("halls = ", "hall = ").replace("near_ms = ", "near_ms = -");
    let text = format!("{text}\n[[burst]]\nclass = \"unknown\"\nat_s = 1.0\nfor_s = 1.0\ntimes = 2.0\n[[fault]]\nkind = \"odd\"\nat_s = 1.0\nfor_s = 1.0\nshare = 7.0\n");
    let faults = Deployment::parse("odd.toml", &text.replace("burst = []\n", "").replace("fault = []\n", ""));
    let faults: Vec<String> = faults.expect_err("faults").iter().map(ToString::to_string).collect();
    for part in [
        "odd.toml: halls:",
        "near_ms:",
        "burst[",
        "'odd' is not slow, crash, leave or limit",
        "share:",
        "odd.toml: hall:",
    ] {
        assert!(faults.iter().any(|fault| fault.contains(part)), "{part} in {faults:#?}");
    }
}

#[test]
fn experiment_parse_reads_every_key_and_reports_every_fault() {
    let text = "name = \"x\"\narms = [\"placement\", \"least\"]\ndraws = 2\nfirst_draw = 5\nseeds = 3\ndeployments = [\"a.toml\"]\n";
    let experiment = Experiment::parse("x.toml", text).expect("an experiment");
    assert_eq!(experiment.arms, [Arm::Placement, Arm::Least]);
    assert_eq!(experiment.sources, [Source::File("a.toml".into()), Source::Drawn(5), Source::Drawn(6)]);
    assert_eq!(experiment.run_count(), 18);
    let faults = Experiment::parse("x.toml", "arms = [\"best\"]\nseeds = 0\nother = 1\n").expect_err("faults");
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for part in ["arms[0]: 'best' is none of placement,", "name:", "seeds:", "draws: is missing", "other:"] {
        assert!(faults.iter().any(|fault| fault.contains(part)), "{part} in {faults:#?}");
    }
}
