//! The `verbenahinge` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(verbenahinge::cli::run(std::env::args()))
}
