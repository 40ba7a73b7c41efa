//! Choice of the VMs that may take over the lease.

use std::time::Duration;

use super::{LeaseRole, LeaseTimes};
use crate::Timestamp;

/// VMs by rank that read the row at a time.
const CANDIDATES: usize = 3;

/// Time after the start of a VM in which it learns of the others, so that it knows its rank.
const START_DELAY: Duration = Duration::from_millis(1500);

/// Silence of all other VMs after which a VM counts as cut off. Each VM of a small fleet sends twice a
/// second; in a large one, several VMs write to each VM within a second.
const CUT_OFF_SILENCE: Duration = Duration::from_secs(2);

/// Other VMs that must fall silent together for a VM to count as cut off; a single one may have ended.
const MIN_SILENT_VMS: usize = 2;

/// Takeover delays for which a VM that is cut off leaves the lease to the others, and after which each
/// further group of ranks joins the candidates.
const YIELD_DELAYS: u32 = 2;

/// Decides whether a VM may take over the lease.
///
/// Load pattern: three VMs read the row once a second, whatever the size of the fleet. The next three by
/// rank join them only if no holder is heard of, for example because the store refuses the first ones. A
/// VM that no other VM reaches yields, since the holder must hear what the others have to say.
#[derive(Clone, Copy, Debug)]
pub struct LeaseCandidacy {
    started_at: Timestamp,
    /// Time of the last proof that some VM held the lease.
    holder_proved_at: Option<Timestamp>,
    /// Other live VMs when one of them was last heard.
    live_vms: usize,
}

impl LeaseCandidacy {
    /// Creates the state of a VM that has just started.
    #[must_use]
    pub const fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            holder_proved_at: None,
            live_vms: 0,
        }
    }

    /// Notes that some VM held the lease at a time.
    pub fn note_holder(&mut self, proved_at: Timestamp) {
        self.holder_proved_at = self.holder_proved_at.max(Some(proved_at));
    }

    /// Part of a VM with a rank among the live VMs, when it counts `live_vms` other ones as live and has
    /// last heard any of them at `last_heard`.
    pub fn role(
        &mut self,
        now: Timestamp,
        times: LeaseTimes,
        rank: usize,
        live_vms: usize,
        last_heard: Option<Timestamp>,
    ) -> LeaseRole {
        let yield_time = times.takeover_delay() * YIELD_DELAYS;
        let silence = last_heard.map_or(Duration::ZERO, |heard| now.saturating_sub(heard));
        if silence < CUT_OFF_SILENCE {
            self.live_vms = live_vms;
        } else if self.live_vms >= MIN_SILENT_VMS && silence < CUT_OFF_SILENCE + yield_time {
            return LeaseRole::Abstaining;
        }
        if now < self.started_at + START_DELAY {
            return LeaseRole::Bystander;
        }
        let group = u32::try_from(rank / CANDIDATES).unwrap_or(u32::MAX);
        let proved_at = self.holder_proved_at.unwrap_or(self.started_at);
        if now >= proved_at + yield_time.saturating_mul(group) {
            LeaseRole::Candidate
        } else {
            LeaseRole::Bystander
        }
    }
}
