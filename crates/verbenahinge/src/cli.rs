//! Command-line interface.
//!
//! ```
//! use verbenahinge::cli;
//!
//! let code = cli::run(["verbenahinge".to_owned(), "no-such-command".to_owned()]);
//! assert_eq!(code, cli::EXIT_USAGE);
//! ```

mod abuse;
mod declare;
mod emulate;
mod error;
mod explain;
mod gateway;
mod inspect;
mod load;
mod operator_client;
mod output;
mod serve;

use std::collections::BTreeMap;

use getopts::Options;
use strum::{EnumIter, EnumMessage, EnumString, IntoEnumIterator, IntoStaticStr};

use self::error::CliError;
use self::output::write_out;

/// Exit code of a command that succeeded.
pub const EXIT_OK: u8 = 0;

/// Exit code of a command that failed.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for a declaration or patch that was rejected.
pub const EXIT_REJECTED: u8 = 3;

/// Subcommands of the binary.
#[derive(Clone, Copy, Debug, EnumIter, EnumMessage, EnumString, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
enum Command {
    #[strum(message = "serve callers on this VM")]
    Serve,
    #[strum(message = "forward requests to backend servers that register themselves")]
    Gateway,
    #[strum(message = "validate a declaration file offline")]
    Check,
    #[strum(message = "show what a declaration file would change")]
    Diff,
    #[strum(message = "submit a declaration file and wait until it is in force")]
    Apply,
    #[strum(message = "show the declaration in force or another version")]
    Show,
    #[strum(message = "list the configuration versions")]
    History,
    #[strum(message = "show the status of a VM and its peers")]
    Status,
    #[strum(message = "explain the outcome of a request, from a VM or a log")]
    Explain,
    #[strum(message = "shut a VM down gracefully")]
    Drain,
    #[strum(message = "print the hash of a key for a declaration")]
    HashKey,
    #[strum(message = "emulate a platform, engine, service, store or server")]
    Emulate,
    #[strum(message = "send a number of completion requests and show the results")]
    Load,
}

/// Runs the command line and returns the exit code.
pub fn run(args: impl IntoIterator<Item = String>) -> u8 {
    let args: Vec<String> = args.into_iter().skip(1).collect();
    match dispatch(&args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("verbenahinge: {error}");
            error.exit_code()
        }
    }
}

fn dispatch(args: &[String]) -> Result<u8, CliError> {
    let Some((name, rest)) = args.split_first() else {
        eprint!("{}", usage());
        return Ok(EXIT_USAGE);
    };
    match name.as_str() {
        "--help" | "-h" | "help" => {
            write_out(format_args!("{}", usage()));
            return Ok(EXIT_OK);
        }
        "--version" | "-V" => {
            write_out(format_args!("verbenahinge {}\n", env!("CARGO_PKG_VERSION")));
            return Ok(EXIT_OK);
        }
        _ => {}
    }
    let command: Command = name
        .parse()
        .map_err(|_| CliError::Usage(format!("unknown command {name:?}; see --help")))?;
    match command {
        Command::Serve => serve::run(rest),
        Command::Gateway => gateway::run(rest),
        Command::Check => declare::check(rest),
        Command::Diff => declare::diff(rest),
        Command::Apply => declare::apply(rest),
        Command::Show => inspect::show(rest),
        Command::History => inspect::history(rest),
        Command::Status => inspect::status(rest),
        Command::Explain => explain::explain(rest),
        Command::Drain => inspect::drain(rest),
        Command::HashKey => declare::hash_key(rest),
        Command::Emulate => emulate::run(rest),
        Command::Load => load::run(rest),
    }
}

fn usage() -> String {
    let mut text = String::from("Usage: verbenahinge COMMAND [OPTIONS]\n\nCommands:\n");
    for command in Command::iter() {
        let name: &'static str = command.into();
        let message = command.get_message().unwrap_or_default();
        let line = format!("  {name:<10} {message}\n");
        text.push_str(&line);
    }
    text.push_str("\n'verbenahinge COMMAND --help' shows the options of a command.\n");
    text
}

/// Parses the options of a subcommand. Returns `None` if `--help` was given and printed.
fn parse_options(
    options: &mut Options,
    args: &[String],
    usage_line: &str,
) -> Result<Option<getopts::Matches>, CliError> {
    options.optflag("h", "help", "show this help");
    let matches = options
        .parse(args)
        .map_err(|error| CliError::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        write_out(format_args!(
            "{}",
            options.usage(&format!("Usage: verbenahinge {usage_line}"))
        ));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Returns the only positional argument.
fn single_argument(matches: &getopts::Matches, name: &str) -> Result<String, CliError> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        _ => Err(CliError::Usage(format!("expected exactly one {name}"))),
    }
}

fn environment_variables() -> BTreeMap<String, String> {
    std::env::vars().collect()
}
