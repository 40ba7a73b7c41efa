//! Streams of events, and how they are cut off.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::moves::StreamRun;
use super::request::ParsedRequest;
use super::{CRASH_EXIT_CODE, Framing, ScriptedServer, ServerFault, response};

impl ScriptedServer {
    /// Sends the events of a stream.
    pub(super) async fn send_events(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
        fault: ServerFault,
        run: &StreamRun,
    ) -> io::Result<()> {
        let faults = *self.faults.borrow();
        let event_interval = Duration::from_millis(faults.work_ms);
        let head = self.responder(request).stream_head();
        stream.write_all(&head).await?;
        wait(stream, Duration::from_millis(faults.first_event_ms)).await?;
        let first = request.last_event + 1;
        for id in first..=faults.events {
            let event = response::event(id, &self.options.id);
            let is_midpoint = id == first.midpoint(faults.events);
            if is_midpoint && fault.cuts_streams() {
                return cut_off(stream, fault, faults.framing, &event).await;
            }
            let mut rest = &event[..];
            if is_midpoint && fault == ServerFault::Pause {
                let (half, second_half) = event.split_at(event.len() / 2);
                stream.write_all(&faults.framing.encode(half)).await?;
                wait(stream, Duration::from_millis(faults.pause_ms)).await?;
                rest = second_half;
            }
            stream.write_all(&faults.framing.encode(rest)).await?;
            run.created.set(id);
            tokio::select! {
                result = wait(stream, event_interval) => result?,
                () = run.stopped.notified() => {}
            }
            if run.is_stopped.get() {
                return Err(io::Error::other("the run was stopped to be moved"));
            }
        }
        stream.write_all(faults.framing.stream_end()).await
    }
}

/// Waits, unless the client closes the connection or sends more data.
pub(super) async fn wait(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let mut peeked = [0; 1];
    tokio::select! {
        () = actix_rt::time::sleep(time) => Ok(()),
        _ = stream.peek(&mut peeked) => {
            Err(io::Error::other("client disconnected or sent more data"))
        }
    }
}

/// Cuts a stream off before the end of an event.
async fn cut_off(
    stream: &mut TcpStream,
    fault: ServerFault,
    framing: Framing,
    event: &[u8],
) -> io::Result<()> {
    let is_between_events = matches!(
        fault,
        ServerFault::BreakOffBetweenEvents | ServerFault::ResetBetweenEvents
    );
    if !is_between_events {
        let half = &event[..event.len() / 2];
        stream.write_all(&framing.encode(half)).await?;
    }
    match fault {
        ServerFault::Stall => {
            wait(stream, Duration::MAX).await?;
        }
        ServerFault::Reset | ServerFault::ResetBetweenEvents => stream.set_zero_linger()?,
        ServerFault::EndInEvent => stream.write_all(framing.stream_end()).await?,
        ServerFault::CrashInEvent => std::process::exit(CRASH_EXIT_CODE),
        _ => {}
    }
    Err(io::Error::other("connection closed by the injected fault"))
}
