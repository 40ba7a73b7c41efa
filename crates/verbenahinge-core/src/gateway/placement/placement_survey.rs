//! Why none of the servers considered for a request can get it.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use super::Obstacle;

/// Counts of the servers considered for a request, by what rules them out.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementSurvey {
    /// Servers of the service.
    pub servers: usize,
    /// Servers whose load was considered.
    pub considered: usize,
    /// Servers considered that cannot get the request, by the reason.
    pub obstacles: BTreeMap<Obstacle, u32>,
}

impl Display for PlacementSurvey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "servers={} considered={}", self.servers, self.considered)?;
        for (&obstacle, count) in &self.obstacles {
            let name: &str = obstacle.into();
            write!(f, " {name}={count}")?;
        }
        Ok(())
    }
}
