//! Deployments of boxes as real processes on loopback, surrounded by stand-ins.

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

const MAX_STATUS_BYTES: usize = 64 << 20;

/// Configuration of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Halls with their numbers of boxes, engines and plain services.
    pub halls: Vec<(String, usize, usize, usize)>,
    /// Scheduling mode: `owner`, `alone-arrival` or `alone-class`.
    pub scheduling_mode: String,
    /// Routes the links between boxes, and from halls to the platform, through relays that can be cut.
    pub with_relays: bool,
    /// Omits the other boxes from the settings, so that they are known only from the platform's member list.
    pub peers_from_platform_only: bool,
    /// Uses himalkosh's classes instead of the oversight agency's.
    pub himalkosh: bool,
    /// Slots of each engine.
    pub slots: u32,
    /// Milliseconds between tokens of the fastest engine; others take up to half as long again, unless
    /// `equal_engine_speed` is set.
    pub token_ms: u64,
    /// Gives all engines the same speed.
    pub equal_engine_speed: bool,
    /// Milliseconds before the first token.
    pub prefill_ms: u64,
    /// Age of the engines' load reports in milliseconds.
    pub report_lag_ms: u64,
    /// Age of the platform's member list in milliseconds.
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

/// The process of one box.
pub struct BoxProcess {
    /// Identity of the box, with its own address and not that of a relay.
    pub peer: Peer,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for operators.
    pub operator_address: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Boxes, stand-ins and relays. Everything is stopped when it is dropped.
pub struct Deployment {
    /// The configuration.
    pub spec: DeploymentSpec,
    /// The boxes by name.
    pub boxes: BTreeMap<String, BoxProcess>,
    /// Engines, each with its hall.
    pub engines: Vec<(String, Engine)>,
    /// Plain services: hall, service name and stand-in.
    pub plain_services: Vec<(String, String, PlainService)>,
    /// The platform stand-in.
    pub platform: Platform,
    /// Relays by the names of the sending and the receiving box.
    pub relays: BTreeMap<(String, String), Relay>,
    /// Relays from halls to the platform.
    pub platform_relays: BTreeMap<String, Relay>,
    /// Number of the last published release.
    pub release_number: u64,
    /// Names of engines that the next release marks as leaving.
    pub leaving: Vec<String>,
    program: PathBuf,
    folder: tempfile::TempDir,
}

impl Deployment {
    /// Starts stand-ins, publishes release 1 and starts every box with `program box --settings FILE`.
    ///
    /// # Errors
    /// If a stand-in or box can't be started.
    pub fn start(spec: DeploymentSpec, program: &Path) -> eyre::Result<Self> {
        let mut deployment = Self::prepare(spec, program)?;
        deployment.publish()?;
        let names: Vec<String> = deployment.boxes.keys().cloned().collect();
        for name in names {
            deployment.start_box(&name)?;
        }
        Ok(deployment)
    }

