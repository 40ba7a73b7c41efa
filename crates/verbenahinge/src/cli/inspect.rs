//! The `show`, `history`, `status` and `drain` commands.

use getopts::{Matches, Options};
use serde_json::Value;

use super::error::CliError;
use super::operator_client::OperatorClient;
use super::output::write_out;
use super::{EXIT_OK, parse_options};

fn parse_args(args: &[String], usage_line: &str) -> Result<Option<Matches>, CliError> {
    let mut options = Options::new();
    OperatorClient::add_options(&mut options);
    options.optopt("", "version", "version to show", "N");
    parse_options(&mut options, args, usage_line)
}

fn print_json(body: &Value, is_compact: bool) {
    if is_compact {
        write_out(format_args!("{body}\n"));
    } else {
        write_out(format_args!("{body:#}\n"));
    }
}

pub(super) fn print_resource(matches: &Matches, path: &str) -> Result<u8, CliError> {
    let client = OperatorClient::new(matches)?;
    actix_rt::System::new().block_on(async {
        let response = client.get(path).await?.require_success()?;
        print_json(&response.body, matches.opt_present("json"));
        Ok(EXIT_OK)
    })
}

pub(super) fn show(args: &[String]) -> Result<u8, CliError> {
    let Some(matches) = parse_args(args, "show [--version N] [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    match matches.opt_str("version") {
        Some(version) => print_resource(&matches, &format!("/v1/config/versions/{version}")),
        None => print_resource(&matches, "/v1/config"),
    }
}

pub(super) fn history(args: &[String]) -> Result<u8, CliError> {
    match parse_args(args, "history [OPTIONS]")? {
        Some(matches) => print_resource(&matches, "/v1/history"),
        None => Ok(EXIT_OK),
    }
}

pub(super) fn status(args: &[String]) -> Result<u8, CliError> {
    match parse_args(args, "status [OPTIONS]")? {
        Some(matches) => print_resource(&matches, "/v1/status"),
        None => Ok(EXIT_OK),
    }
}

pub(super) fn drain(args: &[String]) -> Result<u8, CliError> {
    let Some(matches) = parse_args(args, "drain --vm IP:PORT [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let client = OperatorClient::new(&matches)?;
    actix_rt::System::new().block_on(async {
        let response = client.post("/v1/drain").await?.require_success()?;
        print_json(&response.body, matches.opt_present("json"));
        Ok(EXIT_OK)
    })
}
