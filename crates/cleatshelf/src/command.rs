//! The command line.

use crate::status::{Explanation, Status};
use crate::{router, serve, Settings};
use argh::FromArgs;
use catalog::{ApiKeyHasher, Catalog, Digest, Fault, Manifest, Release};
use eyre::WrapErr;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status for faults in files or settings.
const EXIT_FAULTS: u8 = 2;

/// A router for language-model traffic with service levels and priorities.
#[derive(FromArgs)]
pub struct Command {
    #[argh(subcommand)]
    subcommand: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Serve(ServeArgs),
    Route(RouteArgs),
    Check(CheckArgs),
    Pack(PackArgs),
    Status(StatusArgs),
    Explain(ExplainArgs),
    Key(KeyArgs),
    Version(VersionArgs),
}

/// run one box
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct ServeArgs {
    /// the box's settings file
    #[argh(option)]
    settings: PathBuf,
}

/// run one box that routes according to a platform's configuration
#[derive(FromArgs)]
#[argh(subcommand, name = "route")]
struct RouteArgs {
    /// the box's settings file
    #[argh(option)]
    settings: PathBuf,
}

/// check settings, operators' files or a packed release, and print all faults
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// a box's settings file
    #[argh(option)]
    settings: Option<PathBuf>,
    /// the settings file of a box that routes according to a platform's configuration
    #[argh(option)]
    router: Option<PathBuf>,
    /// a configuration as the platform publishes it
    #[argh(option)]
    configuration: Option<PathBuf>,
    /// a folder with classes.toml, customers.toml and upstreams.toml
    #[argh(option)]
    files: Option<PathBuf>,
    /// a folder written by `pack`
    #[argh(option)]
    release: Option<PathBuf>,
    /// a folder written by `pack` with the release that is in force now
    #[argh(option)]
    against: Option<PathBuf>,
}

/// pack the operators' files into a release, to be published with your own tools
#[derive(FromArgs)]
#[argh(subcommand, name = "pack")]
struct PackArgs {
    /// a folder with classes.toml, customers.toml and upstreams.toml
    #[argh(option)]
    files: PathBuf,
    /// the release number, greater than that of the release in force
    #[argh(option)]
    number: u64,
    /// the folder to write
    #[argh(option)]
    out: PathBuf,
}

/// show a box's release, peers, ownership, queues and upstreams
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {
    /// the box's address for operators
    #[argh(positional)]
    address: SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// show how a request would be handled now
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ExplainArgs {
    /// the box's address for operators
    #[argh(positional)]
    address: SocketAddr,
    /// the customer's name
    #[argh(option)]
    customer: String,
    /// the class; defaults to the customer's default class
    #[argh(option)]
    class: Option<String>,
    /// the model or plain service
    #[argh(option)]
    serves: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// read an API key from standard input and print its hash for a customers file
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
struct KeyArgs {
    /// the key_salt of the classes file
    #[argh(option)]
    salt: String,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct VersionArgs {}

/// Runs a command. The exit status is 0 for success, 1 for a failure, 2 for faults in files or settings.
#[must_use]
pub fn run(command: Command) -> ExitCode {
    let result = match command.subcommand {
        Subcommand::Serve(args) => run_box(&args.settings),
        Subcommand::Route(args) => route(&args.settings, router::Host::default()),
        Subcommand::Check(args) => check(&args),
        Subcommand::Pack(args) => pack(&args),
        Subcommand::Status(args) => status(&args),
        Subcommand::Explain(args) => explain(&args),
        Subcommand::Key(args) => key(&args),
        Subcommand::Version(_) => {
            println!(
                "cleatshelf {} (release format {}, wire {})",
                env!("CARGO_PKG_VERSION"),
                catalog::RELEASE_FORMAT,
                wire::VERSION
            );
            Ok(ExitCode::SUCCESS)
        }
    };
    result.unwrap_or_else(|error| {
        eprintln!("cleatshelf: {error:#}");
        ExitCode::FAILURE
    })
}

fn print_faults(faults: &[Fault]) -> ExitCode {
    for fault in faults {
        eprintln!("{fault}");
    }
    eprintln!("{} faults", faults.len());
    ExitCode::from(EXIT_FAULTS)
}

fn read_file(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))
}

fn read_settings(path: &Path) -> eyre::Result<Result<Settings, Vec<Fault>>> {
    let text = read_file(path)?;
    Ok(Settings::parse(&path.display().to_string(), &text))
}

fn run_box(path: &Path) -> eyre::Result<ExitCode> {
    let settings = match read_settings(path)? {
        Ok(settings) => settings,
        Err(faults) => return Ok(print_faults(&faults)),
    };
    init_logging();
    exit_code(serve(settings))
}

/// Runs a box that routes according to a platform's configuration, with the settings file at `path`, on this host.
///
/// # Errors
/// If its settings can't be read, or it can't listen.
pub fn route(path: &Path, host: router::Host) -> eyre::Result<ExitCode> {
    let settings = match router::Settings::parse(&path.display().to_string(), &read_file(path)?) {
        Ok(settings) => settings,
        Err(faults) => return Ok(print_faults(&faults)),
    };
    let logger = telemetry::JsonLogger::start(std::io::stdout())?;
    logger.clone().install();
    exit_code(router::serve(settings, path.to_owned(), logger, host))
}

fn init_logging() {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).format_timestamp_millis().init();
}

