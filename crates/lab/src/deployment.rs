//! Boxes as real processes on loopback, with stand-ins around them.

use crate::example_release::{build_release, ReleaseSpec};
use crate::{ports, Engine, EngineSpec, PlainService, Platform, Relay};
use cleatshelf::Status;
use eyre::WrapErr;
use fleet::Peer;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What a deployment is made of.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Halls with their number of boxes, of engines and of plain services.
    pub halls: Vec<(String, usize, usize, usize)>,
    /// How requests find a server: `owner`, `alone-arrival` or `alone-class`.
    pub scheduling_mode: String,
    /// Links between boxes, and from halls to the platform, pass through relays that can be cut.
    pub with_relays: bool,
    /// Settings name no other boxes; the platform's list alone does.
    pub peers_from_platform_only: bool,
    /// Himalkosh's classes instead of the oversight agency's.
    pub himalkosh: bool,
    /// Slots of each engine.
    pub slots: u32,
    /// Milliseconds between tokens of the fastest engine; others are up to half slower, unless `equal`.
    pub token_ms: u64,
    /// All engines are as fast.
    pub equal_engine_speed: bool,
    /// Milliseconds before the first token.
    pub prefill_ms: u64,
    /// How old the engines' load reports are, in milliseconds.
    pub report_lag_ms: u64,
    /// How old the membership list is, in milliseconds.
    pub member_list_lag_ms: u64,
    /// Traffic threads of each box.
    pub traffic_threads: usize,
}

impl Default for DeploymentSpec {
    fn default() -> Self {
        Self {
            halls: vec![
                ("hall-lansing".into(), 3, 3, 1),
                ("hall-toledo".into(), 3, 3, 1),
                ("hall-erie".into(), 2, 3, 1),
            ],
            scheduling_mode: "owner".into(),
            with_relays: false,
            peers_from_platform_only: false,
            himalkosh: false,
            slots: 8,
            token_ms: 10,
            equal_engine_speed: false,
            prefill_ms: 40,
            report_lag_ms: 500,
            member_list_lag_ms: 500,
            traffic_threads: 1,
        }
    }
}

/// One box's process.
pub struct BoxProcess {
    /// Who it is; the address is the real one.
    pub peer: Peer,
    /// Where callers come.
    pub callers: SocketAddr,
    /// Where operators ask.
    pub operators: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Boxes, stand-ins and relays. Everything ends when it is dropped.
pub struct Deployment {
    /// The spec.
    pub spec: DeploymentSpec,
    /// The boxes by name.
    pub boxes: BTreeMap<String, BoxProcess>,
    /// Engines with the hall of each.
    pub engines: Vec<(String, Engine)>,
    /// Plain services: hall, service name, stand-in.
    pub plain_services: Vec<(String, String, PlainService)>,
    /// The platform.
    pub platform: Platform,
    /// Relays by the names of both boxes.
    pub relays: BTreeMap<(String, String), Relay>,
    /// Relays from halls to the platform.
    pub platform_relays: BTreeMap<String, Relay>,
    /// The release last published.
    pub release_number: u64,
    /// Names of engines that the next release says are leaving.
    pub leaving: Vec<String>,
    program: PathBuf,
    folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts stand-ins, publishes release 1 and starts every box with `program box --settings FILE`.
    ///
    /// # Errors
    /// When something can't be started.
    pub fn start(spec: DeploymentSpec, program: &Path) -> eyre::Result<Self> {
        let mut deployment = Self::prepare(spec, program)?;
        deployment.publish()?;
        let names: Vec<String> = deployment.boxes.keys().cloned().collect();
        for name in names {
            deployment.start_box(&name)?;
        }
        Ok(deployment)
    }

    /// Starts the stand-ins only; nothing is published and no box runs.
    ///
    /// # Errors
    /// When something can't be started.
    pub fn prepare(spec: DeploymentSpec, program: &Path) -> eyre::Result<Self> {
        let platform = Platform::start(spec.member_list_lag_ms);
        let mut engines = Vec::new();
        let mut plain_services = Vec::new();
        let mut boxes = BTreeMap::new();
        for (hall, box_count, engine_count, plain_count) in &spec.halls {
            for i in 0..*engine_count {
                // Engines are unequal: each next one is a quarter slower than the first.
                let slower = if spec.equal_engine_speed { 0 } else { i as u64 % 3 };
                let token_ms = spec.token_ms * (4 + slower) / 4;
                let spec = EngineSpec {
                    name: format!("{hall}-llm-{}", i + 1),
                    slots: spec.slots,
                    token_ms,
                    prefill_ms: spec.prefill_ms,
                    report_lag_ms: spec.report_lag_ms,
                };
                engines.push((hall.clone(), Engine::start(spec)));
            }
            for i in 0..*plain_count {
                let plain = PlainService::start(&format!("{hall}-registry-{}", i + 1), 5);
                plain_services.push((hall.clone(), "registry".to_owned(), plain));
            }
            for i in 0..*box_count {
                let name = format!("{hall}-box-{}", i + 1);
                let peer = Peer { name: name.clone(), hall: hall.clone(), address: ports::free_address() };
                let process = BoxProcess {
                    peer,
                    callers: ports::free_address(),
                    operators: ports::free_address(),
                    settings: PathBuf::new(),
                    child: None,
                };
                boxes.insert(name, process);
            }
        }
        let mut deployment = Self {
            spec,
            boxes,
            engines,
            plain_services,
            platform,
            relays: BTreeMap::new(),
            platform_relays: BTreeMap::new(),
            release_number: 0,
            leaving: Vec::new(),
            program: program.to_owned(),
            folder: tempfile::tempdir()?,
        };
        deployment.wire_up();
        deployment.write_settings()?;
        deployment.publish_members();
        Ok(deployment)
    }

