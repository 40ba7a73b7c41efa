//! Where streams began, as kept in the store over the loss of all VMs, in virtual time.
//!
//! Load: streams begin all the time while a service has two software versions, and all VMs lose power at
//! once. The store can be away, turn a writer away or return from an older copy.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenahinge_core::Timestamp;
use verbenahinge_core::gateway::{
    SoftwareVersion, StreamId, StreamLedger, StreamOrigin, StreamRow,
};
use verbenahinge_core::hash::mix64;

const LIFETIME: Duration = Duration::from_secs(30);

/// Longest time that a stream runs; callers whose streams have ended do not come back.
const STREAM_LENGTH: Duration = Duration::from_secs(2);

/// Time after which a VM has told the keeper of a stream, and the time of a write.
const NEWS_DELAY: Duration = Duration::from_millis(15);

const WRITE_TIME: Duration = Duration::from_millis(6);

/// Share of the streams in flight that must be known after a loss.
const KNOWN_SHARE: f64 = 0.95;

/// Rows of one ring, with their versions.
#[derive(Clone, Debug, Default)]
struct Store {
    rows: BTreeMap<u64, StreamRow>,
    version: u64,
    calls: u32,
}

impl Store {
    /// Writes a row if it still is as the writer has read it.
    fn replace(&mut self, row: &StreamRow) -> Option<u64> {
        self.calls += 1;
        let present = self.rows.get(&row.slot()).map_or(0, |row| row.row_version);
        if present != row.row_version {
            return None;
        }
        self.version += 1;
        let row_version = self.version;
        let row = StreamRow {
            row_version,
            ..row.clone()
        };
        self.rows.insert(row.slot(), row);
        Some(row_version)
    }

    fn read(&mut self) -> Vec<StreamRow> {
        self.calls += 1;
        self.rows.values().cloned().collect()
    }

    fn version_of(&self, stream: StreamId) -> Option<SoftwareVersion> {
        let origins = self.rows.values().flat_map(|row| &row.origins);
        let mut found = origins.filter(|origin| origin.stream == stream);
        found.next().map(|origin| origin.version)
    }
}

fn version_of_stream(stream: StreamId) -> SoftwareVersion {
    SoftwareVersion::new(
        "engines",
        Some(if stream.is_multiple_of(2) { "v1" } else { "v2" }),
    )
}

fn origin(stream: StreamId) -> StreamOrigin {
    StreamOrigin {
        stream,
        version: version_of_stream(stream),
        time_left: LIFETIME,
    }
}

/// Makes one call of the keeper if one is due; returns the time until the next.
fn step(now: Timestamp, ledger: &mut StreamLedger, store: &mut Store) {
    if ledger.write_delay(now, LIFETIME) != Some(Duration::ZERO) {
        return;
    }
    if ledger.needs_read() {
        let rows = store.read();
        ledger.adopt_rows(now, &rows);
    }
    let Some(row) = ledger.take_row(now) else {
        return;
    };
    match store.replace(&row) {
        Some(row_version) => ledger.confirm(&row, row_version),
        None => ledger.request_read(),
    }
}

/// Streams of one fleet that begin at a constant rate, and the keeper that writes them.
struct Release {
    seed: u64,
    store: Store,
    ledger: StreamLedger,
    begun: Vec<(Timestamp, StreamId)>,
    now: Timestamp,
}

impl Release {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            store: Store::default(),
            ledger: StreamLedger::new(),
            begun: Vec::new(),
            now: Duration::from_secs(1000),
        }
    }

    /// Has streams begin for some time.
    fn run(&mut self, length: Duration, streams_per_s: u32) {
        let gap = Duration::from_secs(1) / streams_per_s;
        let ends_at = self.now + length;
        while self.now < ends_at {
            let stream = mix64(self.seed, self.begun.len() as u64);
            self.begun.push((self.now, stream));
            let told_at = self.now.saturating_sub(NEWS_DELAY + WRITE_TIME);
            let told = self.begun.iter().rev().find(|(at, _)| *at <= told_at);
            if let Some(&(_, stream)) = told {
                self.ledger.keep(self.now, &[origin(stream)]);
            }
            step(self.now, &mut self.ledger, &mut self.store);
            self.now += gap;
        }
    }

    /// Share of the streams in flight whose version the store tells; it must never tell a wrong one.
    fn known_share(&self) -> f64 {
        let mut running = 0;
        let mut known = 0;
        for &(at, stream) in self.begun.iter().rev() {
            // The runs of streams are spread evenly up to the longest.
            let length = STREAM_LENGTH.mul_f64(0.5) + STREAM_LENGTH / 1000 * (stream % 500) as u32;
            if at + length < self.now {
                continue;
            }
            running += 1;
            let told = self.store.version_of(stream);
            known += u32::from(told.is_some());
            assert!(told.is_none_or(|version| version == version_of_stream(stream)));
        }
        f64::from(known) / f64::from(running.max(1))
    }

    /// Loses all VMs, and with them what the keeper has not written.
    fn lose_power(&mut self) {
        self.ledger = StreamLedger::new();
        self.now += Duration::from_secs(2);
    }
}

