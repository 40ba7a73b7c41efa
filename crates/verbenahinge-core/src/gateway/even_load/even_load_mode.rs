//! Services whose load is kept even.

use strum::{Display, EnumString, IntoStaticStr};

/// Services of a large fleet whose load is kept even.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum EvenLoadMode {
    /// None.
    #[default]
    Off,
    /// All.
    On,
    /// Those whose configuration has `autoscaling` or a route with a tight gap target.
    Auto,
}