    fn wire_up(&mut self) {
        if !self.spec.with_relays {
            return;
        }
        for (hall, ..) in &self.spec.halls {
            self.platform_relays.insert(hall.clone(), Relay::start(self.platform.address()));
        }
        for from in self.boxes.keys() {
            for (to, process) in &self.boxes {
                if from != to {
                    let relay = Relay::start(process.peer.address);
                    self.relays.insert((from.clone(), to.clone()), relay);
                }
            }
        }
    }

    fn write_settings(&mut self) -> eyre::Result<()> {
        let names: Vec<String> = self.boxes.keys().cloned().collect();
        for name in names {
            let text = self.settings_of(&name);
            let path = self.folder.path().join(format!("{name}.toml"));
            std::fs::write(&path, text).wrap_err("can't write settings")?;
            if let Some(process) = self.boxes.get_mut(&name) {
                process.settings = path;
            }
        }
        Ok(())
    }

    fn settings_of(&self, name: &str) -> String {
        let this = &self.boxes[name];
        let platform = self.platform_relays.get(&this.peer.hall).map_or(self.platform.address(), |r| r.address);
        let mut text = format!(
            "name = \"{name}\"\nhall = \"{}\"\nlisten_callers = \"{}\"\nlisten_boxes = \"{}\"\nlisten_operators = \"{}\"\n\
             platform_config = \"{platform}\"\nplatform_members = \"{platform}\"\nlink_key = \"a-key-for-stand-ins-only\"\n\
             traffic_threads = {}\nway = \"{}\"\nstop_seconds = 60\nbody_bytes = 1000000\nbody_seconds = 2\n",
            this.peer.hall, this.callers, this.peer.address, this.operators, self.spec.traffic_threads, self.spec.scheduling_mode
        );
        for (other, process) in &self.boxes {
            if other == name || self.spec.peers_from_platform_only {
                continue;
            }
            let relay = self.relays.get(&(name.to_owned(), other.clone()));
            let address = relay.map_or(process.peer.address, |r| r.address);
            // Writing to a String can't fail.
            let _ = write!(
                text,
                "\n[[peer]]\nname = \"{other}\"\nhall = \"{}\"\naddress = \"{address}\"\n",
                process.peer.hall
            );
        }
        text
    }

    /// Puts every box and engine on the platform's list, engines that are leaving marked so.
    pub fn publish_members(&self) {
        let boxes: Vec<(Peer, bool)> = self.boxes.values().map(|b| (b.peer.clone(), false)).collect();
        let upstreams: Vec<(String, bool)> = self.engines.iter().map(|(_, e)| (e.name().to_owned(), false)).collect();
        // With relays the list would show boxes the way around them.
        let boxes = if self.spec.with_relays { Vec::new() } else { boxes };
        self.platform.set_members(&boxes, &upstreams);
    }

    /// Publishes the next release.
    ///
    /// # Errors
    /// When the release has faults.
    pub fn publish(&mut self) -> eyre::Result<u64> {
        self.release_number += 1;
        let release = self.build_release(self.release_number)?;
        self.platform.publish(&release);
        Ok(self.release_number)
    }

    /// The release that would be published under `number`.
    ///
    /// # Errors
    /// When the release has faults.
    pub fn build_release(&self, number: u64) -> eyre::Result<catalog::Release> {
        let sizes = ReleaseSpec {
            himalkosh: self.spec.himalkosh,
            engines: &self.engines,
            plain_services: &self.plain_services,
            slots: self.spec.slots,
            leaving: &self.leaving,
        };
        build_release(number, &sizes).map_err(|faults| eyre::eyre!("{faults:?}"))
    }

