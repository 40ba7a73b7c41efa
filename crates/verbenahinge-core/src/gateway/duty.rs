//! Calls to the platform that one VM makes for the whole deployment.

use strum::{Display, EnumString};

/// Kind of calls to the platform that one VM makes for the whole deployment.
///
/// See `docs/design/duty-lease.md`.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "snake_case")]
pub enum Duty {
    /// Reports of how many requests each client account began.
    Usage,
    /// Orders of backend servers.
    Scaling,
}
