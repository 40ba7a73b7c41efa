//! Software version of a stream, at which alone it may continue.

use std::rc::Rc;

use verbenahinge_core::gateway::{PlacementError, SoftwareVersion, StreamId};
use verbenahinge_core::hash::hash64;

use super::RequestHandler;
use crate::event_log::LogEvent;
use crate::gateway::peers;

impl RequestHandler {
    /// Identifies the stream of the request over all tries of its caller; `None` if the caller does not
    /// name it.
    fn stream_id(&self) -> Option<StreamId> {
        let id = if self.request.last_event.is_some() {
            &self.request.resumed_request
        } else {
            &self.request.id
        };
        id.as_ref().map(|id| hash64(id.as_bytes()))
    }

    /// Finds out where the stream of a caller that comes back began, and has only servers of that
    /// software version selected.
    ///
    /// # Errors
    ///
    /// Returns an error if that is not known, since another version would not continue the same stream.
    pub(crate) async fn find_stream_version(&mut self) -> Result<(), PlacementError> {
        if self.request.last_event.is_none() {
            return Ok(());
        }
        let stream = self.stream_id();
        let version = peers::find_version(&self.gateway, &self.call.route, stream).await;
        LogEvent::StreamReturned.log(&[
            ("request_id", &self.log_id()),
            (
                "resumes",
                &self.request.resumed_request.as_deref().unwrap_or("-"),
            ),
            ("version", &log_version(version)),
            ("after_ms", &self.elapsed_ms()),
        ]);
        let version = version.ok_or(PlacementError::UnknownVersion)?;
        let call = Rc::make_mut(&mut self.call);
        let state = self.gateway.state.borrow();
        if let Some(service) = state.service_of_version(&call.route, version) {
            call.service = service.clone();
        }
        call.version = Some(version);
        Ok(())
    }

    /// Records the software version of the server that sent the first event, and tells other VMs of it if
    /// they cannot know.
    pub(crate) fn note_stream_version(&mut self, version: SoftwareVersion) {
        Rc::make_mut(&mut self.call).version = Some(version);
        if !self.call.route.resumable {
            return;
        }
        let Some(stream) = self.stream_id() else {
            return;
        };
        let now = self.gateway.now();
        let is_news = {
            let mut state = self.gateway.state.borrow_mut();
            state.note_stream_begin(now, &self.call.service, stream, version)
        };
        if is_news {
            peers::push_streams(&self.gateway);
        }
    }
}

fn log_version(version: Option<SoftwareVersion>) -> String {
    version.map_or_else(
        || "unknown".to_owned(),
        |version| format!("{:016x}", version.bits()),
    )
}
