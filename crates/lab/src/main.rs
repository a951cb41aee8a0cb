//! Command-line interface of the lab.

use argh::FromArgs;
use lab::{plot, run_case, run_load, ComparisonCase, Deployment, DeploymentSpec, LoadReport, LoadRun, Profile, Soak};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

const DEMO_PROFILE: &str = include_str!("../profiles/demo.toml");
const LAKES_CLASSES: &str = include_str!("../../../examples/lakes/classes.toml");
const HIMALKOSH_CLASSES: &str = include_str!("../../../examples/himalkosh/classes.toml");

/// Stand-ins, load generator and benchmarks for cleatshelf.
#[derive(FromArgs)]
struct Command {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Demo(DemoArgs),
    Up(UpArgs),
    Load(LoadArgs),
    Compare(CompareArgs),
    Plot(PlotArgs),
    Fleet(FleetArgs),
    Overhead(OverheadArgs),
    Slopes(SlopesArgs),
    Soak(SoakArgs),
    Experiment(ExperimentArgs),
    Draw(DrawArgs),
    Box(BoxArgs),
}

/// start three halls with stand-ins on loopback, run a short burst of every class, print the table
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// start three halls with stand-ins on loopback and keep them until interrupted
#[derive(FromArgs)]
#[argh(subcommand, name = "up")]
struct UpArgs {
    /// seconds after which everything is stopped (default: 600)
    #[argh(option, default = "600")]
    seconds: u64,
}

/// start a deployment and run the load of a profile against it
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// the load profile
    #[argh(option)]
    profile: PathBuf,
    /// factor for all request rates (default: 1)
    #[argh(option, default = "1.0")]
    load: f64,
    /// scheduling mode: owner, alone-arrival or alone-class
    #[argh(option, default = "String::from(\"owner\")")]
    way: String,
    /// slow down one engine and crash another during the run
    #[argh(switch)]
    faults: bool,
    /// use himalkosh's classes and its four halls
    #[argh(switch)]
    himalkosh: bool,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// run every scheduling mode at several loads, with and without faults, and write JSON lines to a file
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// the load profile; its rates are those of load 1
    #[argh(option)]
    profile: PathBuf,
    /// use himalkosh's classes and its four halls
    #[argh(switch)]
    himalkosh: bool,
    /// comma-separated loads
    #[argh(option, default = "String::from(\"0.7,1.0,1.5,3.0\")")]
    loads: String,
    /// comma-separated scheduling modes
    #[argh(option, default = "String::from(\"alone-arrival,alone-class,owner\")")]
    ways: String,
    /// skip the runs with faults
    #[argh(switch)]
    calm: bool,
    /// the output file
    #[argh(option)]
    out: PathBuf,
}

/// plot attainment against load from the JSON lines of `compare`
#[derive(FromArgs)]
#[argh(subcommand, name = "plot")]
struct PlotArgs {
    /// the output file of `compare`
    #[argh(option)]
    from: PathBuf,
    /// the class to plot
    #[argh(option)]
    class: String,
    /// the SVG file to write
    #[argh(option)]
    out: PathBuf,
}

/// measure release propagation, idle cost and owner failover on eight boxes; prints JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArgs {}

/// measure the overhead of one box compared with direct calls to the engine stand-in; prints JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
struct OverheadArgs {}

