//! The `emulate` command: runs an emulator of an external component.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};
use strum::EnumString;
use tokio::net::TcpListener;
use verbenahinge_emulator::duty_interface;
use verbenahinge_emulator::engine::{self, EngineOptions};
use verbenahinge_emulator::platform::{self, ListedState, ListedVm};
use verbenahinge_emulator::registry_store;
use verbenahinge_emulator::scripted_server::{
    self, ScriptedServerOptions, ServerFault, ServerFaults,
};
use verbenahinge_emulator::service::{self, ServiceFaults};

use super::error::CliError;
use super::{EXIT_OK, parse_options, single_argument};

#[derive(Clone, Copy, Debug, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum EmulatorKind {
    Platform,
    Duties,
    Engine,
    Service,
    Store,
    Server,
}

pub(super) fn run(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    options
        .optopt("", "listen", "listen address", "IP:PORT")
        .optopt("", "vms", "platform: VMs in the list", "IP:PORT,...")
        .optopt("", "slots", "engine: concurrent requests [8]", "N")
        .optopt("", "token-ms", "engine: interval between tokens [10]", "MS")
        .optopt(
            "",
            "prefill-ms",
            "engine: time for 1000 prompt tokens [20]",
            "MS",
        )
        .optopt(
            "",
            "crash-on",
            "engine: exit if a prompt contains this text",
            "TEXT",
        )
        .optopt(
            "",
            "lease-ms",
            "duties: time in which holders must not alternate [3000]",
            "MS",
        )
        .optopt("", "delay-ms", "service: duration of a call [0]", "MS")
        .optopt("", "id", "server: name in the registry", "NAME")
        .optopt("", "work-ms", "server: time per request or event [5]", "MS")
        .optopt("", "events", "server: events per stream [5]", "N")
        .optopt("", "fault", "server: fault to inject [none]", "FAULT")
        .optopt(
            "",
            "limit",
            "server: requests per second that it names [none]",
            "N",
        )
        .optopt("", "pause-ms", "server: length of a pause [0]", "MS")
        .optopt(
            "",
            "deadly-part",
            "server: exit at the first event of a prompt with this part [none]",
            "HEX",
        );
    let usage_line =
        "emulate platform|duties|engine|service|store|server --listen IP:PORT [OPTIONS]";
    let Some(matches) = parse_options(&mut options, args, usage_line)? else {
        return Ok(EXIT_OK);
    };
    let kind: EmulatorKind = single_argument(&matches, "stand-in")?
        .parse()
        .map_err(|_| {
            CliError::Usage(
                "expected platform, duties, engine, service, store or server".to_owned(),
            )
        })?;
    let listen: SocketAddr =
        option_or_default(&matches, "listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let vms = parse_vms(&matches)?;
    let engine_options = parse_engine_options(&matches)?;
    let delay_ms = option_or_default(&matches, "delay-ms", 0)?;
    let lease_ms = option_or_default(&matches, "lease-ms", 3000)?;
    let server_options = parse_server_options(&matches)?;
    if matches!(kind, EmulatorKind::Server) && server_options.id.is_empty() {
        return Err(CliError::Usage("--id: missing".to_owned()));
    }
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|error| CliError::Failed(format!("{listen}: {error}")))?;
        match kind {
            EmulatorKind::Platform => platform::run(listener, vms).await,
            EmulatorKind::Duties => {
                duty_interface::run(listener, Duration::from_millis(lease_ms)).await;
            }
            EmulatorKind::Engine => engine::run(listener, engine_options).await,
            EmulatorKind::Service => {
                let faults = ServiceFaults {
                    delay_ms,
                    ..ServiceFaults::default()
                };
                service::run(listener, faults).await;
            }
            EmulatorKind::Store => registry_store::run(listener).await,
            EmulatorKind::Server => scripted_server::run(listener, server_options).await,
        }
        Ok(EXIT_OK)
    })
}

fn option_or_default<T: std::str::FromStr>(
    matches: &Matches,
    flag: &str,
    default: T,
) -> Result<T, CliError> {
    let parsed = matches
        .opt_get_default(flag, default)
        .map_err(|_| CliError::Usage(format!("--{flag}: malformed")))?;
    Ok(parsed)
}

fn parse_engine_options(matches: &Matches) -> Result<EngineOptions, CliError> {
    let default = EngineOptions::default();
    Ok(EngineOptions {
        slots: option_or_default(matches, "slots", default.slots)?,
        token_ms: option_or_default(matches, "token-ms", default.token_ms)?,
        prefill_ms_per_1000: option_or_default(matches, "prefill-ms", default.prefill_ms_per_1000)?,
        crash_on: matches.opt_str("crash-on"),
    })
}

fn parse_server_options(matches: &Matches) -> Result<ScriptedServerOptions, CliError> {
    let deadly_part = match matches.opt_str("deadly-part") {
        None => None,
        Some(text) => {
            let part = u64::from_str_radix(&text, 16);
            Some(part.map_err(|_| CliError::Usage("--deadly-part: malformed".to_owned()))?)
        }
    };
    Ok(ScriptedServerOptions {
        id: matches.opt_str("id").unwrap_or_default(),
        slots: option_or_default(matches, "slots", 8)?,
        faults: ServerFaults {
            fault: option_or_default(matches, "fault", ServerFault::None)?,
            times: 0,
            work_ms: option_or_default(matches, "work-ms", 5)?,
            events: option_or_default(matches, "events", 5)?,
            limit_per_s: option_or_default(matches, "limit", 0.0)?,
            pause_ms: option_or_default(matches, "pause-ms", 0)?,
            ..ServerFaults::default()
        },
        deadly_part,
    })
}

fn parse_vms(matches: &Matches) -> Result<Vec<ListedVm>, CliError> {
    let text = matches.opt_str("vms").unwrap_or_default();
    let mut vms = Vec::new();
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let address = part
            .parse()
            .map_err(|_| CliError::Usage(format!("--vms: malformed: {part}")))?;
        vms.push(ListedVm {
            address,
            state: ListedState::Live,
            backend: false,
        });
    }
    Ok(vms)
}
