//! The platform's duty interface as a process on loopback.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use hyper::Method;
use verbenahinge_emulator::duty_interface::{DutyFaults, DutyRecord, FAULTS_PATH, RECORD_PATH};

use crate::gateway_fleet::{get_json, send_json};
use crate::process::{Process, free_address};

/// Timeout for a condition to hold.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The platform's duty interface as a process on loopback.
pub struct DutyInterface {
    process: Process,
}

impl DutyInterface {
    /// Starts the interface; holders must not alternate within `lease`.
    #[must_use]
    pub fn start(bin: impl AsRef<Path>, lease: Duration) -> Self {
        let address = free_address();
        let lease_ms = lease.as_millis().to_string();
        let listen = address.to_string();
        let args = [
            "emulate",
            "duties",
            "--listen",
            &listen,
            "--lease-ms",
            &lease_ms,
        ];
        Self {
            process: Process::start(bin, &args.map(ToOwned::to_owned), address),
        }
    }

    /// Address at which it takes calls.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Sets its faults.
    ///
    /// # Panics
    ///
    /// Panics if it does not accept the faults.
    pub async fn set_faults(&self, faults: &DutyFaults) {
        assert!(send_json(self.address(), Method::PUT, FAULTS_PATH, faults).await);
    }

    /// Returns what has arrived.
    pub async fn record(&self) -> DutyRecord {
        get_json(self.address(), RECORD_PATH).await
    }

    /// Waits until the record fits; returns it.
    ///
    /// # Panics
    ///
    /// Panics if it does not in time.
    pub async fn wait_for(&self, fits: impl Fn(&DutyRecord) -> bool) -> DutyRecord {
        let started = Instant::now();
        loop {
            let record = self.record().await;
            if fits(&record) {
                return record;
            }
            assert!(started.elapsed() < SETTLE_TIMEOUT, "{record:#?}");
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}
