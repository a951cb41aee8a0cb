//! The lease counts, which must balance at every moment.

/// Lease counts of one shard since its owner began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Granted here.
    pub granted: u64,
    /// Adopted from lessees' lists.
    pub adopted: u64,
    /// Returned, or missing from the lessee's list.
    pub returned: u64,
    /// Expired.
    pub expired: u64,
}

impl Ledger {
    /// Returns true if the invariant `granted + adopted = held + returned + expired` holds.
    #[must_use]
    pub fn is_balanced(&self, held: usize) -> bool {
        self.granted + self.adopted == held as u64 + self.returned + self.expired
    }
}
