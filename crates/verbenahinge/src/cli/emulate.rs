//! `verbenahinge emulate`: stand-ins for what lies outside of the system.

use std::net::SocketAddr;

use getopts::{Matches, Options};
use strum::EnumString;
use tokio::net::TcpListener;
use verbenahinge_emulator::engine::{self, EngineOptions};
use verbenahinge_emulator::platform::{self, ListedState, ListedVm};
use verbenahinge_emulator::registry_store;
use verbenahinge_emulator::scripted_server::{
    self, ScriptedServerOptions, ServerFault, ServerFaults,
};
use verbenahinge_emulator::service::{self, ServiceFaults};

use super::error::CliError;
use super::{EXIT_OK, one_argument, parse};

#[derive(Clone, Copy, Debug, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum StandIn {
    Platform,
    Engine,
    Service,
    Store,
    Server,
}

pub(super) fn run(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    options
        .optopt("", "listen", "where to listen", "IP:PORT")
        .optopt("", "vms", "platform: VMs of the list", "IP:PORT,...")
        .optopt("", "slots", "engine: requests at once [8]", "N")
        .optopt("", "token-ms", "engine: time between tokens [10]", "MS")
        .optopt(
            "",
            "prefill-ms",
            "engine: time for 1000 prompt tokens [20]",
            "MS",
        )
        .optopt(
            "",
            "crash-on",
            "engine: end the process at this text",
            "TEXT",
        )
        .optopt("", "delay-ms", "service: time that a call takes [0]", "MS")
        .optopt("", "id", "server: its name in the registry", "NAME")
        .optopt(
            "",
            "work-ms",
            "server: time for a request or an event [5]",
            "MS",
        )
        .optopt("", "events", "server: events of a stream [5]", "N")
        .optopt("", "fault", "server: what it does wrong [none]", "FAULT");
    let brief = "emulate platform|engine|service|store|server --listen IP:PORT [OPTIONS]";
    let Some(matches) = parse(&mut options, args, brief)? else {
        return Ok(EXIT_OK);
    };
    let stand_in: StandIn = one_argument(&matches, "stand-in")?.parse().map_err(|_| {
        CliError::Usage("expected platform, engine, service, store or server".to_owned())
    })?;
    let listen: SocketAddr = number(&matches, "listen", SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let vms = list_vms(&matches)?;
    let engine_options = engine_options(&matches)?;
    let delay_ms = number(&matches, "delay-ms", 0)?;
    let scripted = scripted_options(&matches)?;
    if matches!(stand_in, StandIn::Server) && scripted.id.is_empty() {
        return Err(CliError::Usage("--id: missing".to_owned()));
    }
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|error| CliError::Failed(format!("{listen}: {error}")))?;
        match stand_in {
            StandIn::Platform => platform::run(listener, vms).await,
            StandIn::Engine => engine::run(listener, engine_options).await,
            StandIn::Service => {
                let faults = ServiceFaults {
                    delay_ms,
                    ..ServiceFaults::default()
                };
                service::run(listener, faults).await;
            }
            StandIn::Store => registry_store::run(listener).await,
            StandIn::Server => scripted_server::run(listener, scripted).await,
        }
        Ok(EXIT_OK)
    })
}

fn number<T: std::str::FromStr>(matches: &Matches, flag: &str, default: T) -> Result<T, CliError> {
    let parsed = matches
        .opt_get_default(flag, default)
        .map_err(|_| CliError::Usage(format!("--{flag}: malformed")))?;
    Ok(parsed)
}

fn engine_options(matches: &Matches) -> Result<EngineOptions, CliError> {
    let default = EngineOptions::default();
    Ok(EngineOptions {
        slots: number(matches, "slots", default.slots)?,
        token_ms: number(matches, "token-ms", default.token_ms)?,
        prefill_ms_per_1000: number(matches, "prefill-ms", default.prefill_ms_per_1000)?,
        crash_on: matches.opt_str("crash-on"),
    })
}

fn scripted_options(matches: &Matches) -> Result<ScriptedServerOptions, CliError> {
    Ok(ScriptedServerOptions {
        id: matches.opt_str("id").unwrap_or_default(),
        slots: number(matches, "slots", 8)?,
        faults: ServerFaults {
            fault: number(matches, "fault", ServerFault::None)?,
            times: 0,
            work_ms: number(matches, "work-ms", 5)?,
            events: number(matches, "events", 5)?,
        },
    })
}

fn list_vms(matches: &Matches) -> Result<Vec<ListedVm>, CliError> {
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
