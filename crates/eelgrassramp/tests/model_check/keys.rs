//! Model of two entries that send different requests with the same idempotency key to the key's
//! home endpoint.

use std::collections::BTreeSet;
use std::time::Duration;

use eelgrassramp::Attempt;
use eelgrassramp::ClockMark;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::RequestId;
use eelgrassramp::ledger::DispatchDecision;
use eelgrassramp::ledger::DispatchHeader;
use eelgrassramp::ledger::IdempotencyInfo;
use eelgrassramp::ledger::Ledger;
use eelgrassramp::ledger::Limits;
use eelgrassramp::ledger::RunOutcome;

use super::explore::Model;

const TICK_MS: u64 = 10;
const RETENTION_TICKS: u64 = 1;
const KEY_RETENTION_TICKS: u64 = 3;
const MARGIN_TICKS: u64 = 0;
const MAX_TICKS: u64 = 8;
const MAX_RESTARTS: u64 = 1;
const KEY: RequestId = RequestId::from_bits(77);

/// A rule that is disabled, to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyMutation {
    None,
    /// The key is ignored.
    SkipKey,
    /// A new incarnation accepts keys that an earlier one may have used.
    SkipQuarantine,
    /// A key expires together with its request.
    ForgetEarly,
}

impl KeyMutation {
    pub const BREAKING: [Self; 3] = [Self::SkipKey, Self::SkipQuarantine, Self::ForgetEarly];
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sent {
    request: u8,
    incarnation: Incarnation,
    mark: ClockMark,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    Restart,
    /// The entry with this number requests a report and dispatches its request.
    Send(u8),
    Deliver(Sent),
    Start(u8),
    Displace(u8),
    Finish(u8),
}

/// Model state. The sidecar's clock restarts with the sidecar; the model's clock continues.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyModel {
    mutation: KeyMutation,
    ticks: u64,
    started_at: u64,
    restarts: u64,
    ledger: Ledger,
    waiting: BTreeSet<u8>,
    running: BTreeSet<u8>,
    /// Times, by the model's clock, at which a request with the key ran.
    runs: Vec<u64>,
    sent: BTreeSet<Sent>,
}

impl KeyModel {
    pub fn new(mutation: KeyMutation) -> Self {
        Self {
            mutation,
            // The first incarnation is older than the key retention, so that it covers all uses.
            ticks: KEY_RETENTION_TICKS,
            started_at: 0,
            restarts: 0,
            ledger: Self::ledger(mutation, 0, 0),
            waiting: BTreeSet::new(),
            running: BTreeSet::new(),
            runs: Vec::new(),
            sent: BTreeSet::new(),
        }
    }

    fn ledger(mutation: KeyMutation, incarnation: u64, started_at: u64) -> Ledger {
        let key_ticks = match mutation {
            KeyMutation::ForgetEarly => RETENTION_TICKS,
            _ => KEY_RETENTION_TICKS,
        };
        let limits = Limits {
            retention: Duration::from_millis(RETENTION_TICKS * TICK_MS),
            key_retention: Duration::from_millis(key_ticks * TICK_MS),
            clock_margin: Duration::from_millis(MARGIN_TICKS * TICK_MS),
            entries: 8,
        };
        Ledger::new(Incarnation(incarnation), started_at * TICK_MS, limits)
    }

    fn now(&self) -> Monotonic {
        Monotonic::from_millis((self.ticks - self.started_at) * TICK_MS)
    }

    fn deliver(&mut self, sent: Sent) {
        let key = IdempotencyInfo {
            key: KEY,
            made_ms: None,
            fingerprint: 1,
            non_idempotent: self.mutation != KeyMutation::SkipQuarantine,
        };
        let header = DispatchHeader {
            request: id(sent.request),
            attempt: Attempt(0),
            incarnation: sent.incarnation,
            mark: sent.mark,
            key: (self.mutation != KeyMutation::SkipKey).then_some(key),
        };
        if self.ledger.accept(self.now(), &header, Ok(())) == DispatchDecision::Run {
            self.waiting.insert(sent.request);
        }
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.started_at = self.ticks;
        self.waiting.clear();
        self.running.clear();
        self.ledger = Self::ledger(self.mutation, self.restarts, self.started_at);
    }
}

fn id(request: u8) -> RequestId {
    RequestId::from_bits(u128::from(request) + 1)
}

impl Model for KeyModel {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Send(0), Step::Send(1)];
        if self.ticks < KEY_RETENTION_TICKS + MAX_TICKS {
            steps.push(Step::Tick);
        }
        if self.restarts < MAX_RESTARTS {
            steps.push(Step::Restart);
        }
        steps.extend(self.sent.iter().map(|s| Step::Deliver(*s)));
        steps.extend(self.waiting.iter().map(|r| Step::Start(*r)));
        steps.extend(self.waiting.iter().map(|r| Step::Displace(*r)));
        steps.extend(self.running.iter().map(|r| Step::Finish(*r)));
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Tick => self.ticks += 1,
            Step::Restart => self.restart(),
            Step::Send(request) => {
                self.sent.insert(Sent {
                    request,
                    incarnation: self.ledger.incarnation(),
                    mark: Ledger::mark(self.now()),
                });
            }
            Step::Deliver(sent) => self.deliver(sent),
            Step::Start(request) => {
                self.waiting.remove(&request);
                self.running.insert(request);
                self.ledger.start(id(request)).expect("waiting");
                self.runs.push(self.ticks);
            }
            Step::Displace(request) => {
                self.waiting.remove(&request);
                let ending = RunOutcome::NotRun(Kind::Displaced);
                self.ledger.end(self.now(), id(request), ending);
            }
            Step::Finish(request) => {
                self.running.remove(&request);
                self.ledger
                    .end(self.now(), id(request), RunOutcome::Complete);
            }
        }
    }

    fn violation(&self) -> Option<String> {
        let too_close = |pair: &[u64]| pair[1] - pair[0] <= KEY_RETENTION_TICKS;
        let found = self.runs.windows(2).any(too_close);
        found.then(|| format!("the key ran at {:?}", self.runs))
    }
}
