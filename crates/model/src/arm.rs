//! Placement policies that experiments compare.

use serde::Serialize;
use std::str::FromStr;

/// A placement policy: the production placement, the production placement without one of its features, or a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arm {
    /// The production placement of cleatshelf.
    Placement,
    /// `Placement`, but boxes send no status queries to owners.
    WithoutOwners,
    /// `Placement`, but engines fetch no cached parts from each other.
    WithoutFetching,
    /// `Placement`, but no cache directories: engines that prefill a part away from its home servers are not recorded.
    WithoutRegisters,
    /// `Placement`, but no request is refused for lack of free slots.
    WithoutAdmission,
    /// `Placement`, but routes have no gap target, so that engines are not divided.
    WithoutDivision,
    /// `Placement`, but rate limits that engines announce are ignored.
    WithoutLimits,
    /// Baseline: the engine with the fewest requests.
    Least,
    /// Baseline: the less loaded of two randomly chosen engines.
    Two,
    /// Baseline: the first engine with a free slot in the rank order of the prompt's shared part, or the least loaded
    /// if all are full.
    Prefix,
    /// Baseline: the engine with the fewest requests in the box's hall.
    Hall,
}

impl Arm {
    /// All arms.
    pub const ALL: [Self; 11] = [
        Self::Placement,
        Self::WithoutOwners,
        Self::WithoutFetching,
        Self::WithoutRegisters,
        Self::WithoutAdmission,
        Self::WithoutDivision,
        Self::WithoutLimits,
        Self::Least,
        Self::Two,
        Self::Prefix,
        Self::Hall,
    ];

    /// Returns the arm's name in experiment files and result tables.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Placement => "placement",
            Self::WithoutOwners => "without-owners",
            Self::WithoutFetching => "without-fetching",
            Self::WithoutRegisters => "without-registers",
            Self::WithoutAdmission => "without-admission",
            Self::WithoutDivision => "without-division",
            Self::WithoutLimits => "without-limits",
            Self::Least => "least",
            Self::Two => "two",
            Self::Prefix => "prefix",
            Self::Hall => "hall",
        }
    }

    /// Returns true if boxes choose engines with the production placement.
    pub(crate) fn uses_placement(self) -> bool {
        !matches!(self, Self::Least | Self::Two | Self::Prefix | Self::Hall)
    }
}

impl FromStr for Arm {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let names = Self::ALL.map(Self::as_str).join(", ");
        let arm = Self::ALL.into_iter().find(|arm| arm.as_str() == name);
        arm.ok_or_else(|| format!("'{name}' is none of {names}"))
    }
}
