//! Validates requests of callers and starts handling them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{EXPECT, HOST};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Uri};
use verbenahinge_core::gateway::{
    Account, Call, Feed, RETRY_AFTER_MIN, Route, Routing, combine_priorities, retry_after,
};
use verbenahinge_core::hash::{hash64, mix64};
use verbenahinge_platform::http_headers::{self, CallerHeaders};

use super::attempt::CallerRequest;
use super::caller_body::{self, BodyError};
use super::connection_activity::ConnectionActivity;
use super::reject_reason::RejectReason;
use super::request_handler::{RequestGuard, RequestHandler};
use super::response::{CallerResponse, announce_connection_close, error_response};
use super::{Gateway, watch};
use crate::body_memory::{BodyRefusal, BodyTerms};
use crate::event_log::LogEvent;

/// Delay used to compute `Retry-After` while the VM does not know the newest configuration.
const STARTING_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay used to compute `Retry-After` while the VM has no memory for a body.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Passes of the event loop in which a connection notices that its caller has left.
const LEAVE_PASSES: usize = 2;

/// Who opens the connections that a listener accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ingress {
    /// Callers.
    Callers,
    /// Other VMs, which hand over requests of their callers.
    Peers,
}

/// Handles one request of a connection.
pub(super) async fn handle_request(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    ingress: Ingress,
    activity: &ConnectionActivity,
) -> CallerResponse {
    let guard = RequestGuard::new(gateway);
    let caller = http_headers::decode_caller_request(request.headers());
    let mut response = tokio::select! {
        biased;
        response = respond(gateway, request, guard, ingress, activity) => response,
        () = gateway.end_notify.notified() => reject(gateway, &caller, &RejectReason::Ending),
    };
    if gateway.is_draining.get() {
        announce_connection_close(&mut response);
    }
    response
}

async fn respond(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
    guard: RequestGuard,
    ingress: Ingress,
    activity: &ConnectionActivity,
) -> CallerResponse {
    let read_at = gateway.now();
    let arrived = gateway.thread_holds.arrival_time(read_at);
    let (parts, body) = request.into_parts();
    let caller = http_headers::decode_caller_request(&parts.headers);
    let routing = gateway.state.borrow().routing().cloned();
    let limits = gateway.caller_limits.limits();
    let matched = if head_bytes(&parts) > limits.max_head_bytes {
        Err(RejectReason::HeadTooLarge)
    } else {
        routing
            .as_ref()
            .ok_or(RejectReason::Starting)
            .and_then(|routing| match_route(routing, &parts.uri, &parts.headers, &caller))
    };
    drop(routing);
    let matched = match matched {
        Ok(matched) => Ok(matched),
        Err(reason) => match_newest(gateway, &parts, &caller, reason).await,
    };
    let matched = match matched {
        Ok(matched) => matched,
        Err(reason) => {
            let is_held_back = parts.headers.contains_key(EXPECT);
            let is_read = !is_held_back && caller_body::discard_arrived(body).await;
            return reject_unread(gateway, &caller, &reason, activity, is_read);
        }
    };
    let timeout = caller.max_wait.unwrap_or(Duration::MAX);
    let timeout = timeout.min(matched.route.timeout);
    let body = match receive_body(gateway, &matched, body, timeout, activity).await {
        Ok(body) => body,
        Err(reason) => return reject_unread(gateway, &caller, &reason, activity, false),
    };
    if gateway.is_closing.get() {
        return reject(gateway, &caller, &RejectReason::Closing);
    }
    let (body, hold) = body;
    if arrived < read_at {
        // The connection notices meanwhile whether its caller left during the hold, and drops this
        // future.
        for _ in 0..LEAVE_PASSES {
            tokio::task::yield_now().await;
        }
    }
    let deadline = arrived + timeout;
    if deadline <= gateway.now() {
        return reject(gateway, &caller, &RejectReason::TooLate);
    }
    let call_id = gateway.new_call_id();
    let seed = hash64(caller.request_id.as_deref().unwrap_or("").as_bytes());
    let Some(service) = matched.route.pick_service(seed).cloned() else {
        return reject(gateway, &caller, &RejectReason::UnknownRoute);
    };
    let call = Call {
        id: call_id,
        fingerprint: fingerprint(&parts.uri, &matched, &body),
        prompt: caller.prompt,
        service,
        account: matched.account,
        route: matched.route,
        arrived,
        waiting_since: arrived,
        deadline,
        version: None,
    };
    let refusal = {
        let now = gateway.now();
        let mut state = gateway.state.borrow_mut();
        state.note_arrival(now, &call);
        state.crash_refusal(now, &call.suspects())
    };
    if let Some(refusal) = refusal {
        let caller = CallerHeaders {
            request_id: caller.request_id,
            ..CallerHeaders::default()
        };
        return reject(gateway, &caller, &RejectReason::Quarantined(refusal));
    }
    let request = CallerRequest {
        id: caller.request_id,
        method: parts.method,
        target: origin_form(&parts.uri),
        headers: parts.headers,
        body,
        _hold: hold,
        last_event: caller.last_event,
        resumed_request: caller.resumed_request,
        ingress,
    };
    let handler = RequestHandler::new(guard, call, request);
    // On the heap, so that a connection whose body is being received takes little memory.
    Box::pin(handler.serve()).await
}

