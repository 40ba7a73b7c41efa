//! JSON patches to a given version of the configuration.

use std::rc::Rc;
use std::sync::Arc;

use serde_json::json as object;
use verbenahinge_core::config_log::{PatchRejection, PatchSubmission};
use verbenahinge_core::declaration::DeclarationError;
use verbenahinge_core::{ConfigVersion, OperatorName};
use verbenahinge_http::{HttpRequest, HttpResponse, header_text, json, read_json};

use super::error_response;
use crate::shell::Shell;

/// Size limit of a patch.
const MAX_PATCH_BYTES: usize = 16 << 20;

/// Answers `PATCH /v1/config`.
pub(super) async fn handle(
    shell: &Rc<Shell>,
    operator: OperatorName,
    mut request: HttpRequest,
) -> HttpResponse {
    let Some(base) = header_text(&request, "if-match").and_then(parse_etag) else {
        return error_response(
            428,
            "If-Match must name the version that the patch is against",
        );
    };
    let Some(patch_id) = header_text(&request, "idempotency-key").map(Arc::from) else {
        return error_response(428, "Idempotency-Key must name the patch");
    };
    let patch = match read_json(&mut request, MAX_PATCH_BYTES).await {
        Ok(patch) => patch,
        Err(error) => return error_response(400, &error.to_string()),
    };
    let submission = PatchSubmission {
        patch_id,
        base,
        operator,
        patch,
    };
    match shell.submit_patch(submission).await {
        Ok(version) => json(200, &object!({"version": version})),
        Err(rejection) => rejection_response(&rejection),
    }
}

fn parse_etag(text: &str) -> Option<ConfigVersion> {
    text.trim().trim_matches('"').parse().ok()
}

fn rejection_response(rejection: &PatchRejection) -> HttpResponse {
    match rejection {
        PatchRejection::Invalid(DeclarationError::Invalid(problems)) => json(
            422,
            &object!({"error": "the result is not valid", "problems": problems}),
        ),
        PatchRejection::Invalid(error) => error_response(422, &error.to_string()),
        PatchRejection::Conflict { head, .. } => json(
            412,
            &object!({"error": rejection.to_string(), "head": head}),
        ),
        PatchRejection::Unknown => error_response(503, &rejection.to_string()),
    }
}
