//! Report on one request from the log of a VM: its events, the cause of its outcome and related
//! events of servers and the VM.

use std::collections::{BTreeSet, VecDeque};
use std::fmt::{self, Display, Formatter};

use crate::log_line::LogLine;

/// Maximum number of events without a request ID that are kept, the most recent ones.
const MAX_CONTEXT_EVENTS: usize = 20_000;

/// Maximum number of related events shown, counted separately for the request's servers and for
/// the VM.
const MAX_RELATED_EVENTS: usize = 6;

/// Number of lines read after the request's end, since a server that failed the request may be
/// ejected only later.
const MAX_LINES_AFTER_END: usize = 1_000;

/// Log lines that explain the outcome of one request.
#[derive(Debug)]
pub(crate) struct RequestReport {
    request_id: String,
    request_events: Vec<LogLine>,
    context_events: VecDeque<(usize, LogLine)>,
    end_line: usize,
    lines: usize,
    lines_after_end: usize,
    dropped_lines: u64,
}

impl RequestReport {
    /// Creates an empty report for a request ID.
    pub(crate) fn new(request_id: impl Into<String>) -> Self {
        Self {
            request_id: request_id.into(),
            request_events: Vec::new(),
            context_events: VecDeque::new(),
            end_line: 0,
            lines: 0,
            lines_after_end: 0,
            dropped_lines: 0,
        }
    }

    /// Adds a line of the log. Returns whether later lines may still be relevant.
    pub(crate) fn add_line(&mut self, text: &str) -> bool {
        self.lines += 1;
        let has_ended = self.request_events.last().is_some_and(is_final_event);
        if has_ended {
            self.lines_after_end += 1;
        }
        if let Some(line) = LogLine::parse(text) {
            self.add_event(line);
        }
        self.lines_after_end < MAX_LINES_AFTER_END
    }

    fn add_event(&mut self, line: LogLine) {
        if line.field("request_id") == Some(&self.request_id) {
            self.request_events.push(line);
            self.end_line = self.lines;
            self.lines_after_end = 0;
            return;
        }
        if let Some(lines) = line
            .field("lines")
            .filter(|_| line.name() == "log_lines_dropped")
        {
            // If the count is truncated, at least one line was dropped.
            self.dropped_lines += lines.parse::<u64>().unwrap_or(1);
        }
        if line.field("request_id").is_none() {
            self.context_events.push_back((self.lines, line));
        }
        if self.context_events.len() > MAX_CONTEXT_EVENTS {
            self.context_events.pop_front();
        }
    }

    /// Returns whether the log contains the request.
    pub(crate) fn contains_request(&self) -> bool {
        !self.request_events.is_empty()
    }

    /// Number of lines read.
    pub(crate) const fn lines(&self) -> usize {
        self.lines
    }

    /// Number of lines that the log reports as dropped.
    pub(crate) const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Describes why the request ended as it did.
    pub(crate) fn cause(&self) -> String {
        let Some(last_event) = self.request_events.last() else {
            return "the log contains no event for it".to_owned();
        };
        match last_event.name() {
            "request_ended" => describe_end(last_event),
            "request_turned_away" => format!(
                "it was not taken in: {}",
                last_event.field("reason").unwrap_or("no reason was logged"),
            ),
            _ => "its end is not logged: it still runs, the VM ended or lines were dropped"
                .to_owned(),
        }
    }

    /// Returns the servers in the events of the request.
    fn servers(&self) -> BTreeSet<&str> {
        let servers = self
            .request_events
            .iter()
            .filter_map(|line| line.field("server"));
        servers.filter(|server| *server != "-").collect()
    }