/// Receives the body of a request whose route is known, within its timeout.
async fn receive_body(
    gateway: &Rc<Gateway>,
    matched: &RouteMatch,
    body: Incoming,
    timeout: Duration,
    activity: &ConnectionActivity,
) -> Result<caller_body::ReceivedBody, RejectReason> {
    let account = matched.account.as_ref();
    let owner = match account {
        Some(account) => hash64(account.name.as_bytes()),
        None => hash64(activity.address().to_string().as_bytes()),
    };
    let account_priority = account.and_then(|account| account.priority);
    let terms = BodyTerms {
        owner,
        priority: combine_priorities(account_priority, matched.route.priority),
        length: caller_body::announced_length(&body),
        max_bytes: gateway.caller_limits.limits().max_body_bytes,
    };
    activity.set_receiving(true);
    let received = caller_body::receive(gateway, body, terms);
    let received = verbenahinge_http::timeout(timeout, received).await;
    activity.set_receiving(false);
    match received {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::Refused(BodyRefusal::TooLarge))) => Err(RejectReason::TooLarge),
        Ok(Err(BodyError::Refused(BodyRefusal::NoRoom))) => Err(RejectReason::NoRoom),
        Ok(Err(BodyError::Unreadable)) => Err(RejectReason::UnreadableBody),
        Ok(Err(BodyError::TooSlow)) | Err(_) => Err(RejectReason::SlowBody),
    }
}

/// Rejects a request of whose body a part may not have been read.
fn reject_unread(
    gateway: &Gateway,
    caller: &CallerHeaders,
    reason: &RejectReason,
    activity: &ConnectionActivity,
    is_read: bool,
) -> CallerResponse {
    let mut response = reject(gateway, caller, reason);
    if !is_read {
        activity.leave_body();
        announce_connection_close(&mut response);
    }
    response
}

/// Returns the size of a request head in its usual form.
fn head_bytes(parts: &Parts) -> usize {
    /// Characters of a request line beside the method and the target.
    const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n".len();
    /// Characters of a header line beside the name and the value.
    const HEADER_LINE_BYTES: usize = ": \r\n".len();
    let target = parts.uri.path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    let mut bytes = parts.method.as_str().len() + target_bytes + REQUEST_LINE_BYTES;
    for (name, value) in &parts.headers {
        bytes += name.as_str().len() + value.len() + HEADER_LINE_BYTES;
    }
    bytes + "\r\n".len()
}

/// Returns only the path and query, as backend servers expect them.
fn origin_form(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(Uri::default, |target| Uri::from(target.clone()))
}

/// Route of a request and the client account that its API key belongs to.
struct RouteMatch {
    route: Arc<Route>,
    account: Option<Arc<Account>>,
}

