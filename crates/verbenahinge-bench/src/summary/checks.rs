//! Checks of a whole run across all VMs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenahinge_core::{RefusalReason, Tier, Timestamp};

use super::millis;
use crate::deployment::Deployment;
use crate::dispatch_record::DispatchRecord;
use crate::outcome::Outcome;
use crate::request_record::RequestRecord;

/// Time before and after the refusal or preemption of a request in which no request of a lower tier
/// may be admitted.
const TIER_WINDOW: Duration = Duration::from_millis(50);

/// Number of violations of one kind that are listed; the rest is only counted.
const MAX_LISTED: usize = 5;

/// Checks that no request ends more than once and that each answer that ended is complete.
pub(super) fn check_request_ends(records: &[RequestRecord], violations: &mut Vec<String>) {
    for (index, record) in records.iter().enumerate() {
        let ends = record.end_count as usize + record.refusals.len();
        if ends > 1 {
            violations.push(format!("request {index} ended {ends} times"));
        }
        if record.end.is_some() && record.delivered_tokens != record.arrival.output_tokens {
            violations.push(format!(
                "request {index} got {} of {} tokens",
                record.delivered_tokens, record.arrival.output_tokens
            ));
        }
    }
    limit_listed(violations);
}

/// Request that was refused for lack of capacity or preempted.
struct Denial {
    at: Timestamp,
    pool: Arc<str>,
    tier: Tier,
    action: &'static str,
}

/// Returns the requests that were refused for lack of capacity or preempted for a higher tier.
fn denials(deployment: &Deployment, outcome: &Outcome) -> Vec<Denial> {
    let mut denials = Vec::new();
    for record in &outcome.records {
        let refusal = record.refusals.first();
        let Some(refusal) = refusal.filter(|first| first.reason == RefusalReason::Overloaded)
        else {
            continue;
        };
        denials.push(Denial {
            at: refusal.at,
            pool: record.arrival.pool.clone(),
            tier: deployment.tier(&record.arrival.class),
            action: "refused",
        });
    }
    for preemption in &outcome.preemptions {
        denials.push(Denial {
            at: preemption.at,
            pool: preemption.pool.clone(),
            tier: preemption.tier,
            action: "stopped",
        });
    }
    denials
}

/// Checks that no request is refused or preempted while one of a lower tier is admitted.
///
/// Admissions by the guaranteed progress of a tier are exempt. Tiers with a larger number are lower.
pub(super) fn check_tier_order(
    deployment: &Deployment,
    outcome: &Outcome,
    violations: &mut Vec<String>,
) {
    let mut admissions: BTreeMap<(Arc<str>, Tier), Vec<Timestamp>> = BTreeMap::new();
    for dispatch in &outcome.dispatches {
        let DispatchRecord {
            at,
            pool,
            tier,
            floor,
            ..
        } = dispatch;
        if !floor {
            admissions
                .entry((pool.clone(), *tier))
                .or_default()
                .push(*at);
        }
    }
    let mut found = Vec::new();
    for denial in denials(deployment, outcome) {
        let from = denial.at.saturating_sub(TIER_WINDOW);
        let to = denial.at + TIER_WINDOW;
        for ((pool, admitted_tier), times) in &admissions {
            if *pool != denial.pool || *admitted_tier <= denial.tier {
                continue;
            }
            let index = times.partition_point(|time| *time < from);
            if times.get(index).is_some_and(|time| *time <= to) {
                found.push(format!(
                    "tier {} {} at {:?} while tier {admitted_tier} was admitted at {:?}",
                    denial.tier, denial.action, denial.at, times[index]
                ));
            }
        }
    }
    limit_listed(&mut found);
    violations.append(&mut found);
}

fn limit_listed(violations: &mut Vec<String>) {
    let count = violations.len();
    if count > MAX_LISTED {
        violations.truncate(MAX_LISTED);
        violations.push(format!("and {} more", count - MAX_LISTED));
    }
}

/// Returns the longest time in which requests of a class arrived and none was dispatched.
pub(super) fn longest_starvation_ms(class: &str, outcome: &Outcome) -> u64 {
    let mut events: Vec<(Timestamp, bool)> = Vec::new();
    for record in &outcome.records {
        if &*record.arrival.class == class {
            events.push((record.arrival.at, false));
        }
    }
    for dispatch in &outcome.dispatches {
        if &*dispatch.class == class {
            events.push((dispatch.at, true));
        }
    }
    events.sort();
    let mut starved_since: Option<Timestamp> = None;
    let mut longest = Duration::ZERO;
    for (at, dispatched) in events {
        if dispatched {
            longest = longest.max(
                starved_since
                    .take()
                    .map_or(Duration::ZERO, |start| at.saturating_sub(start)),
            );
        } else {
            starved_since.get_or_insert(at);
            longest = longest.max(at.saturating_sub(starved_since.unwrap_or(at)));
        }
    }
    millis(longest)
}
