//! Request queues: strict priority between tiers, weighted fair queueing among client accounts
//! within a tier.
//!
//! The queues decide only the order. Whether the first request may be dispatched depends on the
//! quota that [`crate::shares`] computes. See `docs/design/tiers.md`.

mod fair_queue;
mod tier_queue;

pub use self::fair_queue::{FairQueue, Ticket};
pub use self::tier_queue::TierQueue;
