//! Wire format of the software versions at which streams began.

use std::time::Duration;

use verbenahinge_core::gateway::{SoftwareVersion, StreamOrigin};

/// Software version at which a stream began.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(in crate::gateway) struct StreamMessage {
    /// Identifies the stream.
    #[prost(fixed64, tag = "1")]
    pub(in crate::gateway) stream: u64,
    /// Version of the server that sent the first event.
    #[prost(fixed64, tag = "2")]
    pub(in crate::gateway) version: u64,
    /// Time until the stream has ended for certain.
    #[prost(uint32, tag = "3")]
    pub(in crate::gateway) time_left_ms: u32,
}

/// Query for the software version at which a stream began.
#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::gateway) struct StreamQueryMessage {
    /// Identifies the stream, if the caller has named it.
    #[prost(fixed64, optional, tag = "1")]
    pub(in crate::gateway) stream: Option<u64>,
    /// Services that may have run the stream.
    #[prost(string, repeated, tag = "2")]
    pub(in crate::gateway) services: Vec<String>,
}

impl StreamMessage {
    pub(in crate::gateway) fn from_origin(origin: StreamOrigin) -> Self {
        Self {
            stream: origin.stream,
            version: origin.version.bits(),
            time_left_ms: u32::try_from(origin.time_left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    pub(in crate::gateway) fn into_origin(self) -> StreamOrigin {
        StreamOrigin {
            stream: self.stream,
            version: SoftwareVersion::from_bits(self.version),
            time_left: Duration::from_millis(u64::from(self.time_left_ms)),
        }
    }
}
