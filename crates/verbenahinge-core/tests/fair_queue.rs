//! Weighted fair queueing among the client accounts of one tier.

use std::sync::Arc;

use verbenahinge_core::AccountName;
use verbenahinge_core::admission::FairQueue;

fn name(text: &str) -> AccountName {
    Arc::from(text)
}

/// Dispatches up to `count` requests, each at a cost of 10, and returns them in dispatch order.
fn serve(queue: &mut FairQueue, weights: &[(&AccountName, u32)], count: usize) -> Vec<u128> {
    let mut served = Vec::new();
    for _ in 0..count {
        let Some(request) = queue.pop() else {
            break;
        };
        let (account, weight) = weights[usize::try_from(request / 100).unwrap()];
        queue.charge(account, weight, 10);
        served.push(request);
    }
    served
}

#[test]
fn flooding_delays_only_itself() {
    let (flooding, quiet) = (name("flooder"), name("quiet"));
    let mut queue = FairQueue::new();
    for request in 0..50 {
        queue.push_back(&flooding, 1, request);
    }
    for request in 100..103 {
        queue.push_back(&quiet, 1, request);
    }
    let served = serve(&mut queue, &[(&flooding, 1), (&quiet, 1)], 6);
    assert_eq!(served, [0, 100, 1, 101, 2, 102]);
}

#[test]
fn service_follows_weight() {
    let (large, small) = (name("large"), name("small"));
    let mut queue = FairQueue::new();
    for request in 0..30 {
        queue.push_back(&large, 3, request);
        queue.push_back(&small, 1, 100 + request);
    }
    let served = serve(&mut queue, &[(&large, 3), (&small, 1)], 20);
    let from_large = served.iter().filter(|&&request| request < 100).count();
    assert_eq!(from_large, 15);
}

#[test]
fn idleness_earns_no_credit() {
    let (busy, idle) = (name("busy"), name("idle"));
    let mut queue = FairQueue::new();
    for request in 0..20 {
        queue.push_back(&busy, 1, request);
    }
    serve(&mut queue, &[(&busy, 1), (&idle, 1)], 10);
    for request in 100..120 {
        queue.push_back(&idle, 1, request);
    }
    let served = serve(&mut queue, &[(&busy, 1), (&idle, 1)], 10);
    let from_idle = served.iter().filter(|&&request| request >= 100).count();
    assert_eq!(from_idle, 5);
}

#[test]
fn push_front_comes_first() {
    let account = name("tuul");
    let mut queue = FairQueue::new();
    queue.push_back(&account, 1, 1);
    queue.push_front(&account, 1, 2);
    assert_eq!(
        (queue.pop(), queue.pop(), queue.pop()),
        (Some(2), Some(1), None)
    );
}

#[test]
fn position_reflects_fair_order() {
    let (flooding, quiet) = (name("flooder"), name("quiet"));
    let mut queue = FairQueue::new();
    for request in 0..50 {
        queue.push_back(&flooding, 1, request);
    }
    assert_eq!(
        (queue.position(&flooding, 1), queue.position(&quiet, 1)),
        (50, 1)
    );
}
