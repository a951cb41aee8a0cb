//! Role of a box in watching the publisher.

/// Role of a box in watching the publisher for its hall.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchRole {
    /// The box doesn't watch and receives updates from other boxes.
    #[default]
    Off,
    /// The box watches, and no other watcher of its hall precedes it.
    Primary,
    /// The box watches, and another watcher of its hall precedes it.
    Secondary,
}

impl WatchRole {
    /// Returns true if the box watches.
    #[must_use]
    pub fn is_on(self) -> bool {
        self != Self::Off
    }
}
