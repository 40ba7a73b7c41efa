//! Routing decisions of verbenahinge as a sans-I/O state machine.
//!
//! [`Node`] makes the decisions of one VM: it takes an [`Event`] with the time at which it
//! happened and returns the resulting [`Action`]s. It reads no clock, opens no socket and draws
//! no random numbers, so a whole fleet of nodes can be simulated deterministically in a single
//! thread and in virtual time. `ARCHITECTURE.md` describes how the modules fit together.
//!
//! ```
//! use std::time::Duration;
//!
//! use verbenahinge_core::{Action, Event, Node, NodeOptions, RefusalReason, Request};
//!
//! let mut node = Node::new(NodeOptions::new(1, "127.0.0.1:7000".parse()?));
//! let mut actions = Vec::new();
//! let request = Request::new(1, "tuul", "ping", "chat");
//! node.handle(Duration::ZERO, Event::Arrived(request), &mut actions);
//! let refused = actions.iter().any(|action| {
//!     matches!(action, Action::Refuse { refusal, .. } if refusal.reason == RefusalReason::Unknown)
//! });
//! assert!(refused);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

pub mod action;
pub mod admission;
pub mod claims;
pub mod config_log;
pub mod declaration;
pub mod digest;
pub mod event;
pub mod gateway;
pub mod hash;
pub mod ids;
pub mod membership;
pub mod node;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod request;
pub mod retry;
pub mod server_health;
pub mod shares;
pub mod table;
pub mod verdict;

pub use self::action::{Action, Dispatch, DispatchMode};
pub use self::declaration::{Declaration, DeclarationError, Problem};
pub use self::event::{Event, Frame, LoadReport};
pub use self::ids::*;
pub use self::node::{Node, NodeOptions};
pub use self::refusal::{Refusal, RefusalReason};
pub use self::request::Request;
pub use self::retry::FailureKind;
pub use self::verdict::Verdict;
