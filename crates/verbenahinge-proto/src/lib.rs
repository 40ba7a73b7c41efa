//! Protocol Buffers messages and gRPC service for communication between VMs.
//!
//! `tools/codegen` generates the code under `generated/` from `proto/peer.proto`. The result is
//! checked in, so that the build does not depend on a code generator.
//!
//! ```
//! use verbenahinge_proto::Ack;
//!
//! assert_eq!(Ack { seq: 1 }, Ack { seq: 1 });
//! ```

#[allow(clippy::pedantic, missing_docs, unreachable_pub)]
#[rustfmt::skip]
#[path = "generated/verbenahinge.peer.v1.rs"]
mod generated;

pub use self::generated::*;
