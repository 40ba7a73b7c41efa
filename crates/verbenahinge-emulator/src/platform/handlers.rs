//! HTTP API of the platform.

use std::rc::Rc;
use std::time::Duration;

use serde_json::json as object;
use verbenahinge_http::{HttpRequest, HttpResponse, empty, json, read_body, read_json};

use super::PlatformState;
use super::faults::StoreMode;
use super::table::{KeyValue, TableTransaction};

const MAX_BODY_BYTES: usize = 64 << 20;

pub(super) async fn handle(state: Rc<PlatformState>, mut request: HttpRequest) -> HttpResponse {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    match (method.as_str(), path.as_str()) {
        ("POST", "/faults") => match read_json(&mut request, MAX_BODY_BYTES).await {
            Ok(faults) => {
                state.faults.set(faults);
                empty(204)
            }
            Err(_) => empty(400),
        },
        ("GET", "/counts") => json(
            200,
            &object!({"writes": state.write_count.get(), "reads": state.read_count.get()}),
        ),
        ("PUT", "/vms") => match read_json(&mut request, MAX_BODY_BYTES).await {
            Ok(vms) => {
                state.vms.borrow_mut().set(vms);
                empty(204)
            }
            Err(_) => empty(400),
        },
        _ => handle_with_faults(&state, &method, &path, request).await,
    }
}

/// Handles a request that is subject to the injected faults.
async fn handle_with_faults(
    state: &PlatformState,
    method: &str,
    path: &str,
    request: HttpRequest,
) -> HttpResponse {
    let faults = state.faults.get();
    actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    match faults.store {
        StoreMode::Down => return empty(503),
        StoreMode::Silent => std::future::pending::<()>().await,
        StoreMode::Up | StoreMode::LoseReplies => {}
    }
    let is_write = method != "GET";
    let response = execute(state, method, path, request).await;
    if faults.store == StoreMode::LoseReplies || (is_write && consume_lost_write(state)) {
        std::future::pending::<()>().await;
    }
    response
}

/// Returns whether the response to a write is to be dropped, and decrements the counter if so.
fn consume_lost_write(state: &PlatformState) -> bool {
    let mut faults = state.faults.get();
    if faults.lose_next_writes == 0 {
        return false;
    }
    faults.lose_next_writes -= 1;
    state.faults.set(faults);
    true
}

async fn execute(
    state: &PlatformState,
    method: &str,
    path: &str,
    mut request: HttpRequest,
) -> HttpResponse {
    match (method, path) {
        ("POST", "/table/transactions") => {
            state.write_count.set(state.write_count.get() + 1);
            match read_json::<TableTransaction>(&mut request, MAX_BODY_BYTES).await {
                Ok(transaction) => json(200, &state.table.borrow_mut().commit(&transaction)),
                Err(_) => empty(400),
            }
        }
        ("GET", "/vms") => {
            let min_age = Duration::from_millis(state.faults.get().list_lag_ms);
            json(200, &state.vms.borrow().snapshot(min_age))
        }
        ("GET", path) => {
            state.read_count.set(state.read_count.get() + 1);
            execute_read(state, path)
        }
        ("PUT", path) => {
            let Ok(body) = read_body(&mut request, MAX_BODY_BYTES).await else {
                return empty(400);
            };
            let Some(name) = path.strip_prefix("/objects/") else {
                return empty(404);
            };
            state.objects.borrow_mut().put(name, body);
            empty(204)
        }
        _ => empty(404),
    }
}

fn execute_read(state: &PlatformState, path: &str) -> HttpResponse {
    if let Some(key) = path.strip_prefix("/table/rows/") {
        let value = state.table.borrow().read(key);
        let row = KeyValue {
            key: key.to_owned(),
            value,
        };
        return json(200, &row);
    }
    if let Some(prefix) = path.strip_prefix("/table/scan/") {
        return json(200, &state.table.borrow().scan(prefix));
    }
    if let Some(name) = path.strip_prefix("/objects/") {
        return match state.objects.borrow().get(name) {
            Some(body) => json(200, &String::from_utf8_lossy(&body)),
            None => empty(404),
        };
    }
    empty(404)
}
