//! What runs on a server.

use serde::{Deserialize, Serialize};

/// What one request adds to its server's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens that the server must read before the first answer.
    pub unread: u32,
    /// Tokens of memory that it holds while it runs.
    pub held: u32,
    /// True when its answer has to come so evenly that the reading of a deep prompt beside it makes it late.
    pub quick: bool,
    /// True when reading its prompt makes quick answers beside it late.
    pub deep: bool,
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
    /// How many of them have quick answers.
    pub quick: u32,
    /// How many deep prompts of these are still to be read.
    pub deep: u32,
}

impl Load {
    /// A request was sent.
    pub fn begin(&mut self, work: Work) {
        self.running += 1;
        self.unread += u64::from(work.unread);
        self.held += u64::from(work.held);
        self.quick += u32::from(work.quick);
        self.deep += u32::from(work.deep);
    }

    /// A request's prompt has been read.
    pub fn read(&mut self, work: Work) {
        self.unread = self.unread.saturating_sub(u64::from(work.unread));
        self.deep = self.deep.saturating_sub(u32::from(work.deep));
    }

    /// A request ended whose prompt had been read, or for which [`Load::read`] was called.
    pub fn end(&mut self, work: Work) {
        self.running = self.running.saturating_sub(1);
        self.held = self.held.saturating_sub(u64::from(work.held));
        self.quick = self.quick.saturating_sub(u32::from(work.quick));
    }

    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.running += other.running;
        self.unread += other.unread;
        self.held += other.held;
        self.quick += other.quick;
        self.deep += other.deep;
    }
}
