//! Definitions of the settings: flags, environment variables and defaults.

use super::Environment;

/// Definition of one setting.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag without the leading dashes.
    pub flag: &'static str,
    /// Placeholder for the value in the help text.
    pub hint: &'static str,
    /// Description in the help text.
    pub help: &'static str,
    /// Value if neither the flag nor the variable is set.
    pub default: Option<&'static str>,
    /// Whether the process refuses to start without a value.
    pub required: bool,
    /// Whether the value is masked when settings are printed.
    pub secret: bool,
}

impl Setting {
    const fn new(flag: &'static str, hint: &'static str, help: &'static str) -> Self {
        Self {
            flag,
            hint,
            help,
            default: None,
            required: false,
            secret: false,
        }
    }

    const fn default(mut self, value: &'static str) -> Self {
        self.default = Some(value);
        self
    }

    const fn required(mut self) -> Self {
        self.required = true;
        self
    }

    const fn secret(mut self) -> Self {
        self.secret = true;
        self
    }

    /// Name of the environment variable.
    #[must_use]
    pub fn variable(&self) -> String {
        let name = self.flag.to_uppercase().replace('-', "_");
        format!("VERBENAHINGE_{name}")
    }

    /// Formats the description, with the variable and the default, for the help text.
    #[must_use]
    pub fn help_text(&self) -> String {
        match self.default {
            Some(default) => format!("{} [{}, default {default}]", self.help, self.variable()),
            None => format!("{} [{}]", self.help, self.variable()),
        }
    }

    /// Returns the value of the flag, else of the variable, else the default.
    #[must_use]
    pub fn effective_value(&self, matches: &getopts::Matches, env: &Environment) -> Option<String> {
        matches
            .opt_str(self.flag)
            .or_else(|| env.get(&self.variable()).cloned())
            .or_else(|| self.default.map(ToOwned::to_owned))
    }
}

pub(super) const SETTINGS: [Setting; 11] = [
    Setting::new("listen", "IP:PORT", "listen address for callers").default("127.0.0.1:8080"),
    Setting::new(
        "operator-listen",
        "IP:PORT",
        "listen address for operators and metrics scrapers",
    )
    .default("127.0.0.1:8081"),
    Setting::new("peer-listen", "IP:PORT", "listen address for other VMs")
        .default("127.0.0.1:8082"),
    Setting::new("platform", "IP:PORT", "address of the platform's services").required(),
    Setting::new("availability-zone", "NAME", "availability zone of this VM").default("a"),
    Setting::new(
        "peers",
        "IP:PORT,...",
        "VMs to contact before the VM list is read",
    ),
    Setting::new("peer-key", "SECRET", "shared secret of all VMs")
        .required()
        .secret(),
    Setting::new(
        "bootstrap-token",
        "SECRET",
        "token that submits the first version",
    )
    .secret(),
    Setting::new("max-body-bytes", "BYTES", "maximum size of a request body").default("4194304"),
    Setting::new("memory-mb", "MB", "memory of the VM").default("120"),
    Setting::new(
        "log-level",
        "LEVEL",
        "off, error, warn, info, debug or trace",
    )
    .default("info"),
];
