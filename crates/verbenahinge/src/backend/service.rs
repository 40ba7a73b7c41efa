//! Sends calls to plain services.

use std::rc::Rc;

use actix_http::header;
use verbenahinge_core::{Event, FailureKind};

use super::{AttemptSpec, classify_send_error};
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
    let client = &shell.backend.client;
    let mut request = client.request(call.method.clone(), url).no_decompress();
    for (name, value) in &call.headers {
        request = request.append_header((name, value));
    }
    request = request.insert_header((REQUEST_ID_HEADER, format_request_id(spec.dispatch.request)));
    let sent = request.send_body(call.body.clone()).await;
    let mut response = sent.map_err(|error| classify_send_error(&error))?;
    let status = response.status();
    if status.as_u16() == 503 {
        return Err(FailureKind::Rejected);
    }
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .map(ToOwned::to_owned);
    let body = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|_| FailureKind::ConnectionLost)?;
    Ok(ServiceAnswer {
        status,
        content_type,
        body,
    })
}
