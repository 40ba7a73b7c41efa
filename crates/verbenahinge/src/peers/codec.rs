//! Conversion between digests and their Protocol Buffers messages.

use verbenahinge_core::declaration::TIER_COUNT;
use verbenahinge_core::digest::{CrashRecord, Digest, PoolDemand};
use verbenahinge_core::shares::Demand;
use verbenahinge_proto as proto;

fn trim_trailing_zeros(counts: &[u32; TIER_COUNT]) -> Vec<u32> {
    let used = counts.iter().rposition(|&count| count > 0);
    counts[..used.map_or(0, |last| last + 1)].to_vec()
}

fn pad_with_zeros(counts: &[u32]) -> [u32; TIER_COUNT] {
    std::array::from_fn(|tier| counts.get(tier).copied().unwrap_or(0))
}

/// Converts a digest to its message.
pub(super) fn encode(digest: &Digest) -> proto::Digest {
    let mut demands = Vec::new();
    for entry in &digest.demands {
        demands.push(proto::PoolDemand {
            pool: entry.pool,
            running: trim_trailing_zeros(&entry.demand.running),
            queued: trim_trailing_zeros(&entry.demand.queued),
            by_server: entry.by_server.clone(),
        });
    }
    let mut crashes = Vec::new();
    for record in &digest.crashes {
        crashes.push(proto::CrashRecord {
            fingerprint: record.fingerprint,
            crashes: record.crashes.clone(),
        });
    }
    proto::Digest {
        vm: digest.vm,
        seq: digest.seq,
        config_version: digest.config_version,
        leaving: digest.leaving,
        demands,
        crashes,
    }
}

/// Converts a message to a digest.
pub(super) fn decode(message: proto::Digest) -> Digest {
    let mut demands = Vec::new();
    for entry in message.demands {
        demands.push(PoolDemand {
            pool: entry.pool,
            demand: Demand {
                running: pad_with_zeros(&entry.running),
                queued: pad_with_zeros(&entry.queued),
            },
            by_server: entry.by_server,
        });
    }
    let mut crashes = Vec::new();
    for record in message.crashes {
        crashes.push(CrashRecord {
            fingerprint: record.fingerprint,
            crashes: record.crashes,
        });
    }
    Digest {
        vm: message.vm,
        seq: message.seq,
        config_version: message.config_version,
        leaving: message.leaving,
        demands,
        crashes,
    }
}