    /// Starts a box's process.
    ///
    /// # Errors
    /// When the process can't be started.
    pub fn start_box(&mut self, name: &str) -> eyre::Result<()> {
        let log = self.folder.path().join(format!("{name}.log"));
        let out = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let process = self.boxes.get_mut(name).ok_or_else(|| eyre::eyre!("no box {name}"))?;
        let child = Command::new(&self.program)
            .args(["box", "--settings"])
            .arg(&process.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out)
            .spawn()?;
        process.child = Some(child);
        Ok(())
    }

    /// Gives a box that isn't running other addresses, in its settings and on the platform's list.
    ///
    /// # Errors
    /// When the settings can't be written.
    pub fn reassign_addresses(&mut self, name: &str) -> eyre::Result<()> {
        let process = self.boxes.get_mut(name).ok_or_else(|| eyre::eyre!("no box {name}"))?;
        process.peer.address = ports::free_address();
        process.callers = ports::free_address();
        process.operators = ports::free_address();
        self.write_settings()?;
        self.publish_members();
        Ok(())
    }

    /// The box's log so far.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sends a signal to a box's process.
    pub fn signal(&self, name: &str, signal: Signal) {
        let child = self.boxes.get(name).and_then(|b| b.child.as_ref());
        if let Some(pid) = child.and_then(|c| Pid::from_raw(c.id() as i32)) {
            // The process may just have ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// The box's process id.
    #[must_use]
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.boxes.get(name)?.child.as_ref().map(Child::id)
    }

    /// Kills a box at once and waits until it is gone.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, Signal::KILL);
        self.wait_for_exit(name, Duration::from_secs(5));
    }

    /// Waits for a box's process to end; its exit status, if it did in time.
    pub fn wait_for_exit(&mut self, name: &str, most: Duration) -> Option<i32> {
        let began = Instant::now();
        let child = self.boxes.get_mut(name)?.child.as_mut()?;
        while began.elapsed() < most {
            if let Ok(Some(status)) = child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// A box's state, if it answers.
    pub async fn status(&self, name: &str) -> Option<Status> {
        let address = self.boxes.get(name)?.operators;
        let client = awc::Client::builder().timeout(Duration::from_secs(2)).finish();
        let mut response = client.get(format!("http://{address}/status")).send().await.ok()?;
        let body = response.body().limit(64 << 20).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Waits until `fits` holds for the state of every running box.
    pub async fn wait_until(&self, most: Duration, fits: impl Fn(&Status) -> bool) -> bool {
        let began = Instant::now();
        while began.elapsed() < most {
            let mut all = true;
            for name in self.running_boxes() {
                all &= self.status(&name).await.is_some_and(|s| fits(&s));
            }
            if all {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Waits until every running box is ready with the release last published and sees all the others.
    pub async fn wait_until_ready(&self, most: Duration) -> bool {
        let others = self.running_boxes().len() - 1;
        self.wait_until(most, |s| {
            s.ready
                && s.release >= self.release_number
                && s.peers.iter().filter(|p| p.state == "alive").count() >= others
        })
        .await
    }

    /// Names of the boxes that were started and not waited for.
    #[must_use]
    pub fn running_boxes(&self) -> Vec<String> {
        self.boxes.iter().filter(|(_, b)| b.child.is_some()).map(|(name, _)| name.clone()).collect()
    }

    /// Forgets a box's ended process, so that it no longer counts as running.
    pub fn forget_process(&mut self, name: &str) {
        if let Some(process) = self.boxes.get_mut(name) {
            process.child = None;
        }
    }

    /// Where callers come, of every running box.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boxes.values().filter(|b| b.child.is_some()).map(|b| b.callers).collect()
    }

    /// The owner of the shard that serves `serves` in `hall`, by its own word.
    pub async fn shard_owner(&self, hall: &str, serves: &str) -> Option<String> {
        for name in self.running_boxes() {
            let status = self.status(&name).await;
            let owns = |s: &Status| s.shards.iter().any(|row| row.hall == hall && row.serves == serves);
            if status.is_some_and(|s| owns(&s)) {
                return Some(name);
            }
        }
        None
    }

    /// Sets every relay between two halls, both ways.
    pub fn set_relays_between(&self, one: &str, other: &str, mode: crate::RelayMode) {
        let hall = |name: &String| self.boxes[name].peer.hall.as_str();
        for ((from, to), relay) in &self.relays {
            let between = (hall(from) == one && hall(to) == other) || (hall(from) == other && hall(to) == one);
            if between {
                relay.set_mode(mode);
            }
        }
    }

    /// Broken invariants that all running boxes counted.
    pub async fn invariant_violations(&self) -> u64 {
        let mut sum = 0;
        for name in self.running_boxes() {
            sum += self.status(&name).await.map_or(0, |s| s.broken);
        }
        sum
    }

    /// Tokens that all engines generated.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.engines.iter().map(|(_, e)| e.tokens()).sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.boxes.values_mut() {
            if let Some(child) = &mut process.child {
                // It may have ended by itself.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
