//! Attribution of endpoint crashes to parts of prompts, and to requests as a whole.
//!
//! A part of a prompt may crash every endpoint that begins to answer a request with it, and so may one
//! particular request. Whoever sends such requests on takes down one endpoint after the other, with
//! all other requests that run there. Entries therefore record which prompts an endpoint was beginning
//! to answer when it crashed, and exchange these records. A part that was there in several crashes and
//! in no successful response since is blocked: requests with it are refused. A whole request counts as
//! one more part of its prompt. See `docs/design/platform.md`, "Prompts that crash endpoints".

mod request_part;

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::PromptPart;

use self::request_part::is_whole_request;
use crate::endpoint::IncarnationKey;

pub use self::request_part::RequestContent;

/// Number of chunks of a response from which its prompt is not suspected in a crash: a part that
/// crashes endpoints does so when the response begins.
pub const UNSUSPECTED_CHUNKS: u32 = 8;

/// Crashes after which a part is blocked.
const MIN_CRASHES: usize = 3;

/// Crashes after which a part is blocked that was in a successful response within [`RETENTION_TIME`].
const MIN_CRASHES_AFTER_SUCCESS: usize = 6;

/// Number of different prompts in these crashes. With a single one, any of its parts could be the cause.
/// This does not apply to a whole request, which is a single prompt.
const MIN_PROMPTS: usize = 2;

/// Crashes within this time count as one, because endpoints that end together have another cause.
const MIN_CRASH_SPACING: Duration = Duration::from_millis(50);

/// Time after a crash before it is judged, in which the other entries report what they had sent to the
/// endpoint.
const SETTLE_TIME: Duration = Duration::from_millis(350);

/// Time for which crashes and successful responses are remembered.
const RETENTION_TIME: Duration = Duration::from_mins(1);

/// Time within which a lost connection has to be recognized as a crash.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// Time without requests with a blocked part after which it is no longer blocked.
const BLOCK_TIME: Duration = Duration::from_mins(10);

/// Time after an operator unblocked a part in which other entries may not have noticed, and still list it.
const UNBLOCK_PROPAGATION_TIME: Duration = Duration::from_mins(1);

/// Time after a crash for which messages to other entries list it.
const SHARE_DURATION: Duration = Duration::from_secs(5);

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 512;

/// Maximum number of prompts that are remembered for one crash, of this and of the other entries each.
const MAX_SUSPECTS: usize = 64;

/// Maximum number of parts whose successful responses are remembered.
const MAX_SUCCEEDED_PARTS: usize = 65_536;

/// Maximum number of blocked parts.
const MAX_BLOCKED_PARTS: usize = 256;

/// The parts of a prompt that other requests may share, and the identity of the whole prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of all parts of the prompt.
    pub prompt: u64,
    /// All parts but the last, in order.
    pub parts: Arc<[PromptPart]>,
}

impl Suspect {
    /// Returns the suspect for a prompt with these parts; `None` if it shares none with others.
    #[must_use]
    pub fn of_prompt(parts: &[PromptPart]) -> Option<Self> {
        let (_own, shared) = parts.split_last()?;
        if shared.is_empty() {
            return None;
        }
        let text = parts
            .iter()
            .fold(String::new(), |text, part| text + part.as_str() + ",");
        Some(Self {
            prompt: xxhash_rust::xxh3::xxh3_64(text.as_bytes()),
            parts: shared.into(),
        })
    }

    fn contains(&self, part: &PromptPart) -> bool {
        self.parts.contains(part)
    }
}

/// A crash, and the prompts that one entry had sent to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// The incarnation that crashed.
    pub endpoint: IncarnationKey,
    /// Time since the crash.
    pub age: Duration,
    /// The prompts that it was beginning to answer.
    pub suspects: Vec<Suspect>,
}

