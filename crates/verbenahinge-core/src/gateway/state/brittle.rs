//! Brittle servers, which fail if they have to reject too many requests in a second.
//!
//! Load pattern: all servers of a service let fewer requests wait for some time, and each fails if all VMs
//! together send it more than it has room for too often. A VM learns of the load that others put on a
//! server only after a digest. See `docs/design/brittle-servers.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GatewayState;
use crate::gateway::number::to_u32;
use crate::gateway::{Backend, BrittleState, Call, ServerEntry, ServiceName};
use crate::hash::{hash64, mix64};
use crate::{ServerName, Timestamp};

/// Time after the latest word of a service's servers for which they count as brittle.
const BRITTLE_TTL: Duration = Duration::from_secs(5);

/// Part of the rejections that a server bears which all VMs together may cause.
const REJECTION_SHARE: f64 = 0.5;

/// Few of a server's slots are in use if fewer than this part are.
const SPARE_SLOTS_DIVISOR: u32 = 2;

/// Requests known to be at a brittle server beyond its slots, as a divisor of the slots, from which on it has no
/// room: half of what urgent requests may queue at others. Without them, urgent requests find no server in the first
/// second, when all slots are still in use.
const QUEUE_SLOTS_DIVISOR: u32 = 8;

/// As [`QUEUE_SLOTS_DIVISOR`], for requests that are not the least urgent, at as many VMs as may risk a rejection: the
/// queue that other servers keep for urgent requests. Without it, 26 of 49 middle prompts were refused in the first half
/// second at 90 VMs (`few_brittle_slots`, seed 1) while less urgent ones that were queued before began.
const URGENT_QUEUE_SLOTS_DIVISOR: u32 = 4;

/// Least time between two updates of the order of the VMs at brittle servers: an update with 7,300 servers and 300 VMs
/// computes 2.2 million hashes.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Part of a VM's slots that may stay free for more urgent requests, as a divisor.
const URGENT_SLOTS_DIVISOR: u32 = 2;

/// Slots that requests leave free for each more urgent priority, in square roots of the VM's slots.
const URGENT_SPREAD_SHARE: f64 = 0.25;

/// Slots that the least urgent requests leave free, in square roots of the VM's slots.
const LEAST_URGENT_SPREADS: f64 = 2.0;

/// Longest time for which a VM avoids a server that has rejected one of its requests.
const MAX_AVOID_TIME: Duration = Duration::from_mins(1);

/// What servers of one service say of themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Brittleness {
    rejections_per_s: f64,
    told_at: Timestamp,
}

/// What one VM tells others about a brittle service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleReport {
    /// Hash of the service's name.
    pub service: u64,
    /// Rejections in a second that a server of the service bears.
    pub rejections_per_s: f64,
    /// Time since a server said so.
    pub age: Duration,
}

/// Brittle services by the hashes of their names.
pub(super) type BrittleServices = BTreeMap<u64, Brittleness>;

/// Ends of the times for which this VM avoids brittle servers.
pub(super) type AvoidedServers = BTreeMap<ServerName, Timestamp>;

/// What a request may use of the slots of this VM at brittle servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RoomUse {
    /// Nothing: it leaves what is free to more urgent requests.
    Nothing,
    /// Slots at servers without a known queue of over an eighth of their slots.
    Slots,
    /// Slots at servers with a longer queue too, in which it goes ahead of less urgent requests.
    Queue,
}

/// Positions of this VM in the orders of VMs at the servers of brittle services, for sums over all servers.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotRanks {
    updated_at: Option<Timestamp>,
    by_server: BTreeMap<ServerName, usize>,
}

fn to_usize(number: f64) -> usize {
    usize::try_from(to_u32(number)).unwrap_or(usize::MAX)
}

fn service_hash(service: &ServiceName) -> u64 {
    hash64(service.as_bytes())
}

impl GatewayState {
    /// Records what an answer of a server to a request that was sent at `sent_at` says of itself; returns
    /// whether the servers of its service have become brittle or no longer are.
    pub fn note_brittle(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        sent_at: Timestamp,
        state: BrittleState,
    ) -> bool {
        match state {
            BrittleState::Untold => false,
            BrittleState::Sound if self.brittle_services.is_empty() => false,
            BrittleState::Sound => {
                let service = service_hash(service);
                let old = self.brittle_services.get(&service);
                // Answers may overtake each other.
                let ends = old.is_some_and(|old| old.told_at < sent_at);
                if ends {
                    self.brittle_services.remove(&service);
                }
                ends
            }
            BrittleState::Brittle(rejections_per_s) => {
                let told = Brittleness {
                    rejections_per_s,
                    told_at: now,
                };
                let old = self.brittle_services.insert(service_hash(service), told);
                old.is_none()
            }
        }
    }

