//! Requests that reach a VM before an answer that changes where they may be sent.

use std::time::Duration;

use futures_util::future::{self, join_all};
use verbenahinge_testkit::{CallerConnection, GatewayFleet, GatewayRequest};

/// Time for which server 0 works on the first request.
pub(crate) const WORK_TIME: Duration = Duration::from_millis(300);

/// Time from the arrival of the first request at server 0 to the suspension of the VM.
const SUSPENDED_AFTER: Duration = Duration::from_millis(270);

/// The answer falls into the suspension, which is too short to count as a hold: after a hold, a VM reads
/// everything that has arrived before it chooses a server.
const SUSPENDED_TIME: Duration = Duration::from_millis(75);

/// Runs a request at server 0 of VM 0, and has others reach the VM while it is suspended, before the answer
/// to the first one; returns the status of the first request and those of the others.
pub(crate) async fn send_late(
    fleet: &mut GatewayFleet,
    late_requests: usize,
    path: &str,
) -> (u16, Vec<u16>) {
    let address = fleet.listen_address(0);
    let mut callers = Vec::new();
    for _ in 0..late_requests {
        let opened = CallerConnection::open(address).await;
        callers.push(opened.expect("a connection"));
    }
    let first = actix_rt::spawn(async move {
        let mut caller = CallerConnection::open(address).await.expect("a connection");
        let request = GatewayRequest::new("first", "/single/x").prompt(1, 2);
        caller.call(&request).await.expect("a response").status
    });
    while fleet.arrivals(0).await.is_empty() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    actix_rt::time::sleep(SUSPENDED_AFTER).await;
    fleet.vm_process(0).suspend_fully();
    let mut late = Vec::new();
    for (count, caller) in callers.iter_mut().enumerate() {
        late.push(async move {
            let request = GatewayRequest::new(format!("late-{count}"), path);
            caller.call(&request).await.expect("a response").status
        });
    }
    let resume = async {
        actix_rt::time::sleep(SUSPENDED_TIME).await;
        fleet.vm_process(0).resume();
    };
    let (statuses, ()) = future::join(join_all(late), resume).await;
    (first.await.expect("the first request"), statuses)
}
