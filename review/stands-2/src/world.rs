//! The processes of a scenario, the record, and the operator.

use crate::store::Store;
use crate::util::{free_address, now_ms};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes `record.txt`.
pub struct Record {
    file: Mutex<File>,
    began: u64,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self { file: Mutex::new(file), began: now_ms() }
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    pub fn line_at(&self, at: u64, text: &str) {
        let seconds = at.saturating_sub(self.began) as f64 / 1e3;
        let _ = writeln!(self.file.lock().expect("a record"), "{seconds:8.3} {text}");
    }

    /// Copies the log of servers. Returns its lines: time, what, request, server, service and version.
    pub fn copy_runs(&self, log: &Path) -> Vec<(u64, String, String, String)> {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        let mut runs = Vec::new();
        for line in text.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            if let [at, what, request, _, server, service, version] = words[..] {
                let at = at.parse().unwrap_or(0);
                self.line_at(at, &format!("server {server} ({service} {version}): {what} {request}"));
                runs.push((at, what.to_owned(), request.to_owned(), server.to_owned()));
            }
        }
        runs
    }
}

/// A process that is killed when this is dropped.
pub struct Process {
    child: Child,
    input: Option<ChildStdin>,
}

impl Process {
    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Writes a line to the input of a process of servers.
    pub fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.input {
            let _ = writeln!(input, "{line}");
            let _ = input.flush();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts servers as a process: `(id, address, service, version)` each. Returns once they accept connections.
pub fn start_servers(log: &Path, specs: &[(String, SocketAddr, String, String)]) -> Process {
    let program = std::env::current_exe().expect("this program");
    let specs = specs.iter().map(|(id, address, service, version)| format!("{id},{address},{service},{version}"));
    let mut child = Command::new(program)
        .arg("server")
        .arg(log)
        .args(specs)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("servers");
    let mut line = String::new();
    let output = child.stdout.take().expect("an output");
    let _ = BufReader::new(output).read_line(&mut line);
    let input = child.stdin.take();
    Process { child, input }
}

/// Returns a server's entry.
pub fn entry(
    address: SocketAddr,
    service: &str,
    zone: &str,
    version: &str,
    slots: u32,
    state: &str,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","coldLeftMs":0,"callSeq":0,"born":{born}}}"#
    )
}

/// Returns a configuration with a service of models, whose servers have so many slots, and one of plain requests.
pub fn config(version: u64, slots: u32) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32, target: u32, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"a.example","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":{target},"priority":2,"service":"{service}","maxAttempts":2,"noAuth":false{rest}}}"#
        )
    };
    let routes = [
        route(
            "chat",
            "/chat/",
            "streaming",
            "model",
            12_000,
            1_500,
            r#","resumable":true,"gapAimMs":1200,"stickySessions":true"#,
        ),
        route("status", "/status/", "idempotent", "api", 1_000, 150, ""),
        route("book", "/book/", "non_idempotent", "api", 5_000, 1_500, ""),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"model","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":{slots},"kvCapacity":521945,"kvTokenBytes":18432,"linkMbps":180000,"stride":4}}}},{{"name":"api","healthPath":"/health","maxConns":100,"protocol":"h1","tls":false}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"lender","apiKeys":["key-1"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// Headers of a request for a stream.
pub fn stream_headers(number: usize) -> String {
    format!("Cleatshelf-Deadline-Ms: 12000\r\nCleatshelf-Model: m\r\nCleatshelf-Token-Counts: 600,160\r\nCleatshelf-Prompt-Prefix: {:x}:400,{:x}:200\r\nContent-Type: application/json\r\n", 0x5c1e_0000_u64 + number as u64 % 12, 0x9100_0000_u64 + number as u64)
}

/// A machine: a router process.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    program: PathBuf,
    process: Option<Process>,
}

impl Machine {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.settings.with_extension("log")).expect("a log");
        let copy = log.try_clone().expect("a log");
        let child = Command::new(&self.program)
            .args(["route", "--settings"])
            .arg(&self.settings)
            .env("CLEATSHELF_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn()
            .expect("a router");
        self.process = Some(Process { child, input: None });
    }

    pub fn kill(&mut self) {
        if let Some(process) = &mut self.process {
            process.kill();
        }
    }

    /// Sends SIGTERM, as the platform does for a planned stop.
    pub fn terminate(&self) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill").args(["-TERM", &process.child.id().to_string()]).status();
        }
    }

    /// Waits until the process has ended.
    pub fn wait_ended(&mut self, limit: Duration) -> bool {
        let began = Instant::now();
        let Some(process) = &mut self.process else { return true };
        while began.elapsed() < limit {
            if matches!(process.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Asks whether the machine is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        crate::util::read_head(&mut stream).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Lines of its log that have this word.
    pub fn log_lines(&self, word: &str) -> Vec<String> {
        let text = std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        text.lines().filter(|line| line.contains(word)).map(str::to_owned).collect()
    }
}

/// Prepares machines, one for each of these zones, whose settings are those of the project's template.
pub fn machines(folder: &Path, program: &Path, store: &Store, zones: &[&str]) -> Vec<Machine> {
    let control: Vec<SocketAddr> = zones.iter().map(|_| free_address()).collect();
    let seeds: Vec<String> = control.iter().take(3).map(|address| format!("\"{address}\"")).collect();
    let mut names: Vec<&str> = zones.to_vec();
    names.sort_unstable();
    names.dedup();
    let halls: String = names.iter().map(|zone| format!("[[halls]]\nname = \"{zone}\"\nregion = \"east\"\n")).collect();
    let mut machines = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let (front, ready) = (free_address(), free_address());
        let name = format!("front-{zone}-{}", index + 1);
        let text = format!(
            "name = \"{name}\"\nhall = \"{zone}\"\nlisten_callers = \"{front}\"\nlisten_ready = \"{ready}\"\nlisten_boxes = \"{}\"\nlisten_tunnels = \"{}\"\nlisten_operators = \"{}\"\npublisher = \"{}\"\nseeds = [{}]\nlink_key = \"cleatshelf between the boxes of one deployment\"\nstop_seconds = 8\nfiles_most = 4100\nprocessor_share = 0.25\nlink_mbps = 1000.0\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_seconds = 10\n{halls}",
            control[index],
            free_address(),
            free_address(),
            store.address,
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("settings");
        machines.push(Machine { name, front, ready, settings, program: program.to_owned(), process: None });
    }
    machines
}
