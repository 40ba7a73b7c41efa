//! Settings of the `serve` command, from flags and environment variables.
//!
//! A flag such as `--peer-listen` overrides the variable `VERBENAHINGE_PEER_LISTEN`, which
//! overrides the default. All problems are reported at once.

mod setting;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use getopts::Options;
use verbenahinge_core::ZoneName;

use self::setting::SETTINGS;
pub use self::setting::Setting;

/// Effective settings of the `serve` command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for operators and metrics scrapers.
    pub operator_listen: SocketAddr,
    /// Listen address for peers.
    pub peer_listen: SocketAddr,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Availability zone of the VM.
    pub availability_zone: ZoneName,
    /// Peers to use until the platform's VM list has been read.
    pub peers: Vec<SocketAddr>,
    /// Shared secret that authenticates peers.
    pub peer_key: String,
    /// Token that may submit the first version. Once operators are declared, it is read-only.
    pub bootstrap_token: Option<String>,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Memory of the VM, in megabytes.
    pub memory_mb: u64,
    /// Maximum verbosity of log events.
    pub log_level: log::LevelFilter,
}

/// Environment variables, passed in so that tests can supply their own.
pub type Environment = BTreeMap<String, String>;

impl Settings {
    /// Adds the flag of each setting to the options.
    pub fn add_options(options: &mut Options) {
        for setting in &SETTINGS {
            options.optopt("", setting.flag, &setting.help_text(), setting.hint);
        }
    }

    /// Reads the settings from the flags, the environment and the defaults.
    ///
    /// # Errors
    ///
    /// Returns every setting that is missing or malformed.
    pub fn read(matches: &getopts::Matches, env: &Environment) -> Result<Self, Vec<String>> {
        let mut reader = SettingsReader {
            matches,
            env,
            problems: Vec::new(),
        };
        let settings = Self {
            listen: reader.parse("listen", SocketAddr::from(([0; 4], 0))),
            operator_listen: reader.parse("operator-listen", SocketAddr::from(([0; 4], 0))),
            peer_listen: reader.parse("peer-listen", SocketAddr::from(([0; 4], 0))),
            platform: reader.parse("platform", SocketAddr::from(([0; 4], 0))),
            availability_zone: ZoneName::from(reader.text("availability-zone")),
            peers: reader.list("peers"),
            peer_key: reader.text("peer-key"),
            bootstrap_token: Some(reader.text("bootstrap-token")).filter(|text| !text.is_empty()),
            max_body_bytes: reader.parse("max-body-bytes", 0),
            memory_mb: reader.parse("memory-mb", 0),
            log_level: reader.parse("log-level", log::LevelFilter::Info),
        };
        if reader.problems.is_empty() {
            Ok(settings)
        } else {
            Err(reader.problems)
        }
    }

    /// Formats the effective settings as `VARIABLE=value` lines with secrets masked.
    #[must_use]
    pub fn format_effective(matches: &getopts::Matches, env: &Environment) -> String {
        let mut lines = String::new();
        for setting in &SETTINGS {
            let value = setting.effective_value(matches, env).unwrap_or_default();
            let displayed = match (setting.secret, value.is_empty()) {
                (true, false) => "********",
                _ => &value,
            };
            lines.push_str(&setting.variable());
            lines.push('=');
            lines.push_str(displayed);
            lines.push('\n');
        }
        lines
    }
}

struct SettingsReader<'a> {
    matches: &'a getopts::Matches,
    env: &'a Environment,
    problems: Vec<String>,
}

impl SettingsReader<'_> {
    fn text(&mut self, flag: &str) -> String {
        let Some(setting) = SETTINGS.iter().find(|setting| setting.flag == flag) else {
            self.problems.push(format!("--{flag}: unknown setting"));
            return String::new();
        };
        let value = setting.effective_value(self.matches, self.env);
        // An empty secret would authenticate requests that present none.
        if setting.required && value.as_deref().is_none_or(str::is_empty) {
            let variable = setting.variable();
            self.problems
                .push(format!("--{flag}: missing; set it or {variable}"));
        }
        value.unwrap_or_default()
    }

    fn parse<T: std::str::FromStr>(&mut self, flag: &str, default: T) -> T {
        let value = self.text(flag);
        if value.is_empty() {
            return default;
        }
        if let Ok(parsed) = value.parse() {
            return parsed;
        }
        self.problems.push(format!("--{flag}: malformed: {value}"));
        default
    }

    fn list<T: std::str::FromStr>(&mut self, flag: &str) -> Vec<T> {
        let text = self.text(flag);
        let mut values = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(_) => self.problems.push(format!("--{flag}: malformed: {part}")),
            }
        }
        values
    }
}