/// What one entry tells the others about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashEvidence {
    /// Recent crashes.
    pub crashes: Vec<CrashReport>,
    /// Suspected parts, each with the time since the entry saw a successful response to a prompt with it.
    pub successes: Vec<(PromptPart, Duration)>,
    /// Blocked parts that callers of the entry ask for.
    pub blocked: Vec<BlockReport>,
}

/// A blocked part that an entry found or was asked for itself.
///
/// What an entry knows only from another one it does not pass on: the evidence would seem newer each
/// time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockReport {
    /// The part.
    pub part: PromptPart,
    /// Time since the entry last found it or was asked for it; `None` in messages of builds that do not
    /// tell.
    pub age: Option<Duration>,
}

impl CrashEvidence {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.successes.is_empty() && self.blocked.is_empty()
    }
}

/// A part that was found to crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attribution {
    /// The part.
    pub part: PromptPart,
    /// Number of crashes in which it was there.
    pub crashes: usize,
    /// Number of different prompts in these crashes.
    pub prompts: usize,
    /// Further requests that are blocked, because they were there in as many crashes as this one.
    pub tied_requests: Vec<PromptPart>,
}

#[derive(Debug)]
struct Crash {
    at: Monotonic,
    /// Whether the endpoint refused connections afterwards, here or at another entry.
    is_confirmed: bool,
    own_suspects: Vec<Suspect>,
    peer_suspects: Vec<Suspect>,
}

impl Crash {
    const fn new(at: Monotonic) -> Self {
        Self {
            at,
            is_confirmed: false,
            own_suspects: Vec::new(),
            peer_suspects: Vec::new(),
        }
    }

    fn suspects(&self) -> impl Iterator<Item = &Suspect> {
        self.own_suspects.iter().chain(&self.peer_suspects)
    }
}

fn add_suspect(suspects: &mut Vec<Suspect>, suspect: Suspect) {
    if suspects.len() < MAX_SUSPECTS && !suspects.contains(&suspect) {
        suspects.push(suspect);
    }
}

#[derive(Debug, Clone, Copy)]
struct Block {
    /// When any entry last found it or was asked for it.
    requested_at: Monotonic,
    /// When this entry last found it or was asked for it.
    requested_here_at: Option<Monotonic>,
    /// Whether this entry found it, and not another one.
    is_own: bool,
}

impl Block {
    /// A block that another entry or the store told of.
    const fn heard(requested_at: Monotonic) -> Self {
        Self {
            requested_at,
            requested_here_at: None,
            is_own: false,
        }
    }
}

/// The last successful response to a prompt with a part.
#[derive(Debug, Clone, Copy)]
struct Success {
    at: Monotonic,
    /// Whether this entry saw it, and not another one.
    is_own: bool,
}

impl Success {
    /// A success that this entry did not see itself.
    const fn heard(at: Monotonic) -> Self {
        Self { at, is_own: false }
    }
}

/// Crashes in which a part was there.
#[derive(Debug, Default)]
struct Record {
    crashes: Vec<Monotonic>,
    prompts: HashSet<u64>,
    /// Latest position in a prompt; the later of two parts that always occur together is more specific.
    position: usize,
}

impl Record {
    fn crash_count(&self) -> usize {
        let mut times = self.crashes.clone();
        times.sort_unstable();
        times.dedup_by(|later, earlier| later.since(*earlier) < MIN_CRASH_SPACING);
        times.len()
    }
}

/// Crashes of endpoints, what they were answering then, and the parts that are blocked.
#[derive(Debug, Default)]
pub struct CrashAttribution {
    crashes: HashMap<IncarnationKey, Crash>,
    successes: HashMap<PromptPart, Success>,
    blocked: HashMap<PromptPart, Block>,
    /// Times at which operators unblocked parts.
    unblocked_at: HashMap<PromptPart, Monotonic>,
}