/// measure how costs grow with size, for docs/CAPACITY.md
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesArgs {
    /// measure one group only: release, owner, exchange, keeper or spread
    #[argh(option)]
    only: Option<String>,
    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

/// inject seeded random faults into six boxes under load and check the invariants; prints JSON
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// seed of the faults and requests (default: 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// duration of faults and requests in seconds (default: 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

/// compare policies on simulated deployments in virtual time
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
struct ExperimentArgs {
    /// the experiment file
    #[argh(positional)]
    file: PathBuf,
    /// file for the JSON lines, one for each run and each arm
    #[argh(option)]
    out: Option<PathBuf>,
}

/// print the deployment that `experiment` generates for a seed
#[derive(FromArgs)]
#[argh(subcommand, name = "draw")]
struct DrawArgs {
    /// seed of the deployment
    #[argh(option)]
    seed: u64,
}

/// run one box as `cleatshelf serve` does (used internally to start box processes)
#[derive(FromArgs)]
#[argh(subcommand, name = "box")]
struct BoxArgs {
    /// settings file of the box
    #[argh(option)]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let command: Command = argh::from_env();
    let result = match command.subcommand {
        Subcommand::Box(args) => return run_box(&args.settings),
        Subcommand::Demo(args) => actix_rt::System::new().block_on(demo(&args)),
        Subcommand::Up(args) => actix_rt::System::new().block_on(up(&args)),
        Subcommand::Load(args) => actix_rt::System::new().block_on(run_load_command(&args)),
        Subcommand::Compare(args) => actix_rt::System::new().block_on(run_comparison(&args)),
        Subcommand::Plot(args) => draw_plot(&args),
        Subcommand::Experiment(args) => experiment(&args),
        Subcommand::Draw(args) => print_deployment(&args),
        Subcommand::Fleet(_) => actix_rt::System::new().block_on(measure_fleet()),
        Subcommand::Overhead(_) => actix_rt::System::new().block_on(measure_overhead()),
        Subcommand::Slopes(args) => measure_slopes(&args),
        Subcommand::Soak(args) => actix_rt::System::new().block_on(run_soak(&args)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lab: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_box(settings: &Path) -> ExitCode {
    let path = settings.display().to_string();
    cleatshelf::run(match Command::box_command(&path) {
        Some(command) => command,
        None => return ExitCode::FAILURE,
    })
}

impl Command {
    /// Builds the command of the cleatshelf binary, so that boxes run the same code as in production.
    fn box_command(settings: &str) -> Option<cleatshelf::Command> {
        cleatshelf::Command::from_args(&["cleatshelf"], &["serve", "--settings", settings]).ok()
    }
}

fn current_program() -> eyre::Result<PathBuf> {
    Ok(std::env::current_exe()?)
}

fn deployment_spec(himalkosh: bool) -> DeploymentSpec {
    if !himalkosh {
        return DeploymentSpec::default();
    }
    let halls = [("lalitpur-a", 2, 3, 1), ("lalitpur-b", 2, 2, 1), ("bhaktapur", 2, 2, 1), ("kirtipur", 2, 2, 1)];
    let halls = halls.iter().map(|(h, b, e, p)| ((*h).to_owned(), *b, *e, *p)).collect();
    DeploymentSpec { halls, himalkosh: true, ..DeploymentSpec::default() }
}

fn parse_profile(file: &str, text: &str, himalkosh: bool) -> eyre::Result<Profile> {
    let classes = if himalkosh { HIMALKOSH_CLASSES } else { LAKES_CLASSES };
    Profile::parse(file, text, classes).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        eyre::eyre!("{}", faults.join("\n"))
    })
}

fn print_report(report: &LoadReport, json: bool) -> eyre::Result<()> {
    if json {
        println!("{}", serde_json::to_string(report)?);
    } else {
        println!("{}", report.table());
    }
    Ok(())
}

async fn demo(args: &DemoArgs) -> eyre::Result<()> {
    let profile = parse_profile("demo", DEMO_PROFILE, false)?;
    eprintln!("starting 8 boxes in 3 halls, 9 engines, 3 plain services on loopback");
    let deployment = Deployment::start(DeploymentSpec::default(), &current_program()?)?;
    if !deployment.wait_until_ready(Duration::from_secs(20)).await {
        eyre::bail!("the boxes did not become ready");
    }
    eprintln!("all boxes are ready; {} s of mixed load with a burst of hotline calls", profile.seconds);
    let load = LoadRun { name: "demo", profile: &profile, addresses: deployment.caller_addresses(), progress: true };
    let mut report = run_load(load).await;
    lab::add_server_totals(&mut report, &deployment, 0).await;
    print_report(&report, args.json)
}

async fn up(args: &UpArgs) -> eyre::Result<()> {
    let deployment = Deployment::start(DeploymentSpec::default(), &current_program()?)?;
    if !deployment.wait_until_ready(Duration::from_secs(20)).await {
        eyre::bail!("the boxes did not become ready");
    }
    for (name, process) in &deployment.boxes {
        println!("{name:<20} callers http://{}  operators http://{}", process.caller_address, process.operator_address);
    }
    println!("API key: {}", lab::api_key("large-1"));
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        () = tokio::time::sleep(Duration::from_secs(args.seconds)) => {}
    }
    Ok(())
}

async fn run_load_command(args: &LoadArgs) -> eyre::Result<()> {
    let text = std::fs::read_to_string(&args.profile)?;
    let profile = parse_profile(&args.profile.display().to_string(), &text, args.himalkosh)?;
    let case = ComparisonCase { scheduling_mode: args.way.clone(), load: args.load, faults: args.faults };
    let report = run_case(&case, &deployment_spec(args.himalkosh), &profile, &current_program()?).await?;
    print_report(&report, args.json)
}

async fn run_comparison(args: &CompareArgs) -> eyre::Result<()> {
    let text = std::fs::read_to_string(&args.profile)?;
    let profile = parse_profile(&args.profile.display().to_string(), &text, args.himalkosh)?;
    let loads: Vec<f64> = args.loads.split(',').map(str::parse).collect::<Result<_, _>>()?;
    let mut lines = String::new();
    for load in loads {
        for faults in [false, true] {
            if faults && args.calm {
                continue;
            }
            for way in args.ways.split(',') {
                let case = ComparisonCase { scheduling_mode: way.to_owned(), load, faults };
                let report = run_case(&case, &deployment_spec(args.himalkosh), &profile, &current_program()?).await?;
                println!("\n== {} at load {load}\n{}", report.name, report.table());
                lines.push_str(&serde_json::to_string(&report)?);
                lines.push('\n');
                std::fs::write(&args.out, &lines)?;
            }
        }
    }
    Ok(())
}

async fn measure_fleet() -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(&lab::measure_fleet(&current_program()?).await?)?);
    Ok(())
}

