//! Streams of events, and how they are cut off.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::request::ParsedRequest;
use super::{CRASH_EXIT_CODE, Framing, ScriptedServer, ServerFault, response};

impl ScriptedServer {
    /// Sends the events of a stream.
    pub(super) async fn send_events(
        &self,
        stream: &mut TcpStream,
        request: &ParsedRequest,
        fault: ServerFault,
    ) -> io::Result<()> {
        let faults = *self.faults.borrow();
        let event_interval = Duration::from_millis(faults.work_ms);
        stream
            .write_all(&response::stream_head(request, &faults))
            .await?;
        let first = request.last_event + 1;
        for id in first..=faults.events {
            let event = response::event(id, &self.options.id);
            if id == first.midpoint(faults.events) && fault.cuts_streams() {
                return cut_off(stream, fault, faults.framing, &event).await;
            }
            stream.write_all(&faults.framing.encode(&event)).await?;
            let mut peeked = [0; 1];
            tokio::select! {
                () = actix_rt::time::sleep(event_interval) => {}
                _ = stream.peek(&mut peeked) => {
                    return Err(io::Error::other("client disconnected or sent more data"));
                }
            }
        }
        stream.write_all(faults.framing.stream_end()).await
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
        ServerFault::Stall => return std::future::pending().await,
        ServerFault::Reset | ServerFault::ResetBetweenEvents => stream.set_zero_linger()?,
        ServerFault::EndInEvent => stream.write_all(framing.stream_end()).await?,
        ServerFault::CrashInEvent => std::process::exit(CRASH_EXIT_CODE),
        _ => {}
    }
    Err(io::Error::other("connection closed by the injected fault"))
}
