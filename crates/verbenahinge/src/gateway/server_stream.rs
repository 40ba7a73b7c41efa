//! Stream of events from one backend server.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};
use verbenahinge_core::gateway::SoftwareVersion;
use verbenahinge_core::{FailureKind, ServerName, Timestamp};

use super::Gateway;
use super::attempt::{AttemptError, AttemptGuard, OpenResponse};
use super::attempt_race::{SignOfLife, SilenceTimeout};
use super::event_splitter::{EventSplitter, RawEvent};

/// Stream of events received from one server.
pub(super) struct ServerStream {
    gateway: Rc<Gateway>,
    response: OpenResponse,
    attempt_guard: AttemptGuard,
    splitter: EventSplitter,
    deadline: Timestamp,
}

/// Next item of a [`ServerStream`].
pub(super) enum StreamItem {
    Event(RawEvent),
    End,
}

impl ServerStream {
    pub(super) fn new(
        gateway: Rc<Gateway>,
        response: OpenResponse,
        attempt_guard: AttemptGuard,
        deadline: Timestamp,
    ) -> Self {
        Self {
            gateway,
            response,
            attempt_guard,
            splitter: EventSplitter::default(),
            deadline,
        }
    }

    pub(super) const fn status(&self) -> StatusCode {
        self.response.status
    }

    pub(super) const fn headers(&self) -> &HeaderMap {
        &self.response.headers
    }

    /// Software version of the server.
    pub(super) const fn version(&self) -> SoftwareVersion {
        self.response.version
    }

    /// Returns whether the end of the stream may also be that of a lost connection.
    pub(super) fn ends_with_connection(&self) -> bool {
        self.response.ends_with_connection()
    }

    pub(super) const fn server(&self) -> &ServerName {
        self.attempt_guard.server()
    }

    /// Waits for the next complete event or the end of the stream.
    ///
    /// Returns [`FailureKind::Silent`] if the server is silent for `stall_timeout`; the stream can be
    /// read further. Dropping the future loses no data.
    pub(super) async fn next_item(
        &mut self,
        stall_timeout: Option<Duration>,
    ) -> Result<StreamItem, AttemptError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(StreamItem::Event(event));
            }
            let Some(data) = self.next_data(stall_timeout).await? else {
                if self.splitter.has_incomplete_event() {
                    let kind = if self.response.ends_with_connection() {
                        FailureKind::ConnectionLost
                    } else {
                        FailureKind::Malformed
                    };
                    return Err(AttemptError::Failed(kind));
                }
                return Ok(StreamItem::End);
            };
            if !self.splitter.push(&data) {
                return Err(AttemptError::Failed(FailureKind::Malformed));
            }
        }
    }

    /// Returns the next event if it has been received completely.
    pub(super) fn next_buffered_event(&mut self) -> Option<RawEvent> {
        self.splitter.next_event()
    }

    async fn next_data(
        &mut self,
        stall_timeout: Option<Duration>,
    ) -> Result<Option<Bytes>, AttemptError> {
        let silence_timeout = stall_timeout
            .map(|timeout| SilenceTimeout::new(&self.gateway, timeout, SignOfLife::AnyData));
        loop {
            let until_deadline = self.deadline.saturating_sub(self.gateway.now());
            if until_deadline.is_zero() {
                return Err(AttemptError::TimeUp);
            }
            let until_silent = self.time_until_silent(silence_timeout);
            if until_silent.is_zero() {
                return Err(AttemptError::Failed(FailureKind::Silent));
            }
            let data = self.response.next_data();
            match verbenahinge_http::timeout(until_deadline.min(until_silent), data).await {
                Ok(Ok(Some(data))) => {
                    self.note_progress();
                    return Ok(Some(data));
                }
                Ok(Ok(None)) => return Ok(None),
                Ok(Err(kind)) => return Err(AttemptError::Failed(kind)),
                Err(_) => {}
            }
        }
    }

    fn time_until_silent(&self, silence_timeout: Option<SilenceTimeout>) -> Duration {
        silence_timeout.map_or(Duration::MAX, |timeout| {
            timeout.time_left(&self.gateway, self.server())
        })
    }

    fn note_progress(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state.borrow_mut();
        state.note_progress(now, self.attempt_guard.server());
    }

    /// Returns the connection to the pool after the end of the stream.
    pub(super) fn release_connection(self) {
        let OpenResponse {
            connection, head, ..
        } = self.response;
        connection.release(head.idle_timeout, head.closes_connection);
    }
}
