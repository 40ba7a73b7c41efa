//! What happens in a simulated fleet, and the state of its engines and requests.

use std::rc::Rc;

use verbenahinge_core::gateway::{CrashRecord, Suspect};
use verbenahinge_core::{CrashId, Timestamp};

pub(super) struct Request {
    pub(super) vm: usize,
    pub(super) arrived: Timestamp,
    pub(super) is_deadly: bool,
    pub(super) is_related: bool,
    pub(super) prefix: u64,
    pub(super) suspects: Vec<Suspect>,
    pub(super) attempts: u32,
}

pub(super) enum Event {
    /// A request reaches its first token at an engine's start.
    FirstToken {
        request: u64,
        engine: usize,
        start: u32,
    },
    /// A VM has found the crash of an engine at which it had requests.
    CrashFound {
        vm: usize,
        at: Timestamp,
        crash: CrashId,
        lost: Vec<u64>,
    },
    /// A VM sends its news.
    Push {
        vm: usize,
    },
    /// News reaches a VM.
    Deliver {
        vm: usize,
        records: Rc<Vec<CrashRecord>>,
    },
    EngineBack {
        engine: usize,
    },
    SoundArrives,
    DeadlyArrives,
    OutsideCrash,
    Round,
}

pub(super) struct Engine {
    pub(super) start: u32,
    pub(super) is_up: bool,
    pub(super) waiting: Vec<u64>,
}
