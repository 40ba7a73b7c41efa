//! Numbered log events, with one line of key=value fields each.
//!
//! Operators search for the number; `docs/events.md` says what each one means and what to do.

use std::fmt::Display;

use strum::{EnumIter, IntoStaticStr};

/// Something that an operator may want to know.
#[derive(Clone, Copy, Debug, EnumIter, IntoStaticStr, Eq, PartialEq, Ord, PartialOrd)]
#[strum(serialize_all = "snake_case")]
#[repr(u16)]
pub enum LogEvent {
    /// The process serves.
    Started = 100,
    /// The process shuts down gracefully.
    Draining = 101,
    /// The last request has ended.
    Drained = 102,
    /// A part of the process failed and is started again.
    TaskRestarted = 103,
    /// Changed settings are in use.
    Reloaded = 104,
    /// Changed settings cannot be used; the earlier ones stay.
    ReloadFailed = 105,
    /// Log lines were dropped because they could not be written in time.
    LogLinesDropped = 106,
    /// A connection could not be accepted.
    AcceptFailed = 107,
    /// A version of the declaration came into force.
    ConfigInForce = 200,
    /// A patch was accepted.
    PatchAccepted = 201,
    /// A patch was rejected.
    PatchRejected = 202,
    /// A configuration cannot be read; the version in force stays.
    ConfigUnreadable = 203,
    /// The platform does not answer.
    PlatformUnavailable = 300,
    /// The platform answers again.
    PlatformAvailable = 301,
    /// A backend server was ejected.
    ServerEjected = 400,
    /// A backend server takes requests again.
    ServerReadmitted = 401,
    /// The registry's entry of a backend server changed.
    ServerListed = 402,
    /// The registry's entry of a backend server cannot be read.
    ServerUnreadable = 403,
    /// A backend server crashed while it ran a request.
    ServerCrashed = 404,
    /// A request was refused.
    RequestRefused = 500,
    /// A request crashed backend servers and is not run again.
    RequestQuarantined = 501,
    /// A request got its final answer, or its caller left.
    RequestEnded = 510,
    /// An attempt to have a request served failed.
    AttemptFailed = 511,
    /// A request was not taken in.
    RequestTurnedAway = 512,
    /// A peer link broke.
    PeerLost = 600,
    /// A peer link stands.
    PeerLinked = 601,
    /// A peer did not show the right key.
    PeerRejected = 602,
    /// A datagram of a peer cannot be read.
    DigestUnreadable = 603,
}

impl LogEvent {
    /// Number of the event.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Level at which the event is logged.
    #[must_use]
    pub const fn level(self) -> log::Level {
        match self {
            Self::TaskRestarted | Self::PeerRejected => log::Level::Error,
            Self::PatchRejected
            | Self::PlatformUnavailable
            | Self::ReloadFailed
            | Self::LogLinesDropped
            | Self::AcceptFailed
            | Self::ConfigUnreadable
            | Self::ServerUnreadable
            | Self::ServerCrashed
            | Self::DigestUnreadable
            | Self::ServerEjected
            | Self::RequestQuarantined
            | Self::PeerLost => log::Level::Warn,
            Self::RequestRefused => log::Level::Debug,
            _ => log::Level::Info,
        }
    }

    /// Logs the event with its fields.
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
    let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n']);
    if plain {
        format!(" {key}={value}")
    } else {
        format!(" {key}={value:?}")
    }
}
