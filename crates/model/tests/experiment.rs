//! Comparison of arms.

use model::{Arm, Deployment, Experiment, Outcome, RunResult, Source};

fn experiment(draws: u64) -> Experiment {
    Experiment {
        name: "test".to_owned(),
        arms: vec![Arm::Placement, Arm::Least],
        sources: (1..=draws).map(Source::Drawn).collect(),
        seeds: vec![1, 2],
        seconds: 5.0,
        max_machines: 6,
    }
}

fn result(deployment: &str, seed: u64, arm: Arm, worth: f64) -> RunResult {
    RunResult { deployment: deployment.to_owned(), seed, arm, worth, outcome: Outcome::default() }
}

#[test]
fn compare_pairs_deployments_and_averages_over_seeds() {
    let mut results = Vec::new();
    for (name, base, other) in
        [("a", [0.5, 0.7], [0.6, 0.7]), ("b", [0.2, 0.2], [0.4, 0.4]), ("c", [0.9, 0.9], [0.9, 0.9])]
    {
        for seed in 0..2 {
            results.push(result(name, seed as u64, Arm::Placement, base[seed]));
            results.push(result(name, seed as u64, Arm::Least, other[seed]));
        }
    }
    let compared = experiment(1).compare(&results);
    let near = |value: f64, other: f64| (value - other).abs() < 1e-3;
    assert!(near(compared[0].worth, 1.7 / 3.0) && near(compared[0].mean_difference, 0.0), "{compared:?}");
    // Differences 0.05, 0.2 and 0: mean 0.0833, standard deviation 0.1041, Student's t 4.303 for two degrees of
    // freedom.
    assert!(near(compared[1].mean_difference, 0.0833), "{compared:?}");
    assert!(compared[1].half_width.is_some_and(|within| near(within, 4.303 * 0.104_08 / 3_f64.sqrt())), "{compared:?}");
    assert_eq!((compared[1].better, compared[1].worse), (2, 0));
    let one: Vec<RunResult> = results.into_iter().filter(|result| result.deployment == "a").collect();
    assert_eq!(experiment(1).compare(&one)[1].half_width, None, "no interval from a single deployment");
}

#[test]
fn results_keep_the_order_of_deployments_seeds_and_arms() {
    let experiment = experiment(3);
    let deployments: Vec<Deployment> = (1..=3).map(|seed| Deployment::draw(seed, 5.0, 6)).collect();
    let one = experiment.run(&deployments, &|| {});
    assert_eq!(one, experiment.run(&deployments, &|| {}));
    assert_eq!(one.len(), experiment.run_count());
    let order: Vec<(&str, u64, Arm)> =
        one.iter().map(|result| (result.deployment.as_str(), result.seed, result.arm)).collect();
    let mut sorted = order.clone();
    sorted.sort_unstable();
    assert_eq!(order, sorted);
}
