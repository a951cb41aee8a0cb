//! Arms compared on many deployments.

use crate::{Arm, Deployment, Outcome, Simulation};
use catalog::{Fault, TableReader};
use rayon::prelude::*;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::path::PathBuf;

/// Confidence of the intervals.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// Where deployments come from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A file of [`Deployment::parse`], relative to the experiment's.
    File(PathBuf),
    /// Drawn from a seed, as long and with at most so many machines as the experiment says.
    Drawn(u64),
}

/// What is compared on what.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// The arms; all others are compared with the first.
    pub arms: Vec<Arm>,
    /// Deployments.
    pub sources: Vec<Source>,
    /// Seeds that each is results with.
    pub seeds: Vec<u64>,
    /// How long drawn deployments are results, in seconds.
    pub seconds: f64,
    /// Most boxes and engines of drawn deployments.
    pub max_machines: usize,
}

/// One play.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunResult {
    /// Name of the deployment.
    pub deployment: String,
    /// The seed.
    pub seed: u64,
    /// The arm.
    pub arm: Arm,
    /// Worth of all classes over what they would be worth in time.
    pub worth: f64,
    /// All else.
    pub outcome: Outcome,
}

/// An arm beside the first one, over the same deployments and seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmComparison {
    /// The arm.
    pub arm: Arm,
    /// Its mean worth.
    pub worth: f64,
    /// How much more that is than the first arm's, and half of the width of the interval around it, over deployments.
    #[serde(rename = "more")]
    pub mean_difference: f64,
    /// See `more`; nothing where there is one deployment.
    #[serde(rename = "within")]
    pub half_width: Option<f64>,
    /// Deployments on which it is worth more by a hundredth, and less.
    pub better: usize,
    /// See `better`.
    pub worse: usize,
}

/// How much worth tells two arms on one deployment apart.
const MIN_WORTH_DIFFERENCE: f64 = 0.01;

impl Experiment {
    /// Reads an experiment from the text of `file`.
    ///
    /// # Errors
    /// Every fault at once, unknown keys included.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = TableReader::parse(file, text);
        let mut arms = Vec::new();
        for (index, name) in reader.strings("arms").iter().enumerate() {
            match name.parse() {
                Ok(arm) => arms.push(arm),
                Err(error) => reader.fault(&format!("arms[{index}]"), error),
            }
        }
        let files = reader.strings("deployments").into_iter().map(|file| Source::File(PathBuf::from(file)));
        let mut sources: Vec<Source> = files.collect();
        let drawn = reader.integer_opt("draws", &(0..=10_000)).unwrap_or_default();
        let first = reader.integer_opt("first_draw", &(0..=1_000_000)).unwrap_or(1);
        sources.extend((first..first + drawn).map(Source::Drawn));
        let seeds = reader.integer_opt("seeds", &(1..=1_000)).unwrap_or(1);
        let experiment = Self {
            name: reader.name("name"),
            arms,
            sources,
            seeds: (1..=seeds).collect(),
            seconds: reader.number_opt("seconds", &(1.0..=3_600.0)).unwrap_or(30.0),
            max_machines: reader.integer_opt("machines_most", &(3..=1_000)).unwrap_or(40) as usize,
        };
        if experiment.arms.is_empty() {
            reader.fault("arms", "is missing: nothing is compared");
        }
        if experiment.sources.is_empty() {
            reader.fault("draws", "is missing, and there are no deployments: nothing is played");
        }
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(experiment)
        } else {
            Err(faults)
        }
    }

    /// How many runs there are.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.sources.len() * self.seeds.len() * self.arms.len()
    }

    /// Plays all on the threads of the pool that this runs in; `done` is told after each play. In the order of deployments, seeds and
    /// arms, whichever ended first.
    #[must_use]
    pub fn run(&self, deployments: &[Deployment], on_run_done: &(dyn Fn() + Sync)) -> Vec<RunResult> {
        let mut runs = Vec::new();
        for deployment in deployments {
            for seed in &self.seeds {
                runs.extend(self.arms.iter().map(|arm| (deployment, *seed, *arm)));
            }
        }
        let run = |(deployment, seed, arm): (&Deployment, u64, Arm)| {
            let outcome = Simulation::new(deployment, arm, seed).run();
            on_run_done();
            RunResult { deployment: deployment.name.clone(), seed, arm, worth: outcome.worth(), outcome }
        };
        runs.into_par_iter().map(run).collect()
    }

    /// Compares each arm with the first: of each deployment the mean over its seeds counts, so that seeds of one deployment don't pass for
    /// many deployments.
    #[must_use]
    pub fn compare(&self, results: &[RunResult]) -> Vec<ArmComparison> {
        let Some(base) = self.arms.first() else { return Vec::new() };
        let mut names: Vec<&str> = results.iter().map(|result| result.deployment.as_str()).collect();
        names.dedup();
        let mean = |name: &str, arm: Arm| {
            let worths = results.iter().filter(|result| result.deployment == name && result.arm == arm);
            average(&worths.map(|result| result.worth).collect::<Vec<_>>())
        };
        let compare = |arm: &Arm| {
            let worths: Vec<f64> = names.iter().map(|name| mean(name, *arm)).collect();
            let differences: Vec<f64> =
                names.iter().zip(&worths).map(|(name, worth)| worth - mean(name, *base)).collect();
            ArmComparison {
                arm: *arm,
                worth: average(&worths),
                mean_difference: average(&differences),
                half_width: half_width(&differences),
                better: differences.iter().filter(|difference| **difference >= MIN_WORTH_DIFFERENCE).count(),
                worse: differences.iter().filter(|difference| **difference <= -MIN_WORTH_DIFFERENCE).count(),
            }
        };
        self.arms.iter().map(compare).collect()
    }
}

fn average(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Half of the width of the confidence interval around the mean of such differences; none for fewer than two.
fn half_width(values: &[f64]) -> Option<f64> {
    let count = values.len() as f64;
    let degrees = count - 1.0;
    let mean = average(values);
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / degrees;
    let student = StudentsT::new(0.0, 1.0, degrees).ok()?;
    Some(student.inverse_cdf(0.5 + CONFIDENCE_LEVEL / 2.0) * (variance / count).sqrt())
}
