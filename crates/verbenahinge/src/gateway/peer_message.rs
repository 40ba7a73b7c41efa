//! What VMs send each other: one datagram with the load that they put on backend servers.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use verbenahinge_core::gateway::{LoadReport, PeerDigest, PeerLoad, Reading, ServerDigest};

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerMessage {
    /// Process that sends it.
    #[prost(fixed64, tag = "1")]
    pub(super) vm: u64,
    #[prost(uint64, tag = "2")]
    pub(super) config_version: u64,
    #[prost(uint32, tag = "3")]
    pub(super) interactive_tokens_s: u32,
    #[prost(message, repeated, tag = "4")]
    pub(super) servers: Vec<ServerMessage>,
    #[prost(message, repeated, tag = "5")]
    pub(super) crashes: Vec<CrashMessage>,
    /// Addresses of some VMs that the sender heard of.
    #[prost(fixed32, repeated, tag = "6")]
    pub(super) members: Vec<u32>,
    /// Whether the sender is about to end.
    #[prost(bool, tag = "7")]
    pub(super) is_leaving: bool,
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
    pub(super) reading: Vec<ReadingMessage>,
    /// Running and waiting requests and slots, as the server told them last.
    #[prost(uint32, repeated, tag = "7")]
    pub(super) report: Vec<u32>,
}

/// Prompts of one priority that have not given a first token yet.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct ReadingMessage {
    #[prost(uint32, tag = "1")]
    pub(super) priority: u32,
    #[prost(uint32, tag = "2")]
    pub(super) prompts: u32,
    #[prost(uint32, tag = "3")]
    pub(super) tokens: u32,
}

/// Crashes that one request was part of.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    pub(super) fingerprint: u64,
    #[prost(fixed64, repeated, tag = "2")]
    pub(super) crashes: Vec<u64>,
}

impl PeerMessage {
    /// Makes a datagram of a digest.
    pub(super) fn new(digest: PeerDigest, members: Vec<u32>, is_leaving: bool) -> Self {
        let mut servers = Vec::new();
        for server in digest.servers {
            servers.push(encode_server(server));
        }
        let mut crashes = Vec::new();
        for (fingerprint, ids) in digest.crashes {
            crashes.push(CrashMessage {
                fingerprint,
                crashes: ids,
            });
        }
        Self {
            vm: digest.vm,
            config_version: digest.config_version,
            interactive_tokens_s: digest.interactive_tokens_s,
            servers,
            crashes,
            members,
            is_leaving,
        }
    }

    /// Turns a datagram back into a digest.
    pub(super) fn into_digest(self) -> PeerDigest {
        let mut servers = Vec::new();
        for server in self.servers {
            servers.push(decode_server(server));
        }
        let mut crashes = Vec::new();
        for crash in self.crashes {
            crashes.push((crash.fingerprint, crash.crashes));
        }
        PeerDigest {
            vm: self.vm,
            config_version: self.config_version,
            interactive_tokens_s: self.interactive_tokens_s,
            servers,
            crashes,
        }
    }
}

fn encode_server(digest: ServerDigest) -> ServerMessage {
    let load = digest.load;
    let mut reading = Vec::new();
    for (priority, class) in load.reading {
        reading.push(ReadingMessage {
            priority: u32::from(priority),
            prompts: class.prompts,
            tokens: class.tokens,
        });
    }
    let report = load.report.map_or_else(Vec::new, |report| {
        vec![report.running, report.waiting, report.slots]
    });
    ServerMessage {
        server: digest.server,
        running: load.running,
        interactive: load.interactive,
        memory_tokens: load.memory_tokens,
        reading,
        report,
    }
}

fn decode_server(message: ServerMessage) -> ServerDigest {
    let mut reading = BTreeMap::new();
    for class in message.reading {
        let Ok(priority) = u8::try_from(class.priority) else {
            continue;
        };
        let prompts = Reading {
            prompts: class.prompts,
            tokens: class.tokens,
        };
        reading.insert(priority, prompts);
    }
    let report = match message.report.as_slice() {
        &[running, waiting, slots] => Some(LoadReport {
            running,
            waiting,
            slots,
        }),
        _ => None,
    };
    ServerDigest {
        server: message.server,
        load: PeerLoad {
            running: message.running,
            interactive: message.interactive,
            memory_tokens: message.memory_tokens,
            reading,
            report,
        },
    }
}

/// Packs an address into the form that datagrams have; `None` for addresses of other families.
pub(super) fn pack_ip(ip: IpAddr) -> Option<u32> {
    match ip {
        IpAddr::V4(ip) => Some(ip.to_bits()),
        IpAddr::V6(_) => None,
    }
}

/// Unpacks an address.
pub(super) fn unpack_ip(bits: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(bits))
}
