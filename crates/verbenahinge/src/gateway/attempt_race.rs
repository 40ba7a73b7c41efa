//! Attempts of one request that are in flight at the same time.
//!
//! A server that sends nothing for a while may be sound and go on. Its attempt stays open while the
//! request is tried at another server, and the first server that answers is used. The other attempts
//! end with the race, or shortly after a later server has begun to run the request, which closes their
//! connections. See `docs/design/retry.md`.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use verbenahinge_core::{ServerName, Timestamp};

use super::Gateway;
use super::attempt::AttemptError;

/// Time after which a server that runs a request ends the attempts before it. An engine may take longer from its
/// first token to its first event, and two of them must not work on one request for 0.4 s.
const OVERLAP_TIME: Duration = Duration::from_millis(250);

type AttemptFuture<T> = Pin<Box<dyn Future<Output = Result<T, AttemptError>>>>;

/// What shows that a server is not silent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SignOfLife {
    /// Only the response to the request itself.
    Response,
    /// Data for any request.
    AnyData,
}

/// Time without a sign of life after which a server counts as silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SilenceTimeout {
    since: Timestamp,
    timeout: Duration,
    sign: SignOfLife,
}

impl SilenceTimeout {
    /// Creates a timeout that begins now.
    pub(super) fn new(gateway: &Gateway, timeout: Duration, sign: SignOfLife) -> Self {
        Self {
            since: gateway.now(),
            timeout,
            sign,
        }
    }

    /// Time until the server counts as silent.
    pub(super) fn time_left(&self, gateway: &Gateway, server: &str) -> Duration {
        let last_sign_at = match self.sign {
            SignOfLife::Response => None,
            SignOfLife::AnyData => gateway.state.borrow().last_progress(server),
        };
        let since = self.since.max(last_sign_at.unwrap_or_default());
        since
            .saturating_add(self.timeout)
            .saturating_sub(gateway.now())
    }
}

/// When a server began to run a request, as the head of its response tells.
#[derive(Clone, Debug, Default)]
pub(super) struct RunStart(Rc<Cell<Option<Timestamp>>>);

impl RunStart {
    /// Records that the head of the response has arrived.
    pub(super) fn record(&self, now: Timestamp) {
        self.0.set(Some(now));
    }
}

/// An attempt in flight.
pub(super) struct RunningAttempt<T> {
    server: ServerName,
    future: AttemptFuture<T>,
    silence_timeout: Option<SilenceTimeout>,
    was_silent: bool,
    run_start: RunStart,
    /// Whether the race knows when the server began to run the request.
    has_begun: bool,
}

impl<T> RunningAttempt<T> {
    /// Creates an attempt whose server counts as silent after a timeout, if there is one.
    pub(super) fn new(
        server: ServerName,
        silence_timeout: Option<SilenceTimeout>,
        future: impl Future<Output = Result<T, AttemptError>> + 'static,
    ) -> Self {
        Self {
            server,
            future: Box::pin(future),
            silence_timeout,
            was_silent: false,
            run_start: RunStart::default(),
            has_begun: false,
        }
    }

    /// Sets where the future records that the server runs the request.
    pub(super) fn run_start(mut self, run_start: RunStart) -> Self {
        self.run_start = run_start;
        self
    }

    /// Creates an attempt whose server has been silent already.
    pub(super) fn silent(
        server: ServerName,
        future: impl Future<Output = Result<T, AttemptError>> + 'static,
    ) -> Self {
        Self {
            was_silent: true,
            ..Self::new(server, None, future)
        }
    }
}

/// An attempt that has ended.
pub(super) struct EndedAttempt<T> {
    pub(super) server: ServerName,
    pub(super) result: Result<T, AttemptError>,
    /// Whether the server had been silent before.
    pub(super) was_silent: bool,
}

