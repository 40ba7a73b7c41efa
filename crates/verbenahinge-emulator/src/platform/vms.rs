//! VM list that is returned as it was some time ago.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Maximum number of list versions that are kept.
const HISTORY_LIMIT: usize = 64;

/// State of a listed VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The VM is running.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// Entry of the VM list: a VM of the router itself or one that runs a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Address at which the process on the VM accepts peer connections or requests.
    pub address: SocketAddr,
    /// Whether the VM keeps running or will be removed soon.
    pub state: ListedState,
    /// Whether a backend server runs on it.
    #[serde(default)]
    pub backend: bool,
}

#[derive(Clone, Debug)]
pub(super) struct VmList {
    history: VecDeque<(Instant, Vec<ListedVm>)>,
}

impl VmList {
    pub(super) fn new(vms: Vec<ListedVm>) -> Self {
        Self {
            history: VecDeque::from([(Instant::now(), vms)]),
        }
    }

    pub(super) fn set(&mut self, vms: Vec<ListedVm>) {
        if self.history.len() == HISTORY_LIMIT {
            self.history.pop_front();
        }
        self.history.push_back((Instant::now(), vms));
    }

    /// Returns the latest version that is at least `min_age` old, or the oldest one kept.
    pub(super) fn snapshot(&self, min_age: Duration) -> Vec<ListedVm> {
        let mut visible = &self.history[0].1;
        for (since, vms) in &self.history {
            if since.elapsed() >= min_age {
                visible = vms;
            }
        }
        visible.clone()
    }
}
