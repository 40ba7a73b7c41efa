//! Servers of two software versions, and callers that come back for the rest of a broken stream at another
//! VM.

use verbenahinge_testkit::{CallerConnection, GatewayRequest, GatewayResponse};

use crate::callers::{CALL_TIMEOUT, CallerContext, DEADLINE_MS, Exchange};
use crate::fleet::SERVER_COUNT;

/// What a caller got of one stream in two tries.
#[derive(Debug)]
pub(crate) struct ResumedStream {
    broken: GatewayResponse,
    rest: GatewayResponse,
}

/// Version of the software of a server; the first half of the servers has another one than the rest.
pub(crate) const fn software_of(server: usize) -> &'static str {
    if server < SERVER_COUNT / 2 {
        "v1"
    } else {
        "v2"
    }
}

fn software_by_name(server: &str) -> &'static str {
    let index = server.trim_start_matches("server-").parse();
    software_of(index.expect("the name of a server ends with its index"))
}

/// Whether the caller of an exchange may come back for the rest of a stream.
fn is_broken_stream(exchange: &Exchange) -> bool {
    let response = exchange.result.as_ref();
    exchange.path == "/stream/x"
        && response.is_ok_and(|response| {
            response.status == 200 && !response.is_complete && !response.event_ids().is_empty()
        })
}

/// Asks the next VM for the rest of a stream if it broke.
pub(crate) async fn resume_broken(
    context: &CallerContext,
    exchange: &Exchange,
    request: GatewayRequest,
) {
    let (true, Ok(broken)) = (is_broken_stream(exchange), &exchange.result) else {
        return;
    };
    let last = broken.event_ids().last().copied().unwrap_or(0);
    let id = format!("{}-rest", exchange.id);
    let request = request.id(&id).last_event_id(last).resumes(&exchange.id);
    let vm = (exchange.vm + 1) % context.vm_addresses.len();
    let call = async {
        let mut caller = CallerConnection::open(context.vm_addresses[vm])
            .await
            .ok()?;
        caller.call(&request.deadline_ms(DEADLINE_MS)).await.ok()
    };
    let rest = actix_rt::time::timeout(CALL_TIMEOUT, call).await;
    if let Ok(Some(rest)) = rest {
        let stream = ResumedStream {
            broken: broken.clone(),
            rest,
        };
        context.resumed_streams.borrow_mut().push(stream);
    }
}

/// Returns how a stream violates a guarantee, by what its caller got in all tries.
fn find_stream_violation(tries: &[&GatewayResponse]) -> Option<&'static str> {
    let mut software = None;
    let mut last = 0;
    for response in tries.iter().filter(|response| response.status == 200) {
        for id in response.event_ids() {
            if id != last + 1 {
                return Some("an event of a stream is missing or comes twice");
            }
            last = id;
        }
        for server in response.event_servers() {
            let version = software_by_name(server);
            if *software.get_or_insert(version) != version {
                return Some("a stream holds events of two versions");
            }
        }
    }
    None
}

/// Returns the violations of guarantees to streams.
pub(crate) fn check_streams(context: &CallerContext) -> Vec<String> {
    let mut violations = Vec::new();
    for exchange in context.exchanges.borrow().iter() {
        let response = exchange.result.as_ref();
        let violation = response.map_or(None, |response| find_stream_violation(&[response]));
        violations.extend(violation.map(|violation| format!("{violation}: {exchange:?}")));
    }
    let resumed = context.resumed_streams.borrow();
    for stream in resumed.iter() {
        let violation = find_stream_violation(&[&stream.broken, &stream.rest]);
        violations.extend(violation.map(|violation| format!("{violation}: {stream:?}")));
    }
    let continued = resumed.iter().filter(|stream| stream.rest.status == 200);
    println!(
        "{} of {} broken streams went on",
        continued.count(),
        resumed.len()
    );
    violations
}
