//! Emulator of a plain HTTP service that records its calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json as object;
use tokio::net::TcpListener;
use verbenahinge_http::{
    HttpRequest, HttpResponse, Server, empty, header_text, json, read_body, read_json,
};

const MAX_BODY_BYTES: usize = 8 << 20;

/// Faults of a plain HTTP service, set by `POST /faults`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Calls take effect but receive no response.
    pub lose_replies: bool,
    /// Time to process a call, in milliseconds.
    pub delay_ms: u64,
}

/// Record of a call that took effect.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Request ID that the router sent.
    pub request: String,
    /// Idempotency key of the request, or an empty string.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path of the request target.
    pub path: String,
}

struct ServiceState {
    faults: Cell<ServiceFaults>,
    incarnation: u64,
    running: Cell<u32>,
    records: RefCell<Vec<CallRecord>>,
}

/// Serves requests until the future is dropped.
pub async fn run(listener: TcpListener, faults: ServiceFaults) {
    let state = Rc::new(ServiceState {
        faults: Cell::new(faults),
        incarnation: u64::from(std::process::id()),
        running: Cell::new(0),
        records: RefCell::default(),
    });
    let handler = move |request| handle(Rc::clone(&state), request);
    Server::new().run(listener, handler).await;
}

async fn handle(state: Rc<ServiceState>, mut request: HttpRequest) -> HttpResponse {
    match (request.method().as_str(), request.path()) {
        ("GET", "/load") => json(
            200,
            &object!({"incarnation": state.incarnation, "running": state.running.get(), "waiting": 0}),
        ),
        ("GET", "/ran") => json(200, &*state.records.borrow()),
        ("POST", "/faults") => match read_json(&mut request, MAX_BODY_BYTES).await {
            Ok(faults) => {
                state.faults.set(faults);
                empty(204)
            }
            Err(_) => empty(400),
        },
        _ => handle_call(&state, request).await,
    }
}

async fn handle_call(state: &ServiceState, mut request: HttpRequest) -> HttpResponse {
    let header = |name: &str| header_text(&request, name).unwrap_or_default().to_owned();
    let record = CallRecord {
        request: header("x-request-id"),
        key: header("idempotency-key"),
        method: request.method().to_string(),
        path: request.path().to_owned(),
    };
    let Ok(body) = read_body(&mut request, MAX_BODY_BYTES).await else {
        return empty(400);
    };
    state.running.set(state.running.get() + 1);
    state.records.borrow_mut().push(record.clone());
    let call_number = state.records.borrow().len();
    let faults = state.faults.get();
    if faults.lose_replies {
        std::future::pending::<()>().await;
    }
    actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    state.running.set(state.running.get() - 1);
    json(
        200,
        &object!({
            "call": call_number,
            "method": record.method,
            "path": record.path,
            "body": String::from_utf8_lossy(&body),
        }),
    )
}
