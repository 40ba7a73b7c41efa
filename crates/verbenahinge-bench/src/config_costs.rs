//! Time that a VM takes for each step between a response of the store and a configuration in force, and
//! for changes of the table of backend servers.
//!
//! The results depend on the machine; they are for `docs/CAPACITY.md`, and no test sets bounds on
//! them.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use verbenahinge_core::gateway::{
    Bounds, GatewayState, ServerEntry, ServerState, StoreGap, StoreRow, StoreVersion, TableReplica,
};
use verbenahinge_platform::routing::RoutingDecoder;
use verbenahinge_platform::store::{CONFIG_KEY, OPERATOR_TABLE, RowJson, RowsJson, SERVER_TABLE};
use verbenahinge_platform::{registry, routing};

/// Number of routes for each client account of a generated configuration.
const ROUTES_PER_ACCOUNT: usize = 4;

/// Number of routes for each service of a generated configuration.
const ROUTES_PER_SERVICE: usize = 50;

/// Number of hosts of a generated configuration.
const HOST_COUNT: usize = 7;

/// Minimum total time of one measurement.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(200);

/// Mean time of each step with one configuration, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConfigCosts {
    /// Size of the configuration in bytes.
    pub bytes: usize,
    /// Time to parse the store's response.
    pub response_ns: u64,
    /// Time to decode the value of the row from base64.
    pub base64_ns: u64,
    /// Time to apply the row to the replica.
    pub replica_ns: u64,
    /// Time to decode the configuration and build its routes.
    pub routing_ns: u64,
    /// Time to find the parts of the configuration, the longest work without a pause.
    pub scan_ns: u64,
    /// Time to decode the first parts, up to a pause.
    pub step_ns: u64,
    /// Time to bring the configuration into force and drop the one before.
    pub adopt_ns: u64,
    /// Time to copy the table for another VM.
    pub copy_ns: u64,
}

/// Mean time of each step with one table of backend servers, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerTableCosts {
    /// Size of the store's response with the whole table, in bytes.
    pub bytes: usize,
    /// Time to parse the store's response and decode the values from base64.
    pub response_ns: u64,
    /// Time to apply the whole table to an empty replica.
    pub replica_ns: u64,
    /// Time to decode all entries and add the servers.
    pub add_ns: u64,
    /// Time to apply one changed entry.
    pub update_ns: u64,
    /// Time to create a full digest in which one in ten servers is used.
    pub digest_ns: u64,
    /// Time to drop expired state.
    pub tick_ns: u64,
}

/// Texts that a configuration is built from.
#[derive(Deserialize)]
struct ConfigTexts {
    config: String,
    route: String,
    service: String,
    account: String,
}

/// Generates a configuration in the format of the platform.
///
/// # Panics
///
/// Panics if the file with its texts is not readable.
#[must_use]
pub fn generate_config(version: u64, routes: usize) -> String {
    let texts: ConfigTexts = serde_json::from_str(include_str!(
        "../../../platform/tests/data/large-config.json"
    ))
    .expect("the file has a text for each part");
    let join = |text: &str, count: usize| {
        let mut parts = Vec::new();
        for index in 0..count {
            let part = text
                .replace("@number", &format!("{index:06x}"))
                .replace("@host", &(index % HOST_COUNT).to_string())
                .replace("@service", &format!("{:06x}", index / ROUTES_PER_SERVICE));
            parts.push(part);
        }
        parts.join(", ")
    };
    texts
        .config
        .replace("@version", &version.to_string())
        .replace("@routes", &join(&texts.route, routes))
        .replace(
            "@services",
            &join(&texts.service, routes.div_ceil(ROUTES_PER_SERVICE)),
        )
        .replace(
            "@accounts",
            &join(&texts.account, routes.div_ceil(ROUTES_PER_ACCOUNT)),
        )
}

/// Returns the mean time of a step; `prepare` creates its input outside of the measured time.
fn time_step<I, O>(mut prepare: impl FnMut() -> I, mut step: impl FnMut(I) -> O) -> u64 {
    let mut total = Duration::ZERO;
    let mut count = 0;
    while total < MIN_MEASURED_TIME {
        let input = prepare();
        let started = Instant::now();
        let output = step(input);
        total += started.elapsed();
        drop(black_box(output));
        count += 1;
    }
    u64::try_from(total.as_nanos()).unwrap_or(u64::MAX) / count
}

fn row_json(table: &str, key: &str, value: &[u8]) -> RowJson {
    RowJson {
        table: table.to_owned(),
        key: key.to_owned(),
        value: Some(STANDARD.encode(value)),
        ver: 1,
        ..RowJson::default()
    }
}

fn response(rows: Vec<RowJson>) -> Vec<u8> {
    let rows = RowsJson {
        rows,
        ver: 1,
        ..RowsJson::default()
    };
    serde_json::to_vec(&rows).unwrap_or_default()
}

fn parse(body: &[u8]) -> RowsJson {
    serde_json::from_slice(body).unwrap_or_default()
}

