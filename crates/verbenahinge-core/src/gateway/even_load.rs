//! Even load of servers that many VMs choose at the same moment by load information that is old.
//!
//! Load pattern: hundreds of VMs, each with few requests, choose among the same servers. All of them turn to
//! the server that looked idle some time ago, and crowds with one prompt part stay at one engine.
//! `docs/design/even-load.md` has the figures.

mod even_load_mode;
mod load_news;
mod mean_load;

use crate::hash::mix64;

pub use self::even_load_mode::EvenLoadMode;
pub use self::load_news::LoadNews;
pub use self::mean_load::MeanLoad;

/// Load of an engine over the mean up to which requests stay with the engine that has their prompt parts.
const BOUND_OVER_MEAN: f64 = 1.25;

/// Cost of an engine with twice the load of the bound, in requests.
const CROWD_COST: f64 = 4.0;

/// Cost of an engine with the mean load for a prompt with short shared parts, in requests.
const SHORT_PROMPT_COST: f64 = 0.4;

/// Highest cost of a crowd, in requests; about that of a copy of 16,000 tokens.
const MAX_CROWD_COST: f64 = 0.8;

/// Returns the cost of an engine whose load, as a share of its slots, is over the bound.
///
/// It makes copies of shared prompt parts to a second or third engine worth their time before the first one
/// is full.
#[must_use]
pub fn crowd_cost(load_share: f64, mean_share: f64, slots: u32) -> f64 {
    let bound = mean_share * BOUND_OVER_MEAN + 1.0 / f64::from(slots.max(1));
    (CROWD_COST * (load_share / bound - 1.0)).clamp(0.0, MAX_CROWD_COST)
}

/// Returns the cost of the load of an engine for a prompt whose shared parts are short: any of the engines
/// reads them at once, so the least loaded one is best.
pub(super) fn short_prompt_cost(load_share: f64, mean_share: f64, slots: u32) -> f64 {
    let mean_share = mean_share.max(1.0 / f64::from(slots.max(1)));
    (SHORT_PROMPT_COST * load_share / mean_share).min(2.0 * MAX_CROWD_COST)
}

/// Chooses one of several servers in proportion to its predicted room; `None` if there are none.
///
/// Room is what a server is below the level that all servers reach when the `expected` requests, which begin
/// before the next news, fill the emptiest ones first. With fresh news this is the least loaded server, and
/// with news that says nothing it is any of them. `seed` decides between servers with room.
#[must_use]
pub fn choose_by_room(loads: &[f64], expected: f64, seed: u64) -> Option<usize> {
    let level = fill_level(loads, expected.max(1.0));
    let rooms = loads.iter().map(|load| (level - load).max(0.0));
    let total: f64 = rooms.clone().sum();
    let mut left = unit(seed) * total;
    let mut last = None;
    for (index, room) in rooms.enumerate() {
        if room <= 0.0 {
            continue;
        }
        last = Some(index);
        left -= room;
        if left <= 0.0 {
            break;
        }
    }
    last
}

/// Load that the emptiest servers reach when `expected` requests are spread over them.
fn fill_level(loads: &[f64], expected: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut count = 0.0;
    let mut level = expected;
    for load in sorted {
        if count > 0.0 && load >= level {
            break;
        }
        sum += load;
        count += 1.0;
        level = (sum + expected) / count;
    }
    level
}

/// Spreads a seed over the numbers from 0 up to 1.
fn unit(seed: u64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "30 bits are exact")]
    let drawn = (mix64(seed, 0x6576_656e) >> 34) as f64;
    drawn / f64::from(1 << 30)
}
