//! Sends calls to plain services.

use std::rc::Rc;

use actix_http::StatusCode;
use http_body_util::Full;
use hyper::{Request, header};
use verbenahinge_core::{Event, FailureKind};
use verbenahinge_http::HttpClient;

use super::{AttemptSpec, classify_build_error, classify_error};
use crate::api_error::{REQUEST_ID_HEADER, format_request_id};
use crate::shell::{ServiceAnswer, ServiceCall, Shell};

/// Maximum body size of an answer of a plain service.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Runs one attempt of a call and reports its result to the core.
pub(crate) async fn run_service_call(shell: Rc<Shell>, spec: AttemptSpec, call: Rc<ServiceCall>) {
    let request = spec.dispatch.request;
    let attempt = spec.dispatch.attempt;
    match exchange(&shell, &spec, &call).await {
        Ok(answer) => {
            shell.set_service_answer(request, answer);
            let outcome = shell.encoded_outcome(request);
            shell.handle(Event::Finished {
                request,
                attempt,
                outcome,
            });
        }
        Err(kind) => shell.handle(Event::Failed {
            request,
            attempt,
            kind,
        }),
    }
}

async fn exchange(
    shell: &Shell,
    spec: &AttemptSpec,
    call: &ServiceCall,
) -> Result<ServiceAnswer, FailureKind> {
    let url = format!("http://{}{}", spec.address, call.path_and_query);
    let mut request = Request::builder().method(call.method.as_str()).uri(url);
    for (name, value) in &call.headers {
        request = request.header(name.as_str(), value.as_bytes());
    }
    let request = request
        .header(REQUEST_ID_HEADER, format_request_id(spec.dispatch.request))
        .body(Full::new(call.body.clone()))
        .map_err(|error| classify_build_error(&error))?;
    let sent = shell.backend.client.send(request).await;
    let response = sent.map_err(|error| classify_error(&error))?;
    if response.status() == hyper::StatusCode::SERVICE_UNAVAILABLE {
        return Err(FailureKind::Rejected);
    }
    let response = HttpClient::read_whole(response, MAX_ANSWER_BYTES)
        .await
        .map_err(|error| {
            log::debug!("answer of the service at {}: {error}", spec.address);
            classify_error(&error)
        })?;
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(ToOwned::to_owned);
    let status = StatusCode::from_u16(response.status().as_u16());
    Ok(ServiceAnswer {
        status: status.map_err(|_| FailureKind::ServerError)?,
        content_type,
        body: response.into_body(),
    })
}
