//! Injection of random faults, each with its recovery.

use crate::{Deployment, RelayMode};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Range of the delay between two faults.
const FAULT_DELAY_MS: std::ops::Range<u64> = 200..1_500;

/// Range of the duration of a fault.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..5_000;

/// Delay of a slow link.
const LINK_DELAY_MS: u64 = 150;

/// Action that ends a fault.
#[derive(Clone, Debug)]
enum Recovery {
    StartBox(String),
    ResumeBox(String),
    RestoreLink(String, String),
    RestoreHallLinks,
    RestorePlatformLink(String),
    StartPlatform,
    RestartEngine(usize),
    RestoreEngineSpeed(usize),
    ResumeEngine(usize),
    RestartService(usize),
}

/// Injects random faults and ends them.
pub(super) struct Faults {
    random: ChaCha8Rng,
    next_fault: Instant,
    /// Pending recoveries of active faults and their times.
    recoveries: Vec<(Instant, Recovery)>,
    /// Number of faults by kind.
    pub(super) counts: BTreeMap<String, u64>,
}

impl Faults {
    pub(super) fn new(random: ChaCha8Rng) -> Self {
        Self { random, next_fault: Instant::now(), recoveries: Vec::new(), counts: BTreeMap::new() }
    }

    /// Ends the faults that are due, and injects another one if its time has come.
    pub(super) fn step(&mut self, deployment: &mut Deployment) -> eyre::Result<()> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.recoveries).into_iter().partition(|(at, _)| *at <= now);
        self.recoveries = later;
        let due: Vec<(Instant, Recovery)> = due;
        for (_, recovery) in due {
            recover(recovery, deployment)?;
        }
        if now >= self.next_fault {
            self.next_fault = now + Duration::from_millis(self.random.random_range(FAULT_DELAY_MS));
            self.inject(deployment)?;
        }
        Ok(())
    }

    /// Ends all active faults.
    pub(super) fn end_all(&mut self, deployment: &mut Deployment) -> eyre::Result<()> {
        for (_, recovery) in std::mem::take(&mut self.recoveries) {
            recover(recovery, deployment)?;
        }
        Ok(())
    }

    fn schedule_recovery(&mut self, kind: &str, recovery: Recovery) {
        *self.counts.entry(kind.to_owned()).or_default() += 1;
        let duration = Duration::from_millis(self.random.random_range(FAULT_DURATION_MS));
        self.recoveries.push((Instant::now() + duration, recovery));
    }

    /// Returns true while the box is down or frozen by an earlier fault.
    fn is_box_faulty(&self, name: &str) -> bool {
        self.recoveries
            .iter()
            .any(|(_, recovery)| matches!(recovery, Recovery::StartBox(n) | Recovery::ResumeBox(n) if n == name))
    }

    fn is_engine_faulty(&self, index: usize) -> bool {
        let affects_engine = |recovery: &Recovery| match recovery {
            Recovery::RestartEngine(i) | Recovery::RestoreEngineSpeed(i) | Recovery::ResumeEngine(i) => *i == index,
            _ => false,
        };
        self.recoveries.iter().any(|(_, recovery)| affects_engine(recovery))
    }

    fn inject(&mut self, deployment: &mut Deployment) -> eyre::Result<()> {
        match self.random.random_range(0..11) {
            0 => self.kill_box(deployment),
            1 => self.freeze_box(deployment),
            2 => self.disturb_link(deployment, "link cut", RelayMode::Cut),
            3 => self.disturb_link(deployment, "link frozen", RelayMode::Freeze),
            4 => self.disturb_link(deployment, "link slow", RelayMode::Pass(LINK_DELAY_MS)),
            5 => self.disconnect_halls(deployment),
            6 => self.stop_platform(deployment),
            7 => self.disturb_engine(deployment),
            8 => self.cut_platform_link(deployment),
            9 => self.crash_service(deployment),
            _ => {
                *self.counts.entry("release".to_owned()).or_default() += 1;
                deployment.publish()?;
            }
        }
        Ok(())
    }

    fn healthy_box(&mut self, deployment: &Deployment) -> Option<String> {
        let healthy: Vec<String> =
            deployment.running_boxes().into_iter().filter(|name| !self.is_box_faulty(name)).collect();
        // At least one box stays healthy.
        (healthy.len() > 1).then(|| healthy.choose(&mut self.random).cloned()).flatten()
    }

    fn kill_box(&mut self, deployment: &mut Deployment) {
        let Some(name) = self.healthy_box(deployment) else { return };
        deployment.kill(&name);
        deployment.forget_process(&name);
        self.schedule_recovery("box killed", Recovery::StartBox(name));
    }

    fn freeze_box(&mut self, deployment: &Deployment) {
        let Some(name) = self.healthy_box(deployment) else { return };
        deployment.signal(&name, Signal::STOP);
        self.schedule_recovery("box frozen", Recovery::ResumeBox(name));
    }

    fn disturb_link(&mut self, deployment: &Deployment, kind: &str, mode: RelayMode) {
        let links: Vec<&(String, String)> = deployment.relays.keys().collect();
        let Some((from, to)) = links.choose(&mut self.random).copied().cloned() else { return };
        // This affects one direction only; the other one has its own relay.
        deployment.relays[&(from.clone(), to.clone())].set_mode(mode);
        self.schedule_recovery(kind, Recovery::RestoreLink(from, to));
    }

    fn disconnect_halls(&mut self, deployment: &Deployment) {
        set_all_links(deployment, RelayMode::Cut);
        self.schedule_recovery("halls cut off", Recovery::RestoreHallLinks);
    }

    fn stop_platform(&mut self, deployment: &Deployment) {
        if self.recoveries.iter().any(|(_, recovery)| matches!(recovery, Recovery::StartPlatform)) {
            return;
        }
        deployment.platform.stop();
        self.schedule_recovery("platform down", Recovery::StartPlatform);
    }

    fn cut_platform_link(&mut self, deployment: &Deployment) {
        let halls: Vec<&String> = deployment.platform_relays.keys().collect();
        let Some(hall) = halls.choose(&mut self.random).map(|hall| (*hall).clone()) else { return };
        deployment.platform_relays[&hall].set_mode(RelayMode::Cut);
        self.schedule_recovery("hall cut from the platform", Recovery::RestorePlatformLink(hall));
    }

    fn crash_service(&mut self, deployment: &Deployment) {
        let index = self.random.random_range(0..deployment.plain_services.len());
        if self.recoveries.iter().any(|(_, recovery)| matches!(recovery, Recovery::RestartService(i) if *i == index)) {
            return;
        }
        deployment.plain_services[index].2.crash();
        self.schedule_recovery("service crashed", Recovery::RestartService(index));
    }

    fn disturb_engine(&mut self, deployment: &Deployment) {
        let index = self.random.random_range(0..deployment.engines.len());
        if self.is_engine_faulty(index) {
            return;
        }
        let engine = &deployment.engines[index].1;
        match self.random.random_range(0..3) {
            0 => {
                engine.crash();
                self.schedule_recovery("engine crashed", Recovery::RestartEngine(index));
            }
            1 => {
                engine.set_slowness_percent(1_000);
                self.schedule_recovery("engine slow", Recovery::RestoreEngineSpeed(index));
            }
            _ => {
                engine.set_frozen(true);
                self.schedule_recovery("engine frozen", Recovery::ResumeEngine(index));
            }
        }
    }
}

fn set_all_links(deployment: &Deployment, mode: RelayMode) {
    deployment.set_relays_between("hall-lansing", "hall-toledo", mode);
}

fn recover(recovery: Recovery, deployment: &mut Deployment) -> eyre::Result<()> {
    match recovery {
        Recovery::StartBox(name) => deployment.start_box(&name)?,
        Recovery::ResumeBox(name) => deployment.signal(&name, Signal::CONT),
        Recovery::RestoreLink(from, to) => deployment.relays[&(from, to)].set_mode(RelayMode::Pass(0)),
        Recovery::RestoreHallLinks => set_all_links(deployment, RelayMode::Pass(0)),
        Recovery::RestorePlatformLink(hall) => deployment.platform_relays[&hall].set_mode(RelayMode::Pass(0)),
        Recovery::StartPlatform => deployment.platform.restart(),
        Recovery::RestartEngine(index) => deployment.engines[index].1.restart(),
        Recovery::RestoreEngineSpeed(index) => deployment.engines[index].1.set_slowness_percent(100),
        Recovery::ResumeEngine(index) => deployment.engines[index].1.set_frozen(false),
        Recovery::RestartService(index) => deployment.plain_services[index].2.restart(),
    }
    Ok(())
}
