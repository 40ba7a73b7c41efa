//! What commands print.

use std::fmt::Arguments;
use std::io::{self, ErrorKind, Write};

/// Writes to standard output. A reader that closes its end early, like `head`, has seen enough;
/// the command goes on with what it does.
pub(super) fn write_out(text: Arguments) {
    let mut output = io::stdout().lock();
    let written = output.write_fmt(text).and_then(|()| output.flush());
    if let Err(error) = written
        && error.kind() != ErrorKind::BrokenPipe
    {
        eprintln!("verbenahinge: standard output: {error}");
    }
}
