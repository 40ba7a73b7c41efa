//! The command that says what became of a request.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use getopts::Options;
use serde_json::json;

use super::error::CliError;
use super::output::write_out;
use super::remote::Remote;
use super::{EXIT_OK, inspect, one_argument, parse};
use crate::request_story::RequestStory;

/// Name of a log that is read from standard input.
const STANDARD_INPUT: &str = "-";

pub(super) fn explain(args: &[String]) -> Result<u8, CliError> {
    let mut options = Options::new();
    Remote::add_options(&mut options);
    options.optopt(
        "",
        "log",
        "read a log instead of asking a VM; - is standard input",
        "FILE",
    );
    let Some(matches) = parse(&mut options, args, "explain REQUEST_ID [OPTIONS]")? else {
        return Ok(EXIT_OK);
    };
    let request = one_argument(&matches, "request id")?;
    let Some(path) = matches.opt_str("log") else {
        return inspect::get(&matches, &format!("/v1/requests/{request}"));
    };
    let story = read_log(&path, &request).map_err(|source| CliError::File {
        path: path.clone(),
        source,
    })?;
    if story.dropped_lines() > 0 {
        eprintln!(
            "verbenahinge: {path}: {} lines were dropped",
            story.dropped_lines()
        );
    }
    if !story.is_found() {
        return Err(CliError::Failed(format!(
            "request {request:?} is not in log {path:?} of {} lines",
            story.lines(),
        )));
    }
    if matches.opt_present("json") {
        write_out(format_args!(
            "{}\n",
            json!({"request_id": request, "cause": story.cause()})
        ));
    } else {
        write_out(format_args!("{story}"));
    }
    Ok(EXIT_OK)
}

fn read_log(path: &str, request: &str) -> io::Result<RequestStory> {
    if path == STANDARD_INPUT {
        return read_lines(io::stdin().lock(), request);
    }
    read_lines(BufReader::new(File::open(path)?), request)
}

fn read_lines(mut log: impl BufRead, request: &str) -> io::Result<RequestStory> {
    let mut story = RequestStory::new(request);
    let mut line = Vec::new();
    loop {
        line.clear();
        if log.read_until(b'\n', &mut line)? == 0 || !story.take(&String::from_utf8_lossy(&line)) {
            return Ok(story);
        }
    }
}
