//! Why none of the servers considered for a request can get it.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use super::{Candidate, Obstacle, PlacementContext};
use crate::gateway::Call;

/// Counts of the servers considered for a request, by what rules them out.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementSurvey {
    /// Servers of the service.
    pub servers: usize,
    /// Servers whose load was considered.
    pub considered: usize,
    /// Servers considered that cannot get the request, by the reason.
    pub obstacles: BTreeMap<Obstacle, u32>,
    /// Servers considered that cannot get the request although all prompts that wait there are less urgent.
    pub outranked: u32,
}

impl Display for PlacementSurvey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "servers={} considered={}", self.servers, self.considered)?;
        for (&obstacle, count) in &self.obstacles {
            let name: &str = obstacle.into();
            write!(f, " {name}={count}")?;
        }
        if self.outranked > 0 {
            write!(f, " outranked={}", self.outranked)?;
        }
        Ok(())
    }
}

impl PlacementContext<'_> {
    /// Counts why each of the candidates cannot get a call; `servers` is the number of servers of the
    /// service.
    pub(in crate::gateway) fn survey(
        &self,
        call: &Call,
        candidates: &[Candidate],
        servers: usize,
    ) -> PlacementSurvey {
        let mut survey = PlacementSurvey {
            servers,
            considered: candidates.len(),
            ..PlacementSurvey::default()
        };
        for candidate in candidates {
            let Some(obstacle) = self.obstacle(call, candidate, candidates) else {
                continue;
            };
            *survey.obstacles.entry(obstacle).or_default() += 1;
            let backend = candidate.backend;
            let has_backlog = backend.prefill_backlog() > 0.0;
            if has_backlog && backend.prefill_ahead(call.priority()) <= 0.0 {
                survey.outranked += 1;
            }
        }
        survey
    }

    fn obstacle(
        &self,
        call: &Call,
        candidate: &Candidate,
        candidates: &[Candidate],
    ) -> Option<Obstacle> {
        if candidate.wait().is_some() {
            return Some(Obstacle::Paused);
        }
        if candidate.backend.is_ejected(self.now) {
            return Some(Obstacle::Ejected);
        }
        if !candidate.has_room {
            return Some(Obstacle::NoRoom);
        }
        let (Some(engine), Some(_)) = (self.engine, &call.prompt) else {
            return None;
        };
        let plan = self.plan_prefill(call, candidate, candidates, engine, false);
        let kind = self.kind(call);
        let (_, obstacle, _) = self.assess_engine(call, candidate, engine, kind, plan);
        obstacle
    }
}
