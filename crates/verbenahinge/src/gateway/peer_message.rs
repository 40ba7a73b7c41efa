//! What VMs send each other: one datagram with the load that they put on backend servers.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use strum::IntoStaticStr;
use verbenahinge_core::gateway::{
    Feed, FeedDelta, LoadReport, PartState, PeerDigest, PeerLoad, PrefillLoad, RowChange, RowState,
    ServerDigest,
};

/// What a message to another VM is for.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum MessageKind {
    /// What a VM knows, in its turn.
    Digest,
    /// An answer to a VM that did not count as live.
    Welcome,
    /// A change of a table.
    Change,
    /// A table, or its changes, for a VM that asked.
    Table,
    /// Load on servers, for the VM that gathers it.
    Load,
    /// A question about gathered load.
    Question,
    /// The answer to such a question.
    Answer,
    /// Word that the sender is about to end.
    Farewell,
}

/// One datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct PeerMessage {
    /// Process that sends it.
    #[prost(fixed64, tag = "1")]
    pub(super) vm: u64,
    #[prost(uint32, tag = "3")]
    pub(super) interactive_tokens_s: u32,
    #[prost(message, repeated, tag = "4")]
    pub(super) servers: Vec<ServerMessage>,
    #[prost(message, repeated, tag = "5")]
    pub(super) crashes: Vec<CrashMessage>,
    /// Versions of the sender's copies of the store's tables.
    #[prost(message, repeated, tag = "8")]
    pub(super) feeds: Vec<FeedMessage>,
    /// Addresses of some VMs that the sender heard of.
    #[prost(fixed32, repeated, tag = "6")]
    pub(super) members: Vec<u32>,
    /// Number of VMs that the sender knows of.
    #[prost(uint32, tag = "13")]
    pub(super) known: u32,
    /// Servers whose gathered load the sender asks for.
    #[prost(fixed64, repeated, tag = "9")]
    pub(super) asked: Vec<u64>,
    /// Parts of a prompt of which the sender asks what the servers have.
    #[prost(uint64, repeated, tag = "12")]
    pub(super) asked_parts: Vec<u64>,
    /// Number of the question that is asked, or answered by `gathered`.
    #[prost(uint64, tag = "10")]
    pub(super) question: u64,
    /// Load that the sender has gathered for the servers that it was asked about.
    #[prost(message, repeated, tag = "11")]
    pub(super) gathered: Vec<ServerMessage>,
    /// Whether the sender is about to end.
    #[prost(bool, tag = "7")]
    pub(super) is_leaving: bool,
}

/// Copy of one table.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct FeedMessage {
    /// Number of the table; see [`feed_number`].
    #[prost(uint32, tag = "1")]
    pub(super) feed: u32,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    /// Time since the copy was known to be the newest.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
    /// The latest change, if it is small.
    #[prost(message, optional, tag = "4")]
    pub(super) delta: Option<DeltaMessage>,
}

/// Rows that changed between two versions.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DeltaMessage {
    #[prost(uint64, optional, tag = "1")]
    pub(super) base: Option<u64>,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) rows: Vec<RowMessage>,
}

/// One row that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RowMessage {
    #[prost(string, tag = "1")]
    pub(super) key: String,
    #[prost(bytes = "vec", optional, tag = "2")]
    pub(super) value: Option<Vec<u8>>,
    /// Whether a row without a value may come back.
    #[prost(bool, tag = "3")]
    pub(super) is_lapsed: bool,
}

impl DeltaMessage {
    /// Encodes a change.
    pub(super) fn encode_delta(delta: FeedDelta) -> Self {
        let mut rows = Vec::new();
        for row in delta.rows {
            let (value, is_lapsed) = match row.state {
                RowState::Present(value) => (Some(value.to_vec()), false),
                RowState::Removed => (None, false),
                RowState::Lapsed => (None, true),
            };
            rows.push(RowMessage {
                key: row.key,
                value,
                is_lapsed,
            });
        }
        Self {
            base: delta.base,
            version: delta.version,
            rows,
        }
    }