/// Next event of a race.
pub(super) enum RaceEvent<T> {
    /// An attempt ended.
    Ended(EndedAttempt<T>),
    /// The server of the latest attempt is silent.
    Silent {
        server: ServerName,
        /// Whether this was reported before; see [`AttemptRace::watch_again`].
        is_repeated: bool,
    },
}

/// What happened to the attempts of a race.
enum Polled<T> {
    Ended(EndedAttempt<T>),
    /// A server has begun to run the request.
    Begun,
}

/// Attempts of one request that are in flight, in the order of their start.
pub(super) struct AttemptRace<T> {
    attempts: Vec<RunningAttempt<T>>,
}

impl<T> AttemptRace<T> {
    pub(super) const fn new() -> Self {
        Self {
            attempts: Vec::new(),
        }
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn push(&mut self, attempt: RunningAttempt<T>) {
        self.attempts.push(attempt);
    }

    /// Reports the silence of the latest attempt again after a pause, if it goes on until then.
    pub(super) fn watch_again(&mut self, gateway: &Gateway, pause: Duration) {
        if let Some(latest) = self.attempts.last_mut() {
            let timeout = SilenceTimeout::new(gateway, pause, SignOfLife::Response);
            latest.silence_timeout = Some(timeout);
        }
    }

    /// Waits until an attempt ends or the server of the latest one is silent.
    pub(super) async fn next(&mut self, gateway: &Gateway) -> RaceEvent<T> {
        loop {
            let until_superseded = self.end_superseded(gateway.now());
            let time_left = self.time_until_silent(gateway).min(until_superseded);
            let polled = poll_fn(|context| self.poll_attempts(context));
            match verbenahinge_http::timeout(time_left, polled).await {
                Ok(Polled::Ended(ended)) => return RaceEvent::Ended(ended),
                Ok(Polled::Begun) => continue,
                Err(_) => {}
            }
            if !self.time_until_silent(gateway).is_zero() {
                continue;
            }
            if let Some(latest) = self.attempts.last_mut() {
                latest.silence_timeout = None;
                let is_repeated = std::mem::replace(&mut latest.was_silent, true);
                let server = latest.server.clone();
                return RaceEvent::Silent {
                    server,
                    is_repeated,
                };
            }
        }
    }

    fn time_until_silent(&self, gateway: &Gateway) -> Duration {
        let Some(latest) = self.attempts.last() else {
            return Duration::MAX;
        };
        latest.silence_timeout.map_or(Duration::MAX, |timeout| {
            timeout.time_left(gateway, &latest.server)
        })
    }

    /// Ends the attempts before one whose server has run the request for [`OVERLAP_TIME`]; returns the time until
    /// there are such.
    fn end_superseded(&mut self, now: Timestamp) -> Duration {
        let mut next = Duration::MAX;
        for index in (1..self.attempts.len()).rev() {
            let Some(begun_at) = self.attempts[index].run_start.0.get() else {
                continue;
            };
            let time_left = (begun_at + OVERLAP_TIME).saturating_sub(now);
            if time_left.is_zero() {
                self.attempts.drain(..index);
                break;
            }
            next = next.min(time_left);
        }
        next
    }

    fn poll_attempts(&mut self, context: &mut Context<'_>) -> Poll<Polled<T>> {
        let mut has_new = false;
        for (index, attempt) in self.attempts.iter_mut().enumerate() {
            let Poll::Ready(result) = attempt.future.as_mut().poll(context) else {
                let has_begun = attempt.run_start.0.get().is_some();
                has_new |= has_begun && !attempt.has_begun;
                attempt.has_begun = has_begun;
                continue;
            };
            let RunningAttempt {
                server, was_silent, ..
            } = self.attempts.remove(index);
            return Poll::Ready(Polled::Ended(EndedAttempt {
                server,
                result,
                was_silent,
            }));
        }
        if has_new {
            return Poll::Ready(Polled::Begun);
        }
        Poll::Pending
    }
}
