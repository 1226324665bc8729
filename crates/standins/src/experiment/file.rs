//! The experiment file, JSON with comments.

use eelgrassramp::AccountName;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::jsonc;
use serde::Deserialize;
use serde::Serialize;

use crate::cluster::ClusterSpec;
use crate::cluster::Scheduling;
use crate::load::Traffic;

/// A deployment, its traffic and the cases to compare.
#[derive(Debug, Clone, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What is compared, in one sentence.
    pub about: String,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time from the start whose requests are not counted, in seconds.
    pub warmup_s: f64,
    /// Time after the warm-up whose requests are counted, in seconds.
    pub duration_s: f64,
    /// Time after that in which the load goes on, so that the last requests that are counted
    /// meet it too, in seconds.
    pub cooldown_s: f64,
    /// Rates as fractions of the capacity.
    pub loads: Vec<f64>,
    /// Ways to schedule.
    pub schedulings: Vec<Scheduling>,
    /// Sets of accounts that send nothing; the others' requests stay the same.
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
    /// The way to schedule.
    pub scheduling: Scheduling,
    /// The rate as a fraction of the capacity.
    pub load: f64,
    /// Accounts that send nothing.
    pub silent: Vec<AccountName>,
}

impl Experiment {
    /// Reads an experiment; `origin` names the text in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidSettings`] naming the place and the cause.
    pub fn from_str(text: &str, origin: &str) -> Result<Self> {
        jsonc::from_str(text, origin, Kind::InvalidSettings)
    }

    /// Lists the cases in the order in which they are reported.
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
