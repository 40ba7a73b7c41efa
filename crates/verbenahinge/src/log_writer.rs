//! Log lines on standard output, through a bounded buffer that never blocks who logs.
//!
//! A thread of its own writes; when it cannot keep up, lines are dropped and counted.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use simplelog::{ConfigBuilder, WriteLogger};

/// Bytes that wait to be written at most.
const BUFFER_BYTES: usize = 256 << 10;

/// Time over which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(100);

/// Time that the last lines have at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    is_writing: bool,
}

#[derive(Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes log lines and hands them to the thread that writes.
pub(crate) struct LogWriter {
    shared: Arc<Shared>,
    line: Vec<u8>,
}

impl LogWriter {
    /// Starts logging to standard output at the given level.
    pub(crate) fn start(level: log::LevelFilter) {
        let shared = Arc::new(Shared::default());
        let writing = Arc::clone(&shared);
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(error) = thread.spawn(move || write_lines(&writing)) {
            eprintln!("verbenahinge: no log is written: {error}");
        }
        let config = ConfigBuilder::new()
            .set_time_format_rfc3339()
            .set_thread_level(log::LevelFilter::Off)
            .set_target_level(log::LevelFilter::Off)
            .set_location_level(log::LevelFilter::Off)
            .add_filter_allow_str("verbenahinge")
            .build();
        let writer = Self {
            shared,
            line: Vec::new(),
        };
        if WriteLogger::init(level, config, writer).is_err() {
            eprintln!("verbenahinge: a logger is already set");
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() != Some(&b'\n') {
            return Ok(bytes.len());
        }
        let mut buffer = self.shared.lock();
        if buffer.bytes.len() + self.line.len() > BUFFER_BYTES {
            buffer.dropped_lines += 1;
        } else {
            buffer.bytes.extend_from_slice(&self.line);
        }
        self.line.clear();
        let must_wake = !buffer.is_writing;
        buffer.is_writing = true;
        drop(buffer);
        if must_wake {
            self.shared.changed.notify_all();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let buffer = self.shared.lock();
        let waited = self
            .shared
            .changed
            .wait_timeout_while(buffer, FLUSH_TIMEOUT, |buffer| buffer.is_writing);
        drop(waited);
        Ok(())
    }
}

fn write_lines(shared: &Shared) {
    let mut output = io::stdout();
    loop {
        {
            let buffer = shared.lock();
            let woken = shared
                .changed
                .wait_while(buffer, |buffer| !buffer.is_writing);
            drop(woken);
        }
        std::thread::sleep(GATHER);
        let (bytes, dropped_lines) = {
            let mut buffer = shared.lock();
            (
                std::mem::take(&mut buffer.bytes),
                std::mem::take(&mut buffer.dropped_lines),
            )
        };
        let mut written = output.write_all(&bytes);
        if dropped_lines > 0 {
            written = written.and_then(|()| {
                writeln!(
                    output,
                    "event=106 name=log_lines_dropped lines={dropped_lines}"
                )
            });
        }
        if written.and_then(|()| output.flush()).is_err() {
            // Nobody reads the log; the gateway serves on without it.
            return;
        }
        let mut buffer = shared.lock();
        if buffer.bytes.is_empty() {
            buffer.is_writing = false;
            drop(buffer);
            shared.changed.notify_all();
        }
    }
}
