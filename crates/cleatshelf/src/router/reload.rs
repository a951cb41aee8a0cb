//! Reloading of the settings while the box runs.

use super::peering::Peering;
use super::Settings;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use telemetry::Event;

/// Interval at which the file is checked; it may change without a signal, and no change is urgent.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings file when it changes or on a signal.
pub(super) struct Reloader {
    pub(super) path: PathBuf,
    pub(super) settings: Settings,
    pub(super) peering: Rc<Peering>,
}

impl Reloader {
    /// Watches the file for as long as the process runs.
    pub(super) async fn run(mut self, hangup: Rc<tokio::sync::Notify>) {
        let mut last_modified = self.modified_at();
        loop {
            let signalled = tokio::select! {
                () = hangup.notified() => true,
                () = actix_rt::time::sleep(CHECK_INTERVAL) => false,
            };
            let modified = self.modified_at();
            if signalled || modified != last_modified {
                last_modified = modified;
                self.reload(if signalled { "signal" } else { "file" });
            }
        }
    }

    fn modified_at(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path).and_then(|file| file.modified()).ok()
    }

    fn reload(&mut self, by: &str) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(why) => {
                telemetry::emit(Event::SettingsRefused, format_args!("by={by} why=\"{why}\""));
                return;
            }
        };
        match Settings::parse(&self.path.display().to_string(), &text) {
            Ok(settings) => self.apply(settings, by),
            Err(faults) => {
                for fault in faults {
                    telemetry::emit(Event::SettingsRefused, format_args!("by={by} why=\"{fault}\""));
                }
            }
        }
    }

    fn apply(&mut self, settings: Settings, by: &str) {
        let changed = settings != self.settings;
        telemetry::emit(Event::SettingsReloaded, format_args!("by={by} changed={changed}"));
        self.peering.set_seeds(&settings.seeds);
        self.settings = settings;
    }
}