    /// Returns the events of the request's servers, its configuration, the platform and the VM
    /// that are nearest to the end of the request, in log order.
    fn related_events(&self) -> Vec<&LogLine> {
        let servers = self.servers();
        let config = self
            .request_events
            .last()
            .and_then(|line| line.field("config"));
        let mut server_events = Vec::new();
        let mut vm_events = Vec::new();
        for (position, line) in &self.context_events {
            let distance = position.abs_diff(self.end_line);
            let server = line.field("server");
            if server.is_some_and(|server| servers.contains(server)) {
                server_events.push((distance, *position, line));
            } else if affects_vm(line, config) {
                vm_events.push((distance, *position, line));
            }
        }
        let mut related = Vec::new();
        for mut events in [server_events, vm_events] {
            events.sort_by_key(|(distance, _, _)| *distance);
            events.truncate(MAX_RELATED_EVENTS);
            related.extend(events);
        }
        related.sort_by_key(|(_, position, _)| *position);
        related.into_iter().map(|(_, _, line)| line).collect()
    }
}

/// Returns whether an event explains what the VM knew or whether it was serving: the request's
/// configuration version came into force, a configuration was unreadable or outdated, the platform
/// became unavailable or available or returned from an older copy, or the process changed its state or
/// settings.
fn affects_vm(line: &LogLine, config: Option<&str>) -> bool {
    match line.name() {
        "config_in_force" => config.is_some() && line.field("version") == config,
        "platform_unavailable"
        | "platform_available"
        | "started"
        | "draining"
        | "task_restarted"
        | "reloaded"
        | "reload_failed"
        | "store_era_changed"
        | "store_response_ignored"
        | "config_outdated"
        | "config_unreadable" => true,
        _ => false,
    }
}

impl Display for RequestReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "request {}", self.request_id)?;
        writeln!(formatter, "\nEvents:")?;
        for line in &self.request_events {
            let text = line.format_fields_except(&["request_id", "detail"]);
            writeln!(formatter, "  {} {} {text}", line.prefix(), line.name())?;
        }
        writeln!(formatter, "\nCause: {}.", self.cause())?;
        let related = self.related_events();
        if !related.is_empty() {
            writeln!(formatter, "\nRelated events:")?;
        }
        for line in related {
            writeln!(
                formatter,
                "  {} {} {}",
                line.prefix(),
                line.name(),
                line.format_fields_except(&[])
            )?;
        }
        Ok(())
    }
}

fn is_final_event(line: &LogLine) -> bool {
    matches!(line.name(), "request_ended" | "request_turned_away")
}

fn describe_end(line: &LogLine) -> String {
    let field = |key| line.field(key).unwrap_or("-");
    let detail = field("detail");
    let reason = detail.split([' ', '(']).next().unwrap_or_default();
    let wait = detail
        .split_once('(')
        .and_then(|(_, rest)| rest.split_once(')'))
        .map_or("unknown", |(wait, _)| wait);
    let cause = match (field("outcome"), reason) {
        ("answered", _) => {
            return format!(
                "server {} answered with status {}",
                field("server"),
                field("status")
            );
        }
        ("caller_gone", _) => {
            return format!("the caller disconnected after {} ms", field("total_ms"));
        }
        ("cut_off", _) => "its VM ended before a server had answered".to_owned(),
        ("broken_off", _) => format!(
            "the answer of server {} ended early ({detail}), and no other attempt resumed it \
             (attempts: {})",
            field("server"),
            field("attempts"),
        ),
        (_, "NoServer") => "no server of its service could be used: none is registered, or all \
                            registered servers are draining or ejected"
            .to_owned(),
        (_, "TooLate") => format!("the shortest wait at a server, {wait}, was too long for it"),
        (_, "Yields") => format!(
            "the prompts that wait at the best server, {wait} of reading, leave room only for more \
             urgent ones than priority {}",
            field("priority"),
        ),
        (_, "Full") => "no server had a free slot and enough memory for it".to_owned(),
        (_, "Quarantined") => format!(
            "it, or a part of its prompt, crashes servers and is refused for the next {wait}"
        ),
        (_, "CrashSuspect") => {
            "its server crashed, and it, or a part of its prompt, was waiting at \
                                another crash too"
                .to_owned()
        }
        (_, "time_up") => format!(
            "the deadline set by the caller or route {} passed",
            field("route")
        ),
        _ => format!("its last attempt failed: {reason}"),
    };
    let execution = match field("verdict") {
        "not_run" => "it has not run",
        _ => "it may have run",
    };
    format!(
        "{cause}; {execution}, status {} after {} ms",
        field("status"),
        field("total_ms")
    )
}