impl CrashAttribution {
    /// Records that the connection of a request to an endpoint was lost; returns whether it should be
    /// checked if the endpoint has crashed.
    pub fn record_loss(&mut self, now: Monotonic, endpoint: IncarnationKey, lost: Suspect) -> bool {
        let is_new = !self.crashes.contains_key(&endpoint);
        let Some(crash) = self.crash_mut(now, endpoint) else {
            return false;
        };
        add_suspect(&mut crash.own_suspects, lost);
        is_new
    }

    /// Records that an endpoint, to which connections were lost, refuses connections.
    pub fn confirm_crash(&mut self, endpoint: IncarnationKey) {
        if let Some(crash) = self.crashes.get_mut(&endpoint) {
            crash.is_confirmed = true;
        }
    }

    /// Records that an endpoint, to which connections were lost, accepts connections.
    pub fn rule_out_crash(&mut self, endpoint: IncarnationKey) {
        if self.crashes.get(&endpoint).is_some_and(|c| !c.is_confirmed) {
            self.crashes.remove(&endpoint);
        }
    }

    /// Records that an endpoint answered a prompt, or a good part of it, without a crash.
    pub fn record_success(&mut self, now: Monotonic, parts: &[PromptPart]) {
        let Some((_own, shared)) = parts.split_last() else {
            return;
        };
        for part in shared {
            let success = Success {
                at: now,
                is_own: true,
            };
            self.apply_success(part, success);
        }
    }

    /// Returns the blocked part of a prompt with these parts, if it has one.
    pub fn blocked_part(&mut self, now: Monotonic, parts: &[PromptPart]) -> Option<PromptPart> {
        if self.blocked.is_empty() {
            return None;
        }
        let (_own, shared) = parts.split_last()?;
        let part = shared
            .iter()
            .find(|part| self.blocked.contains_key(*part))?;
        if let Some(block) = self.blocked.get_mut(part) {
            block.requested_at = now;
            block.requested_here_at = Some(now);
        }
        Some(part.clone())
    }

    /// Returns the blocked parts.
    pub fn blocked_parts(&self) -> impl Iterator<Item = &PromptPart> {
        self.blocked.keys()
    }

    /// Returns the blocked parts that this entry found itself.
    pub fn own_blocked_parts(&self) -> impl Iterator<Item = &PromptPart> {
        let own = self.blocked.iter().filter(|(_, block)| block.is_own);
        own.map(|(part, _)| part)
    }

    /// Blocks a part that was found elsewhere or earlier; returns whether this is new.
    pub fn adopt_block(&mut self, now: Monotonic, part: &PromptPart) -> bool {
        self.block(part, Block::heard(now))
    }

    /// Unblocks a part by an operator's order; crashes until now no longer count against it.
    pub fn unblock(&mut self, now: Monotonic, part: &PromptPart) {
        self.blocked.remove(part);
        self.unblocked_at.insert(part.clone(), now);
        self.apply_success(part, Success::heard(now));
        self.crashes
            .retain(|_, crash| !crash.suspects().any(|suspect| suspect.contains(part)));
    }

    /// Returns what to tell the other entries.
    #[must_use]
    pub fn evidence_to_share(&self, now: Monotonic) -> CrashEvidence {
        let recent = self.crashes.iter().filter(|(_, crash)| {
            crash.is_confirmed
                && !crash.own_suspects.is_empty()
                && now.since(crash.at) < SHARE_DURATION
        });
        let crashes = recent.map(|(endpoint, crash)| CrashReport {
            endpoint: *endpoint,
            age: now.since(crash.at),
            suspects: crash.own_suspects.clone(),
        });
        let suspected: HashSet<&PromptPart> = self
            .unexplained_crashes()
            .flat_map(|crash| crash.suspects().flat_map(|suspect| &*suspect.parts))
            .collect();
        let successes = suspected.into_iter().filter_map(|part| {
            let success = self.successes.get(part)?;
            success
                .is_own
                .then(|| (part.clone(), now.since(success.at)))
        });
        let blocked = self.blocked.iter().filter_map(|(part, block)| {
            Some(BlockReport {
                part: part.clone(),
                age: Some(now.since(block.requested_here_at?)),
            })
        });
        CrashEvidence {
            crashes: crashes.collect(),
            successes: successes.collect(),
            blocked: blocked.collect(),
        }
    }

