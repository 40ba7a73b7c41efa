//! What became of each request, and whether urgent ones got nothing while less urgent ones began.

use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::Priority;

/// Length of the windows in which the order of urgency is checked.
const WINDOW: Duration = Duration::from_secs(5);

/// Time between the beginnings of two windows.
const WINDOW_STEP: Duration = Duration::from_millis(500);

/// Requests of a priority that may get nothing in a window.
const MAX_UNSERVED: u32 = 9;

/// Part of the requests of a priority that may get nothing in a window, as a divisor.
const UNSERVED_DIVISOR: u32 = 12;

/// Tokens of less urgent prompts that begin, relative to those of the requests that got nothing.
const OUTWEIGHING_FACTOR: u64 = 2;

/// What became of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Fate {
    /// It waits, or its VM or engine was lost.
    #[default]
    Unknown,
    /// No engine was chosen for it.
    Refused,
    /// An engine began to read its prompt.
    Begun(Timestamp),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    arrived_at: Timestamp,
    priority: Priority,
    tokens: u32,
    fate: Fate,
}

/// A window in which requests of one priority got nothing while less urgent ones began.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(dead_code, reason = "the fields are printed")]
pub(crate) struct TierBreach {
    pub(crate) from: Timestamp,
    pub(crate) priority: Priority,
    pub(crate) arrived: u32,
    pub(crate) refused: u32,
    pub(crate) refused_tokens: u64,
    pub(crate) begun_tokens: u64,
}

/// Requests by the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct TierRecord {
    records: Vec<Record>,
}

impl TierRecord {
    /// Records the arrival of the next request; its number is that of the request, from 1 on.
    pub(crate) fn note_arrival(&mut self, arrived_at: Timestamp, priority: Priority, tokens: u32) {
        self.records.push(Record {
            arrived_at,
            priority,
            tokens,
            fate: Fate::Unknown,
        });
    }

    /// Records what became of a request.
    pub(crate) fn note_fate(&mut self, request: u64, fate: Fate) {
        let index = usize::try_from(request).expect("an index") - 1;
        self.records[index].fate = fate;
    }

    /// Windows in which more urgent requests got nothing while less urgent ones began, as the users' rule for
    /// tiers counts them, but without a second try of the callers.
    pub(crate) fn breaches(&self) -> Vec<TierBreach> {
        let mut priorities: Vec<Priority> = self.records.iter().map(|one| one.priority).collect();
        priorities.sort_unstable();
        priorities.dedup();
        let last = self
            .records
            .last()
            .map_or(Duration::ZERO, |one| one.arrived_at);
        let mut from = self.records.first().map_or(last, |one| one.arrived_at);
        let mut breaches = Vec::new();
        while from + WINDOW <= last {
            for &priority in &priorities {
                breaches.extend(self.breach(from, priority));
            }
            from += WINDOW_STEP;
        }
        breaches
    }

    fn breach(&self, from: Timestamp, priority: Priority) -> Option<TierBreach> {
        let window = from..from + WINDOW;
        let mut breach = TierBreach {
            from,
            priority,
            arrived: 0,
            refused: 0,
            refused_tokens: 0,
            begun_tokens: 0,
        };
        for record in &self.records {
            if record.priority > priority {
                if let Fate::Begun(at) = record.fate
                    && window.contains(&at)
                {
                    breach.begun_tokens += u64::from(record.tokens);
                }
                continue;
            }
            if record.priority < priority || !window.contains(&record.arrived_at) {
                continue;
            }
            breach.arrived += 1;
            if record.fate == Fate::Refused {
                breach.refused += 1;
                breach.refused_tokens += u64::from(record.tokens);
            }
        }
        let is_broken = breach.refused > MAX_UNSERVED
            && breach.refused * UNSERVED_DIVISOR > breach.arrived
            && breach.begun_tokens > OUTWEIGHING_FACTOR * breach.refused_tokens;
        is_broken.then_some(breach)
    }
}
