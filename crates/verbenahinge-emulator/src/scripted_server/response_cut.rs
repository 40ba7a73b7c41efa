//! Responses that are cut off where the request asks for it.

use std::io;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantArray};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time between the last byte of a response and a late end of its connection.
const LATE_END_DELAY: Duration = Duration::from_millis(3);

/// How a connection ends after a part of a response.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    PartialEq,
    Serialize,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum CutEnd {
    /// It is closed at once.
    #[default]
    Close,
    /// It is closed after a pause.
    LateClose,
    /// It is reset at once.
    Reset,
    /// It is reset after a pause.
    LateReset,
}

impl CutEnd {
    const fn is_late(self) -> bool {
        matches!(self, Self::LateClose | Self::LateReset)
    }

    /// Whether the connection ends with a reset.
    #[must_use]
    pub const fn is_reset(self) -> bool {
        matches!(self, Self::Reset | Self::LateReset)
    }
}

/// Where and how a response is cut off, as the query of its request names it: `cut=BYTES&end=END`.
///
/// ```
/// use verbenahinge_emulator::scripted_server::{CutEnd, ResponseCut};
///
/// let cut = ResponseCut::of_target("/read/x?cut=17&end=late_reset");
/// assert_eq!(cut, ResponseCut { after_bytes: 17, end: CutEnd::LateReset });
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResponseCut {
    /// Number of bytes of the response that are sent.
    pub after_bytes: usize,
    /// How the connection ends.
    pub end: CutEnd,
}

impl ResponseCut {
    /// Cut that the target of a request names; one that names none gets no response.
    #[must_use]
    pub fn of_target(target: &str) -> Self {
        let mut cut = Self::default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        for pair in query.split('&') {
            match pair.split_once('=') {
                Some(("cut", bytes)) => cut.after_bytes = bytes.parse().unwrap_or_default(),
                Some(("end", end)) => cut.end = end.parse().unwrap_or_default(),
                _ => {}
            }
        }
        cut
    }

    /// Sends the first bytes of a response and ends the connection.
    pub(super) async fn send(self, stream: &mut TcpStream, response: &[u8]) -> io::Result<bool> {
        let length = self.after_bytes.min(response.len());
        stream.write_all(&response[..length]).await?;
        if self.end.is_late() {
            actix_rt::time::sleep(LATE_END_DELAY).await;
        }
        if self.end.is_reset() {
            stream.set_zero_linger()?;
        }
        Ok(false)
    }
}
