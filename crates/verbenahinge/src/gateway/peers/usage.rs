//! Requests that began at each VM: told to the VM that reports them and to those that may succeed it.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use verbenahinge_core::gateway::ServiceDemand;

use super::send_to;
use crate::boot_clock::boot_time;
use crate::gateway::Gateway;
use crate::gateway::peer_message::{
    BatchMessage, DemandMessage, DutyMessage, MessageKind, PeerMessage, UsageMessage,
};
use crate::gateway::usage::time_of_day;

/// VMs by rank that get the counts beside the holder of the lease: those that take over first.
const SUCCESSORS: usize = 3;

/// Counts in one datagram, which stays below the usual maximum of 1,500 bytes.
const COUNTS_PER_DATAGRAM: usize = 48;

/// Most datagrams to one VM at a time; what is left follows with the next batch.
const MAX_DATAGRAMS: usize = 8;

/// Holder of the lease and time of day, in the form for other VMs; `None` without duties.
pub(super) fn duty_message(gateway: &Gateway) -> Option<DutyMessage> {
    if !gateway.duties.are_on() {
        return None;
    }
    let own_address = gateway.peers.members.borrow().own_address();
    let holder = gateway.duties.message(gateway.now(), own_address);
    Some(DutyMessage {
        unix_us: u64::try_from(time_of_day().as_micros()).unwrap_or(u64::MAX),
        attempted_until: gateway.usage.attempted_until(),
        ..holder.unwrap_or_default()
    })
}

/// Sends what the holder of the lease and its possible successors lack, and the demand if it is not empty.
pub(in crate::gateway) async fn send_usage(
    gateway: &Gateway,
    demand_number: u64,
    demand: &BTreeMap<u64, ServiceDemand>,
) {
    let now = gateway.now();
    let holder = gateway.duties.other_holder(now);
    let receivers = {
        let members = gateway.peers.members.borrow();
        let mut receivers = members.first_watchers(now, SUCCESSORS);
        receivers.extend(holder.filter(|holder| !receivers.contains(holder)));
        receivers.retain(|&ip| ip != members.own_address());
        receivers
    };
    gateway.usage.sender.borrow_mut().set_receivers(&receivers);
    for receiver in receivers {
        let mut datagrams = pack_batches(gateway, receiver);
        if datagrams.is_empty() && !demand.is_empty() {
            datagrams.push(Vec::new());
        }
        for (index, batches) in datagrams.into_iter().enumerate() {
            let mut usage = UsageMessage {
                first_batch: gateway.usage.sender.borrow().first_number(),
                batches,
                ..UsageMessage::default()
            };
            if index == 0 {
                let to_message = |(&service, &demand): (&u64, &ServiceDemand)| {
                    DemandMessage::from_demand(service, demand)
                };
                usage.demand_number = demand_number;
                usage.demand = demand.iter().map(to_message).collect();
            }
            let mut message = empty_message(gateway);
            message.usage = Some(usage);
            send_to(gateway, MessageKind::Usage, message, &[receiver]).await;
        }
    }
}

/// Batches that a VM lacks, by datagram.
fn pack_batches(gateway: &Gateway, receiver: IpAddr) -> Vec<Vec<BatchMessage>> {
    let sender = gateway.usage.sender.borrow();
    let mut datagrams: Vec<Vec<BatchMessage>> = Vec::new();
    let mut room = 0;
    for batch in sender.unacknowledged(receiver) {
        if batch.counts.len() > room {
            if datagrams.len() == MAX_DATAGRAMS {
                break;
            }
            datagrams.push(Vec::new());
            room = COUNTS_PER_DATAGRAM;
        }
        room = room.saturating_sub(batch.counts.len());
        if let Some(datagram) = datagrams.last_mut() {
            datagram.push(BatchMessage::from_batch(batch));
        }
    }
    datagrams
}

fn empty_message(gateway: &Gateway) -> PeerMessage {
    let digest = gateway.state.borrow().digest_without_load(gateway.now());
    PeerMessage::new(digest, Vec::new(), Vec::new())
}

/// Handles what a message tells of duties: the holder, the time of day, counts and acknowledgements.
pub(super) fn handle_duties(gateway: &Rc<Gateway>, from: IpAddr, message: &mut PeerMessage) {
    if !gateway.duties.are_on() {
        return;
    }
    let usage = &gateway.usage;
    usage.sender.borrow_mut().note_process(from, message.vm);
    if let Some(duty) = message.duty {
        gateway.duties.handle_message(gateway.now(), duty);
        usage.note_clock(message.vm, Duration::from_micros(duty.unix_us));
        usage.note_attempted(duty.attempted_until);
    }
    if let Some(number) = message.usage_ack
        && message.usage_ack_vm == usage.process()
    {
        usage.sender.borrow_mut().note_acknowledged(from, number);
    }
    if let Some(told) = message.usage.take() {
        handle_usage(gateway, from, message.vm, told);
    }
}

fn handle_usage(gateway: &Rc<Gateway>, from: IpAddr, vm: u64, told: UsageMessage) {
    let now = boot_time();
    let usage = &gateway.usage;
    {
        let mut demand_log = usage.demand_log.borrow_mut();
        for demand in told.demand {
            let number = told.demand_number;
            demand_log.note(now, vm, number, demand.service, demand.into_demand());
        }
    }
    if told.batches.is_empty() {
        return;
    }
    let batches = told.batches.into_iter().map(BatchMessage::into_batch);
    let received = usage
        .log
        .borrow_mut()
        .merge(now, vm, told.first_batch, batches);
    let mut reply = empty_message(gateway);
    reply.usage_ack = Some(received);
    reply.usage_ack_vm = vm;
    reply.duty = duty_message(gateway);
    let gateway = Rc::clone(gateway);
    actix_rt::spawn(async move {
        send_to(&gateway, MessageKind::UsageAck, reply, &[from]).await;
    });
}
