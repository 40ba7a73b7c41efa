//! Commands that show or drain a VM.

use getopts::{Matches, Options};
use serde_json::Value;

use super::error::CliError;
use super::output::write_out;
use super::remote::Remote;
use super::{EXIT_OK, parse};

fn matches(args: &[String], brief: &str) -> Result<Option<Matches>, CliError> {
    let mut options = Options::new();
    Remote::add_options(&mut options);
    options.optopt("", "version", "version to show", "N");
    parse(&mut options, args, brief)
}

fn print(body: &Value, compact: bool) {
    if compact {
        write_out(format_args!("{body}\n"));
    } else {
        write_out(format_args!("{body:#}\n"));
    }
}

pub(super) fn get(matches: &Matches, path: &str) -> Result<u8, CliError> {
    let remote = Remote::new(matches)?;
    actix_rt::System::new().block_on(async {
        let answer = remote.get(path).await?.success()?;
        print(&answer.body, matches.opt_present("json"));
        Ok(EXIT_OK)
    })
}

pub(super) fn show(args: &[String]) -> Result<u8, CliError> {
    let Some(matches) = matches(args, "show [--version N] [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    match matches.opt_str("version") {
        Some(version) => get(&matches, &format!("/v1/config/versions/{version}")),
        None => get(&matches, "/v1/config"),
    }
}

pub(super) fn history(args: &[String]) -> Result<u8, CliError> {
    match matches(args, "history [OPTIONS]")? {
        Some(matches) => get(&matches, "/v1/history"),
        None => Ok(EXIT_OK),
    }
}

pub(super) fn status(args: &[String]) -> Result<u8, CliError> {
    match matches(args, "status [OPTIONS]")? {
        Some(matches) => get(&matches, "/v1/status"),
        None => Ok(EXIT_OK),
    }
}

pub(super) fn drain(args: &[String]) -> Result<u8, CliError> {
    let Some(matches) = matches(args, "drain --vm IP:PORT [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let remote = Remote::new(&matches)?;
    actix_rt::System::new().block_on(async {
        let answer = remote.post("/v1/drain").await?.success()?;
        print(&answer.body, matches.opt_present("json"));
        Ok(EXIT_OK)
    })
}
