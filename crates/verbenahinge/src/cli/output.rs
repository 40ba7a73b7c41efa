//! Standard output of the commands.

use std::fmt::Arguments;
use std::io::{self, ErrorKind, Write};

/// Writes to standard output. A closed pipe is ignored, so that a command completes even if its
/// reader, such as `head`, exits early.
pub(super) fn write_out(text: Arguments) {
    let mut output = io::stdout().lock();
    let written = output.write_fmt(text).and_then(|()| output.flush());
    if let Err(error) = written
        && error.kind() != ErrorKind::BrokenPipe
    {
        eprintln!("verbenahinge: standard output: {error}");
    }
}
