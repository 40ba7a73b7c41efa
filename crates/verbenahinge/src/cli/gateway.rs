//! The `gateway` command.

use std::path::PathBuf;

use getopts::Options;
use verbenahinge_core::gateway::EvenLoadMode;
use verbenahinge_platform::NODE_FILE_VARIABLE;

use super::error::CliError;
use super::output::write_out;
use super::{EXIT_OK, environment_variables, parse_options};
use crate::gateway;
use crate::log_writer::LogWriter;

pub(super) fn run(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    options
        .optopt(
            "",
            "node-file",
            &format!("settings file of the VM [{NODE_FILE_VARIABLE}]"),
            "PATH",
        )
        .optopt(
            "",
            "log-level",
            "off, error, warn, info, debug or trace [VERBENAHINGE_LOG_LEVEL, default info]",
            "LEVEL",
        )
        .optopt(
            "",
            "even-load",
            "services whose load is kept even in a large fleet: off, on or auto \
             [VERBENAHINGE_EVEN_LOAD, default off]",
            "MODE",
        )
        .optflag("", "check", "validate the settings file and exit");
    let Some(matches) = parse_options(&mut options, args, "gateway [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let env = environment_variables();
    let path = matches
        .opt_str("node-file")
        .or_else(|| env.get(NODE_FILE_VARIABLE).cloned())
        .map(PathBuf::from)
        .ok_or_else(|| {
            CliError::Usage(format!(
                "--node-file: missing; set it or {NODE_FILE_VARIABLE}"
            ))
        })?;
    let level = matches
        .opt_str("log-level")
        .or_else(|| env.get("VERBENAHINGE_LOG_LEVEL").cloned())
        .unwrap_or_else(|| "info".to_owned());
    let level = level
        .parse()
        .map_err(|_| CliError::Usage(format!("--log-level: malformed: {level}")))?;
    let even_load = matches
        .opt_str("even-load")
        .or_else(|| env.get("VERBENAHINGE_EVEN_LOAD").cloned());
    let even_load: EvenLoadMode = match even_load {
        Some(mode) => mode
            .parse()
            .map_err(|_| CliError::Usage(format!("--even-load: malformed: {mode}")))?,
        None => EvenLoadMode::default(),
    };
    let settings = gateway::read_settings(&path)
        .map_err(|problems| CliError::Usage(problems.join("\nverbenahinge: ")))?;
    if matches.opt_present("check") {
        write_out(format_args!(
            "{}: valid settings for VM {}\n",
            path.display(),
            settings.name
        ));
        return Ok(EXIT_OK);
    }
    LogWriter::start(level);
    actix_rt::System::new()
        .block_on(gateway::serve(settings, path, even_load))
        .map_err(|error| CliError::Failed(error.to_string()))?;
    log::logger().flush();
    Ok(EXIT_OK)
}
