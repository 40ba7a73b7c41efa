//! Decisions of a gateway that forwards HTTP requests to registered backend servers.
//!
//! The gateway is the form in which the product runs on a prepared platform: routes and client
//! accounts come from an outside operator, backend servers register themselves, and requests
//! are passed on as they came. Like the rest of the core, the modules read no clock and open no
//! socket. `docs/design/platform.md` shows how they work together.

mod backend;
mod bounds;
mod call;
mod crash_guard;
mod feed;
mod members;
mod number;
mod part_cache;
mod placement;
mod prompt;
mod registry;
mod retry_after;
mod retry_window;
mod routing;
mod server_order;
mod state;

pub use self::backend::{Backend, LoadReport, PeerLoad, PrefillLoad};
pub use self::bounds::Bounds;
pub use self::call::{Call, CallId};
pub use self::crash_guard::CrashGuard;
pub use self::feed::{
    Feed, FeedDelta, FeedRow, RowState, StoreRow, TableCopy, watch_wait, watches_store,
};
pub use self::members::{DIGEST_INTERVAL, Members, Round, address_number};
pub use self::part_cache::{PartCache, PartState};
pub use self::placement::{PlacementContext, PlacementError, ServerChoice};
pub use self::prompt::{PartId, Prompt, PromptPart};
pub use self::registry::{Registry, RegistryChange, ServerEntry, ServerState};
pub use self::retry_after::{RETRY_AFTER_MIN, retry_after};
pub use self::retry_window::RetryWindow;
pub use self::routing::{
    Account, CallerLimits, EngineLimits, Priority, Route, RouteKind, RouteName, Routing, Service,
    ServiceName, Share,
};
pub use self::server_order::ServerOrder;
pub use self::state::{GatewayState, PeerDigest, ServerDigest};
