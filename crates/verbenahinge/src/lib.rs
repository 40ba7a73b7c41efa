//! Router for language-model traffic with service levels and priorities.
//!
//! This crate is the shell around [`core`]: it listens to callers and operators, speaks to
//! backend servers, peers and the platform, and translates all of it into events and actions
//! of the decision core. The binary `verbenahinge` is a thin wrapper of [`cli::run`].
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
mod request_story;
mod serve;
mod shell;
mod supervisor;
