//! Reason why a request is not sent to any server.

use std::time::Duration;

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementError {
    /// The service has no usable backend server.
    NoServer,
    /// No usable backend server has the software version that began the stream.
    NoServerOfVersion,
    /// The software version that began the stream is not known.
    UnknownVersion,
    /// The first event would come too late; holds the shortest expected wait.
    TooLate(Duration),
    /// The engines that would be in time are full.
    Full,
    /// All servers that could be used have named a rate limit that is used up, or a time in which they
    /// want nothing; holds the shortest time until one may get a request.
    Limited(Duration),
    /// The prefill queues of the engines that would be in time have room only for more urgent
    /// prompts; holds the shortest expected wait.
    Yields(Duration),
    /// The request, or a part of its prompt, crashes servers; holds the time for which it is refused.
    Quarantined(Duration),
    /// The request, or a part of its prompt, may have crashed two servers.
    CrashSuspect,
}