/// Finds the route of a request and, unless the route is public, its client account.
fn match_route(
    routing: &Routing,
    uri: &Uri,
    headers: &HeaderMap,
    caller: &CallerHeaders,
) -> Result<RouteMatch, RejectReason> {
    let host = uri
        .authority()
        .map(hyper::http::uri::Authority::as_str)
        .or_else(|| headers.get(HOST).and_then(|host| host.to_str().ok()));
    let route = host
        .and_then(|host| routing.find_route(host, uri.path()))
        .ok_or(RejectReason::UnknownRoute)?;
    let mut account = None;
    if !route.public && routing.has_accounts() {
        let key = caller.api_key.as_deref().ok_or(RejectReason::UnknownKey)?;
        let found = routing.find_account(key).ok_or(RejectReason::UnknownKey)?;
        account = Some(found.clone());
    }
    Ok(RouteMatch {
        route: route.clone(),
        account,
    })
}

/// Finds the route and account of a request that did not match when its head was read.
///
/// Callers do not repeat a request after a 404 or 401, so neither is given for a configuration that this
/// VM knows to be outdated, or that may have been for longer than a change takes to come into force.
async fn match_newest(
    gateway: &Rc<Gateway>,
    parts: &Parts,
    caller: &CallerHeaders,
    reason: RejectReason,
) -> Result<RouteMatch, RejectReason> {
    if matches!(reason, RejectReason::HeadTooLarge) {
        return Err(reason);
    }
    let match_in_force = || {
        let routing = gateway.state.borrow().routing().cloned();
        let routing = routing.ok_or(RejectReason::Starting)?;
        match_route(&routing, &parts.uri, &parts.headers, caller)
    };
    let is_older_than =
        |max_age: Duration| watch::config_age(gateway).is_none_or(|age| age > max_age);
    let max_age = gateway.settings.borrow().bounds.config_apply;
    let mut result = match_in_force();
    let has_config = !matches!(result, Err(RejectReason::Starting));
    // A flood of unknown requests costs the store two calls in this time.
    if result.is_err() && has_config && is_older_than(max_age / 2) {
        watch::confirm(gateway, Feed::Config).await;
        result = match_in_force();
    }
    let is_outdated = watch::is_config_outdated(gateway) || is_older_than(max_age);
    if result.is_err() && has_config && is_outdated {
        return Err(RejectReason::Outdated);
    }
    result
}

/// Returns a hash of the path, the client account and the body of a request.
fn fingerprint(uri: &Uri, matched: &RouteMatch, body: &Bytes) -> u64 {
    let account = matched
        .account
        .as_ref()
        .map_or("", |account| &*account.name);
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let caller = mix64(hash64(account.as_bytes()), hash64(target.as_bytes()));
    mix64(caller, hash64(body))
}

fn reject(gateway: &Gateway, caller: &CallerHeaders, reason: &RejectReason) -> CallerResponse {
    let status = reason.status();
    let id = caller.request_id.as_deref();
    let config_age = watch::config_age(gateway);
    let config_age = config_age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
    LogEvent::RequestTurnedAway.log(&[
        ("request_id", &id.unwrap_or("-")),
        ("status", &status.as_u16()),
        ("reason", &reason.message()),
        ("config", &gateway.state.borrow().config_version()),
        ("config_age_ms", &config_age),
    ]);
    gateway.metrics.count_rejected(status.as_u16());
    let delay = match reason {
        RejectReason::Starting | RejectReason::Outdated => {
            let time_left = caller.max_wait.unwrap_or(STARTING_RETRY_DELAY);
            let seed = hash64(id.unwrap_or("").as_bytes());
            Some(retry_after(STARTING_RETRY_DELAY, time_left, seed))
        }
        RejectReason::NoRoom => {
            let time_left = caller.max_wait.unwrap_or(NO_ROOM_RETRY_DELAY);
            let seed = hash64(id.unwrap_or("").as_bytes());
            Some(retry_after(NO_ROOM_RETRY_DELAY, time_left, seed))
        }
        RejectReason::Closing | RejectReason::TooLate => Some(RETRY_AFTER_MIN),
        RejectReason::Quarantined(refusal) => Some(refusal.time_left),
        _ => None,
    };
    error_response(status, id, delay, reason.message())
}