fn decode_values(rows: RowsJson) -> Vec<StoreRow> {
    let mut decoded = Vec::new();
    for row in rows.rows {
        let value = row.value.and_then(|value| STANDARD.decode(value).ok());
        decoded.push(StoreRow {
            key: row.key,
            version: row.ver,
            value: value.map(Arc::from),
        });
    }
    decoded
}

fn replica_of(rows: Vec<StoreRow>) -> TableReplica {
    let mut replica = TableReplica::default();
    let version = StoreVersion::new(0, 1);
    replica.apply_snapshot(Duration::ZERO, version, rows, StoreGap::None);
    replica
}

/// Measures the steps with a configuration of the given number of routes.
#[must_use]
pub fn measure_config(routes: usize) -> ConfigCosts {
    let config = generate_config(1, routes);
    let newer_config = generate_config(2, routes);
    let body = response(vec![row_json(
        OPERATOR_TABLE,
        CONFIG_KEY,
        config.as_bytes(),
    )]);
    let rows = decode_values(parse(&body));
    let replica = replica_of(rows.clone());
    let decode = |config: &str| routing::decode(config.as_bytes()).unwrap_or_default();
    ConfigCosts {
        bytes: config.len(),
        response_ns: time_step(|| (), |()| parse(&body)),
        base64_ns: time_step(|| parse(&body), decode_values),
        replica_ns: time_step(|| rows.clone(), replica_of),
        routing_ns: time_step(|| (), |()| decode(&config)),
        scan_ns: time_step(|| (), |()| RoutingDecoder::new(config.as_bytes())),
        step_ns: time_step(
            || RoutingDecoder::new(config.as_bytes()),
            |decoder| decoder.map(|mut decoder| (decoder.step(), decoder)),
        ),
        adopt_ns: time_step(
            || {
                let mut state = GatewayState::new(1, "a".into(), Bounds::default());
                state.adopt_routing(decode(&config));
                (state, decode(&newer_config))
            },
            |(mut state, newer)| {
                state.adopt_routing(newer);
                state
            },
        ),
        copy_ns: time_step(
            || (),
            |()| {
                let delta = replica.delta_since(None);
                delta.map(|delta| {
                    let copy: Vec<Vec<u8>> = delta
                        .rows
                        .iter()
                        .map(|row| match &row.state {
                            verbenahinge_core::gateway::RowState::Present(value) => value.to_vec(),
                            _ => Vec::new(),
                        })
                        .collect();
                    copy.concat()
                })
            },
        ),
    }
}

fn server_entry(index: usize, state: ServerState) -> ServerEntry {
    let service = format!("model-{}", index % 10);
    ServerEntry::new(
        &format!("i-{index:010x}"),
        &service,
        ([127, 0, 0, 1], 1).into(),
    )
    .availability_zone("zone-a")
    .slots(64)
    .state(state)
}

fn server_rows(servers: usize) -> Vec<RowJson> {
    let mut rows = Vec::new();
    for index in 0..servers {
        let entry = server_entry(index, ServerState::Ready);
        let value = registry::encode(&entry).unwrap_or_default();
        rows.push(row_json(SERVER_TABLE, &entry.id, &value));
    }
    rows
}

fn state_with(rows: &[StoreRow]) -> GatewayState {
    let mut state = GatewayState::new(1, "a".into(), Bounds::default());
    for row in rows {
        let value = row.value.as_deref().unwrap_or_default();
        if let Ok(entry) = registry::decode(&row.key, value) {
            state.upsert_server(entry);
        }
    }
    state.mark_registry_complete();
    state
}

/// Measures the steps with a table of the given number of backend servers.
#[must_use]
pub fn measure_server_table(servers: usize) -> ServerTableCosts {
    let body = response(server_rows(servers));
    let rows = decode_values(parse(&body));
    let mut state = state_with(&rows);
    let mut is_draining = false;
    let report = verbenahinge_core::gateway::LoadReport {
        running: 3,
        waiting: 0,
        slots: 64,
        decode_percent: None,
    };
    let update_ns = time_step(
        || {
            is_draining = !is_draining;
            let new_state = if is_draining {
                ServerState::Draining
            } else {
                ServerState::Ready
            };
            server_entry(servers / 2, new_state)
        },
        |entry| state.upsert_server(entry),
    );
    for index in (0..servers).step_by(10) {
        let name = server_entry(index, ServerState::Ready).id;
        state.note_report(Duration::ZERO, &name, report);
    }
    ServerTableCosts {
        bytes: body.len(),
        response_ns: time_step(|| (), |()| decode_values(parse(&body))),
        replica_ns: time_step(|| rows.clone(), replica_of),
        add_ns: time_step(|| (), |()| state_with(&rows)),
        update_ns,
        digest_ns: time_step(|| (), |()| state.full_digest(Duration::from_millis(1))),
        tick_ns: time_step(
            || (),
            |()| state.tick(Duration::from_millis(1), Duration::from_secs(9)),
        ),
    }
}
