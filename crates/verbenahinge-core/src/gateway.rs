//! Decision logic of a gateway that forwards HTTP requests to registered backend servers.
//!
//! The router runs as a gateway on a platform where an external operator supplies routes and client
//! accounts, and backend servers register themselves; method, target and body of a request are
//! forwarded unchanged. Like the rest of the core, these modules read no clock and open no socket.
//! `docs/design/platform.md` shows how they work together.

mod announced_version;
mod backend;
mod bounds;
mod brittle_state;
mod call;
mod caller_connections;
mod caller_memory;
mod crash_blame;
mod crash_evidence;
mod crash_guard;
mod crash_order;
mod crash_record;
mod crash_refusal;
mod crash_trial;
mod duty;
mod duty_lease;
mod engine_pace;
mod engine_search;
mod even_load;
mod feed;
mod hold_monitor;
mod load_changes;
mod lost_run;
mod members;
mod number;
mod part_cache;
mod placement;
mod prompt;
mod registry;
mod retry_after;
mod retry_window;
mod routing;
mod scaling;
mod server_order;
mod server_reach;
mod server_start;
mod software_history;
mod software_version;
mod sound_parts;
mod state;
mod store_check;
mod store_contact;
mod store_version;
mod stream_kind;
mod stream_ledger;
mod stream_moves;
mod stream_origins;
mod suspect;
mod suspect_scope;
mod table_replica;
mod usage;
mod watch_pacing;

pub use self::announced_version::AnnouncedVersion;
pub use self::backend::{Backend, LoadReport, PeerLoad, PrefillLoad};
pub use self::bounds::Bounds;
pub use self::brittle_state::BrittleState;
pub use self::call::{Call, CallId};
pub use self::caller_connections::{
    ConnectionId, ConnectionUse, ConnectionView, connection_to_close, max_connections,
};
pub use self::caller_memory::{Admission, CallerMemory, HoldId, HoldOwner, SMALL_BODY_BYTES};
pub use self::crash_guard::CrashGuard;
pub use self::crash_order::CrashOrder;
pub use self::crash_record::CrashRecord;
pub use self::crash_refusal::CrashRefusal;
pub use self::duty::Duty;
pub use self::duty_lease::{
    DutyLease, DutyPermit, LeaseCandidacy, LeaseFailure, LeaseRead, LeaseRole, LeaseRow, LeaseStep,
    LeaseTimes,
};
pub use self::engine_pace::{EnginePaces, GapModel, PaceReport, StreamGaps};
pub use self::engine_search::EngineSearch;
pub use self::even_load::{EvenLoadMode, LoadNews, MeanLoad, choose_by_room, crowd_cost};
pub use self::feed::{
    Feed, FeedDelta, RowChange, RowState, StoreRow, watch_timeout, watches_store,
};
pub use self::hold_monitor::{HoldMonitor, MIN_HOLD};
pub use self::load_changes::LoadChanges;
pub use self::lost_run::LostRun;
pub use self::members::{DIGEST_INTERVAL, GossipRound, Members, address_number};
pub use self::part_cache::{PartCache, PartState};
pub use self::placement::{
    EvenLoad, Obstacle, PlacementContext, PlacementError, PlacementSurvey, ServerChoice,
};
pub use self::prompt::{PartId, Prompt, PromptPart};
pub use self::registry::{LeavingNews, Registry, RegistryChange, ServerEntry, ServerState};
pub use self::retry_after::{RETRY_AFTER_MIN, retry_after};
pub use self::retry_window::RetryWindow;
pub use self::routing::{
    Account, CallerLimits, EngineLimits, Priority, Route, RouteKind, RouteName, Routing, Service,
    ServiceName, TrafficShare, combine_priorities,
};
pub use self::scaling::{
    DemandMeter, DemandSample, DemandSums, LearnedDemand, OrderOutcome, OrderReason, OrderRecord,
    ScalingInputs, ScalingLimits, ScalingPlan, ServerCapacity, ServerCounts, ServerKind,
    WorkerOrder, WorkerSubject,
};
pub use self::server_order::{PaceClass, ServerOrder};
pub use self::server_reach::ServerReach;
pub use self::server_start::ServerStart;
pub use self::software_history::{ServiceSoftware, SoftwareHistory};
pub use self::software_version::{SoftwareName, SoftwareVersion};
pub use self::state::{
    BrittleReport, EnginePaceReport, GatewayState, LimitReport, PeerDigest, ServerDigest,
};
pub use self::store_check::{StoreCheck, needs_read_at_once};
pub use self::store_contact::{REREGISTER_GRACE, StoreContact, StoreGap};
pub use self::store_version::StoreVersion;
pub use self::stream_kind::StreamKind;
pub use self::stream_ledger::{StreamLedger, StreamRow};
pub use self::stream_moves::{
    CopyOutcome, MovableStream, MoveHandle, MoveLimits, MoveOrder, MoveStep, MoveTarget,
    StreamMoves, UnusedHandle,
};
pub use self::stream_origins::{StreamId, StreamOrigin, StreamOrigins};
pub use self::suspect::Suspect;
pub use self::suspect_scope::SuspectScope;
pub use self::table_replica::TableReplica;
pub use self::usage::{
    AccountCounts, DemandLog, FixedReport, FleetTime, ServiceDemand, UsageBatch, UsageCount,
    UsageLedger, UsageLog, UsageRow, UsageSave, UsageSender, WindowId, window_at,
};
pub use self::watch_pacing::WatchPacing;
