//! The numbered events. docs/EVENTS.md says of each what it means and what an operator does.

use log::Level;

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// One numbered kind of log line. Numbers never change their meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Event {
            /// Every event, in the order of its number.
            pub const ALL: &'static [Event] = &[$(Event::$name,)+];

            /// The event's number, as printed in the log.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)+ }
            }

            /// The level at which the event is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)+ }
            }

            /// The event's name, as in docs/EVENTS.md.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)+ }
            }
        }
    };
}

events! {
    /// A box has started and listens.
    BoxStarted = 100, Info;
    /// A box takes calls from now on.
    BoxReady = 101, Info;
    /// A planned stop began: no new work is taken.
    StopBegun = 102, Info;
    /// A planned stop ended with nothing cut off.
    StopClean = 103, Info;
    /// A stop ended while requests still ran; they were cut.
    StopCut = 104, Error;
    /// This process was paused and has just woken.
    PauseNoticed = 105, Warn;
    /// A part of the program could not start.
    StartFailed = 106, Error;
    /// Log lines were dropped, since their reader was too slow.
    LinesDropped = 107, Warn;
    /// A release is in force on this box.
    ReleaseInForce = 200, Info;
    /// A release was refused; the former one stays.
    ReleaseRefused = 201, Error;
    /// The configuration service did not answer.
    PlatformUnreachable = 202, Warn;
    /// The configuration service answers again.
    PlatformReachable = 203, Info;
    /// The platform offered a release older than the one in force.
    ReleaseStale = 204, Warn;
    /// This box began or ended holding the platform's watch.
    WatchRole = 205, Info;
    /// The servers in force changed.
    ServersChanged = 206, Info;
    /// The settings were read again.
    SettingsReloaded = 207, Info;
    /// Settings that were read again have faults; the former ones stay.
    SettingsRefused = 208, Error;
    /// Other halls are evacuated than before.
    HallsEvacuated = 209, Info;
    /// The platform came back from an older copy of what it publishes.
    StoreRestored = 210, Warn;
    /// A peer is reachable.
    PeerAlive = 300, Info;
    /// A peer does not answer probes.
    PeerSuspect = 301, Warn;
    /// A peer is taken as dead.
    PeerDead = 302, Warn;
    /// A peer announced that it is leaving.
    PeerLeaving = 303, Info;
    /// A frame from a peer was refused and its stream closed.
    FrameRefused = 304, Warn;
    /// A peer could not prove that it holds the shared key.
    PeerUnproved = 305, Error;
    /// This box became the owner of a shard.
    OwnerBegan = 400, Info;
    /// This box is no longer the owner of a shard.
    OwnerEnded = 401, Info;
    /// A new owner has asked its lessees and grants from now on.
    OwnerRecovered = 402, Info;
    /// Leases beyond the known slots were reported to an owner.
    LeaseOverlap = 403, Warn;
    /// An owner did not answer in time; a local share is used.
    LocalFallback = 404, Warn;
    /// A server failed often and gets probes only.
    UpstreamEjected = 405, Warn;
    /// A server that had failed gets its full share again.
    UpstreamReturned = 406, Info;
    /// A server is leaving and gets no new work.
    UpstreamLeaving = 407, Info;
    /// A running request of a lesser class was asked to step back.
    LeaseRecalled = 408, Info;
    /// A stream broke and was resumed on another server.
    StreamResumed = 500, Info;
    /// A request ended with an outcome of which nobody knows whether it ran.
    OutcomeUnknown = 501, Warn;
    /// A request with a known key was delivered again and refused.
    RepeatRefused = 502, Info;
    /// A request ended otherwise than by the first server's whole answer.
    RequestEnded = 503, Info;
    /// A request was not passed on, by the caller's fault.
    RequestRejected = 504, Info;
    /// A server was chosen for a request.
    ServerChosen = 505, Debug;
    /// The first event of a stream came.
    StreamBegan = 506, Debug;
    /// A request ended with the first server's whole answer.
    RequestAnswered = 507, Debug;
    /// A server's connection broke, and its address refuses new ones.
    ServerEnded = 508, Info;
    /// A server's connection broke, and the server was not found to have ended.
    ServerBroke = 509, Debug;
    /// A request is held: servers ended under it at several moments.
    RequestHeld = 510, Warn;
    /// A request that was held is sent again: a server survived it, or an operator said so.
    RequestLifted = 511, Info;
    /// A request that is held was let through once.
    RequestTried = 512, Warn;
    /// A server's answer says that it leaves.
    ServerLeaves = 513, Info;
    /// A server turned a request away and wants nothing more from this box for a while.
    ServerRests = 514, Info;
    /// A server names another limit of the requests that it takes from all boxes together, or none any more.
    ServerLimits = 515, Info;
    /// An answer bears a header that nobody here knows.
    WordUnknown = 516, Warn;
    /// Leases granted no longer equal held, returned and expired ones.
    LeaseCountBroken = 900, Error;
    /// A grant went above the floor while a more urgent request waited.
    GrantOrderBroken = 901, Error;
    /// A request that isn't repeatable was about to be sent twice.
    SecondSendBroken = 902, Error;
    /// The release in force was about to go back.
    ReleaseOrderBroken = 903, Error;
    /// A request was about to get a second outcome.
    SecondOutcomeBroken = 904, Error;
    /// A request that may have run was about to be refused as not run.
    RefusalBroken = 905, Error;
}

/// Logs `event` with its number, name and `detail`, and counts it.
///
/// `detail` is a list of `key=value` pairs, so that lines can be searched.
pub fn emit(event: Event, detail: std::fmt::Arguments<'_>) {
    metrics::counter!("cleatshelf_events_total", "event" => event.name()).increment(1);
    log::log!(target: "cleatshelf", event.level(), "E{:03} {} {detail}", event.number(), event.name());
}
