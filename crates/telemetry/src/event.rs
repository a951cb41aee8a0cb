//! The numbered events. docs/EVENTS.md documents the meaning of each and the operator's response.

use log::Level;

macro_rules! events {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $level:ident;)+) => {
        /// A numbered kind of log line. A number never changes its meaning.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[doc = $doc])+ $name,)+
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)+];

            /// Returns the event's number, as printed in the log.
            #[must_use]
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $number,)+ }
            }

            /// Returns the level at which the event is logged.
            #[must_use]
            pub fn level(self) -> Level {
                match self { $(Event::$name => Level::$level,)+ }
            }

            /// Returns the event's name, as in docs/EVENTS.md.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)+ }
            }
        }
    };
}

events! {
    /// A box has started and is listening.
    BoxStarted = 100, Info;
    /// A box now accepts requests.
    BoxReady = 101, Info;
    /// A planned stop began: the box accepts no new requests.
    StopBegun = 102, Info;
    /// A planned stop completed with no request aborted.
    StopClean = 103, Info;
    /// A stop ended while requests were still running; they were aborted.
    StopCut = 104, Error;
    /// The process was suspended and has just resumed.
    PauseNoticed = 105, Warn;
    /// A component could not start.
    StartFailed = 106, Error;
    /// Log lines were dropped because their reader was too slow.
    LinesDropped = 107, Warn;
    /// A port on which this box listens is in use.
    PortInUse = 108, Warn;
    /// A release is in force on this box.
    ReleaseInForce = 200, Info;
    /// A release was refused; the previous one stays in force.
    ReleaseRefused = 201, Error;
    /// The configuration service did not respond.
    PlatformUnreachable = 202, Warn;
    /// The configuration service responds again.
    PlatformReachable = 203, Info;
    /// The platform offered a release older than the one in force.
    ReleaseStale = 204, Warn;
    /// This box started or stopped watching the platform.
    WatchRole = 205, Info;
    /// The list of servers in force changed.
    ServersChanged = 206, Info;
    /// The settings were reloaded.
    SettingsReloaded = 207, Info;
    /// Reloaded settings have faults; the previous ones stay in force.
    SettingsRefused = 208, Error;
    /// The set of evacuated halls changed.
    HallsEvacuated = 209, Info;
    /// The platform's store was restored from an older copy.
    StoreRestored = 210, Warn;
    /// A peer is reachable.
    PeerAlive = 300, Info;
    /// A peer does not respond to probes.
    PeerSuspect = 301, Warn;
    /// A peer is considered dead.
    PeerDead = 302, Warn;
    /// A peer announced that it is leaving.
    PeerLeaving = 303, Info;
    /// A frame from a peer was refused and its stream closed.
    FrameRefused = 304, Warn;
    /// A peer failed to prove that it holds the shared key.
    PeerUnproved = 305, Error;
    /// This box became the owner of a shard.
    OwnerBegan = 400, Info;
    /// This box ceased to be the owner of a shard.
    OwnerEnded = 401, Info;
    /// A new owner has recovered the leases from its lessees and now grants new ones.
    OwnerRecovered = 402, Info;
    /// More leases were reported to an owner than there are known slots.
    LeaseOverlap = 403, Warn;
    /// An owner did not respond in time; the box falls back to its local share.
    LocalFallback = 404, Warn;
    /// A server failed repeatedly and receives only probes.
    UpstreamEjected = 405, Warn;
    /// An ejected server receives its full share again.
    UpstreamReturned = 406, Info;
    /// A server is leaving and receives no new requests.
    UpstreamLeaving = 407, Info;
    /// The lease of a running request of a lower class was recalled.
    LeaseRecalled = 408, Info;
    /// A stream was interrupted and resumed on another server.
    StreamResumed = 500, Info;
    /// A request ended and it is unknown whether it ran.
    OutcomeUnknown = 501, Warn;
    /// A repeated delivery of a request with a known key was refused.
    RepeatRefused = 502, Info;
    /// A request ended other than by a complete response from the first server.
    RequestEnded = 503, Info;
    /// A request was rejected because of a caller error.
    RequestRejected = 504, Info;
    /// A server was chosen for a request.
    ServerChosen = 505, Debug;
    /// The first event of a stream arrived.
    StreamBegan = 506, Debug;
    /// A request ended with a complete response from the first server.
    RequestAnswered = 507, Debug;
    /// A server's connection was lost, and its address refuses new ones.
    ServerEnded = 508, Info;
    /// A server's connection was lost, and the server was not found to have terminated.
    ServerBroke = 509, Debug;
    /// A request is held because servers terminated while running it, at several separate times.
    RequestHeld = 510, Warn;
    /// A held request is sent again because a server survived it or an operator lifted the hold.
    RequestLifted = 511, Info;
    /// A held request was sent once as a half-open probe.
    RequestTried = 512, Warn;
    /// A server's response announces that the server is leaving.
    ServerLeaves = 513, Info;
    /// A server refused a request and asked this box to back off for a while.
    ServerRests = 514, Info;
    /// A server changed or removed its limit on requests from all boxes together.
    ServerLimits = 515, Info;
    /// A response has an unknown header.
    WordUnknown = 516, Warn;
    /// This box can't open connections to servers any more, while it has not been shown that they are down.
    ServerPathLost = 517, Warn;
    /// This box opened a connection to a server again.
    ServerPathRestored = 518, Info;
    /// The servers of a service fall over if they have to turn too many requests away.
    ServersBrittle = 519, Warn;
    /// A caller takes up a stream that an earlier attempt began.
    StreamTakenUp = 520, Info;
    /// A listed server was seen to end: another one may answer in its name.
    LifeDoubted = 521, Info;
    /// A server that was seen to end has lived on.
    LifeConfirmed = 522, Info;
    /// Request bodies were refused because bodies take all memory for them, or to make room for a new connection.
    BodiesRefused = 523, Warn;
    /// The count of leases granted no longer equals those held, returned and expired.
    LeaseCountBroken = 900, Error;
    /// A grant exceeded the class's floor while a more urgent request was waiting.
    GrantOrderBroken = 901, Error;
    /// A non-repeatable request was about to be sent twice.
    SecondSendBroken = 902, Error;
    /// The release in force was about to be replaced by an older one.
    ReleaseOrderBroken = 903, Error;
    /// A second outcome was about to be recorded for a request.
    SecondOutcomeBroken = 904, Error;
    /// A request that may have run was about to be refused as not run.
    RefusalBroken = 905, Error;
}

/// Logs `event` with its number, name and `detail`, and increments its counter.
///
/// `detail` is a list of `key=value` pairs, so that log lines can be searched.
pub fn emit(event: Event, detail: std::fmt::Arguments<'_>) {
    metrics::counter!("cleatshelf_events_total", "event" => event.name()).increment(1);
    log::log!(target: "cleatshelf", event.level(), "E{:03} {} {detail}", event.number(), event.name());
}
