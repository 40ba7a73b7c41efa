//! Asynchronous logging to standard output through a bounded buffer.
//!
//! A separate thread writes the lines, so that logging never waits for output. If the thread
//! cannot keep up, lines are dropped and counted.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use simplelog::{ConfigBuilder, WriteLogger};

/// Maximum size of the buffer. Lines that do not fit are dropped.
const BUFFER_BYTES: usize = 256 << 10;

/// Time for which lines are collected into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that a flush waits, such as at process exit.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    has_unwritten_lines: bool,
}

#[derive(Default)]
struct SharedBuffer {
    buffer: Mutex<Buffer>,
    state_changed: Condvar,
}

impl SharedBuffer {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Collects bytes into lines and appends each line to the buffer of the writer thread.
pub(crate) struct LogWriter {
    shared: Arc<SharedBuffer>,
    line: Vec<u8>,
}

impl LogWriter {
    /// Installs the logger and starts its writer thread.
    pub(crate) fn start(level: log::LevelFilter) {
        let shared = Arc::new(SharedBuffer::default());
        let writer_buffer = Arc::clone(&shared);
        let thread = std::thread::Builder::new().name("log".to_owned());
        if let Err(error) = thread.spawn(move || write_lines(&writer_buffer)) {
            eprintln!("verbenahinge: cannot start the log writer thread: {error}");
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
            eprintln!("verbenahinge: a logger is already installed");
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
        let needs_wakeup = !buffer.has_unwritten_lines;
        buffer.has_unwritten_lines = true;
        drop(buffer);
        if needs_wakeup {
            self.shared.state_changed.notify_all();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let buffer = self.shared.lock();
        let wait_result =
            self.shared
                .state_changed
                .wait_timeout_while(buffer, FLUSH_TIMEOUT, |buffer| buffer.has_unwritten_lines);
        drop(wait_result);
        Ok(())
    }
}

fn write_lines(shared: &SharedBuffer) {
    let mut output = io::stdout();
    loop {
        {
            let buffer = shared.lock();
            let wait_result = shared
                .state_changed
                .wait_while(buffer, |buffer| !buffer.has_unwritten_lines);
            drop(wait_result);
        }
        std::thread::sleep(BATCH_INTERVAL);
        let (bytes, dropped_lines) = {
            let mut buffer = shared.lock();
            (
                std::mem::take(&mut buffer.bytes),
                std::mem::take(&mut buffer.dropped_lines),
            )
        };
        let mut result = output.write_all(&bytes);
        if dropped_lines > 0 {
            result = result.and_then(|()| {
                writeln!(
                    output,
                    "event=106 name=log_lines_dropped lines={dropped_lines}"
                )
            });
        }
        if result.and_then(|()| output.flush()).is_err() {
            // If standard output fails, the gateway continues without a log.
            return;
        }
        let mut buffer = shared.lock();
        if buffer.bytes.is_empty() {
            buffer.has_unwritten_lines = false;
            drop(buffer);
            shared.state_changed.notify_all();
        }
    }
}
