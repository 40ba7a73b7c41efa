//! Versions of the store, which are unique only within one era.

use derive_more::Display;

/// Version of a row or a table of the store.
///
/// The store begins another era when it returns from an older copy. It then gives out numbers again
/// that it has given out before, so that a number alone tells nothing. Versions of a later era are
/// newer, whatever their numbers. See `docs/design/eras.md`.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("{era}.{number}")]
pub struct StoreVersion {
    /// Era of the store; 0 if it names none.
    pub era: u64,
    /// Number of the version within the era.
    pub number: u64,
}

impl StoreVersion {
    /// Creates a version.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Version with another number in the same era.
    #[must_use]
    pub const fn with_number(self, number: u64) -> Self {
        Self { number, ..self }
    }
}

/// Version of a store that names no era.
impl From<u64> for StoreVersion {
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}
