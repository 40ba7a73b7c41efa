//! Continues a stream whose run was stopped to be moved to another engine.

use hyper::StatusCode;
use verbenahinge_core::{FailureKind, ServerName, Verdict};

use super::{Relay, is_stream, stall_timeout};
use crate::gateway::attempt::{AttemptError, ResumePoint};
use crate::gateway::request_handler::RequestHandler;
use crate::gateway::server_stream::{ServerStream, StreamItem};
use crate::gateway::stream_moves::ClosedStream;

/// Sends the request to a server that has the memory of its run.
async fn continue_stream(
    handler: &mut RequestHandler,
    server: &ServerName,
    resume: &ResumePoint,
) -> Result<Box<ServerStream>, AttemptError> {
    let failed = AttemptError::Failed;
    let deadline = handler.response_deadline();
    let begun = handler.begin_continuation(server);
    let (choice, guard) = begun.ok_or(failed(FailureKind::NotSent))?;
    let (gateway, call, request) = handler.shared_parts();
    let sent = gateway.send_request(&call, &request, &choice, resume, deadline);
    let response = sent.await?;
    if response.head.not_run || response.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(failed(FailureKind::Rejected));
    }
    if !is_stream(&response) {
        return Err(failed(FailureKind::Malformed));
    }
    Ok(Box::new(ServerStream::new(
        gateway, response, guard, deadline,
    )))
}

impl Relay {
    /// Reads the next item; the end of a stream that may have been stopped counts as a lost connection unless it
    /// is declared.
    pub(super) async fn read(&self, stream: &mut ServerStream) -> Result<StreamItem, AttemptError> {
        let stall_timeout = stall_timeout(&self.handler);
        let Some(moving) = &self.moving else {
            return stream.next_item(stall_timeout).await;
        };
        match moving.read(stream, stall_timeout).await {
            Ok(StreamItem::End) if moving.may_have_stopped() && stream.ends_with_connection() => {
                Err(AttemptError::Failed(FailureKind::ConnectionLost))
            }
            item => item,
        }
    }

    /// Continues a run that was stopped to be moved. Returns the end of the stream if it was whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream is lost, which is `error` unless the request was sent again.
    pub(super) async fn continue_moved(
        &mut self,
        error: AttemptError,
    ) -> Result<Option<StreamItem>, AttemptError> {
        let Some(moving) = &self.moving else {
            return Err(error);
        };
        let mut closed = moving.after_close().await;
        loop {
            let (server, moved_from) = match closed {
                ClosedStream::Continue { server, moved_from } => (server, moved_from),
                ClosedStream::Whole => return Ok(Some(StreamItem::End)),
                ClosedStream::Lost => return Err(error),
            };
            let resume = ResumePoint {
                last_event: self.last_event.or(self.handler.request.last_event),
                moved_from: Some(moved_from),
            };
            let result = continue_stream(&mut self.handler, &server, &resume).await;
            let Some(moving) = &self.moving else {
                return Err(error);
            };
            match result {
                Ok(stream) => {
                    let gap = self
                        .handler
                        .gateway
                        .now()
                        .saturating_sub(self.last_event_at);
                    moving.note_continued(&server, resume.last_event, gap);
                    self.handler.gaps.change_engine();
                    self.server = server;
                    self.upstream = Some(stream);
                    return Ok(None);
                }
                Err(AttemptError::Failed(kind)) if kind.verdict() == Verdict::NotRun => {
                    closed = moving.note_rejected();
                }
                Err(failure) => {
                    // The server may run the request.
                    self.server = server;
                    return Err(failure);
                }
            }
        }
    }
}
