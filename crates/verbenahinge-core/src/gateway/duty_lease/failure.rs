//! Failure of a call to the store.

/// Failure of a call to the store that reads or writes the row of the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseFailure {
    /// The row had another version, so that nothing was written.
    Changed,
    /// No response, or a refusal; a write may have been performed or may still be.
    Unknown,
}
