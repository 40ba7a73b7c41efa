//! The `serve` command.

use getopts::Options;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use super::error::CliError;
use super::output::write_out;
use super::{EXIT_OK, environment_variables, parse_options};
use crate::settings::Settings;

pub(super) fn run(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    Settings::add_options(&mut options);
    options.optflag(
        "",
        "print-settings",
        "print the effective settings and exit",
    );
    let Some(matches) = parse_options(&mut options, args, "serve [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let env = environment_variables();
    if matches.opt_present("print-settings") {
        write_out(format_args!(
            "{}",
            Settings::format_effective(&matches, &env)
        ));
        return Ok(EXIT_OK);
    }
    let settings = Settings::read(&matches, &env)
        .map_err(|problems| CliError::Usage(problems.join("\nverbenahinge: ")))?;
    init_logger(settings.log_level);
    actix_rt::System::new()
        .block_on(crate::serve::serve(settings))
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(EXIT_OK)
}

fn logger_config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(log::LevelFilter::Off)
        .set_target_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .add_filter_allow_str("verbenahinge")
        .build()
}

fn init_logger(level: log::LevelFilter) {
    if WriteLogger::init(level, logger_config(), std::io::stderr()).is_err() {
        eprintln!("verbenahinge: a logger is already installed");
    }
}