/// Streams that begin in a second, in rings of fleets of 9, 90 and 295 VMs.
const RATES: [u32; 3] = [44, 115, 160];

#[test]
fn release_survives_losses() {
    for rate in RATES {
        let mut least: f64 = 1.0;
        let mut total = 0.0;
        for seed in 0..400 {
            let mut release = Release::new(seed);
            for _ in 0..3 {
                release.run(Duration::from_millis(3000 + seed % 200), rate);
                let share = release.known_share();
                least = least.min(share);
                total += share;
                release.lose_power();
            }
        }
        let mean = total / 1200.0;
        eprintln!("{rate} streams/s: mean {mean:.3}, least {least:.3}");
        assert!(mean >= KNOWN_SHARE, "{rate} streams/s: {mean}");
    }
}

#[test]
fn calls_are_bounded() {
    for rate in RATES {
        let mut release = Release::new(7);
        release.run(Duration::from_mins(2), rate);
        let calls = release.store.calls;
        assert!(calls <= 1601, "{rate} streams/s: {calls} calls");
        assert!(release.store.rows.len() <= 512);
    }
}

#[test]
fn older_copy_is_completed() {
    let mut total = 0.0;
    for seed in 0..100 {
        let mut release = Release::new(seed);
        release.run(Duration::from_secs(2), 44);
        let older = release.store.clone();
        release.run(Duration::from_secs(2), 44);
        release.store = Store {
            version: release.store.version,
            ..older
        };
        release.ledger.request_read();
        release.run(Duration::from_millis(1000 + seed), 44);
        total += release.known_share();
    }
    assert!(total / 100.0 >= KNOWN_SHARE, "{total} of 100");
}

#[test]
fn two_writers_lose_nothing() {
    let mut store = Store::default();
    let mut ledgers = [StreamLedger::new(), StreamLedger::new()];
    let mut now = Duration::from_secs(1000);
    for stream in 0..200 {
        ledgers[usize::from(u64::is_multiple_of(stream, 2))].keep(now, &[origin(stream)]);
        for ledger in &mut ledgers {
            step(now, ledger, &mut store);
        }
        now += Duration::from_millis(50);
    }
    for _ in 0..4 {
        now += Duration::from_millis(200);
        for ledger in &mut ledgers {
            step(now, ledger, &mut store);
        }
    }
    for stream in 0..200 {
        assert_eq!(store.version_of(stream), Some(version_of_stream(stream)));
    }
}

#[test]
fn failed_write_is_repeated() {
    let now = Duration::from_secs(1000);
    let mut store = Store::default();
    let mut ledger = StreamLedger::new();
    ledger.keep(now, &[origin(1), origin(2)]);
    ledger.adopt_rows(now, &store.read());
    let lost = ledger.take_row(now).expect("a row to write");
    assert_eq!(lost.origins.len(), 2);
    ledger.request_read();
    let later = now + Duration::from_secs(1);
    ledger.adopt_rows(later, &store.read());
    step(later, &mut ledger, &mut store);
    assert!(store.version_of(1).is_some() && store.version_of(2).is_some());
}

#[test]
fn unreadable_row_is_replaced() {
    let now = Duration::from_secs(1000);
    let mut store = Store {
        version: 9,
        ..Store::default()
    };
    store.rows.insert(1, StreamRow::unreadable(1, 7));
    let mut ledger = StreamLedger::new();
    let mut later = now;
    for stream in 1..600 {
        later += Duration::from_millis(80);
        ledger.keep(later, &[origin(stream)]);
        step(later, &mut ledger, &mut store);
    }
    assert_eq!(store.version_of(599), Some(version_of_stream(599)));
    assert_eq!(store.rows[&1].origins.len(), 1);
}
