//! Wire format of the messages between VMs: load on backend servers, crashes, table versions and
//! addresses of VMs.

mod brittle_message;
mod crash_message;
mod duty_message;
mod feed_message;
mod leaving_message;
mod limit_message;
mod pace_message;
mod reach_message;
mod stream_message;
mod usage_message;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use strum::IntoStaticStr;
use verbenahinge_core::gateway::{
    EnginePaceReport, LoadReport, PartState, PeerDigest, PeerLoad, PrefillLoad, ServerDigest,
};

pub(super) use self::brittle_message::BrittleMessage;
pub(super) use self::crash_message::CrashMessage;
pub(super) use self::duty_message::DutyMessage;
pub(super) use self::feed_message::{DeltaMessage, FeedMessage, feed_from_number, feed_number};
pub(super) use self::leaving_message::LeavingMessage;
pub(super) use self::limit_message::LimitMessage;
pub(super) use self::pace_message::PaceMessage;
pub(super) use self::reach_message::ReachMessage;
pub(super) use self::stream_message::{StreamMessage, StreamQueryMessage};
pub(super) use self::usage_message::{BatchMessage, DemandMessage, UsageMessage};

/// Purpose of a message to another VM; the metrics use it as a label.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum MessageKind {
    /// State of the sender, sent in rounds.
    Digest,
    /// Reply to a VM that did not count as live.
    Welcome,
    /// New version of a changed table, with the delta if it is small.
    Change,
    /// Table or delta, in response to a request over HTTP.
    Table,
    /// Load on servers, for the VM that aggregates it.
    Load,
    /// Query of aggregated load.
    #[strum(serialize = "question")]
    LoadQuery,
    /// Reply to a load query.
    #[strum(serialize = "answer")]
    LoadReply,
    /// New crash records, sent as soon as a server has crashed or a suspect is cleared.
    Crash,
    /// Limit of a server that has begun, ended or changed.
    Limit,
    /// Server that has said in an answer that it leaves.
    Leaving,
    /// Services whose servers the sender cannot connect to.
    Reach,
    /// Versions at which streams began.
    Stream,
    /// Query for the version at which a stream began.
    StreamQuery,
    /// Reply to a query for a stream.
    StreamReply,
    /// Query for a permit to send a request to a limited server.
    PermitQuery,
    /// Reply to a permit query.
    PermitReply,
    /// Requests that began at the sender, for the VMs that report them.
    Usage,
    /// Reply to such a message.
    UsageAck,
    /// Notice that the sender is shutting down.
    #[strum(serialize = "farewell")]
    Shutdown,
}

