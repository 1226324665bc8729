//! Crashes of endpoints, and parts of prompts that are blocked because they cause them.

use std::sync::Arc;

use eelgrassramp::EntryName;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::PromptPart;
use slog::info;
use slog::warn;

use super::Entry;
use crate::crash_attribution::CrashEvidence;
use crate::crash_attribution::Suspect;
use crate::endpoint::Endpoint;
use crate::endpoint::IncarnationKey;
use crate::refusal::Refusal;

impl Entry {
    /// Returns the refusal of a prompt with a blocked part, if it has one.
    pub(crate) fn refuse_blocked_prompt(&self, parts: &[PromptPart]) -> Option<Refusal> {
        let now = self.cx.timers.now();
        let part = self.lock().crash_attribution.blocked_part(now, parts)?;
        let detail = format!("{part} crashed several endpoints");
        Some(Error::new(Kind::PromptBlocked, detail).into())
    }

    /// Records that an endpoint answered a prompt without a crash.
    pub(crate) fn record_prompt_success(&self, parts: &[PromptPart]) {
        let now = self.cx.timers.now();
        self.lock().crash_attribution.record_success(now, parts);
    }

    /// Records that an endpoint broke off the connection of a request with these parts in its prompt, and
    /// checks in the background whether it has crashed.
    pub(crate) fn record_loss(self: &Arc<Self>, endpoint: &Arc<Endpoint>, parts: &[PromptPart]) {
        let Some(lost) = Suspect::of_prompt(parts) else {
            return;
        };
        let now = self.cx.timers.now();
        let key = IncarnationKey::from(&**endpoint);
        let is_to_check = self.lock().crash_attribution.record_loss(now, key, lost);
        if is_to_check {
            tokio::spawn(Arc::clone(self).check_for_crash(Arc::clone(endpoint)));
        }
    }

    async fn check_for_crash(self: Arc<Self>, endpoint: Arc<Endpoint>) {
        let key = IncarnationKey::from(&*endpoint);
        match self.connections.refuses_connections(&endpoint).await {
            Some(true) => {
                self.lock().crash_attribution.confirm_crash(key);
                info!(self.cx.log, "endpoint crashed while it answered";
                    "endpoint" => endpoint.name.as_str());
            }
            Some(false) => self.lock().crash_attribution.rule_out_crash(key),
            None => {}
        }
    }

    /// Forgets old crashes, and unblocks parts that nobody has asked for of late.
    pub(super) fn expire_crashes(&self) {
        let now = self.cx.timers.now();
        self.lock().crash_attribution.expire(now);
    }

    /// Blocks parts of prompts that are found to crash endpoints.
    pub(super) fn block_crashing_prompts(&self) {
        let now = self.cx.timers.now();
        let attribution = self.lock().crash_attribution.attribute(now);
        if let Some(found) = attribution {
            warn!(self.cx.log, "part of prompts crashes endpoints, requests with it are refused";
                "part" => found.part.as_str(), "crashes" => found.crashes,
                "prompts" => found.prompts, "tied" => found.tied_requests.len());
        }
    }

    /// Applies what a peer told about crashes.
    pub(super) fn apply_crash_evidence(&self, entry: &EntryName, evidence: &CrashEvidence) {
        if evidence.is_empty() {
            return;
        }
        let now = self.cx.timers.now();
        let mut state = self.lock();
        let blocked = state.crash_attribution.apply_evidence(now, evidence);
        drop(state);
        for part in blocked {
            warn!(self.cx.log, "part of prompts crashes endpoints, as another entry found";
                "part" => part.as_str(), "entry" => entry.as_str());
        }
    }

    /// Blocks a part of prompts that an earlier process found to crash endpoints.
    pub fn adopt_blocked_part(&self, part: &PromptPart) {
        let now = self.cx.timers.now();
        let is_new = self.lock().crash_attribution.adopt_block(now, part);
        if is_new {
            warn!(self.cx.log, "part of prompts crashes endpoints, as was found earlier";
                "part" => part.as_str());
        }
    }

    /// Unblocks a part of prompts by an operator's order.
    pub fn unblock_part(&self, part: &PromptPart) {
        let now = self.cx.timers.now();
        self.lock().crash_attribution.unblock(now, part);
        info!(self.cx.log, "part of prompts unblocked by an operator"; "part" => part.as_str());
    }

    /// Returns the blocked parts of prompts, and those of them that this entry found itself.
    #[must_use]
    pub fn blocked_parts(&self) -> BlockedParts {
        let state = self.lock();
        BlockedParts {
            all: state.crash_attribution.blocked_parts().cloned().collect(),
            own: state
                .crash_attribution
                .own_blocked_parts()
                .cloned()
                .collect(),
        }
    }
}

/// Parts of prompts that are blocked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BlockedParts {
    /// All of them.
    pub all: Vec<PromptPart>,
    /// Those that this entry found itself.
    pub own: Vec<PromptPart>,
}
