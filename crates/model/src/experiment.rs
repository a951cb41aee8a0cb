//! Comparison of arms on many deployments.

use crate::{Arm, Deployment, Outcome, Simulation};
use catalog::{Fault, TableReader};
use rayon::prelude::*;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::path::PathBuf;

/// Confidence level of the intervals around mean differences.
const CONFIDENCE_LEVEL: f64 = 0.95;

/// Source of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A file that [`Deployment::parse`] reads; the path is relative to the experiment's file.
    File(PathBuf),
    /// A deployment drawn from this seed, with the duration and the maximum number of machines of the experiment.
    Drawn(u64),
}

/// A set of arms, and the deployments and seeds on which they are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Name of the experiment.
    pub name: String,
    /// Arms to compare; the first is the baseline of the others.
    pub arms: Vec<Arm>,
    /// Sources of the deployments.
    pub sources: Vec<Source>,
    /// Seeds with which each deployment is simulated.
    pub seeds: Vec<u64>,
    /// Duration of drawn deployments, in seconds of virtual time.
    pub seconds: f64,
    /// Maximum number of boxes, and of engines, of drawn deployments.
    pub max_machines: usize,
}

/// Result of one simulation run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunResult {
    /// Name of the deployment.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// Policy that was simulated.
    pub arm: Arm,
    /// Worth of all answers relative to their worth if all were in time; see [`Outcome::worth`].
    pub worth: f64,
    /// Detailed figures of the run.
    pub outcome: Outcome,
}

/// Comparison of an arm with the first one over the same deployments and seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ArmComparison {
    /// Arm that is compared.
    pub arm: Arm,
    /// Mean worth of the arm over all deployments.
    pub worth: f64,
    /// Mean difference of `worth` to the first arm's, paired by deployment.
    #[serde(rename = "more")]
    pub mean_difference: f64,
    /// Half the width of the confidence interval around `mean_difference`; `None` if there is only one deployment.
    #[serde(rename = "within")]
    pub half_width: Option<f64>,
    /// Number of deployments on which the arm's worth is higher by at least 0.01.
    pub better: usize,
    /// Number of deployments on which the arm's worth is lower by at least 0.01.
    pub worse: usize,
}

/// Smallest difference in worth at which an arm counts as better or worse on a deployment.
const MIN_WORTH_DIFFERENCE: f64 = 0.01;

impl Experiment {
    /// Reads an experiment from the text of `file`.
    ///
    /// # Errors
    /// Returns all faults of the file at once, including unknown keys.
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
            reader.fault("arms", "is missing: at least one arm is required");
        }
        if experiment.sources.is_empty() {
            reader.fault("draws", "is missing, and no deployments are listed: there is nothing to simulate");
        }
        let faults = reader.finish();
        if faults.is_empty() {
            Ok(experiment)
        } else {
            Err(faults)
        }
    }

    /// Returns the number of simulation runs: one for each deployment, seed and arm.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.sources.len() * self.seeds.len() * self.arms.len()
    }

    /// Runs all simulations on the current rayon thread pool and calls `on_run_done` after each. Results are ordered by
    /// deployment, seed and arm, independently of the order in which runs end.
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

    /// Compares each arm with the first. Worth is averaged over the seeds of a deployment first, so that several seeds
    /// of one deployment don't count as independent deployments.
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

/// Returns half the width of the confidence interval around the mean of `values`, or `None` for fewer than two values.
fn half_width(values: &[f64]) -> Option<f64> {
    let count = values.len() as f64;
    let degrees = count - 1.0;
    let mean = average(values);
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / degrees;
    let student = StudentsT::new(0.0, 1.0, degrees).ok()?;
    Some(student.inverse_cdf(0.5 + CONFIDENCE_LEVEL / 2.0) * (variance / count).sqrt())
}