/// Message in one datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerMessage {
    /// VM process that sends the message.
    #[prost(fixed64, tag = "1")]
    pub(super) vm: u64,
    #[prost(uint32, tag = "3")]
    pub(super) interactive_tokens_per_s: u32,
    /// Interactive streams of the sender's callers that are in flight.
    #[prost(uint32, tag = "27")]
    pub(super) interactive_streams: u32,
    #[prost(message, repeated, tag = "4")]
    pub(super) servers: Vec<ServerMessage>,
    #[prost(message, repeated, tag = "5")]
    pub(super) crashes: Vec<CrashMessage>,
    /// Rate limits of servers as the sender knows them.
    #[prost(message, repeated, tag = "15")]
    pub(super) limits: Vec<LimitMessage>,
    /// Servers that have said in an answer to the sender that they leave.
    #[prost(message, repeated, tag = "21")]
    pub(super) leaving: Vec<LeavingMessage>,
    /// Versions of the sender's replicas.
    #[prost(message, repeated, tag = "8")]
    pub(super) feeds: Vec<FeedMessage>,
    /// Addresses of some VMs that the sender knows.
    #[prost(fixed32, repeated, tag = "6")]
    pub(super) addresses: Vec<u32>,
    /// Version of the configuration in force at the sender, as the operator counts; 0 if the
    /// message does not tell.
    #[prost(uint64, tag = "14")]
    pub(super) config_version: u64,
    /// Number of other VMs that the sender knows.
    #[prost(uint32, tag = "13")]
    pub(super) known_vms: u32,
    /// Hashes of the names of servers whose aggregated load is queried; empty in a reply.
    #[prost(fixed64, repeated, tag = "9")]
    pub(super) queried_servers: Vec<u64>,
    /// Prompt parts whose state on the servers is queried.
    #[prost(uint64, repeated, tag = "12")]
    pub(super) queried_parts: Vec<u64>,
    /// Identifier of a load query, repeated in its reply; 0 in other messages.
    #[prost(uint64, tag = "10")]
    pub(super) query_id: u64,
    /// Aggregated load on the queried servers, in a reply.
    #[prost(message, repeated, tag = "11")]
    pub(super) aggregated: Vec<ServerMessage>,
    /// Hash of the name of the server for which a permit is queried, in a query and its reply.
    #[prost(fixed64, tag = "16")]
    pub(super) permit_server: u64,
    /// Whether the message asks for a permit rather than replying.
    #[prost(bool, tag = "17")]
    pub(super) is_permit_query: bool,
    /// Whether a permit is granted, in a reply.
    #[prost(bool, tag = "18")]
    pub(super) is_permitted: bool,
    /// Services whose servers are brittle.
    #[prost(message, repeated, tag = "26")]
    pub(super) brittle: Vec<BrittleMessage>,
    /// Services whose servers the sender cannot connect to; absent if the message does not tell.
    #[prost(message, optional, tag = "25")]
    pub(super) reach: Option<ReachMessage>,
    /// Versions at which streams began.
    #[prost(message, repeated, tag = "22")]
    pub(super) streams: Vec<StreamMessage>,
    /// Query for the version at which a stream began.
    #[prost(message, optional, tag = "23")]
    pub(super) stream_query: Option<StreamQueryMessage>,
    /// Identifier of a query for a stream, repeated in its reply; 0 in other messages.
    #[prost(uint64, tag = "24")]
    pub(super) stream_query_id: u64,
    /// Ring of rows in which the receiver has to keep the streams of the message in the store.
    #[prost(uint32, optional, tag = "28")]
    pub(super) keep_ring: Option<u32>,
    /// Holder of the lease for duties as the sender knows it; absent if the message does not tell.
    #[prost(message, optional, tag = "30")]
    pub(super) duty: Option<DutyMessage>,
    /// Requests that began at the sender.
    #[prost(message, optional, tag = "31")]
    pub(super) usage: Option<UsageMessage>,
    /// Number up to which the sender has received the usage batches of the receiver.
    #[prost(uint64, optional, tag = "32")]
    pub(super) usage_ack: Option<u64>,
    /// Process of the receiver whose batches are acknowledged.
    #[prost(fixed64, tag = "33")]
    pub(super) usage_ack_vm: u64,
    /// Pace of engines by the streams that pass the sender.
    #[prost(message, repeated, tag = "35")]
    pub(super) paces: Vec<PaceMessage>,
    /// Pace of engines by the streams of all VMs, as the sender has pooled it.
    #[prost(message, repeated, tag = "36")]
    pub(super) pooled_paces: Vec<PaceMessage>,
    /// As `interactive_tokens_per_s`, of streams with tight gap targets alone.
    #[prost(uint32, tag = "37")]
    pub(super) tight_tokens_per_s: u32,
    /// As `interactive_streams`, of streams with tight gap targets alone.
    #[prost(uint32, tag = "38")]
    pub(super) tight_streams: u32,
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "7")]
    pub(super) is_shutting_down: bool,
}

/// Load on one backend server.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct ServerMessage {
    /// Hash of the server's name.
    #[prost(fixed64, tag = "1")]
    pub(super) server: u64,
    #[prost(uint32, tag = "2")]
    pub(super) running: u32,
    #[prost(uint32, tag = "4")]
    pub(super) interactive: u32,
    #[prost(uint32, tag = "5")]
    pub(super) memory_tokens: u32,
    #[prost(message, repeated, tag = "6")]
    pub(super) prefill: Vec<PrefillMessage>,
    /// Running requests, waiting requests and slots of the server's last load report; empty if none.
    #[prost(uint32, repeated, tag = "7")]
    pub(super) report: Vec<u32>,
    /// Prompt parts that the server has prefilled.
    #[prost(uint64, repeated, tag = "8")]
    pub(super) prefilled_parts: Vec<u64>,
    /// Prompt parts that were sent to the server and still have to be prefilled.
    #[prost(uint64, repeated, tag = "9")]
    pub(super) prefilling_parts: Vec<u64>,
    /// Fourth figure of the server's last load report; absent if the server does not send it. VMs of an earlier
    /// build ignore a `report` that does not have three numbers.
    #[prost(uint32, optional, tag = "10")]
    pub(super) decode_percent: Option<u32>,
}

/// Requests of one priority, and the prefill that they still need.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct PrefillMessage {
    #[prost(uint32, tag = "1")]
    pub(super) priority: u32,
    #[prost(uint32, tag = "2")]
    pub(super) prompts: u32,
    #[prost(uint32, tag = "3")]
    pub(super) tokens: u32,
    #[prost(uint32, tag = "4")]
    pub(super) running: u32,
}

