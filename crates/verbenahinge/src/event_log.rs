//! Numbered log events, one line of `key=value` fields each.
//!
//! Operators search for the number; `docs/events.md` lists what each event means and what to do.

use std::fmt::Display;

use strum::{EnumIter, IntoStaticStr};

/// An event in the log for operators.
#[derive(Clone, Copy, Debug, EnumIter, IntoStaticStr, Eq, PartialEq, Ord, PartialOrd)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum LogEvent {
    /// The process has started to serve requests.
    Started = 100,
    /// A graceful shutdown has begun.
    Draining = 101,
    /// The graceful shutdown is complete.
    Drained = 102,
    /// A supervised task ended or panicked and is restarted.
    TaskRestarted = 103,
    /// Changed settings have been applied.
    Reloaded = 104,
    /// Changed settings are invalid; the previous ones stay in use.
    ReloadFailed = 105,
    /// Log lines were dropped because the log buffer was full.
    LogLinesDropped = 106,
    /// A connection could not be accepted.
    AcceptFailed = 107,
    /// The thread of the process handled no event for a while.
    ThreadHeld = 108,
    /// A version of the configuration came into force.
    ConfigInForce = 200,
    /// A patch was accepted.
    PatchAccepted = 201,
    /// A patch was rejected.
    PatchRejected = 202,
    /// A configuration could not be read; the version in force stays.
    ConfigUnreadable = 203,
    /// A configuration was older than the one in force, which stays.
    ConfigOutdated = 204,
    /// A configuration with client accounts and without API keys came into force.
    ConfigWithoutKeys = 205,
    /// The platform does not respond.
    PlatformUnavailable = 300,
    /// The platform responds again.
    PlatformAvailable = 301,
    /// The store returned from an older copy and began another era of versions.
    StoreEraChanged = 302,
    /// A response of the store was older than the replica, and was not applied.
    StoreResponseIgnored = 303,
    /// The store no longer has the version that a replica has applied.
    StoreVersionUnknown = 304,
    /// A table was read beside a call that was not answered.
    StoreChecked = 305,
    /// A backend server was ejected.
    ServerEjected = 400,
    /// An ejected backend server receives requests again.
    ServerReadmitted = 401,
    /// The registry entry of a backend server changed.
    ServerListed = 402,
    /// The registry entry of a backend server could not be decoded.
    ServerUnreadable = 403,
    /// A backend server crashed while it ran a request.
    ServerCrashed = 404,
    /// Another VM named crashes of servers that were running one request.
    CrashRecordLearned = 405,
    /// A success cleared a suspect of earlier crashes.
    #[strum(serialize = "crash_record_dropped")]
    CrashSuspectCleared = 406,
    /// A backend server named a limit for its requests, or stopped naming one.
    ServerLimited = 407,
    /// A backend server said in an answer that it leaves.
    ServerLeaving = 410,
    /// A backend server named a time in which it wants no requests from this VM.
    ServerPaused = 411,
    /// This VM can open no connection to any server of a service.
    ServersUnreached = 412,
    /// This VM reaches the servers of a service again.
    ServersReached = 413,
    /// Servers of a service have become brittle, or no longer are.
    ServersBrittle = 414,
    /// A server sent bytes that bring a response no further.
    ResponseEndless = 415,
    /// A request or a prompt part is blamed for crashes of servers.
    CrashBlamed = 420,
    /// A request or a prompt part is no longer blamed for crashes.
    CrashBlameWithdrawn = 421,
    /// A stream has moved to another engine.
    StreamMoved = 450,
    /// A call to move a stream had no effect, or its response was lost.
    StreamNotMoved = 451,
    /// A run was stopped to be moved, and did not continue anywhere.
    StreamMoveLost = 452,
    /// An engine with streams of this VM leaves at a known time.
    EngineLeaves = 453,
    /// The copy of a run could not be freed.
    CopyNotFreed = 454,
    /// A request was refused.
    RequestRefused = 500,
    /// A request was refused because it crashed backend servers.
    RequestQuarantined = 501,
    /// A request received its final response, or its caller disconnected.
    RequestEnded = 510,
    /// An attempt to run a request on a backend server failed.
    AttemptFailed = 511,
    /// A request was rejected at admission.
    RequestTurnedAway = 512,
    /// The server of an attempt sends nothing; the attempt goes on.
    AttemptSilent = 513,
    /// A server that was silent has answered.
    AttemptContinued = 514,
    /// No server was found for a retry.
    RetryUnplaced = 515,
    /// A caller came back for the rest of a stream.
    StreamReturned = 516,
    /// A request was handed over to another VM.
    RequestRelayed = 517,
    /// Where streams began was read from the store.
    StreamsRead = 518,
    /// Callers were refused or dropped, since memory or connections are short.
    CallersCrowded = 520,
    /// Callers have not been refused for a while.
    CallersCalm = 521,
    /// A connection was closed because its caller takes no response.
    CallerNotReading = 522,
    /// Unused memory of the heap was returned to the system.
    HeapReleased = 530,
    /// The link to a peer was lost, or the peer announced its shutdown.
    PeerLost = 600,
    /// A link to a peer was established.
    PeerLinked = 601,
    /// A peer presented no key or a wrong one.
    PeerRejected = 602,
    /// A datagram from a peer could not be decoded.
    DigestUnreadable = 603,
    /// A table could not be fetched from another VM.
    TableFetchFailed = 604,
    /// This VM has begun to hold the lease for duties.
    DutyLeaseHeld = 700,
    /// This VM no longer holds the lease for duties, or cannot know whether it does.
    DutyLeaseEnded = 701,
    /// The settings of duties cannot be used, so that the duties are off.
    DutiesOff = 702,
    /// The platform accepted the usage report of a window.
    UsageReported = 703,
    /// The platform refused a usage report.
    UsageRefused = 704,
    /// Rows of the store with usage could not be read.
    UsageUnreadable = 705,
    /// An order of backend servers was sent.
    ServersOrdered = 710,
    /// No orders are given for a service, or for none.
    OrdersOff = 711,
    /// The limits of a service allow fewer servers than it needs.
    OrdersLimited = 712,
    /// Spot servers of a zone are reclaimed.
    ServersReclaimed = 713,
    /// The orders could not be read from the store, or not be kept there.
    OrdersUnsaved = 714,
}

