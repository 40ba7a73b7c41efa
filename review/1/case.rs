//! All API keys of the only tenant are taken away, one after the other; then requests with a key that was
//! taken away, with a key that no config ever held and without a key are sent.

#[path = "../kit.rs"]
mod kit;

use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use kit::{Folder, Gateway, Outcome, Plan, Record, Store};

const FIRST_KEY: &str = "n2ctnfzs989anu6wsjnb";
const SECOND_KEY: &str = "anfqasnmgkcuyj8pjbvk";
const FOREIGN_KEY: &str = "k0neverheldbyanyconf";

/// `revoke` on tuul-depbot: count = 2, gap_s = 1.5.
const GAP: Duration = Duration::from_millis(1500);

/// `config_apply_ms` is 2,000; `stable_window_ms`, 3,000, is waited for besides.
const SETTLE: Duration = Duration::from_millis(5000);

fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-forge-ack","hostname":"ficu95.example","prefix":"/puxa403/","route_type":"unsafe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":1,"public":false,"session_affinity":false,"stream_resume":false}}],"services":[{{"name":"wuno96b","health_check_path":"/healthz","max_connections":110,"protocol":"h1","tls_enabled":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

/// Sends a request on a new connection; returns the status.
fn send(record: &Record, gateway: &Gateway, id: &str, key: Option<&str>) -> Result<u16, String> {
    let credential = key.map_or_else(String::new, |key| format!("X-Credential: {key}\r\n"));
    let request = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n{credential}Content-Length: 5\r\n\r\nhello"
    );
    record.note(&format!("sent {id} key {}", key.unwrap_or("-")));
    let answer = kit::exchange(gateway.frontend, request.as_bytes(), Duration::from_secs(3))
        .map_err(|error| format!("request {id}: {error}"))?;
    let status = answer.status();
    record.note(&format!("answered {id} {status}"));
    Ok(status)
}

fn case(record: &Record, folder: &Folder) -> Result<Outcome, String> {
    let text = |error: std::io::Error| error.to_string();
    let plan = Plan::new(2).map_err(text)?;
    let store = Store::start(plan.store).map_err(text)?;
    let worker = kit::free_address().map_err(text)?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let (worker_runs, worker_record) = (Arc::clone(&runs), record.clone());
    kit::serve(worker, move |request, reader| {
        let id = request.header("x-request-id").unwrap_or("-").to_owned();
        let tenant = request.header("x-tenant").unwrap_or("-").to_owned();
        worker_record.note(&format!("run {id} tenant {tenant}"));
        worker_runs.lock().unwrap().push(id.clone());
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
        ];
        kit::respond(&mut reader.stream, "200 OK", &headers, b"done")?;
        Ok(true)
    })
    .map_err(text)?;
    let entry = format!(
        r#"{{"service":"wuno96b","address":"{worker}","zone":"bayangol","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":4}}"#
    );
    store.put("servers", "i-7f3a91c2", &entry);
    store.put("op", "config", &config(7, &[FIRST_KEY, SECOND_KEY]));
    record.note("config 7 acknowledged: two keys");

    let mut gateways = Vec::new();
    for (vm, zone) in [(1, "bayangol"), (2, "songino")] {
        gateways.push(Gateway::start(&plan, vm, zone, &folder.0).map_err(text)?);
    }
    for gateway in &gateways {
        gateway.wait_ready(Duration::from_secs(20)).map_err(text)?;
    }
    sleep(Duration::from_secs(3));
    for (vm, gateway) in gateways.iter().enumerate() {
        if send(record, gateway, &format!("before-{vm}"), Some(SECOND_KEY))? != 200 {
            return Err("a request with a key in force was not served".to_owned());
        }
        if send(record, gateway, &format!("foreign-before-{vm}"), Some(FOREIGN_KEY))? != 401 {
            return Err("a request with an unknown key was served before the disruption".to_owned());
        }
    }

    let is_revoked = kit::has_trouble();
    if is_revoked {
        store.put("op", "config", &config(9, &[SECOND_KEY]));
        record.note("config 9 acknowledged: the first key is taken away");
        sleep(GAP);
        store.put("op", "config", &config(12, &[]));
        record.note("config 12 acknowledged: the second key is taken away");
    }
    sleep(SETTLE);

    for (vm, gateway) in gateways.iter().enumerate() {
        send(record, gateway, &format!("dropped-{vm}"), Some(SECOND_KEY))?;
        send(record, gateway, &format!("foreign-{vm}"), Some(FOREIGN_KEY))?;
        send(record, gateway, &format!("keyless-{vm}"), None)?;
    }
    let runs = runs.lock().unwrap();
    let forbidden = runs.iter().filter(|id| {
        let is_dropped = is_revoked && id.starts_with("dropped");
        is_dropped || id.starts_with("foreign") || id.starts_with("keyless")
    });
    let forbidden: Vec<_> = forbidden.cloned().collect();
    record.note(&format!("run without a key in force: {}", forbidden.join(" ")));
    Ok(if forbidden.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}

fn main() {
    kit::run_case(case);
}