    /// Starts only the stand-ins, without publishing a release or starting boxes.
    ///
    /// # Errors
    /// If a stand-in can't be started or the settings can't be written.
    pub fn prepare(spec: DeploymentSpec, program: &Path) -> eyre::Result<Self> {
        let platform = Platform::start(spec.member_list_lag_ms);
        let mut engines = Vec::new();
        let mut plain_services = Vec::new();
        let mut boxes = BTreeMap::new();
        for (hall, box_count, engine_count, plain_count) in &spec.halls {
            for i in 0..*engine_count {
                // Of every three engines, the second takes a quarter longer per token than the first, and the
                // third half as long again.
                let slowness = if spec.equal_engine_speed { 0 } else { i as u64 % 3 };
                let token_ms = spec.token_ms * (4 + slowness) / 4;
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
                    caller_address: ports::free_address(),
                    operator_address: ports::free_address(),
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
        deployment.start_relays();
        deployment.write_settings()?;
        deployment.publish_members();
        Ok(deployment)
    }

    fn start_relays(&mut self) {
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
            std::fs::write(&path, text).wrap_err("cannot write the settings file")?;
            if let Some(process) = self.boxes.get_mut(&name) {
                process.settings = path;
            }
        }
        Ok(())
    }

    fn settings_of(&self, name: &str) -> String {
        let process = &self.boxes[name];
        let platform = self.platform_relays.get(&process.peer.hall).map_or(self.platform.address(), |r| r.address);
        let mut text = format!(
            "name = \"{name}\"\nhall = \"{}\"\nlisten_callers = \"{}\"\nlisten_boxes = \"{}\"\nlisten_operators = \"{}\"\n\
             platform_config = \"{platform}\"\nplatform_members = \"{platform}\"\nlink_key = \"a-key-for-stand-ins-only\"\n\
             traffic_threads = {}\nway = \"{}\"\nstop_seconds = 60\nbody_bytes = 1000000\nbuffered_bytes = 4000000\nbody_seconds = 2\n",
            process.peer.hall,
            process.caller_address,
            process.peer.address,
            process.operator_address,
            self.spec.traffic_threads,
            self.spec.scheduling_mode
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

    /// Publishes every engine, and without relays every box, in the platform's member list, none marked as
    /// leaving.
    pub fn publish_members(&self) {
        let boxes: Vec<(Peer, bool)> = self.boxes.values().map(|b| (b.peer.clone(), false)).collect();
        let upstreams: Vec<(String, bool)> = self.engines.iter().map(|(_, e)| (e.name().to_owned(), false)).collect();
        // With relays the list would give boxes the direct addresses, which bypass the relays.
        let boxes = if self.spec.with_relays { Vec::new() } else { boxes };
        self.platform.set_members(&boxes, &upstreams);
    }

    /// Publishes the next release.
    ///
    /// # Errors
    /// If the release has faults.
    pub fn publish(&mut self) -> eyre::Result<u64> {
        self.release_number += 1;
        let release = self.build_release(self.release_number)?;
        self.platform.publish(&release);
        Ok(self.release_number)
    }

    /// Builds the release that would be published under `number`.
    ///
    /// # Errors
    /// If the release has faults.
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

    /// Starts the process of a box.
    ///
    /// # Errors
    /// If the process can't be started.
    pub fn start_box(&mut self, name: &str) -> eyre::Result<()> {
        let log = self.folder.path().join(format!("{name}.log"));
        let out = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let process = self.boxes.get_mut(name).ok_or_else(|| eyre::eyre!("unknown box {name}"))?;
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

    /// Gives new addresses to a box that is not running, in the settings and in the platform's member list.
    ///
    /// # Errors
    /// If the settings can't be written.
    pub fn reassign_addresses(&mut self, name: &str) -> eyre::Result<()> {
        let process = self.boxes.get_mut(name).ok_or_else(|| eyre::eyre!("unknown box {name}"))?;
        process.peer.address = ports::free_address();
        process.caller_address = ports::free_address();
        process.operator_address = ports::free_address();
        self.write_settings()?;
        self.publish_members();
        Ok(())
    }

    /// Returns the log of a box so far.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sends a signal to the process of a box.
    pub fn signal(&self, name: &str, signal: Signal) {
        let child = self.boxes.get(name).and_then(|b| b.child.as_ref());
        if let Some(pid) = child.and_then(|c| Pid::from_raw(c.id() as i32)) {
            // The process may have exited already.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the process id of a box.
    #[must_use]
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.boxes.get(name)?.child.as_ref().map(Child::id)
    }

    /// Kills a box and waits until its process has exited.
    pub fn kill(&mut self, name: &str) {
        self.signal(name, Signal::KILL);
        self.wait_for_exit(name, Duration::from_secs(5));
    }

    /// Waits for the process of a box to exit and returns its exit code, or `None` after `timeout`.
    pub fn wait_for_exit(&mut self, name: &str, timeout: Duration) -> Option<i32> {
        let started = Instant::now();
        let child = self.boxes.get_mut(name)?.child.as_mut()?;
        while started.elapsed() < timeout {
            if let Ok(Some(status)) = child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Returns the status of a box if it answers.
    pub async fn status(&self, name: &str) -> Option<Status> {
        let address = self.boxes.get(name)?.operator_address;
        let client = awc::Client::builder().timeout(Duration::from_secs(2)).finish();
        let mut response = client.get(format!("http://{address}/status")).send().await.ok()?;
        let body = response.body().limit(MAX_STATUS_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Waits until `condition` holds for the status of every running box; false after `timeout`.
    pub async fn wait_until(&self, timeout: Duration, condition: impl Fn(&Status) -> bool) -> bool {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let mut all_match = true;
            for name in self.running_boxes() {
                all_match &= self.status(&name).await.is_some_and(|s| condition(&s));
            }
            if all_match {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// Waits until every running box is ready with the last published release and sees all others alive.
    pub async fn wait_until_ready(&self, timeout: Duration) -> bool {
        let others = self.running_boxes().len() - 1;
        self.wait_until(timeout, |s| {
            s.ready
                && s.release >= self.release_number
                && s.peers.iter().filter(|p| p.state == "alive").count() >= others
        })
        .await
    }

    /// Returns the names of the boxes that were started and not removed by [`Deployment::forget_process`].
    #[must_use]
    pub fn running_boxes(&self) -> Vec<String> {
        self.boxes.iter().filter(|(_, b)| b.child.is_some()).map(|(name, _)| name.clone()).collect()
    }

    /// Removes the exited process of a box, so that the box no longer counts as running.
    pub fn forget_process(&mut self, name: &str) {
        if let Some(process) = self.boxes.get_mut(name) {
            process.child = None;
        }
    }

    /// Returns the caller address of every running box.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.boxes.values().filter(|b| b.child.is_some()).map(|b| b.caller_address).collect()
    }

    /// Returns the box that reports itself as the owner of the shard for `serves` in `hall`.
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

    /// Sets the mode of every relay between two halls, in both directions.
    pub fn set_relays_between(&self, one: &str, other: &str, mode: crate::RelayMode) {
        let hall = |name: &String| self.boxes[name].peer.hall.as_str();
        for ((from, to), relay) in &self.relays {
            let between = (hall(from) == one && hall(to) == other) || (hall(from) == other && hall(to) == one);
            if between {
                relay.set_mode(mode);
            }
        }
    }

    /// Returns the number of invariant violations counted by all running boxes.
    pub async fn invariant_violations(&self) -> u64 {
        let mut total = 0;
        for name in self.running_boxes() {
            total += self.status(&name).await.map_or(0, |s| s.broken);
        }
        total
    }

    /// Returns the number of tokens generated by all engines.
    #[must_use]
    pub fn generated_tokens(&self) -> u64 {
        self.engines.iter().map(|(_, e)| e.tokens()).sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.boxes.values_mut() {
            if let Some(child) = &mut process.child {
                // The process may have exited already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
