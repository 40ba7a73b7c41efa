//! Emulators of the platform, its duty interface, the registry store, model engines, backend servers and plain HTTP
//! services.
//!
//! The emulators implement the protocols of `docs/design/outside.md` and support fault injection:
//! `POST /faults` on the platform, engine and service emulators, `PUT /stand-in/faults` on the
//! store and backend server emulators. Engines, backend servers and services also record the
//! requests that they execute, and tests compare these records with the responses that callers
//! received.
//!
//! ```
//! use verbenahinge_emulator::engine::Completion;
//!
//! let completion = Completion::new("which coat fits?", 8);
//! assert_eq!(completion.text(), Completion::new("which coat fits?", 8).text());
//! ```

pub mod duty_interface;
pub mod engine;
pub mod platform;
pub mod registry_store;
pub mod scripted_server;
pub mod service;
