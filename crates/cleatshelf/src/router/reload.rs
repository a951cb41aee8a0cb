//! Settings that change while the box runs.

use super::peering::Peering;
use super::Settings;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use telemetry::Event;

/// How often the file is looked at: it may change without a signal, and nothing in it is urgent.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Reads the settings file again when it changes or a signal says so.
pub(super) struct Reload {
    pub(super) path: PathBuf,
    pub(super) settings: Settings,
    pub(super) peering: Rc<Peering>,
}

impl Reload {
    /// Looks at the file for as long as the process runs.
    pub(super) async fn run(mut self, hangup: Rc<tokio::sync::Notify>) {
        let mut seen = self.changed_at();
        loop {
            let signalled = tokio::select! {
                () = hangup.notified() => true,
                () = actix_rt::time::sleep(LOOK_EVERY) => false,
            };
            let changed = self.changed_at();
            if signalled || changed != seen {
                seen = changed;
                self.read(if signalled { "signal" } else { "file" });
            }
        }
    }

    fn changed_at(&self) -> Option<SystemTime> {
        std::fs::metadata(&self.path).and_then(|file| file.modified()).ok()
    }

    fn read(&mut self, by: &str) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(why) => {
                telemetry::emit(Event::SettingsRefused, format_args!("by={by} why=\"{why}\""));
                return;
            }
        };
        match Settings::parse(&self.path.display().to_string(), &text) {
            Ok(settings) => self.take(settings, by),
            Err(faults) => {
                for fault in faults {
                    telemetry::emit(Event::SettingsRefused, format_args!("by={by} why=\"{fault}\""));
                }
            }
        }
    }

    fn take(&mut self, settings: Settings, by: &str) {
        let same = settings == self.settings;
        telemetry::emit(Event::SettingsReloaded, format_args!("by={by} changed={}", !same));
        self.peering.set_seeds(&settings.seeds);
        self.settings = settings;
    }
}
