//! Router for language-model traffic with service levels and priorities.
//!
//! This crate performs the I/O around the decision core in [`core`]: it serves callers and
//! operators, talks to backend servers, peers and the platform, and translates this traffic to
//! events and actions of the core. The binary `verbenahinge` only calls [`cli::run`].
//!
//! ```
//! let code = verbenahinge::cli::run(["verbenahinge".into(), "--help".into()]);
//! assert_eq!(code, verbenahinge::cli::EXIT_OK);
//! ```

pub use verbenahinge_core as core;

pub mod cli;
pub mod event_log;
pub mod settings;

mod api_error;
mod backend;
mod body_memory;
mod boot_clock;
mod clock;
mod front;
mod gateway;
mod keys;
mod log_line;
mod log_writer;
mod metrics;
mod operator;
mod peers;
mod platform;
mod request_report;
mod serve;
mod shell;
mod supervisor;
