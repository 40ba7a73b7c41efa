//! Load of servers in a large fleet: one VM gathers that of a server, others ask it.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use verbenahinge_core::gateway::{Call, PeerDigest, Prompt, ServerDigest, address_number};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_core::{ServerName, Timestamp};

use super::{Peers, send_to};
use crate::gateway::Gateway;
use crate::gateway::peer_message::{MessageKind, PeerMessage, decode_server, encode_server};

/// Time within which another VM tells gathered load; a few times the way there and back.
const ANSWER_TIME: Duration = Duration::from_millis(15);

/// Time for which a VM that did not tell gathered load is not asked again.
const SLOW_TIME: Duration = Duration::from_secs(1);

/// A question to other VMs that is not answered by all of them yet.
pub(super) struct Question {
    open: usize,
    done: Option<oneshot::Sender<()>>,
}

impl Peers {
    /// VM that gathers the load of a server, the same on all VMs; `None` if it is this one.
    fn gatherer(&self, now: Timestamp, server: u64) -> Option<IpAddr> {
        let weight = |ip: IpAddr| mix64(server, address_number(ip));
        let members = self.members.borrow();
        let slow = self.slow.borrow();
        let mut best = (weight(members.own_address()), None);
        for ip in members.live_addresses(now) {
            let is_slow = slow.get(&ip).is_some_and(|until| *until > now);
            if !is_slow && weight(ip) > best.0 {
                best = (weight(ip), Some(ip));
            }
        }
        best.1
    }
}

/// Tells the load on each server to the VM that gathers it.
pub(super) async fn tell_gatherers(gateway: &Gateway, now: Timestamp, servers: Vec<ServerDigest>) {
    let mut by_vm: BTreeMap<IpAddr, Vec<ServerDigest>> = BTreeMap::new();
    for server in servers {
        if let Some(ip) = gateway.peers.gatherer(now, server.server) {
            by_vm.entry(ip).or_default().push(server);
        }
    }
    for (ip, servers) in by_vm {
        let digest = PeerDigest {
            servers,
            ..gateway.state.borrow().digest_without_load(now)
        };
        let message = PeerMessage::new(digest, Vec::new(), Vec::new());
        send_to(gateway, MessageKind::Load, message, &[ip]).await;
    }
}

/// Tells the load on one server to the VM that gathers it, right after it has changed.
pub(in crate::gateway) fn tell_load(gateway: &Rc<Gateway>, server: &str) {
    let now = gateway.now();
    if !gateway.peers.is_large(now) {
        return;
    }
    let load = gateway.state.borrow().own_load(server);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        tell_gatherers(&gateway, now, load.into_iter().collect()).await;
    });
}

/// Asks the VMs that gather the load of some servers for it, and waits a moment for answers.
pub(in crate::gateway) async fn ask_load(gateway: &Gateway, servers: &[ServerName], call: &Call) {
    let now = gateway.now();
    let mut by_vm: BTreeMap<IpAddr, Vec<u64>> = BTreeMap::new();
    for server in servers {
        let hash = hash64(server.as_bytes());
        if let Some(ip) = gateway.peers.gatherer(now, hash) {
            by_vm.entry(ip).or_default().push(hash);
        }
    }
    if by_vm.is_empty() {
        return;
    }
    let peers = &gateway.peers;
    let question = peers.next_question.get() + 1;
    peers.next_question.set(question);
    let (done, answered) = oneshot::channel();
    let open = by_vm.len();
    let asked: Vec<IpAddr> = by_vm.keys().copied().collect();
    peers.questions.borrow_mut().insert(
        question,
        Question {
            open,
            done: Some(done),
        },
    );
    let shared = call.prompt.as_ref().map_or(&[][..], Prompt::shared_parts);
    for (ip, servers) in by_vm {
        let digest = gateway.state.borrow().digest_without_load(now);
        let mut message = PeerMessage::new(digest, Vec::new(), Vec::new());
        message.asked = servers;
        message.asked_parts = shared.iter().map(|part| part.id).collect();
        message.question = question;
        send_to(gateway, MessageKind::Question, message, &[ip]).await;
    }
    let in_time = actix_rt::time::timeout(ANSWER_TIME, answered).await;
    peers.questions.borrow_mut().remove(&question);
    if let ([only], true) = (asked.as_slice(), in_time.is_err()) {
        peers.slow.borrow_mut().insert(*only, now + SLOW_TIME);
    }
}

pub(super) fn take_question(gateway: &Rc<Gateway>, from: IpAddr, message: &mut PeerMessage) {
    let now = gateway.now();
    let question = message.question;
    for server in std::mem::take(&mut message.gathered) {
        gateway
            .state
            .borrow_mut()
            .note_aggregated_load(now, decode_server(server));
    }
    if message.asked.is_empty() {
        let mut questions = gateway.peers.questions.borrow_mut();
        if let Some(waiting) = questions.get_mut(&question) {
            waiting.open = waiting.open.saturating_sub(1);
            if waiting.open == 0
                && let Some(done) = waiting.done.take()
                && done.send(()).is_err()
            {
                log::debug!("question {question} was given up");
            }
        }
        return;
    }
    let mut answer = {
        let state = gateway.state.borrow();
        let mut answer = PeerMessage::new(state.digest_without_load(now), Vec::new(), Vec::new());
        for server in std::mem::take(&mut message.asked) {
            let parts = &message.asked_parts;
            if let Some(digest) = state.aggregated_load_for(now, message.vm, server, parts) {
                answer.gathered.push(encode_server(digest));
            }
        }
        answer
    };
    answer.question = question;
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move { send_to(&gateway, MessageKind::Answer, answer, &[from]).await });
}