impl LogEvent {
    /// Returns the number that operators search for.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the level at which the event is logged.
    #[must_use]
    pub const fn level(self) -> log::Level {
        match self {
            Self::TaskRestarted | Self::PeerRejected => log::Level::Error,
            Self::PatchRejected
            | Self::PlatformUnavailable
            | Self::StoreEraChanged
            | Self::StoreResponseIgnored
            | Self::StoreVersionUnknown
            | Self::ReloadFailed
            | Self::LogLinesDropped
            | Self::AcceptFailed
            | Self::ThreadHeld
            | Self::ConfigUnreadable
            | Self::ConfigOutdated
            | Self::ConfigWithoutKeys
            | Self::ServerUnreadable
            | Self::ServerCrashed
            | Self::CrashBlamed
            | Self::DigestUnreadable
            | Self::ServerEjected
            | Self::ServersUnreached
            | Self::ResponseEndless
            | Self::RequestQuarantined
            | Self::StreamMoveLost
            | Self::DutiesOff
            | Self::UsageRefused
            | Self::UsageUnreadable
            | Self::CallersCrowded
            | Self::OrdersOff
            | Self::OrdersLimited
            | Self::ServersReclaimed
            | Self::OrdersUnsaved
            | Self::PeerLost => log::Level::Warn,
            Self::RequestRefused => log::Level::Debug,
            _ => log::Level::Info,
        }
    }

    /// Logs the event and its fields on one line.
    pub fn log(self, fields: &[(&str, &dyn Display)]) {
        if !log::log_enabled!(self.level()) {
            return;
        }
        let name: &'static str = self.into();
        let mut line = format!("event={} name={name}", self.number());
        for (key, value) in fields {
            line.push_str(&format_field(key, &value.to_string()));
        }
        log::log!(self.level(), "{line}");
    }
}

fn format_field(key: &str, value: &str) -> String {
    let is_unquoted = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
    if is_unquoted {
        format!(" {key}={value}")
    } else {
        format!(" {key}={value:?}")
    }
}
