//! Ways of deciding that are compared.

use serde::Serialize;
use std::str::FromStr;

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arm {
    /// The program's own.
    Placement,
    /// The same, but boxes ask no owner.
    WithoutOwners,
    /// The same, but no part is fetched from another engine.
    WithoutFetching,
    /// The same, but nobody remembers who read a part away from its homes.
    WithoutRegisters,
    /// The same, but nothing is refused for want of places.
    WithoutAdmission,
    /// The same, but no pause is known to be too long: engines aren't divided.
    WithoutDivision,
    /// The same, but no heed is paid to limits that engines name.
    WithoutLimits,
    /// The engine with the fewest requests.
    Least,
    /// The better of two engines drawn by chance.
    Two,
    /// The engine that ranks first for the prompt's shared part, and has a place.
    Prefix,
    /// The engine with the fewest requests in the box's hall.
    Hall,
}

impl Arm {
    /// All of them.
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

    /// Its name in files and tables.
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

    /// True where boxes choose with the program's placement.
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