    /// Decodes a change.
    pub(super) fn into_delta(self) -> FeedDelta {
        let mut rows = Vec::new();
        for row in self.rows {
            let state = match (row.value, row.is_lapsed) {
                (Some(value), _) => RowState::Present(value.into()),
                (None, true) => RowState::Lapsed,
                (None, false) => RowState::Removed,
            };
            rows.push(RowChange {
                key: row.key,
                state,
            });
        }
        FeedDelta {
            base: self.base,
            version: self.version,
            rows,
        }
    }
}

/// Number of a table on the wire.
pub(super) const fn feed_number(feed: Feed) -> u32 {
    match feed {
        Feed::Config => 1,
        Feed::Servers => 2,
    }
}

/// Table of a number; `None` for tables that this version does not know.
pub(super) const fn feed_of(number: u32) -> Option<Feed> {
    match number {
        1 => Some(Feed::Config),
        2 => Some(Feed::Servers),
        _ => None,
    }
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
    /// Parts of prompts that the server has read.
    #[prost(uint64, repeated, tag = "8")]
    pub(super) parts_read: Vec<u64>,
    /// Parts of prompts that the server has yet to read.
    #[prost(uint64, repeated, tag = "9")]
    pub(super) parts_being_read: Vec<u64>,
}

/// Requests of one priority, and what is yet to be read of them.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(super) struct ReadingMessage {
    #[prost(uint32, tag = "1")]
    pub(super) priority: u32,
    #[prost(uint32, tag = "2")]
    pub(super) prompts: u32,
    #[prost(uint32, tag = "3")]
    pub(super) tokens: u32,
    #[prost(uint32, tag = "4")]
    pub(super) running: u32,
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
    pub(super) fn new(digest: PeerDigest, feeds: Vec<FeedMessage>, members: Vec<u32>) -> Self {
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
            interactive_tokens_s: digest.interactive_tokens_per_s,
            servers,
            crashes,
            feeds,
            members,
            ..Self::default()
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
            interactive_tokens_per_s: self.interactive_tokens_s,
            servers,
            crashes,
        }
    }
}

pub(super) fn encode_server(digest: ServerDigest) -> ServerMessage {
    let load = digest.load;
    let mut reading = Vec::new();
    for (priority, class) in load.prefill {
        reading.push(ReadingMessage {
            priority: u32::from(priority),
            prompts: class.prompts,
            tokens: class.tokens,
            running: class.running,
        });
    }
    let report = load.report.map_or_else(Vec::new, |report| {
        vec![report.running, report.waiting, report.slots]
    });
    let mut parts_read = Vec::new();
    let mut parts_being_read = Vec::new();
    for (part, state) in load.parts {
        match state {
            PartState::Prefilled => parts_read.push(part),
            PartState::Prefilling => parts_being_read.push(part),
        }
    }
    ServerMessage {
        server: digest.server,
        running: load.running,
        interactive: load.interactive,
        memory_tokens: load.memory_tokens,
        reading,
        report,
        parts_read,
        parts_being_read,
    }
}

pub(super) fn decode_server(message: ServerMessage) -> ServerDigest {
    let mut prefill = BTreeMap::new();
    for class in message.reading {
        let Ok(priority) = u8::try_from(class.priority) else {
            continue;
        };
        let prompts = PrefillLoad {
            prompts: class.prompts,
            tokens: class.tokens,
            running: class.running,
        };
        prefill.insert(priority, prompts);
    }
    let report = match message.report.as_slice() {
        &[running, waiting, slots] => Some(LoadReport {
            running,
            waiting,
            slots,
        }),
        _ => None,
    };
    let read = message.parts_read.into_iter();
    let being_read = message.parts_being_read.into_iter();
    let parts = being_read
        .map(|part| (part, PartState::Prefilling))
        .chain(read.map(|part| (part, PartState::Prefilled)))
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
