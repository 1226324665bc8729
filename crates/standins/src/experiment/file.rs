//! The experiment file, which is JSON with comments.

use eelgrassramp::AccountName;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::jsonc;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster::ClusterSpec;
use crate::cluster::Scheduling;
use crate::load::Traffic;

/// A deployment, its traffic and the cases under comparison.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// A one-sentence description.
    pub about: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the warm-up in seconds; its requests are not counted.
    pub warmup_s: f64,
    /// Duration of the measurement after the warm-up, in seconds.
    pub duration_s: f64,
    /// Time for which the load continues after the measurement, in seconds, so that the last
    /// counted requests also run under load.
    pub cooldown_s: f64,
    /// Request rates as fractions of the capacity.
    pub loads: Vec<f64>,
    /// Scheduling policies.
    pub schedulings: Vec<Scheduling>,
    /// Sets of accounts that send nothing; the requests of the other accounts stay the same.
    #[serde(default = "nobody")]
    pub silent: Vec<Vec<AccountName>>,
    /// The deployment.
    pub cluster: ClusterSpec,
    /// The traffic.
    pub traffic: Traffic,
}

fn nobody() -> Vec<Vec<AccountName>> {
    vec![Vec::new()]
}

/// One run of an experiment.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct Case {
    /// The scheduling policy.
    pub scheduling: Scheduling,
    /// The request rate as a fraction of the capacity.
    pub load: f64,
    /// Accounts that send nothing.
    pub silent: Vec<AccountName>,
}

impl Experiment {
    /// Parses an experiment; `origin` identifies the text in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] with the position and the cause.
    pub fn from_str(text: &str, origin: &str) -> Result<Self> {
        jsonc::from_str(text, origin, Kind::InvalidSettings)
    }

    /// Returns the cases in reporting order.
    #[must_use]
    pub fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for scheduling in &self.schedulings {
            for load in &self.loads {
                for silent in &self.silent {
                    cases.push(Case {
                        scheduling: *scheduling,
                        load: *load,
                        silent: silent.clone(),
                    });
                }
            }
        }
        cases
    }
}
