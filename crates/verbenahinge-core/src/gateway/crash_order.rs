//! Order of a run that a crash broke off and the crashes before it.

use strum::{FromRepr, IntoStaticStr};

/// Whether the run of a suspect that a crash broke off was sent after an earlier crash of the same suspect.
///
/// Variants that know more come later, so that the maximum of two reports is what both know together. See
/// `docs/design/crash-records.md`.
#[derive(Clone, Copy, Debug, Default, Eq, FromRepr, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[repr(u32)]
pub enum CrashOrder {
    /// Not reported: earlier builds do not tell it.
    #[default]
    Unknown = 0,
    /// The run was under way at each earlier crash that its VM knew of.
    Concurrent = 1,
    /// The run was sent after an earlier crash.
    Successive = 2,
}

impl CrashOrder {
    /// Number of the order in messages and rows.
    #[must_use]
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Order with a number; unknown if a later build has added it.
    #[must_use]
    pub fn from_number(number: u32) -> Self {
        Self::from_repr(number).unwrap_or_default()
    }
}
