//! Connections of callers and the memory that they hold, both of which are bounded.
//!
//! Carries out what `verbenahinge_core::gateway::connection_to_close` decides. See
//! `docs/design/caller-memory.md`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;
use strum::IntoStaticStr;
use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{ConnectionId, connection_to_close, max_connections};

use super::Gateway;
use super::connection_activity::ConnectionActivity;
use crate::body_memory::BodyMemory;
use crate::event_log::LogEvent;

/// Time without a refusal after which callers count as no longer crowded.
const CALM_TIME: Duration = Duration::from_secs(5);

/// Interval in which [`DISCARD_BYTES`] may be read.
const DISCARD_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes of refused bodies that are read in one interval, for all connections together: 32 MB per
/// second, more than the link of a small VM carries. Without it, a crowd of refused bodies took the time
/// in which ordinary requests are served.
const DISCARD_BYTES: usize = 320 << 10;

/// Bound that was reached.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
enum Bound {
    Memory,
    Connections,
}

/// When a bound was last reached, and what was refused or closed since it was first reached.
#[derive(Default)]
struct CrowdLog {
    last_at: Option<Timestamp>,
    count: u64,
}

/// Connections of callers and the memory that they hold.
pub(crate) struct Callers {
    memory: Rc<BodyMemory>,
    connections: RefCell<BTreeMap<ConnectionId, Rc<ConnectionActivity>>>,
    max_connections: usize,
    last_connection: Cell<ConnectionId>,
    memory_log: RefCell<CrowdLog>,
    connection_log: RefCell<CrowdLog>,
    discard_since: Cell<Instant>,
    discard_left: Cell<usize>,
}

impl Callers {
    pub(crate) fn new(memory_mb: u64, max_fds: Option<u64>) -> Self {
        Self {
            memory: BodyMemory::new(memory_mb),
            connections: RefCell::default(),
            max_connections: max_connections(memory_mb, max_fds),
            last_connection: Cell::new(0),
            memory_log: RefCell::default(),
            connection_log: RefCell::default(),
            discard_since: Cell::new(Instant::now()),
            discard_left: Cell::new(DISCARD_BYTES),
        }
    }

    /// Memory that callers and servers make this VM hold.
    pub(super) const fn memory(&self) -> &Rc<BodyMemory> {
        &self.memory
    }

    /// Lets a connection read bytes of a refused body; returns when it may try again if there are too
    /// many at this moment.
    pub(super) fn take_discard(&self, bytes: usize) -> Result<(), Instant> {
        let now = Instant::now();
        let next = self.discard_since.get() + DISCARD_INTERVAL;
        if now >= next {
            self.discard_since.set(now);
            self.discard_left.set(DISCARD_BYTES);
        }
        let left = self.discard_left.get().checked_sub(bytes).ok_or(next)?;
        self.discard_left.set(left);
        Ok(())
    }

    /// Adds a connection; returns `None` if there is no room for it.
    ///
    /// At the bound, another connection may be closed for it.
    pub(super) fn open_connection(
        &self,
        gateway: &Gateway,
        address: IpAddr,
    ) -> Option<(ConnectionId, Rc<ConnectionActivity>)> {
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= self.max_connections {
            let now = gateway.now();
            let views: Vec<_> = connections
                .iter()
                .map(|(id, activity)| activity.view(*id, now))
                .collect();
            self.note_crowd(gateway, Bound::Connections, 1);
            let victim = connection_to_close(now, &views)?;
            let activity = connections.remove(&victim)?;
            activity.close();
        }
        let id = self.last_connection.get() + 1;
        self.last_connection.set(id);
        let activity = ConnectionActivity::new(address);
        connections.insert(id, Rc::clone(&activity));
        Some((id, activity))
    }

    pub(super) fn close_connection(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Logs the begin and the end of crowds, and updates the metrics.
    pub(super) fn tick(&self, gateway: &Gateway) {
        self.note_crowd(gateway, Bound::Memory, self.memory.take_dropped());
        let connection_count = self.connections.borrow().len();
        gateway
            .metrics
            .set_held(self.memory.used_bytes(), connection_count);
        let mut is_over = false;
        for bound in [Bound::Memory, Bound::Connections] {
            let mut log = self.crowd_log(bound).borrow_mut();
            let Some(last_at) = log.last_at else {
                continue;
            };
            if gateway.now().saturating_sub(last_at) < CALM_TIME {
                continue;
            }
            let name: &str = bound.into();
            LogEvent::CallersCalm.log(&[("bound", &name), ("dropped", &log.count)]);
            *log = CrowdLog::default();
            is_over = true;
        }
        if is_over {
            release_heap();
        }
    }

    /// Notes that callers were refused or connections closed since a bound was reached.
    fn note_crowd(&self, gateway: &Gateway, bound: Bound, count: u64) {
        if count == 0 {
            return;
        }
        let name: &str = bound.into();
        gateway.metrics.count_dropped(name, count);
        let mut log = self.crowd_log(bound).borrow_mut();
        let begins = log.last_at.is_none();
        log.last_at = Some(gateway.now());
        log.count += count;
        if begins {
            LogEvent::CallersCrowded.log(&[
                ("bound", &name),
                ("held_bytes", &self.memory.used_bytes()),
                ("max_bytes", &self.memory.max_bytes()),
                ("max_connections", &self.max_connections),
            ]);
        }
    }

    const fn crowd_log(&self, bound: Bound) -> &RefCell<CrowdLog> {
        match bound {
            Bound::Memory => &self.memory_log,
            Bound::Connections => &self.connection_log,
        }
    }
}

/// Returns what a crowd used to the system; the allocator keeps it otherwise, as blocks above it are in use.
fn release_heap() {
    let started = Instant::now();
    let has_released = verbenahinge_heap::release_unused();
    LogEvent::HeapReleased.log(&[
        ("has_released", &has_released),
        ("took_us", &started.elapsed().as_micros()),
    ]);
}
