//! What disturbed the VMs and their links to servers, and when: the only reasons for which a request
//! may end without a whole response or a refusal.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use verbenahinge_emulator::scripted_server::ExecutedRequest;

use crate::callers::{Exchange, Loss, is_stream};

/// Time for which a link or a VM still counts as disturbed after the end of the fault.
const RECOVERY_TIME: Duration = Duration::from_millis(500);

/// Time for which connections in a pool may still be stalled.
const STALLED_POOL_TIME: Duration = Duration::from_secs(3);

/// What VMs and servers have recorded of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace {
    /// Whether a VM has logged its end.
    pub(crate) has_ended: bool,
    /// Whether it was handed over to another VM.
    pub(crate) is_relayed: bool,
    /// Names of the servers that the log names for it.
    pub(crate) servers: BTreeSet<String>,
    /// Its runs, with the indices of the servers.
    pub(crate) runs: Vec<(usize, ExecutedRequest)>,
}

impl Trace {
    /// Whether the request was sent to a server, as far as is known.
    fn may_have_reached(&self, server: usize) -> bool {
        let is_untraced = self.servers.is_empty() && self.runs.is_empty();
        is_untraced
            || self.servers.contains(&format!("server-{server}"))
            || self.runs.iter().any(|&(runner, _)| runner == server)
    }

    fn has_unsound_run(&self) -> bool {
        self.runs.iter().any(|(_, run)| !run.fault.is_sound())
    }

    /// Whether one of the servers would have answered in time after its pause.
    fn has_time_for_pauses(&self, exchange: &Exchange) -> bool {
        !self.runs.is_empty() && !self.has_unsound_run() && exchange.path != "/once/x"
    }
}

/// What disturbs VMs or links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Disturbance {
    /// The link to a server, by its index.
    Link(usize),
    /// The links of a VM to all servers.
    Cut(usize),
    /// A suspended VM.
    Suspension(usize),
    /// A VM that was killed.
    Kill(usize),
    /// A VM that shuts down gracefully.
    Shutdown(usize),
}

/// A disturbance and its time; without an end, it goes on.
struct Period {
    disturbance: Disturbance,
    start: Instant,
    end: Option<Instant>,
}

impl Period {
    /// A disturbance of a moment.
    fn at(disturbance: Disturbance) -> Self {
        let now = Instant::now();
        Self {
            disturbance,
            start: now,
            end: Some(now),
        }
    }
}

/// Disturbances in the order of their beginnings.
#[derive(Default)]
pub(crate) struct Disturbances {
    periods: Vec<Period>,
    /// Time of the first fault of a server that makes it unsound.
    unsound_since: Option<Instant>,
}

impl Disturbances {
    /// Notes the beginning of a disturbance.
    pub(crate) fn begin(&mut self, disturbance: Disturbance) {
        self.periods.push(Period {
            disturbance,
            start: Instant::now(),
            end: None,
        });
    }

    /// Notes the end of a disturbance, if it goes on.
    pub(crate) fn end(&mut self, disturbance: Disturbance) {
        for period in &mut self.periods {
            if period.disturbance == disturbance && period.end.is_none() {
                period.end = Some(Instant::now());
            }
        }
    }

    /// Notes that a VM was killed and started again.
    pub(crate) fn note_kill(&mut self, vm: usize) {
        self.periods.push(Period::at(Disturbance::Kill(vm)));
        self.end(Disturbance::Shutdown(vm));
    }

    /// Notes that the open connections to a server were reset.
    pub(crate) fn note_reset(&mut self, server: usize) {
        self.periods.push(Period::at(Disturbance::Link(server)));
    }

    /// Notes that the open connections to a server have stalled.
    pub(crate) fn note_stall(&mut self, server: usize) {
        let mut period = Period::at(Disturbance::Link(server));
        period.end = Some(period.start + STALLED_POOL_TIME);
        self.periods.push(period);
    }