impl PeerMessage {
    /// Creates a message from a digest.
    pub(super) fn new(digest: PeerDigest, feeds: Vec<FeedMessage>, addresses: Vec<u32>) -> Self {
        let mut servers = Vec::new();
        for server in digest.servers {
            servers.push(encode_server(server));
        }
        let crashes = digest.crashes.into_iter();
        Self {
            vm: digest.vm,
            interactive_tokens_per_s: digest.interactive_tokens_per_s,
            interactive_streams: digest.interactive_streams,
            servers,
            crashes: crashes.map(CrashMessage::from_record).collect(),
            paces: encode_paces(&digest.paces),
            pooled_paces: encode_paces(&digest.pooled_paces),
            tight_tokens_per_s: digest.tight_tokens_per_s,
            tight_streams: digest.tight_streams,
            feeds,
            addresses,
            ..Self::default()
        }
    }

    /// Converts the message back to a digest.
    pub(super) fn into_digest(self) -> PeerDigest {
        let mut servers = Vec::new();
        for server in self.servers {
            servers.push(decode_server(server));
        }
        let crashes = self.crashes.into_iter();
        PeerDigest {
            vm: self.vm,
            interactive_tokens_per_s: self.interactive_tokens_per_s,
            interactive_streams: self.interactive_streams,
            servers,
            crashes: crashes.map(CrashMessage::into_record).collect(),
            paces: decode_paces(&self.paces),
            pooled_paces: decode_paces(&self.pooled_paces),
            tight_tokens_per_s: self.tight_tokens_per_s,
            tight_streams: self.tight_streams,
        }
    }
}

pub(super) fn encode_server(digest: ServerDigest) -> ServerMessage {
    let load = digest.load;
    let mut prefill = Vec::new();
    for (priority, prefill_load) in load.prefill {
        prefill.push(PrefillMessage {
            priority: u32::from(priority),
            prompts: prefill_load.prompts,
            tokens: prefill_load.tokens,
            running: prefill_load.running,
        });
    }
    let report = load.report.map_or_else(Vec::new, |report| {
        vec![report.running, report.waiting, report.slots]
    });
    let decode_percent = load.report.and_then(|report| report.decode_percent);
    let mut prefilled_parts = Vec::new();
    let mut prefilling_parts = Vec::new();
    for (part, state) in load.parts {
        match state {
            PartState::Prefilled => prefilled_parts.push(part),
            PartState::Prefilling => prefilling_parts.push(part),
        }
    }
    ServerMessage {
        server: digest.server,
        running: load.running,
        interactive: load.interactive,
        memory_tokens: load.memory_tokens,
        prefill,
        report,
        prefilled_parts,
        prefilling_parts,
        decode_percent,
    }
}

pub(super) fn encode_paces(reports: &[EnginePaceReport]) -> Vec<PaceMessage> {
    reports
        .iter()
        .copied()
        .map(PaceMessage::from_report)
        .collect()
}

fn decode_paces(messages: &[PaceMessage]) -> Vec<EnginePaceReport> {
    messages
        .iter()
        .filter_map(|message| message.into_report())
        .collect()
}

pub(super) fn decode_server(message: ServerMessage) -> ServerDigest {
    let mut prefill = BTreeMap::new();
    for prefill_load in message.prefill {
        let Ok(priority) = u8::try_from(prefill_load.priority) else {
            continue;
        };
        let load = PrefillLoad {
            prompts: prefill_load.prompts,
            tokens: prefill_load.tokens,
            running: prefill_load.running,
        };
        prefill.insert(priority, load);
    }
    let report = match message.report.as_slice() {
        &[running, waiting, slots] => Some(LoadReport {
            running,
            waiting,
            slots,
            decode_percent: message.decode_percent,
        }),
        _ => None,
    };
    let prefilled = message.prefilled_parts.into_iter();
    let prefilling = message.prefilling_parts.into_iter();
    let parts = prefilling
        .map(|part| (part, PartState::Prefilling))
        .chain(prefilled.map(|part| (part, PartState::Prefilled)))
        .collect();
    ServerDigest {
        server: message.server,
        load: PeerLoad {
            running: message.running,
            interactive: message.interactive,
            memory_tokens: message.memory_tokens,
            prefill,
            parts,
            report,
        },
    }
}

/// Encodes an IPv4 address as a number; `None` for IPv6.
pub(super) fn pack_ip(ip: IpAddr) -> Option<u32> {
    match ip {
        IpAddr::V4(ip) => Some(ip.to_bits()),
        IpAddr::V6(_) => None,
    }
}

/// Decodes an IPv4 address from a number.
pub(super) fn unpack_ip(bits: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(bits))
}
