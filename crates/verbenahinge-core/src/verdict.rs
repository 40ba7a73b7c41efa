//! Whether a request may have run on a backend server.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// What is known about the execution of a request.
///
/// The verdict decides whether a retry is safe and is part of every refusal. See
/// `docs/design/retry.md`.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumString,
    IntoStaticStr,
    Eq,
    PartialEq,
    Ord,
    PartialOrd,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// No backend server has started the request.
    NotRun,
    /// A backend server may have started the request.
    MayHaveRun,
}

impl Verdict {
    /// Combines the verdicts of two attempts: the request may have run if either may have.
    #[must_use]
    pub const fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }
}