    /// Notes that a server has a fault that makes it unsound.
    pub(crate) fn note_unsound_server(&mut self) {
        self.unsound_since.get_or_insert_with(Instant::now);
    }

    /// Whether a disturbance of some kind overlaps with a time, from shortly before it.
    fn overlaps(
        &self,
        since: Instant,
        until: Instant,
        is_relevant: impl Fn(Disturbance) -> bool,
    ) -> bool {
        self.periods.iter().any(|period| {
            is_relevant(period.disturbance)
                && period.start <= until
                && period.end.is_none_or(|end| end + RECOVERY_TIME >= since)
        })
    }

    /// Whether a VM was killed or suspended while it had the request.
    fn was_vm_down(&self, exchange: &Exchange) -> bool {
        let vm = exchange.vm;
        self.overlaps(exchange.started, exchange.ended, |disturbance| {
            [Disturbance::Kill(vm), Disturbance::Suspension(vm)].contains(&disturbance)
        })
    }

    /// Whether any VM was down, which may have had the request of another one.
    fn was_any_vm_down(&self, exchange: &Exchange) -> bool {
        self.overlaps(exchange.started, exchange.ended, |disturbance| {
            !matches!(disturbance, Disturbance::Link(_) | Disturbance::Cut(_))
        })
    }

    fn was_vm_killed(&self, exchange: &Exchange) -> bool {
        let kill = Disturbance::Kill(exchange.vm);
        self.overlaps(exchange.started, exchange.ended, |disturbance| {
            disturbance == kill
        })
    }

    /// Whether the VM had a reason to close the connection of a request that it did not read.
    fn explain_close(&self, exchange: &Exchange) -> bool {
        let vm = exchange.vm;
        let since = exchange.kept_since.unwrap_or(exchange.started);
        self.overlaps(since, exchange.ended, |disturbance| {
            [Disturbance::Kill(vm), Disturbance::Shutdown(vm)].contains(&disturbance)
        })
    }

    /// Whether a server or a link may have broken off the response, or the request had no time left.
    fn explain_failure(&self, exchange: &Exchange, trace: &Trace) -> bool {
        let has_failed_link = self.overlaps(exchange.started, exchange.ended, |disturbance| {
            matches!(disturbance, Disturbance::Link(server) if trace.may_have_reached(server))
                || disturbance == Disturbance::Cut(exchange.vm)
        });
        let has_unsound_server = self
            .unsound_since
            .is_some_and(|since| since <= exchange.ended);
        has_failed_link
            || trace.has_unsound_run()
            || (trace.runs.is_empty() && has_unsound_server)
            || self.was_vm_down(exchange)
            || (trace.is_relayed && self.was_any_vm_down(exchange))
            || (exchange.has_used_its_time() && !trace.has_time_for_pauses(exchange))
    }

    /// Returns how a request ended without a whole response or a refusal, unless a disturbance
    /// explains it.
    pub(crate) fn find_loss(&self, exchange: &Exchange, trace: &Trace) -> Option<&'static str> {
        let was_read = trace.has_ended || !trace.runs.is_empty();
        let (violation, is_explained) = match &exchange.result {
            Err(Loss::NotConnected) => return None,
            Err(Loss::ConnectionClosed) => (
                "its connection closed before the idle timeout",
                self.explain_close(exchange),
            ),
            Err(Loss::TimedOut) => ("no response in time", self.was_vm_down(exchange)),
            Err(Loss::ConnectionEnded) if was_read => (
                "was read and got no response",
                self.was_vm_killed(exchange)
                    || (is_stream(exchange.path) && self.explain_failure(exchange, trace)),
            ),
            Err(Loss::ConnectionEnded) => (
                "its connection ended under it",
                self.explain_close(exchange),
            ),
            Ok(response) if response.is_complete && !matches!(response.status, 500 | 502 | 504) => {
                return None;
            }
            Ok(_) => (
                "failed though its servers were sound",
                self.explain_failure(exchange, trace),
            ),
        };
        (!is_explained).then_some(violation)
    }
}
