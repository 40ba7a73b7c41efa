//! Router that runs the decision core, with one node per VM.

use std::sync::Arc;

use verbenahinge_core::config_log::VersionRow;
use verbenahinge_core::membership::{VmEntry, VmState};
use verbenahinge_core::{Action, Event, Node, NodeOptions, Timestamp};

use crate::deployment::Deployment;

pub(crate) struct CoreRouter {
    nodes: Vec<Node>,
}

impl CoreRouter {
    pub(crate) fn new(deployment: &Deployment) -> Self {
        let row = Arc::new(VersionRow {
            version: 1,
            patch_id: Arc::from("bench"),
            operator: Arc::from("bench"),
            accepted_ms: 0,
            declaration: Arc::clone(&deployment.declaration),
        });
        let entries: Vec<VmEntry> = deployment
            .vms
            .iter()
            .map(|&address| VmEntry {
                address,
                state: VmState::Live,
            })
            .collect();
        let mut nodes = Vec::new();
        for (index, &address) in deployment.vms.iter().enumerate() {
            let mut node = Node::new(NodeOptions::new(index as u64 + 1, address));
            let mut ignored_actions = Vec::new();
            let config_received = Event::ConfigReceived(Arc::clone(&row));
            node.handle(Timestamp::ZERO, config_received, &mut ignored_actions);
            let vm_list = Event::VmList(entries.clone());
            node.handle(Timestamp::ZERO, vm_list, &mut ignored_actions);
            nodes.push(node);
        }
        Self { nodes }
    }

    pub(crate) fn handle(&mut self, now: Timestamp, vm: usize, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.nodes[vm].handle(now, event, &mut actions);
        actions
    }

    pub(crate) fn next_timer(&self, vm: usize) -> Option<Timestamp> {
        self.nodes[vm].next_timer()
    }
}