    /// What this VM tells others about brittle services.
    #[must_use]
    pub fn brittle_reports(&self, now: Timestamp) -> Vec<BrittleReport> {
        let mut reports = Vec::new();
        for (&service, brittleness) in &self.brittle_services {
            reports.push(BrittleReport {
                service,
                rejections_per_s: brittleness.rejections_per_s,
                age: now.saturating_sub(brittleness.told_at),
            });
        }
        reports
    }

    /// Applies what another VM tells about brittle services.
    pub fn apply_brittle_reports(&mut self, now: Timestamp, reports: &[BrittleReport]) {
        for report in reports {
            let told = Brittleness {
                rejections_per_s: report.rejections_per_s,
                told_at: now.saturating_sub(report.age),
            };
            let known = self.brittle_services.get(&report.service);
            if known.is_none_or(|known| known.told_at < told.told_at) {
                self.brittle_services.insert(report.service, told);
            }
        }
    }

    /// Records that a server has rejected a request; a brittle one is avoided for so long that all VMs
    /// together stay below what it bears.
    pub(super) fn note_rejection(&mut self, now: Timestamp, server: &str) {
        let Some(entry) = self.registry.get(server) else {
            return;
        };
        let Some(brittleness) = self.brittle_services.get(&service_hash(&entry.service)) else {
            return;
        };
        let rejections_per_s = brittleness.rejections_per_s.max(f64::EPSILON) * REJECTION_SHARE;
        let vms = f64::from(u32::try_from(self.vm_count()).unwrap_or(u32::MAX));
        let avoid = Duration::try_from_secs_f64(vms / rejections_per_s).unwrap_or(MAX_AVOID_TIME);
        let until = now + avoid.min(MAX_AVOID_TIME);
        self.avoided_servers.insert(entry.id.clone(), until);
    }

    /// Whether a brittle server surely has room for a request; true for other servers.
    ///
    /// The shares of all VMs add up to the server's slots, however late they hear of each other. While few
    /// of the slots are in use, a VM may be one request ahead of its share in some seconds.
    pub(super) fn has_room(
        &self,
        now: Timestamp,
        entry: &ServerEntry,
        backend: &Backend,
        room_use: RoomUse,
    ) -> bool {
        if self.brittle_services.is_empty() {
            return true;
        }
        let Some(brittleness) = self.brittle_services.get(&service_hash(&entry.service)) else {
            return true;
        };
        let avoided_until = self.avoided_servers.get(&entry.id);
        if avoided_until.is_some_and(|&until| until > now) {
            return false;
        }
        // Requests that were sent before the server was brittle may hold the slots of several VMs.
        let running = backend.running();
        let is_full = running >= entry.slots + entry.slots / QUEUE_SLOTS_DIVISOR;
        let may_queue = match room_use {
            RoomUse::Nothing => return false,
            RoomUse::Slots => false,
            RoomUse::Queue => running < entry.slots + entry.slots / URGENT_QUEUE_SLOTS_DIVISOR,
        };
        if is_full && !(may_queue && self.may_risk_rejection(now, entry, brittleness)) {
            return false;
        }
        let own = backend.own_running();
        let share = self.slot_share(entry);
        if own != share || running >= entry.slots / SPARE_SLOTS_DIVISOR {
            return own < share;
        }
        self.may_risk_rejection(now, entry, brittleness)
    }

    /// Whether this VM is one of those that may risk a rejection by a server in this second: as many as half of what
    /// the server bears.
    fn may_risk_rejection(
        &self,
        now: Timestamp,
        entry: &ServerEntry,
        brittleness: &Brittleness,
    ) -> bool {
        let second = mix64(hash64(entry.id.as_bytes()), now.as_secs());
        self.rank(second) < to_usize(brittleness.rejections_per_s * REJECTION_SHARE)
    }

    /// Whether some server of a call's service is ready, and none surely has room for the call.
    pub(super) fn lacks_room(&self, now: Timestamp, call: &Call) -> bool {
        if !self.is_brittle(&call.service) {
            return false;
        }
        let room_use = self.room_use(now, call);
        let mut ready = self.registry.ready(&call.service).peekable();
        ready.peek().is_some()
            && ready.all(|entry| {
                let backend = self.backends.get(&entry.id);
                backend.is_none_or(|backend| !self.has_room(now, entry, backend, room_use))
            })
    }

