//! Division of a pool's slots among VMs.

use std::time::Duration;

use proptest::prelude::*;
use verbenahinge_core::declaration::TIER_COUNT;
use verbenahinge_core::shares::{DEMAND_TTL, Demand, Shares};

fn demand(queued: &[u32]) -> Demand {
    let mut demand = Demand::default();
    demand.queued[..queued.len()].copy_from_slice(queued);
    demand
}

#[test]
fn higher_tiers_come_first() {
    let mut shares = Shares::new();
    shares.update(Duration::ZERO, 2, demand(&[6, 0, 40]), &[]);
    let quota = shares.quota(20, &demand(&[4, 0, 40]));
    assert_eq!((quota.tiers[0], quota.tiers[2], quota.spare), (4, 5, 0));
}

#[test]
fn spare_slots_split_evenly() {
    let mut shares = Shares::new();
    shares.update(Duration::ZERO, 2, demand(&[2]), &[]);
    let quota = shares.quota(20, &demand(&[2]));
    assert_eq!((quota.tiers[0], quota.spare), (2, 8));
}

#[test]
fn expired_peer_releases_share() {
    let mut shares = Shares::new();
    shares.update(Duration::ZERO, 2, demand(&[100]), &[]);
    assert_eq!(shares.quota(20, &demand(&[100])).tiers[0], 10);
    shares.expire(DEMAND_TTL);
    assert_eq!(shares.quota(20, &demand(&[100])).tiers[0], 20);
}

#[test]
fn lower_tiers_await_peers() {
    let mut shares = Shares::new();
    shares.update(Duration::ZERO, 2, demand(&[0, 3]), &[]);
    let waits: Vec<bool> = (0..4)
        .map(|tier| shares.higher_tier_waits_at_peer(tier))
        .collect();
    assert_eq!(waits, [false, false, true, true]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: prop::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The quotas of all VMs add up to at most the pool's capacity, plus one slot per VM for
    /// rounding up.
    #[test]
    fn quotas_stay_within_capacity(
        capacity in 0..500_u32,
        demands in prop::collection::vec(prop::array::uniform7(0..80_u32), 1..9),
    ) {
        let demands: Vec<Demand> = demands.iter().map(|queued| demand(queued)).collect();
        let mut total = 0;
        for (own, own_demand) in demands.iter().enumerate() {
            let mut shares = Shares::new();
            for (vm, peer_demand) in demands.iter().enumerate() {
                if vm != own {
                    shares.update(Duration::ZERO, vm as u64, *peer_demand, &[]);
                }
            }
            total += shares.quota(capacity, own_demand).total();
        }
        let rounding = u32::try_from(demands.len()).unwrap();
        prop_assert!(total <= capacity + rounding, "{} of {}", total, capacity);
    }

    /// A tier gets no slots, and none are spare, while a higher tier's demand is not met.
    #[test]
    fn unmet_tier_blocks_lower(
        capacity in 0..500_u32,
        own_queued in prop::array::uniform7(0..80_u32),
        peer_queued in prop::array::uniform7(0..80_u32),
    ) {
        let mut shares = Shares::new();
        shares.update(Duration::ZERO, 2, demand(&peer_queued), &[]);
        let quota = shares.quota(capacity, &demand(&own_queued));
        let short = (0..TIER_COUNT).find(|&tier| quota.tiers[tier] < own_queued[tier]);
        if let Some(short) = short {
            let below: u32 = quota.tiers[short + 1..].iter().sum();
            prop_assert_eq!(below + quota.spare, 0);
        }
    }
}
