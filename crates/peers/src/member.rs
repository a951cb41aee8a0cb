//! One other box.

use crate::Millis;

/// What is known of another box.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Its hall.
    pub(crate) hall: String,
    /// When it was last heard, or heard of for the first time.
    pub(crate) heard: Millis,
    /// When it last said that it watches; none when it doesn't, or hasn't said so.
    pub(crate) watched: Option<Millis>,
}

impl Member {
    pub(crate) fn new(hall: &str, now: Millis) -> Self {
        Self { hall: hall.to_owned(), heard: now, watched: None }
    }
}
