//! Read endpoints: configuration, version history and status.

use std::collections::BTreeMap;

use actix_http::header::{self, HeaderValue};
use serde::Serialize;
use serde_json::json as object;
use verbenahinge_core::config_log::{VersionRow, version_key};
use verbenahinge_core::table::{TableOp, TableReply};
use verbenahinge_http::{HttpResponse, json};

use super::{error_response, last_segment};
use crate::event_log::LogEvent;
use crate::shell::Shell;

/// State of this VM and its view of its peers.
#[derive(Debug, Serialize)]
struct Status {
    vm: String,
    config_version: u64,
    ready: bool,
    in_flight: usize,
    /// Number of live VMs in the platform's list, or of known VMs if that is larger, including this
    /// one.
    vms: usize,
    /// Number of VMs whose configuration version is not older than this VM's, including this one.
    in_force_on: usize,
    /// Configuration version of each peer.
    peers: BTreeMap<String, u64>,
}

/// Answers `GET /v1/config`.
pub(super) fn config(shell: &Shell) -> HttpResponse {
    let row = shell.config();
    with_etag(json(200, &row.declaration), row.version)
}

fn with_etag(mut response: HttpResponse, version: u64) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        response.headers_mut().insert(header::ETAG, value);
    }
    response
}

/// Answers `GET /v1/status`.
pub(super) fn status(shell: &Shell) -> HttpResponse {
    let status = shell.with_node(|node| {
        let version = node.config().version;
        let peers: BTreeMap<String, u64> = node
            .membership()
            .peers()
            .iter()
            .map(|(vm, peer)| (format!("{vm:016x}"), peer.config_version))
            .collect();
        let listed = usize::try_from(node.membership().vm_count()).unwrap_or(usize::MAX);
        let up_to_date = peers.values().filter(|&&peer| peer >= version).count();
        Status {
            vm: format!("{:016x}", shell.vm()),
            config_version: version,
            ready: node.is_ready(),
            in_flight: node.in_flight(),
            vms: listed.max(peers.len() + 1),
            in_force_on: up_to_date + 1,
            peers,
        }
    });
    json(200, &status)
}

/// Answers `GET /v1/config/versions/N`.
pub(super) async fn version(shell: &Shell, path: &str) -> HttpResponse {
    let Ok(version) = last_segment(path).parse() else {
        return error_response(400, "a version is a number");
    };
    let reply = shell
        .platform
        .execute(TableOp::Read(version_key(version)))
        .await;
    let TableReply::Row(row) = reply else {
        return error_response(503, "the table service does not answer");
    };
    let Some(value) = row.value else {
        return error_response(404, "no such version");
    };
    match serde_json::from_str::<VersionRow>(&value) {
        Ok(row) => with_etag(json(200, &row.declaration), row.version),
        Err(error) => {
            LogEvent::ConfigUnreadable.log(&[("source", &row.key), ("cause", &error)]);
            error_response(500, "the version cannot be read")
        }
    }
}

/// Answers `GET /v1/history`.
pub(super) async fn history(shell: &Shell) -> HttpResponse {
    let Some(rows) = shell.platform.scan("config/version/").await else {
        return error_response(503, "the table service does not answer");
    };
    let mut versions = Vec::new();
    for row in rows {
        let Some(value) = row.value else {
            continue;
        };
        let version = match serde_json::from_str::<VersionRow>(&value) {
            Ok(version) => version,
            Err(error) => {
                LogEvent::ConfigUnreadable.log(&[("source", &row.key), ("cause", &error)]);
                continue;
            }
        };
        versions.push(object!({
            "version": version.version,
            "operator": version.operator,
            "patch_id": version.patch_id,
            "accepted_ms": version.accepted_ms,
        }));
    }
    json(200, &versions)
}
