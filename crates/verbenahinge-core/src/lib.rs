//! Routing decisions of verbenahinge as a state machine without I/O.
//!
//! [`Node`] is what one VM decides with: it takes an [`Event`] and the moment at which it
//! happened and returns the [`Action`]s that follow. It reads no clock, opens no socket and
//! draws no random numbers, so that a whole fleet of nodes runs in one thread and in virtual
//! time. `ARCHITECTURE.md` shows how the modules fit together.
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
pub mod liveness;
pub mod membership;
pub mod node;
pub mod placement;
pub mod quarantine;
pub mod refusal;
pub mod request;
pub mod retry;
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
