//! What a log says about one request: what happened to it, why, and what happened beside it.

use std::collections::{BTreeSet, VecDeque};
use std::fmt::{self, Display, Formatter};

use crate::log_line::LogLine;

/// Events about servers, tables and configurations that are kept while the request is looked for.
const KEPT_EVENTS: usize = 20_000;

/// Events beside the request that are told, of its servers and of all else: the nearest ones.
const TOLD_EVENTS: usize = 6;

/// Lines after the request's end in which a server that failed it may still be found to be bad.
const LINES_AFTER: usize = 1_000;

/// Story of one request.
#[derive(Debug)]
pub(crate) struct RequestStory {
    request: String,
    own: Vec<LogLine>,
    beside: VecDeque<(usize, LogLine)>,
    end: usize,
    lines: usize,
    lines_after: usize,
    dropped_lines: u64,
}

impl RequestStory {
    /// Begins the story of a request.
    pub(crate) fn new(request: impl Into<String>) -> Self {
        Self {
            request: request.into(),
            own: Vec::new(),
            beside: VecDeque::new(),
            end: 0,
            lines: 0,
            lines_after: 0,
            dropped_lines: 0,
        }
    }

    /// Takes a line of the log; says whether more lines can add to the story.
    pub(crate) fn take(&mut self, text: &str) -> bool {
        self.lines += 1;
        let is_over = self.own.last().is_some_and(ends_request);
        if is_over {
            self.lines_after += 1;
        }
        if let Some(line) = LogLine::parse(text) {
            self.take_event(line);
        }
        self.lines_after < LINES_AFTER
    }

    fn take_event(&mut self, line: LogLine) {
        if line.field("request_id") == Some(&self.request) {
            self.own.push(line);
            self.end = self.lines;
            self.lines_after = 0;
            return;
        }
        if let Some(lines) = line
            .field("lines")
            .filter(|_| line.name() == "log_lines_dropped")
        {
            // Where the count was cut off, one line at least was dropped.
            self.dropped_lines += lines.parse::<u64>().unwrap_or(1);
        }
        if line.field("request_id").is_none() {
            self.beside.push_back((self.lines, line));
        }
        if self.beside.len() > KEPT_EVENTS {
            self.beside.pop_front();
        }
    }

    /// Says whether the log has a word about the request.
    pub(crate) fn is_found(&self) -> bool {
        !self.own.is_empty()
    }

    /// Lines that were read.
    pub(crate) const fn lines(&self) -> usize {
        self.lines
    }

    /// Lines that the log itself says were dropped.
    pub(crate) const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Why the request ended as it did.
    pub(crate) fn cause(&self) -> String {
        let Some(last) = self.own.last() else {
            return "the log has no line about it".to_owned();
        };
        match last.name() {
            "request_ended" => cause_of_end(last),
            "request_turned_away" => format!(
                "it was not taken in: {}",
                last.field("reason").unwrap_or("no reason is logged"),
            ),
            _ => "its end is not in the log: it runs, or the VM ended or dropped lines".to_owned(),
        }
    }

    /// Servers that the request was sent to.
    fn servers(&self) -> BTreeSet<&str> {
        let servers = self.own.iter().filter_map(|line| line.field("server"));
        servers.filter(|server| *server != "-").collect()
    }

    /// Events about the request's servers and configuration, the store, and the VM itself: those
    /// nearest to its end.
    fn told_beside(&self) -> Vec<&LogLine> {
        let servers = self.servers();
        let config = self.own.last().and_then(|line| line.field("config"));
        let mut of_servers = Vec::new();
        let mut others = Vec::new();
        for (position, line) in &self.beside {
            let distance = position.abs_diff(self.end);
            let server = line.field("server");
            if server.is_some_and(|server| servers.contains(server)) {
                of_servers.push((distance, *position, line));
            } else if concerns_vm(line, config) {
                others.push((distance, *position, line));
            }
        }
        let mut told = Vec::new();
        for mut events in [of_servers, others] {
            events.sort_by_key(|(distance, _, _)| *distance);
            events.truncate(TOLD_EVENTS);
            told.extend(events);
        }
        told.sort_by_key(|(_, position, _)| *position);
        told.into_iter().map(|(_, _, line)| line).collect()
    }
}

/// Says whether an event changed what the VM knew or whether it served.
fn concerns_vm(line: &LogLine, config: Option<&str>) -> bool {
    match line.name() {
        "config_in_force" => config.is_some() && line.field("version") == config,
        "platform_unavailable"
        | "platform_available"
        | "started"
        | "draining"
        | "task_restarted"
        | "reloaded"
        | "reload_failed"
        | "config_unreadable" => true,
        _ => false,
    }
}

impl Display for RequestStory {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.request)?;
        writeln!(formatter, "\nWhat happened to it:")?;
        for line in &self.own {
            let text = line.text_without(&["request_id", "detail"]);
            writeln!(formatter, "  {} {} {text}", line.lead(), line.name())?;
        }
        writeln!(formatter, "\nCause: {}.", self.cause())?;
        let beside = self.told_beside();
        if !beside.is_empty() {
            writeln!(formatter, "\nBeside it:")?;
        }
        for line in beside {
            writeln!(
                formatter,
                "  {} {} {}",
                line.lead(),
                line.name(),
                line.text_without(&[])
            )?;
        }
        Ok(())
    }
}

fn ends_request(line: &LogLine) -> bool {
    matches!(line.name(), "request_ended" | "request_turned_away")
}

fn cause_of_end(line: &LogLine) -> String {
    let field = |key| line.field(key).unwrap_or("-");
    let detail = field("detail");
    let word = detail.split([' ', '(']).next().unwrap_or_default();
    let wait = detail
        .split_once('(')
        .and_then(|(_, rest)| rest.split_once(')'))
        .map_or("unknown", |(wait, _)| wait);
    let cause = match (field("outcome"), word) {
        ("answered", _) => {
            return format!(
                "server {} answered with status {}",
                field("server"),
                field("status")
            );
        }
        ("caller_gone", _) => {
            return format!("the caller left after {} ms", field("total_ms"));
        }
        ("broken_off", _) => format!(
            "the answer of server {} ended early ({detail}), and no other attempt went on with it \
             (attempts: {})",
            field("server"),
            field("attempts"),
        ),
        (_, "NoServer") => "no server of its service could be used: none is registered, or those \
                            that are drain or are ejected"
            .to_owned(),
        (_, "TooLate") => format!("the shortest wait at a server, {wait}, was too long for it"),
        (_, "Yields") => format!(
            "the prompts that wait at the best server, {wait} of reading, leave room only for more \
             urgent ones than priority {}",
            field("priority"),
        ),
        (_, "Full") => "no server had a free slot and the memory for it".to_owned(),
        (_, "time_up") => format!("the time of route {} was up", field("route")),
        _ => format!("its last attempt failed: {word}"),
    };
    let verdict = match field("verdict") {
        "not_run" => "it has not run",
        _ => "it may have run",
    };
    format!(
        "{cause}; {verdict}, status {} after {} ms",
        field("status"),
        field("total_ms")
    )
}
