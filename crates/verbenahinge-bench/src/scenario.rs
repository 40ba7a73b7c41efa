//! Scenarios: load and faults of a run, as read from scenario files.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::deployment::DeploymentName;

/// Variation of the load over time and between classes and accounts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "shape")]
pub enum LoadPattern {
    /// Constant arrival rate.
    Steady,
    /// Almost no load, then a sudden start of the full load.
    QuietThenAll {
        /// Second at which the full load starts.
        from_s: u64,
    },
    /// One class sends a multiple of its load for a while.
    ClassBurst {
        /// Name of the class.
        class: String,
        /// Multiple of the usual load.
        factor: f64,
        /// Second at which the burst starts.
        from_s: u64,
        /// Second at which the burst ends.
        to_s: u64,
    },
    /// One account sends a multiple of its load throughout the run.
    AccountFlood {
        /// Index of the account.
        account: usize,
        /// Multiple of the usual load.
        factor: f64,
    },
}

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Fault {
    /// One engine in ten becomes five times slower.
    Stragglers {
        /// Second at which they become slow.
        from_s: u64,
    },
    /// One engine crashes and restarts with an empty cache.
    Crash {
        /// Index of the engine.
        engine: usize,
        /// Second at which it crashes.
        at_s: u64,
    },
    /// All VMs and backend servers of the first availability zone fail for good.
    ZoneLost {
        /// Second at which the zone fails.
        at_s: u64,
    },
    /// Backend servers send no more load reports.
    ReportsStop {
        /// Second after which no report is sent.
        from_s: u64,
    },
}

/// Deployment, load and faults of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in tables and summaries.
    pub name: String,
    /// Simulated deployment.
    pub deployment: DeploymentName,
    /// Offered load as a multiple of the engines' capacity.
    pub load: f64,
    /// Time in which requests arrive.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Variation of the load.
    pub pattern: LoadPattern,
    /// Injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Whether callers resubmit a refused request after its retry delay.
    #[serde(default)]
    pub callers_return: bool,
}

impl Scenario {
    /// Creates a scenario with constant load and no faults.
    ///
    /// # Panics
    ///
    /// Panics if `deployment` is not the name of a [`DeploymentName`].
    #[must_use]
    pub fn steady(deployment: &str, load: f64) -> Self {
        let parsed = deployment.parse().expect("deployment name is valid");
        Self {
            name: format!("{deployment}-{load}"),
            deployment: parsed,
            load,
            seconds: 30,
            seed: 1,
            pattern: LoadPattern::Steady,
            faults: Vec::new(),
            callers_return: false,
        }
    }

    /// Sets the time in which requests arrive.
    #[must_use]
    pub const fn seconds(mut self, seconds: u64) -> Self {
        self.seconds = seconds;
        self
    }

    /// Sets the seed.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Adds a fault.
    #[must_use]
    pub fn fault(mut self, fault: Fault) -> Self {
        self.faults.push(fault);
        self
    }

    /// Time in which requests arrive.
    #[must_use]
    pub const fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}
