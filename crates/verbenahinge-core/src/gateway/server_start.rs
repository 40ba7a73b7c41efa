//! Identity of one start of a backend server's process.

use crate::ServerName;

/// One start of a backend server's process: what a server says of itself ends with it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerStart {
    /// Name of the backend server.
    pub server: ServerName,
    /// Start of the process as Unix time in milliseconds; `None` if the registry entry names none, in
    /// which case the server's name alone tells its starts apart.
    pub started_unix_ms: Option<u64>,
}
