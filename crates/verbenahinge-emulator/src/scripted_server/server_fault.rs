//! Kinds of faults.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Kind of fault that a server injects.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServerFault {
    /// Sends a correct response.
    #[default]
    None,
    /// Executes the request and closes the connection without a response.
    LoseAnswer,
    /// Executes the request, keeps the connection open and never responds.
    Silence,
    /// Rejects the request and states that it was not executed.
    Reject,
    /// Executes the request, but sends the last rejection of the connection once more before the response.
    RepeatRejection,
    /// Executes the request and responds with status 500.
    Fail,
    /// Sends the response and then a second one.
    ExtraAnswer,
    /// Sends a response with another request ID before the correct one.
    ForeignAnswer,
    /// Closes the connection in the middle of a response or of an event.
    BreakOff,
    /// Closes the connection in the middle of a response or between two events of a stream.
    BreakOffBetweenEvents,
    /// Closes the connection in the middle of the head of a response.
    CutHead,
    /// Ends the connection after the byte of the response that the request names, see
    /// [`ResponseCut`](super::ResponseCut).
    CutAsRequested,
    /// Resets the connection in the middle of a response or of an event.
    Reset,
    /// Resets the connection in the middle of a response or between two events of a stream.
    ResetBetweenEvents,
    /// Ends a stream in the middle of an event, with the last chunk if it has chunks.
    EndInEvent,
    /// Sends bytes that are not an HTTP response.
    Garbage,
    /// Sends a response without a length and ends it with a TCP reset.
    Unframed,
    /// Sends nothing for a while, in the middle of a response or of an event, and then goes on.
    Pause,
    /// Sends nothing for a while before the response and then sends a correct one.
    PauseAtStart,
    /// Stops in the middle of an event of a stream and keeps the connection open.
    Stall,
    /// Exits the process while it executes the request.
    Crash,
    /// Exits the process in the middle of an event of a stream.
    CrashInEvent,
    /// Sends a header line that does not end, until the client closes the connection.
    EndlessHead,
    /// Sends a body that does not end, until the client closes the connection.
    EndlessBody,
    /// Sends an event of a stream that does not end, until the client closes the connection.
    EndlessEvent,
    /// Sends interim responses, until the client closes the connection.
    EndlessInterim,
    /// Sends the size of a chunk of a body, which does not end, until the client closes the connection.
    EndlessChunkSize,
}

impl ServerFault {
    /// Whether the response is correct and complete, though it may be late.
    #[must_use]
    pub const fn is_sound(self) -> bool {
        matches!(self, Self::None | Self::Pause | Self::PauseAtStart)
    }

    /// Whether the server sends the same bytes again and again until the client closes the connection.
    pub(super) const fn is_endless(self) -> bool {
        matches!(
            self,
            Self::EndlessHead
                | Self::EndlessBody
                | Self::EndlessEvent
                | Self::EndlessInterim
                | Self::EndlessChunkSize
        )
    }

    /// Whether the fault cuts off a stream after some events, or stops it there.
    pub(super) const fn cuts_streams(self) -> bool {
        matches!(
            self,
            Self::BreakOff
                | Self::BreakOffBetweenEvents
                | Self::Reset
                | Self::ResetBetweenEvents
                | Self::EndInEvent
                | Self::Stall
                | Self::CrashInEvent
        )
    }

    /// Whether the fault cuts off a plain response in its body.
    pub(super) const fn cuts_bodies(self) -> bool {
        matches!(
            self,
            Self::BreakOff | Self::BreakOffBetweenEvents | Self::Reset | Self::ResetBetweenEvents
        )
    }

    /// Whether the fault ends the connection with a reset.
    pub(super) const fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::ResetBetweenEvents)
    }
}