    /// What a call may use of the slots of this VM at brittle servers.
    pub(super) fn room_use(&self, now: Timestamp, call: &Call) -> RoomUse {
        if !self.is_brittle(&call.service) {
            return RoomUse::Slots;
        }
        let is_least_urgent = !self.expects_less_urgent(now, call);
        if self.yields_room(now, call, is_least_urgent) {
            RoomUse::Nothing
        } else if is_least_urgent {
            RoomUse::Slots
        } else {
            RoomUse::Queue
        }
    }

    /// Whether a call leaves the slots that this VM may still use at brittle servers to more urgent requests.
    ///
    /// Little waits at a brittle server, so an urgent request cannot go ahead of others there. Requests of the
    /// least urgent priority, which fill what the others leave, keep twice the square root of the VM's slots free,
    /// by which a random number of requests varies: more where the slots are few. Others keep a quarter of it free for
    /// each more urgent priority. Together at most half of the slots stay free.
    ///
    /// Slots at servers that are known to be full are not free for the least urgent requests: in the first second,
    /// when requests that were sent before hold them, the others need what little is free.
    fn yields_room(&self, now: Timestamp, call: &Call, is_least_urgent: bool) -> bool {
        let priorities = self.more_urgent_priorities(now, call);
        if priorities == 0 {
            return false;
        }
        let mut slots: u32 = 0;
        let mut used: u32 = 0;
        for entry in self.registry.ready(&call.service) {
            let Some(backend) = self.backends.get(&entry.id) else {
                continue;
            };
            let share = self.known_slot_share(entry);
            let is_taken = is_least_urgent && backend.running() >= entry.slots;
            slots = slots.saturating_add(share);
            // What this VM sent beyond its slots, before the server was brittle, takes nothing from its slots
            // at other servers.
            used += if is_taken {
                share
            } else {
                backend.own_running().min(share)
            };
        }
        let free = slots.saturating_sub(used);
        let spread = f64::from(slots).sqrt();
        let per_priority = to_u32((spread * URGENT_SPREAD_SHARE).round()).max(1);
        let mut reserved = priorities * per_priority;
        if is_least_urgent {
            reserved = reserved.max(to_u32((spread * LEAST_URGENT_SPREADS).round()));
        }
        let reserved = reserved.min(slots / URGENT_SLOTS_DIVISOR);
        reserved > 0 && free <= reserved
    }

    fn is_brittle(&self, service: &ServiceName) -> bool {
        !self.brittle_services.is_empty()
            && self.brittle_services.contains_key(&service_hash(service))
    }

    /// Slots of a server that this VM may use for itself; the first VMs in an order that depends on the
    /// server get one more if the slots don't divide.
    fn slot_share(&self, entry: &ServerEntry) -> u32 {
        self.slot_share_at(entry, self.rank(hash64(entry.id.as_bytes())))
    }

    /// As [`Self::slot_share`], by an order of the VMs that may be old by [`RANK_INTERVAL`], so that a sum over all
    /// servers does not order the VMs for each.
    fn known_slot_share(&self, entry: &ServerEntry) -> u32 {
        match self.slot_ranks.by_server.get(&entry.id) {
            Some(&rank) => self.slot_share_at(entry, rank),
            None => self.slot_share(entry),
        }
    }

    fn slot_share_at(&self, entry: &ServerEntry, rank: usize) -> u32 {
        let slots = usize::try_from(entry.slots.max(1)).unwrap_or(usize::MAX);
        let vms = self.vm_count();
        let share = slots / vms + usize::from(rank < slots % vms);
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Position of this VM in an order that VMs with the same live VMs agree on.
    fn rank(&self, key: u64) -> usize {
        let own_order = mix64(key, self.vm);
        let peers = self.peers.keys();
        peers.filter(|&&vm| mix64(key, vm) < own_order).count()
    }

    pub(super) fn expire_brittle(&mut self, now: Timestamp) {
        self.brittle_services
            .retain(|_, brittleness| brittleness.told_at + BRITTLE_TTL > now);
        self.avoided_servers.retain(|_, until| *until > now);
        self.update_slot_ranks(now);
    }

    fn update_slot_ranks(&mut self, now: Timestamp) {
        if self.brittle_services.is_empty() {
            self.slot_ranks = SlotRanks::default();
            return;
        }
        let updated_at = self.slot_ranks.updated_at;
        if updated_at.is_some_and(|at| at + RANK_INTERVAL > now) {
            return;
        }
        let mut by_server = BTreeMap::new();
        for (entry, _) in self.registry.entries() {
            if self.is_brittle(&entry.service) {
                let rank = self.rank(hash64(entry.id.as_bytes()));
                by_server.insert(entry.id.clone(), rank);
            }
        }
        self.slot_ranks = SlotRanks {
            updated_at: Some(now),
            by_server,
        };
    }
}
