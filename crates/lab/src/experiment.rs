//! Runs experiments on simulated deployments and reports their results.

use eyre::WrapErr;
use indicatif::{ProgressBar, ProgressStyle};
use model::{ArmComparison, Deployment, Experiment, RunResult, Source};
use std::fmt::Write;
use std::path::Path;
use std::time::Instant;

/// Duration of generated deployments that are printed.
const GENERATED_DURATION_S: f64 = 30.0;
/// Maximum number of boxes and engines in generated deployments.
const MAX_GENERATED_MACHINES: usize = 400;

/// Results of an experiment.
pub struct ExperimentResults {
    /// Result of each run.
    pub results: Vec<RunResult>,
    /// Comparison of each arm with the first.
    pub comparisons: Vec<ArmComparison>,
    /// Elapsed time of all runs in seconds; unlike the other results it differs between runs.
    pub elapsed_s: f64,
}

/// Runs the experiment described by a file on half of the machine's cores, with a progress bar.
///
/// # Errors
/// If a file can't be read or has faults.
pub fn run_experiment(file: &Path) -> eyre::Result<ExperimentResults> {
    let experiment =
        Experiment::parse(&file.display().to_string(), &read_file(file)?).map_err(|faults| combined_error(&faults))?;
    let folder = file.parent().unwrap_or(Path::new("."));
    let deployments: Vec<Deployment> = experiment
        .sources
        .iter()
        .map(|source| load_deployment(&experiment, source, folder))
        .collect::<Result<_, _>>()?;
    let bar = ProgressBar::new(experiment.run_count() as u64);
    bar.set_style(ProgressStyle::with_template("{wide_bar} {pos} of {len} plays, {eta} left")?);
    let threads = std::thread::available_parallelism().map_or(1, |cores| cores.get().div_ceil(2));
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build()?;
    let started = Instant::now();
    let results = pool.install(|| experiment.run(&deployments, &|| bar.inc(1)));
    bar.finish_and_clear();
    let comparisons = experiment.compare(&results);
    Ok(ExperimentResults { results, comparisons, elapsed_s: started.elapsed().as_secs_f64() })
}

fn load_deployment(experiment: &Experiment, source: &Source, folder: &Path) -> eyre::Result<Deployment> {
    match source {
        Source::Drawn(seed) => Ok(Deployment::draw(*seed, experiment.seconds, experiment.max_machines)),
        Source::File(file) => {
            let file = folder.join(file);
            Deployment::parse(&file.display().to_string(), &read_file(&file)?).map_err(|faults| combined_error(&faults))
        }
    }
}

fn read_file(file: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())
}

/// Combines all faults of a file into one error.
fn combined_error(faults: &[catalog::Fault]) -> eyre::Report {
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    eyre::eyre!("{}", faults.join("\n"))
}

/// Returns the text of the deployment generated from a seed.
///
/// # Errors
/// If the deployment can't be serialized.
pub fn draw_deployment(seed: u64) -> eyre::Result<String> {
    Ok(Deployment::draw(seed, GENERATED_DURATION_S, MAX_GENERATED_MACHINES).to_text()?)
}

impl ExperimentResults {
    /// Returns one JSON line for each run and one for each arm. The same file always gives the same lines.
    ///
    /// # Errors
    /// If a result can't be serialized.
    pub fn json_lines(&self) -> eyre::Result<String> {
        let mut lines = String::new();
        for result in &self.results {
            writeln!(lines, "{}", serde_json::to_string(result)?)?;
        }
        for comparison in &self.comparisons {
            writeln!(lines, "{}", serde_json::to_string(comparison)?)?;
        }
        Ok(lines)
    }

    /// Formats the comparison of each arm with the first and the shares of request outcomes as a text table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = format!(
            "{:<18} {:>6} {:>16} {:>6} {:>6} {:>7} {:>6} {:>7} {:>6} {:>9} {:>9}\n",
            "arm", "worth", "more", "better", "worse", "in time", "late", "refused", "lost", "again Mt", "moved Mt"
        );
        for ArmComparison { arm, worth, mean_difference, half_width, better, worse } in &self.comparisons {
            let outcomes = || self.results.iter().filter(|result| result.arm == *arm).map(|result| &result.outcome);
            let classes = || outcomes().flat_map(|outcome| &outcome.classes);
            let request_count = classes().map(|class| class.requests).sum::<u64>().max(1) as f64;
            let share = |count: u64| count as f64 / request_count;
            let half_width = half_width.map_or_else(String::new, |half_width| format!(" ±{half_width:.4}"));
            // Writing to memory can't fail.
            let _ = writeln!(
                table,
                "{:<18} {worth:>6.4} {:>16} {better:>6} {worse:>6} {:>7.4} {:>6.4} {:>7.4} {:>6.4} {:>9.2} {:>9.2}",
                arm.as_str(),
                format!("{mean_difference:+.4}{half_width}"),
                share(classes().map(|class| class.in_time).sum()),
                share(classes().map(|class| class.late).sum()),
                share(classes().map(|class| class.refused).sum()),
                share(classes().map(|class| class.lost).sum()),
                outcomes().map(|outcome| outcome.recomputed_tokens).sum::<u64>() as f64 / 1e6,
                outcomes().map(|outcome| outcome.fetched_tokens).sum::<u64>() as f64 / 1e6,
            );
        }
        let _ = writeln!(table, "{} plays in {:.1} s", self.results.len(), self.elapsed_s);
        table
    }
}
