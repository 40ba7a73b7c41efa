//! Stable 64-bit hashes for placement, fingerprints and jitter.

use std::time::Duration;

/// Returns a 64-bit hash that is the same on every VM and in every software version.
#[must_use]
pub fn hash64(bytes: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(word)
}

/// Mixes two 64-bit values into one.
///
/// This is cheaper than [`hash64`] and uniform enough to distribute load.
#[must_use]
pub const fn mix64(a: u64, b: u64) -> u64 {
    let mut x = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns a pseudorandom duration in `[0, span)`, determined by the seed.
#[must_use]
pub fn jitter(seed: u64, span: Duration) -> Duration {
    let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(mix64(seed, 0x6a69_7474_6572) % span_us)
}
