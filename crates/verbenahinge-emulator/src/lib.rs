//! Stand-ins for the platform, the engines and the plain services.
//!
//! Each stand-in speaks the protocol that `docs/design/outside.md` states, keeps a record of
//! what it ran, and can be told to fail: see `POST /faults` of each. Tests compare the record
//! with what callers were told.
//!
//! ```
//! use verbenahinge_emulator::engine::Answer;
//!
//! let answer = Answer::new("which coat fits?", 8);
//! assert_eq!(answer.text(), Answer::new("which coat fits?", 8).text());
//! ```

pub mod engine;
pub mod platform;
pub mod registry_store;
pub mod scripted_server;
pub mod service;
