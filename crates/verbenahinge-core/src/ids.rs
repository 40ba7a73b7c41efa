//! Identifiers and the time type used throughout the core.
//!
//! They are type aliases, so that logs, tests and messages share one representation without
//! conversions.

use std::sync::Arc;
use std::time::Duration;

/// A point in time, as the duration since an epoch that the driver of the core chooses.
///
/// The core never reads a clock; the driver passes the time with every event.
pub type Timestamp = Duration;

/// Identifies one request on every VM from arrival to its final answer.
pub type RequestId = u128;

/// Identifies one router process; a restarted process gets a new id.
pub type VmId = u64;

/// Number of a dispatch of one request, starting at 1.
pub type Attempt = u32;

/// Version number of the declaration; version 0 is the empty declaration.
pub type ConfigVersion = u64;

/// Priority of a class; 0 is the highest.
pub type Tier = u8;

/// Identifies the content of a request, to detect requests that crash backend servers.
pub type Fingerprint = u64;

/// Identifies one crash of a backend server; the same on every VM that observed the crash.
pub type CrashId = u64;

/// Identifies one incarnation of a backend server; it changes when the server restarts.
pub type Incarnation = u64;

/// Identifies one operation that the core sent to the table service.
pub type TableOpId = u64;

/// Name of a client account.
pub type AccountName = Arc<str>;

/// Name of a class of requests.
pub type ClassName = Arc<str>;

/// Name of a pool of backend servers.
pub type PoolName = Arc<str>;

/// Name of a backend server, unique across all pools.
pub type ServerName = Arc<str>;

/// Name of a model.
pub type ModelName = Arc<str>;

/// Name of an availability zone.
pub type ZoneName = Arc<str>;

/// Name of an operator.
pub type OperatorName = Arc<str>;
