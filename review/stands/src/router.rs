//! `cleatshelf route` as a process, with the settings that `platform/settings.toml` gives.

use crate::{client, fail_setup, free_address, sleep_ms};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The addresses of a box.
#[derive(Clone, Debug)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub boxes: SocketAddr,
    pub tunnels: SocketAddr,
    pub operators: SocketAddr,
}

impl Addresses {
    pub fn free() -> Self {
        Self {
            callers: free_address(),
            ready: free_address(),
            boxes: free_address(),
            tunnels: free_address(),
            operators: free_address(),
        }
    }
}

pub struct Router {
    pub name: String,
    pub at: Addresses,
    settings: PathBuf,
    child: Child,
}

impl Router {
    pub fn start(
        directory: &Path,
        name: &str,
        hall: &str,
        halls: &[&str],
        publisher: SocketAddr,
        at: &Addresses,
        seeds: &[SocketAddr],
    ) -> Self {
        let settings = directory.join(format!("{name}.toml"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut text = format!(
            "name = \"{name}\"\nhall = \"{hall}\"\nlisten_callers = \"{}\"\nlisten_ready = \"{}\"\nlisten_boxes = \"{}\"\nlisten_tunnels = \"{}\"\nlisten_operators = \"{}\"\npublisher = \"{publisher}\"\nseeds = [{}]\nlink_key = \"cleatshelf between the boxes of one deployment\"\nstop_seconds = 8\nfiles_most = 4100\nprocessor_share = 0.25\nlink_mbps = 1000.0\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_seconds = 10\n",
            at.callers, at.ready, at.boxes, at.tunnels, at.operators, seeds.join(",")
        );
        for hall in halls {
            text.push_str(&format!("\n[[halls]]\nname = \"{hall}\"\nregion = \"lakes-east\"\n"));
        }
        if std::fs::write(&settings, text).is_err() {
            fail_setup("the settings can't be written");
        }
        let child = spawn(&settings);
        Self { name: name.to_owned(), at: at.clone(), settings, child }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        client::readiness(self.at.ready) == 200
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// SIGKILL, and the process is gone.
    pub fn kill(&mut self) {
        let id = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        crate::STARTED.lock().expect("no thread panicked").retain(|started| *started != id);
    }

    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings);
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path) -> Child {
    let log = File::options().create(true).append(true).open(settings.with_extension("log"));
    let (Ok(log), Ok(root)) = (log, std::env::var("ROOT")) else { fail_setup("no log or no ROOT") };
    let errors = log.try_clone().map_or_else(|_| Stdio::null(), Stdio::from);
    let child = Command::new(format!("{root}/target/release/cleatshelf"))
        .args(["route", "--settings"])
        .arg(settings)
        .env("CLEATSHELF_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn();
    let child = child.unwrap_or_else(|why| fail_setup(&format!("target/release/cleatshelf: {why}")));
    crate::STARTED.lock().expect("no thread panicked").push(child.id());
    child
}

/// Waits until all of these are ready.
pub fn wait_ready(routers: &[&Router]) {
    let began = Instant::now();
    while !routers.iter().all(|router| router.is_ready()) {
        if began.elapsed() > Duration::from_secs(20) {
            fail_setup("the routers don't get ready");
        }
        sleep_ms(50);
    }
}
