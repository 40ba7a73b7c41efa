//! Wire format of the messages between VMs: load on backend servers, crashes, table versions and
//! addresses of VMs.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use strum::IntoStaticStr;
use verbenahinge_core::gateway::{
    CrashRecord, Feed, FeedDelta, LimitReport, LoadReport, PartState, PeerDigest, PeerLoad,
    PrefillLoad, RowChange, RowState, ServerDigest, StoreVersion,
};

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
    /// Latest crash records, sent as soon as a server has crashed.
    Crash,
    /// Limit of a server that has begun, ended or changed.
    Limit,
    /// Query for a permit to send a request to a limited server.
    PermitQuery,
    /// Reply to a permit query.
    PermitReply,
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
    #[prost(message, repeated, tag = "4")]
    pub(super) servers: Vec<ServerMessage>,
    #[prost(message, repeated, tag = "5")]
    pub(super) crashes: Vec<CrashMessage>,
    /// Rate limits of servers as the sender knows them.
    #[prost(message, repeated, tag = "15")]
    pub(super) limits: Vec<LimitMessage>,
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
    /// Whether the sender is shutting down.
    #[prost(bool, tag = "7")]
    pub(super) is_shutting_down: bool,
}

/// Version of one replica, with an optional delta.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct FeedMessage {
    /// Number of the table; see [`feed_number`].
    #[prost(uint32, tag = "1")]
    pub(super) feed: u32,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    /// Era of the store that the version belongs to.
    #[prost(uint64, tag = "5")]
    pub(super) era: u64,
    /// Time since the replica was last known to be up to date.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
    /// Latest changes, if they are small.
    #[prost(message, optional, tag = "4")]
    pub(super) delta: Option<DeltaMessage>,
}

/// Row changes between two versions of a table.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct DeltaMessage {
    #[prost(uint64, optional, tag = "1")]
    pub(super) base: Option<u64>,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(message, repeated, tag = "3")]
    pub(super) rows: Vec<RowMessage>,
    /// Era of the store that `base` belongs to.
    #[prost(uint64, tag = "4")]
    pub(super) base_era: u64,
    /// Era of the store that `version` belongs to.
    #[prost(uint64, tag = "5")]
    pub(super) era: u64,
}

/// Change of one row.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RowMessage {
    #[prost(string, tag = "1")]
    pub(super) key: String,
    #[prost(bytes = "vec", optional, tag = "2")]
    pub(super) value: Option<Vec<u8>>,
    /// Whether a row without a value is lapsed, so that it may come back, rather than removed.
    #[prost(bool, tag = "3")]
    pub(super) is_lapsed: bool,
}

impl DeltaMessage {
    /// Converts a delta to its wire format.
    pub(super) fn from_delta(delta: FeedDelta) -> Self {
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
            base: delta.base.map(|base| base.number),
            version: delta.version.number,
            rows,
            base_era: delta.base.map_or(0, |base| base.era),
            era: delta.version.era,
        }
    }

    /// Converts the wire format back to a delta.
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
        let base_era = self.base_era;
        FeedDelta {
            base: self.base.map(|number| StoreVersion::new(base_era, number)),
            version: StoreVersion::new(self.era, self.version),
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

/// Table with a number on the wire; `None` if this software version does not know it.
pub(super) const fn feed_from_number(number: u32) -> Option<Feed> {
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

/// Crashes of servers that were running requests with one fingerprint.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    pub(super) fingerprint: u64,
    #[prost(fixed64, repeated, tag = "2")]
    pub(super) crashes: Vec<u64>,
    /// Time since the latest crash became known.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
}

/// Rate limit of one server, and the sender's demand for it.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct LimitMessage {
    /// Hash of the server's name.
    #[prost(fixed64, tag = "1")]
    pub(super) server: u64,
    /// Thousandths of requests per second, 0 if the server has stopped naming a limit; absent if the
    /// sender has seen no answer lately.
    #[prost(uint64, optional, tag = "2")]
    pub(super) limit_milli_per_s: Option<u64>,
    /// Time since the sender saw that.
    #[prost(uint32, tag = "3")]
    pub(super) age_ms: u32,
    #[prost(uint32, tag = "4")]
    pub(super) demand: u32,
}

impl LimitMessage {
    pub(super) fn from_report(report: LimitReport) -> Self {
        let milli_per_s = Duration::try_from_secs_f64(report.limit_per_s.unwrap_or(0.0))
            .map_or(u128::MAX, |milli| milli.as_millis());
        Self {
            server: report.server,
            limit_milli_per_s: report
                .is_observed
                .then(|| u64::try_from(milli_per_s).unwrap_or(u64::MAX)),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
            demand: report.demand,
        }
    }

    pub(super) fn into_report(self) -> LimitReport {
        let limit = self.limit_milli_per_s.filter(|&milli| milli > 0);
        LimitReport {
            server: self.server,
            is_observed: self.limit_milli_per_s.is_some(),
            limit_per_s: limit.map(|milli| Duration::from_millis(milli).as_secs_f64()),
            age: Duration::from_millis(u64::from(self.age_ms)),
            demand: self.demand,
        }
    }
}

impl PeerMessage {
    /// Creates a message from a digest.
    pub(super) fn new(digest: PeerDigest, feeds: Vec<FeedMessage>, addresses: Vec<u32>) -> Self {
        let mut servers = Vec::new();
        for server in digest.servers {
            servers.push(encode_server(server));
        }
        let mut crashes = Vec::new();
        for record in digest.crashes {
            crashes.push(CrashMessage {
                fingerprint: record.fingerprint,
                crashes: record.crashes,
                age_ms: u32::try_from(record.age.as_millis()).unwrap_or(u32::MAX),
            });
        }
        Self {
            vm: digest.vm,
            interactive_tokens_per_s: digest.interactive_tokens_per_s,
            servers,
            crashes,
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
        let mut crashes = Vec::new();
        for crash in self.crashes {
            crashes.push(CrashRecord {
                fingerprint: crash.fingerprint,
                crashes: crash.crashes,
                age: Duration::from_millis(u64::from(crash.age_ms)),
            });
        }
        PeerDigest {
            vm: self.vm,
            interactive_tokens_per_s: self.interactive_tokens_per_s,
            servers,
            crashes,
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
    }
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
