//! What runs on a server.

use serde::{Deserialize, Serialize};

/// What one request adds to its server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens that the server must read before the first answer.
    pub unread: u32,
    /// Tokens of memory that it holds while it runs.
    pub held: u32,
}

/// The load that one box, or all other boxes, put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent and not ended.
    pub running: u32,
    /// Prompt tokens of these that are still to be read.
    pub unread: u64,
    /// Tokens of memory that they hold.
    pub held: u64,
}

impl Load {
    /// A request was sent.
    pub fn begin(&mut self, work: Work) {
        self.running += 1;
        self.unread += u64::from(work.unread);
        self.held += u64::from(work.held);
    }

    /// A request's prompt has been read.
    pub fn read(&mut self, work: Work) {
        self.unread = self.unread.saturating_sub(u64::from(work.unread));
    }

    /// A request ended whose prompt had been read, or for which [`Load::read`] was called.
    pub fn end(&mut self, work: Work) {
        self.running = self.running.saturating_sub(1);
        self.held = self.held.saturating_sub(u64::from(work.held));
    }

    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.running += other.running;
        self.unread += other.unread;
        self.held += other.held;
    }
}
