//! Injection of random faults, each with its recovery.

use crate::{Deployment, RelayMode};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Range of the delay between two faults.
const PAUSE_MS: std::ops::Range<u64> = 200..1_500;

/// Range of the duration of a fault.
const LENGTH_MS: std::ops::Range<u64> = 300..5_000;

/// Delay of a slow link.
const DELAY_MS: u64 = 150;

/// Action that ends a fault.
#[derive(Clone, Debug)]
enum Cure {
    Start(String),
    Wake(String),
    Link(String, String),
    Halls,
    PlatformLink(String),
    Platform,
    EngineStart(usize),
    EngineSpeed(usize),
    EngineWake(usize),
    ServiceStart(usize),
}

/// Injects random faults and ends them.
pub(super) struct Faults {
    random: ChaCha8Rng,
    next: Instant,
    /// Pending recoveries of active faults and their times.
    cures: Vec<(Instant, Cure)>,
    /// Number of faults by kind.
    pub(super) counts: BTreeMap<String, u64>,
}

impl Faults {
    pub(super) fn new(random: ChaCha8Rng) -> Self {
        Self { random, next: Instant::now(), cures: Vec::new(), counts: BTreeMap::new() }
    }

    /// Ends the faults that are due, and injects another one if its time has come.
    pub(super) fn step(&mut self, deployment: &mut Deployment) -> eyre::Result<()> {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.cures).into_iter().partition(|(at, _)| *at <= now);
        self.cures = later;
        let due: Vec<(Instant, Cure)> = due;
        for (_, cure) in due {
            end(cure, deployment)?;
        }
        if now >= self.next {
            self.next = now + Duration::from_millis(self.random.random_range(PAUSE_MS));
            self.bring(deployment)?;
        }
        Ok(())
    }

    /// Ends all active faults.
    pub(super) fn end(&mut self, deployment: &mut Deployment) -> eyre::Result<()> {
        for (_, cure) in std::mem::take(&mut self.cures) {
            end(cure, deployment)?;
        }
        Ok(())
    }

    fn lasts(&mut self, kind: &str, cure: Cure) {
        *self.counts.entry(kind.to_owned()).or_default() += 1;
        let length = Duration::from_millis(self.random.random_range(LENGTH_MS));
        self.cures.push((Instant::now() + length, cure));
    }

    /// Returns true while the box is down or frozen by an earlier fault.
    fn is_ill(&self, name: &str) -> bool {
        self.cures.iter().any(|(_, cure)| matches!(cure, Cure::Start(n) | Cure::Wake(n) if n == name))
    }

    fn is_engine_ill(&self, index: usize) -> bool {
        let same = |cure: &Cure| match cure {
            Cure::EngineStart(i) | Cure::EngineSpeed(i) | Cure::EngineWake(i) => *i == index,
            _ => false,
        };
        self.cures.iter().any(|(_, cure)| same(cure))
    }

    fn bring(&mut self, deployment: &mut Deployment) -> eyre::Result<()> {
        match self.random.random_range(0..11) {
            0 => self.kill(deployment),
            1 => self.freeze(deployment),
            2 => self.link(deployment, "link cut", RelayMode::Cut),
            3 => self.link(deployment, "link frozen", RelayMode::Freeze),
            4 => self.link(deployment, "link slow", RelayMode::Pass(DELAY_MS)),
            5 => self.halls(deployment),
            6 => self.platform(deployment),
            7 => self.engine(deployment),
            8 => self.platform_link(deployment),
            9 => self.service(deployment),
            _ => {
                *self.counts.entry("release".to_owned()).or_default() += 1;
                deployment.publish()?;
            }
        }
        Ok(())
    }

    fn well_box(&mut self, deployment: &Deployment) -> Option<String> {
        let well: Vec<String> = deployment.running_boxes().into_iter().filter(|name| !self.is_ill(name)).collect();
        // At least one box stays healthy.
        (well.len() > 1).then(|| well.choose(&mut self.random).cloned()).flatten()
    }

    fn kill(&mut self, deployment: &mut Deployment) {
        let Some(name) = self.well_box(deployment) else { return };
        deployment.kill(&name);
        deployment.forget_process(&name);
        self.lasts("box killed", Cure::Start(name));
    }

    fn freeze(&mut self, deployment: &Deployment) {
        let Some(name) = self.well_box(deployment) else { return };
        deployment.signal(&name, Signal::STOP);
        self.lasts("box frozen", Cure::Wake(name));
    }

    fn link(&mut self, deployment: &Deployment, kind: &str, mode: RelayMode) {
        let links: Vec<&(String, String)> = deployment.relays.keys().collect();
        let Some((from, to)) = links.choose(&mut self.random).copied().cloned() else { return };
        // This affects one direction only; the other one has its own relay.
        deployment.relays[&(from.clone(), to.clone())].set_mode(mode);
        self.lasts(kind, Cure::Link(from, to));
    }

    fn halls(&mut self, deployment: &Deployment) {
        set_all_links(deployment, RelayMode::Cut);
        self.lasts("halls cut off", Cure::Halls);
    }

    fn platform(&mut self, deployment: &Deployment) {
        if self.cures.iter().any(|(_, cure)| matches!(cure, Cure::Platform)) {
            return;
        }
        deployment.platform.stop();
        self.lasts("platform down", Cure::Platform);
    }

    fn platform_link(&mut self, deployment: &Deployment) {
        let halls: Vec<&String> = deployment.platform_relays.keys().collect();
        let Some(hall) = halls.choose(&mut self.random).map(|hall| (*hall).clone()) else { return };
        deployment.platform_relays[&hall].set_mode(RelayMode::Cut);
        self.lasts("hall cut from the platform", Cure::PlatformLink(hall));
    }

    fn service(&mut self, deployment: &Deployment) {
        let index = self.random.random_range(0..deployment.plain_services.len());
        if self.cures.iter().any(|(_, cure)| matches!(cure, Cure::ServiceStart(i) if *i == index)) {
            return;
        }
        deployment.plain_services[index].2.crash();
        self.lasts("service crashed", Cure::ServiceStart(index));
    }

    fn engine(&mut self, deployment: &Deployment) {
        let index = self.random.random_range(0..deployment.engines.len());
        if self.is_engine_ill(index) {
            return;
        }
        let engine = &deployment.engines[index].1;
        match self.random.random_range(0..3) {
            0 => {
                engine.crash();
                self.lasts("engine crashed", Cure::EngineStart(index));
            }
            1 => {
                engine.set_token_time_percent(1_000);
                self.lasts("engine slow", Cure::EngineSpeed(index));
            }
            _ => {
                engine.set_frozen(true);
                self.lasts("engine frozen", Cure::EngineWake(index));
            }
        }
    }
}

fn set_all_links(deployment: &Deployment, mode: RelayMode) {
    deployment.set_relays_between("hall-lansing", "hall-toledo", mode);
}

fn end(cure: Cure, deployment: &mut Deployment) -> eyre::Result<()> {
    match cure {
        Cure::Start(name) => deployment.start_box(&name)?,
        Cure::Wake(name) => deployment.signal(&name, Signal::CONT),
        Cure::Link(from, to) => deployment.relays[&(from, to)].set_mode(RelayMode::Pass(0)),
        Cure::Halls => set_all_links(deployment, RelayMode::Pass(0)),
        Cure::PlatformLink(hall) => deployment.platform_relays[&hall].set_mode(RelayMode::Pass(0)),
        Cure::Platform => deployment.platform.restart(),
        Cure::EngineStart(index) => deployment.engines[index].1.restart(),
        Cure::EngineSpeed(index) => deployment.engines[index].1.set_token_time_percent(100),
        Cure::EngineWake(index) => deployment.engines[index].1.set_frozen(false),
        Cure::ServiceStart(index) => deployment.plain_services[index].2.restart(),
    }
    Ok(())
}
