//! Encoding of evidence about prompts that crash endpoints.

use std::time::Duration;

use eelgrassramp::PromptPart;
use eelgrassramp::num::millis;
use serde::Deserialize;
use serde::Serialize;

use crate::crash_attribution::BlockReport;
use crate::crash_attribution::CrashEvidence;
use crate::crash_attribution::CrashReport;
use crate::crash_attribution::Suspect;
use crate::endpoint::IncarnationKey;

/// Crashes, suspected parts with the milliseconds since a successful response, and blocked parts.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub(super) struct CrashEvidenceWire(
    Vec<CrashReportWire>,
    Vec<(PromptPart, u64)>,
    Vec<PromptPart>,
);

/// Endpoint, milliseconds since its crash, and the prompts that it was beginning to answer.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct CrashReportWire(IncarnationKey, u64, Vec<SuspectWire>);

/// Hash of a prompt, and the parts that others may share.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct SuspectWire(u64, Vec<PromptPart>);

impl From<CrashEvidence> for CrashEvidenceWire {
    fn from(evidence: CrashEvidence) -> Self {
        let crashes = evidence.crashes.into_iter().map(Into::into);
        let successes = evidence.successes.into_iter();
        Self(
            crashes.collect(),
            successes.map(|(part, age)| (part, millis(age))).collect(),
            evidence
                .blocked
                .into_iter()
                .map(|report| report.part)
                .collect(),
        )
    }
}

impl CrashEvidenceWire {
    /// Decodes the evidence; `ages_ms` are the ages of the blocked parts, if the sender tells them.
    pub(super) fn into_evidence(self, ages_ms: &[u64]) -> CrashEvidence {
        let Self(crashes, successes, blocked) = self;
        let has_ages = ages_ms.len() == blocked.len();
        let mut ages = ages_ms.iter().filter(|_| has_ages);
        let blocked = blocked.into_iter().map(|part| BlockReport {
            part,
            age: ages.next().map(|ms| Duration::from_millis(*ms)),
        });
        let successes = successes.into_iter();
        CrashEvidence {
            crashes: crashes.into_iter().map(Into::into).collect(),
            successes: successes
                .map(|(part, ms)| (part, Duration::from_millis(ms)))
                .collect(),
            blocked: blocked.collect(),
        }
    }
}

/// Returns the ages of the blocked parts, for the details of a message.
pub(super) fn blocked_ages_ms(evidence: &CrashEvidence) -> Vec<u64> {
    let ages = evidence.blocked.iter().filter_map(|report| report.age);
    ages.map(millis).collect()
}

impl From<CrashReport> for CrashReportWire {
    fn from(report: CrashReport) -> Self {
        let suspects = report.suspects.into_iter();
        let suspects = suspects.map(|s| SuspectWire(s.prompt, s.parts.to_vec()));
        Self(report.endpoint, millis(report.age), suspects.collect())
    }
}

impl From<CrashReportWire> for CrashReport {
    fn from(CrashReportWire(endpoint, age_ms, suspects): CrashReportWire) -> Self {
        let suspects = suspects.into_iter();
        let suspects = suspects.map(|SuspectWire(prompt, parts)| Suspect {
            prompt,
            parts: parts.into(),
        });
        Self {
            endpoint,
            age: Duration::from_millis(age_ms),
            suspects: suspects.collect(),
        }
    }
}