    /// Applies what another entry told; returns the parts that are newly blocked.
    pub fn apply_evidence(&mut self, now: Monotonic, evidence: &CrashEvidence) -> Vec<PromptPart> {
        for report in &evidence.crashes {
            self.apply_report(now, report);
        }
        for (part, age) in &evidence.successes {
            if *age < RETENTION_TIME {
                self.apply_success(part, Success::heard(now - *age));
            }
        }
        let blocked = evidence.blocked.iter();
        let new = blocked.filter(|report| self.apply_block(now, report));
        new.map(|report| report.part.clone()).collect()
    }

    /// Blocks a part that another entry blocks; returns whether this is new.
    fn apply_block(&mut self, now: Monotonic, report: &BlockReport) -> bool {
        let age = report.age.unwrap_or_default();
        if age >= BLOCK_TIME {
            return false;
        }
        let requested_at = now - age;
        if let Some(block) = self.blocked.get_mut(&report.part) {
            if report.age.is_some() {
                block.requested_at = block.requested_at.max(requested_at);
            }
            return false;
        }
        self.block(&report.part, Block::heard(requested_at))
    }

    fn apply_report(&mut self, now: Monotonic, report: &CrashReport) {
        if report.age >= RETENTION_TIME {
            return;
        }
        let at = now - report.age;
        let Some(crash) = self.crash_mut(at, report.endpoint) else {
            return;
        };
        crash.is_confirmed = true;
        for suspect in &report.suspects {
            add_suspect(&mut crash.peer_suspects, suspect.clone());
        }
    }

    fn apply_success(&mut self, part: &PromptPart, success: Success) {
        if let Some(known) = self.successes.get_mut(part) {
            if success.at > known.at {
                *known = success;
            }
        } else if self.successes.len() < MAX_SUCCEEDED_PARTS {
            self.successes.insert(part.clone(), success);
        }
    }

    /// Blocks the part that explains most of the crashes, if there is enough evidence against it. Of parts
    /// that explain as many, it is the one that comes latest in prompts, which fewest prompts share.
    ///
    /// Requests that were there in equally many crashes are blocked together: they were sent to the same
    /// endpoints, and which of them crashed these cannot be told.
    pub fn attribute(&mut self, now: Monotonic) -> Option<Attribution> {
        let records = self.records(now);
        let mut candidates: Vec<_> = records
            .into_iter()
            .filter(|(part, record)| self.has_enough_evidence(now, part, record))
            .collect();
        candidates.sort_by_key(|(_, record)| {
            (record.crash_count(), record.position, record.prompts.len())
        });
        let (part, record) = candidates.pop()?;
        let crashes = record.crash_count();
        let tied = candidates.into_iter().filter(|(other, record)| {
            let are_requests = is_whole_request(part) && is_whole_request(other);
            are_requests && record.crash_count() == crashes
        });
        let attribution = Attribution {
            part: part.clone(),
            crashes,
            prompts: record.prompts.len(),
            tied_requests: tied.map(|(other, _)| other.clone()).collect(),
        };
        let block = Block {
            requested_at: now,
            requested_here_at: Some(now),
            is_own: true,
        };
        self.block(&attribution.part, block);
        for request in &attribution.tied_requests {
            self.block(request, block);
        }
        Some(attribution)
    }

