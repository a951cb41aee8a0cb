//! What a box watches the publisher as.

/// Whether a box watches the publisher, and whether its hall relies on it first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WatchRole {
    /// It doesn't: it hears of news from others.
    #[default]
    Off,
    /// It does, and no other box of its hall goes before it.
    Primary,
    /// It does, and its hall hears of news from another one as well.
    Secondary,
}

impl WatchRole {
    /// True while the box watches.
    #[must_use]
    pub fn is_on(self) -> bool {
        self != Self::Off
    }
}