/// Returns the exit status of a box; a box that aborted requests at its stop fails.
fn exit_code(clean: eyre::Result<bool>) -> eyre::Result<ExitCode> {
    if let Err(why) = &clean {
        telemetry::emit(telemetry::Event::StartFailed, format_args!("why=\"{why:#}\""));
    }
    Ok(if clean? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

// ----------------------------------------------------------------------------
// Files and releases

/// The contents of the operators' three files.
struct Files {
    classes: String,
    customers: String,
    upstreams: String,
}

fn read_files(folder: &Path) -> eyre::Result<Files> {
    Ok(Files {
        classes: read_file(&folder.join("classes.toml"))?,
        customers: read_file(&folder.join("customers.toml"))?,
        upstreams: read_file(&folder.join("upstreams.toml"))?,
    })
}

fn read_release(folder: &Path) -> eyre::Result<Result<Release, Vec<Fault>>> {
    let text = read_file(&folder.join("manifest"))?;
    let manifest = match Manifest::parse(&text) {
        Ok(manifest) => manifest,
        Err(faults) => return Ok(Err(faults)),
    };
    let mut parts: BTreeMap<Digest, Vec<u8>> = BTreeMap::new();
    for digest in manifest.parts.values() {
        if let Ok(bytes) = std::fs::read(folder.join("part").join(digest.to_string())) {
            parts.insert(*digest, bytes);
        }
    }
    Ok(Ok(Release { manifest, text, parts }))
}

fn check(args: &CheckArgs) -> eyre::Result<ExitCode> {
    let mut faults = Vec::new();
    if let Some(path) = &args.settings {
        faults.extend(read_settings(path)?.err().unwrap_or_default());
    }
    if let Some(path) = &args.router {
        let settings = router::Settings::parse(&path.display().to_string(), &read_file(path)?);
        faults.extend(settings.err().unwrap_or_default());
    }
    if let Some(path) = &args.configuration {
        let table = platform::parse_table(read_file(path)?.as_bytes());
        faults.extend(table.err().map(|why| Fault::new(&path.display().to_string(), "", why)));
    }
    if let Some(folder) = &args.files {
        let files = read_files(folder)?;
        let parts = [("classes", files.classes), ("customers", files.customers), ("upstreams", files.upstreams)];
        let parts: Vec<(&str, &str)> = parts.iter().map(|(name, text)| (*name, text.as_str())).collect();
        faults.extend(Catalog::parse(&parts).err().unwrap_or_default());
    }
    if let Some(folder) = &args.release {
        faults.extend(check_release(folder, args.against.as_deref())?);
    }
    let paths = [&args.settings, &args.router, &args.configuration, &args.files, &args.release];
    if paths.iter().all(|path| path.is_none()) {
        eyre::bail!("nothing to check: expected --settings, --router, --configuration, --files or --release");
    }
    if faults.is_empty() {
        println!("ok");
        return Ok(ExitCode::SUCCESS);
    }
    Ok(print_faults(&faults))
}

fn check_release(folder: &Path, against: Option<&Path>) -> eyre::Result<Vec<Fault>> {
    let release = match read_release(folder)? {
        Ok(release) => release,
        Err(faults) => return Ok(faults),
    };
    let mut faults = release.check().err().unwrap_or_default();
    if let Some(against) = against {
        match read_release(against)? {
            Ok(current) => faults.extend(release.check_against(&current)),
            Err(more) => faults.extend(more),
        }
    }
    Ok(faults)
}

fn pack(args: &PackArgs) -> eyre::Result<ExitCode> {
    let files = read_files(&args.files)?;
    let packed = Release::pack(args.number, &files.classes, &files.customers, &files.upstreams);
    let release = match packed {
        Ok(release) => release,
        Err(faults) => return Ok(print_faults(&faults)),
    };
    let parts = args.out.join("part");
    std::fs::create_dir_all(&parts).wrap_err_with(|| format!("can't create {}", parts.display()))?;
    for (digest, bytes) in &release.parts {
        std::fs::write(parts.join(digest.to_string()), bytes)?;
    }
    // The manifest is written last, and must be published last, so that no reader finds a part missing.
    std::fs::write(args.out.join("manifest"), &release.text)?;
    println!("release {} {} with {} parts", args.number, release.id().digest, release.parts.len());
    Ok(ExitCode::SUCCESS)
}

fn key(args: &KeyArgs) -> eyre::Result<ExitCode> {
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    println!("{}", ApiKeyHasher::new(&args.salt).hash(line.trim()));
    Ok(ExitCode::SUCCESS)
}

// ----------------------------------------------------------------------------
// Requests to a box

fn get(address: SocketAddr, path: &str) -> eyre::Result<(u16, Vec<u8>)> {
    let url = format!("http://{address}{path}");
    actix::System::new().block_on(async move {
        let client = awc::Client::default();
        let mut response = client.get(&url).send().await.map_err(|e| eyre::eyre!("{url}: {e}"))?;
        let body = response.body().limit(64 << 20).await.map_err(|e| eyre::eyre!("{url}: {e}"))?;
        Ok((response.status().as_u16(), body.to_vec()))
    })
}

fn status(args: &StatusArgs) -> eyre::Result<ExitCode> {
    let (_, body) = get(args.address, "/status")?;
    if args.json {
        println!("{}", String::from_utf8_lossy(&body));
    } else {
        let status: Status = serde_json::from_slice(&body)?;
        println!("{}", status.table());
    }
    Ok(ExitCode::SUCCESS)
}

fn explain(args: &ExplainArgs) -> eyre::Result<ExitCode> {
    let class = args.class.as_ref().map_or_else(String::new, |c| format!("&class={c}"));
    let (code, body) =
        get(args.address, &format!("/explain?customer={}&serves={}{class}", args.customer, args.serves))?;
    if args.json || code != 200 {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(if code == 200 { ExitCode::SUCCESS } else { ExitCode::FAILURE });
    }
    let explanation: Explanation = serde_json::from_slice(&body)?;
    println!("class {} rank {} target {} ms", explanation.class, explanation.rank, explanation.first_token_ms);
    for row in &explanation.route {
        let wait = row.wait_ms.map_or_else(|| "-".to_owned(), |ms| format!("{ms} ms"));
        println!("{:<12} {:<20} owner {:<20} wait {wait}", row.shard, row.hall, row.owner);
    }
    println!("{}", explanation.verdict);
    Ok(ExitCode::SUCCESS)
}