async fn measure_overhead() -> eyre::Result<()> {
    let overhead = lab::measure_overhead(&current_program()?).await?;
    println!("{}", serde_json::to_string_pretty(&overhead)?);
    Ok(())
}

fn measure_slopes(args: &SlopesArgs) -> eyre::Result<()> {
    let slopes = lab::measure_slopes(args.only.as_deref()).map_err(|error| eyre::eyre!(error))?;
    if args.json {
        println!("{}", serde_json::to_string(&slopes)?);
    } else {
        println!("{}", lab::slopes_table(&slopes));
    }
    Ok(())
}

async fn run_soak(args: &SoakArgs) -> eyre::Result<()> {
    let soak = Soak { seed: args.seed, duration: Duration::from_secs(args.seconds) };
    let report = soak.run(&current_program()?).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    if report.violations.is_empty() {
        Ok(())
    } else {
        eyre::bail!("{} invariant violations", report.violations.len())
    }
}

fn experiment(args: &ExperimentArgs) -> eyre::Result<()> {
    let results = lab::run_experiment(&args.file)?;
    if let Some(out) = &args.out {
        std::fs::write(out, results.json_lines()?)?;
    }
    print!("{}", results.table());
    Ok(())
}

fn print_deployment(args: &DrawArgs) -> eyre::Result<()> {
    print!("{}", lab::draw_deployment(args.seed)?);
    Ok(())
}

fn draw_plot(args: &PlotArgs) -> eyre::Result<()> {
    let text = std::fs::read_to_string(&args.from)?;
    let reports: Vec<LoadReport> = text.lines().map(serde_json::from_str).collect::<Result<_, _>>()?;
    plot(&reports, &args.class, &args.out)
}
