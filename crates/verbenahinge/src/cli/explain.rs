//! The `explain` command.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use getopts::Options;
use serde_json::json;

use super::error::CliError;
use super::operator_client::OperatorClient;
use super::output::write_out;
use super::{EXIT_OK, inspect, parse_options, single_argument};
use crate::request_report::RequestReport;

/// Path that stands for standard input.
const STDIN_PATH: &str = "-";

pub(super) fn explain(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    OperatorClient::add_options(&mut options);
    options.optopt(
        "",
        "log",
        "read a log file instead of querying a VM; - is standard input",
        "FILE",
    );
    let Some(matches) = parse_options(&mut options, args, "explain REQUEST_ID [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let request = single_argument(&matches, "request id")?;
    let Some(path) = matches.opt_str("log") else {
        return inspect::print_resource(&matches, &format!("/v1/requests/{request}"));
    };
    let report = read_log(&path, &request).map_err(|source| CliError::File {
        path: path.clone(),
        source,
    })?;
    if report.dropped_lines() > 0 {
        eprintln!(
            "verbenahinge: {path}: {} lines were dropped",
            report.dropped_lines()
        );
    }
    if !report.contains_request() {
        return Err(CliError::Failed(format!(
            "request {request:?} is not in log {path:?} of {} lines",
            report.lines(),
        )));
    }
    if matches.opt_present("json") {
        write_out(format_args!(
            "{}\n",
            json!({"request_id": request, "cause": report.cause()})
        ));
    } else {
        write_out(format_args!("{report}"));
    }
    Ok(EXIT_OK)
}

fn read_log(path: &str, request_id: &str) -> io::Result<RequestReport> {
    if path == STDIN_PATH {
        return build_report(io::stdin().lock(), request_id);
    }
    build_report(BufReader::new(File::open(path)?), request_id)
}

fn build_report(mut log: impl BufRead, request_id: &str) -> io::Result<RequestReport> {
    let mut report = RequestReport::new(request_id);
    let mut line = Vec::new();
    loop {
        line.clear();
        if log.read_until(b'\n', &mut line)? == 0
            || !report.add_line(&String::from_utf8_lossy(&line))
        {
            return Ok(report);
        }
    }
}
