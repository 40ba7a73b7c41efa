//! Part that a VM takes in the choice of the holder.

/// Part that a VM takes in the choice of the holder.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LeaseRole {
    /// Keeps a lease that it holds, and does not take over.
    #[default]
    Bystander,
    /// Takes over from a holder that does not renew.
    Candidate,
    /// Neither renews nor acts, so that another VM takes over: this one hears nothing from the others.
    Abstaining,
}
