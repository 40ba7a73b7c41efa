//! Which connection of a caller makes way for another when their number is at its bound.
//!
//! Answers crowds that open connections and send nothing, stop half-way or take no response.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::Timestamp;

/// Number of a connection.
pub type ConnectionId = u64;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;

/// Descriptors that are kept for the store, other VMs, probes and listeners.
const OWN_DESCRIPTORS: usize = 200;

/// Fraction of the VM's memory that the buffers of connections may use.
const MEMORY_DIVISOR: usize = 8;

/// Memory of one connection: its buffers, its task and that of its request.
const CONNECTION_BYTES: usize = 12 << 10;

/// Minimum number of connections of any VM.
const MIN_CONNECTIONS: usize = 64;

/// Time in which a connection is kept that had a request, or is part of one.
const MIN_WAIT: Duration = Duration::from_millis(500);

/// Time in which a connection is kept that has had no request. Callers send one at once, and a flood
/// of new connections would close all others if these were kept for longer.
const MIN_UNUSED_WAIT: Duration = Duration::from_millis(10);

/// Returns how many connections of callers a VM may have.
///
/// A request may need a descriptor for its server beside that of its caller.
#[must_use]
pub fn max_connections(memory_mb: u64, max_fds: Option<u64>) -> usize {
    let to_usize = |value: u64| usize::try_from(value).unwrap_or(usize::MAX >> 20);
    let by_memory = (to_usize(memory_mb) << 20) / MEMORY_DIVISOR / CONNECTION_BYTES;
    let by_descriptors = max_fds.map_or(usize::MAX, |max_fds| {
        to_usize(max_fds).saturating_sub(FILE_DESCRIPTORS + OWN_DESCRIPTORS) / 2
    });
    by_memory.min(by_descriptors).max(MIN_CONNECTIONS)
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConnectionUse {
    /// It has never sent a whole head.
    Unused,
    /// Its caller takes no bytes of a response.
    Unread,
    /// A body is being received.
    Receiving,
    /// It waits for its next request.
    Idle,
    /// A request is being served.
    Serving,
}

/// State of a connection, by which it is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionView {
    /// Number of the connection.
    pub id: ConnectionId,
    /// Address of the caller.
    pub address: IpAddr,
    /// What it does.
    pub used_for: ConnectionUse,
    /// Time of the last byte that passed, or of the opening.
    pub since: Timestamp,
}

/// Returns the connection to close for a new one; `None` if the new one has to be closed.
///
/// Connections that were never used go first, then those whose caller does not read or send, then
/// idle ones; among these, those of the address with most connections, and of these the one that has
/// waited longest. A connection that waits for a server is kept.
#[must_use]
pub fn connection_to_close(now: Timestamp, connections: &[ConnectionView]) -> Option<ConnectionId> {
    let mut of_address: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for connection in connections {
        *of_address.entry(connection.address).or_default() += 1;
    }
    connections
        .iter()
        .filter(|connection| {
            let min_wait = match connection.used_for {
                ConnectionUse::Serving => return false,
                ConnectionUse::Unused => MIN_UNUSED_WAIT,
                ConnectionUse::Unread | ConnectionUse::Receiving | ConnectionUse::Idle => MIN_WAIT,
            };
            now.saturating_sub(connection.since) >= min_wait
        })
        .min_by_key(|connection| {
            let count = of_address.get(&connection.address).copied().unwrap_or(0);
            (connection.used_for, Reverse(count), connection.since)
        })
        .map(|connection| connection.id)
}