    /// Returns the crashes of each part since the last successful response to a prompt with it.
    fn records(&self, now: Monotonic) -> HashMap<&PromptPart, Record> {
        let mut records: HashMap<&PromptPart, Record> = HashMap::new();
        for crash in self.unexplained_crashes() {
            if now.since(crash.at) < SETTLE_TIME {
                continue;
            }
            let mut counted = HashSet::new();
            for suspect in self.remaining_suspects(crash) {
                for (position, part) in suspect.parts.iter().enumerate() {
                    let success = self.successes.get(part);
                    let is_cleared = success.is_some_and(|success| success.at >= crash.at);
                    if is_cleared || self.blocked.contains_key(part) {
                        continue;
                    }
                    let record = records.entry(part).or_default();
                    record.position = record.position.max(position);
                    record.prompts.insert(suspect.prompt);
                    if counted.insert(part) {
                        record.crashes.push(crash.at);
                    }
                }
            }
        }
        records
    }

    /// Returns the suspects that may have caused a crash: the blocked requests that were there, or all if
    /// none was. A part may still be the cause that several blocked requests have in common.
    fn remaining_suspects<'a>(&self, crash: &'a Crash) -> Vec<&'a Suspect> {
        let all: Vec<_> = crash.suspects().collect();
        let blocked = all.iter().filter(|suspect| self.is_blocked(suspect));
        let blocked: Vec<_> = blocked.copied().collect();
        if blocked.is_empty() { all } else { blocked }
    }

    fn is_blocked(&self, suspect: &Suspect) -> bool {
        let mut parts = suspect.parts.iter();
        parts.any(|part| self.blocked.contains_key(part))
    }

    fn has_enough_evidence(&self, now: Monotonic, part: &PromptPart, record: &Record) -> bool {
        let success = self.successes.get(part);
        let has_succeeded = success.is_some_and(|success| now.since(success.at) < RETENTION_TIME);
        let min_crashes = if has_succeeded {
            MIN_CRASHES_AFTER_SUCCESS
        } else {
            MIN_CRASHES
        };
        let has_enough_prompts = is_whole_request(part) || record.prompts.len() >= MIN_PROMPTS;
        has_enough_prompts && record.crash_count() >= min_crashes
    }

    /// Returns the crashes in which no blocked part was there that different prompts share. These say
    /// nothing about the other prompts.
    fn unexplained_crashes(&self) -> impl Iterator<Item = &Crash> {
        let is_explained = |crash: &Crash| {
            let mut parts = crash.suspects().flat_map(|suspect| &*suspect.parts);
            parts.any(|part| !is_whole_request(part) && self.blocked.contains_key(part))
        };
        let confirmed = self.crashes.values().filter(|crash| crash.is_confirmed);
        confirmed.filter(move |crash| !is_explained(crash))
    }

    /// Drops what is too old to be considered.
    pub fn expire(&mut self, now: Monotonic) {
        self.crashes.retain(|_, crash| {
            let limit = if crash.is_confirmed {
                RETENTION_TIME
            } else {
                CONFIRMATION_TIME
            };
            now.since(crash.at) < limit
        });
        self.successes
            .retain(|_, success| now.since(success.at) < RETENTION_TIME);
        self.blocked
            .retain(|_, block| now.since(block.requested_at) < BLOCK_TIME);
        self.unblocked_at
            .retain(|_, at| now.since(*at) < UNBLOCK_PROPAGATION_TIME);
    }

    fn block(&mut self, part: &PromptPart, block: Block) -> bool {
        let is_full = self.blocked.len() >= MAX_BLOCKED_PARTS;
        let is_outdated = !block.is_own && self.unblocked_at.contains_key(part);
        if is_full || is_outdated || self.blocked.contains_key(part) {
            return false;
        }
        self.blocked.insert(part.clone(), block);
        true
    }

    fn crash_mut(&mut self, at: Monotonic, endpoint: IncarnationKey) -> Option<&mut Crash> {
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(&endpoint) {
            return None;
        }
        let crash = self.crashes.entry(endpoint);
        Some(crash.or_insert_with(|| Crash::new(at)))
    }
}
