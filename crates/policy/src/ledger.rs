//! The count of leases, which must come out even at every moment.

/// Leases of one shard, counted since its owner began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Granted here.
    pub granted: u64,
    /// Taken over from what lessees told.
    pub adopted: u64,
    /// Handed back, or found to be gone when the lessee was asked.
    pub returned: u64,
    /// Ended by their time limit.
    pub expired: u64,
}

impl Ledger {
    /// The invariant: `granted + adopted = held + returned + expired`.
    #[must_use]
    pub fn is_balanced(&self, held: usize) -> bool {
        self.granted + self.adopted == held as u64 + self.returned + self.expired
    }
}
