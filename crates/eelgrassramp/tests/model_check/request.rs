//! Model of one request, one entry, one sidecar that may restart, and another endpoint.
//!
//! A dispatch and its reply share one connection, so the entry only reads the reply to the
//! original. Duplicates arrive any time after the original, and their replies are not read.

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
use eelgrassramp::ledger::Ledger;
use eelgrassramp::ledger::Limits;
use eelgrassramp::ledger::Refusal;
use eelgrassramp::ledger::RunOutcome;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;

use super::explore::Model;

const TICK_MS: u64 = 10;
const RETENTION_TICKS: u64 = 2;
const MAX_TICKS: u64 = 6;
const MAX_ATTEMPTS: u64 = 3;
const MAX_RESTARTS: u64 = 2;
const REQUEST: RequestId = RequestId::from_bits(1);

/// A rule that is disabled, to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    /// A recorded request is run again.
    SkipLedger,
    /// A dispatch for another incarnation is accepted.
    SkipIncarnation,
    /// A dispatch with an old clock mark is accepted.
    SkipMark,
    /// A revoked request is not recorded.
    SkipTombstone,
    /// A revocation after the retention time is answered as if no record had expired.
    SkipRevokeMark,
    /// A refused dispatch is not recorded.
    SkipRefusal,
    /// A dispatch refused by a full ledger does not raise the lower bound of accepted marks.
    SkipBound,
}

impl Mutation {
    pub const BREAKING: [Self; 7] = [
        Self::SkipLedger,
        Self::SkipIncarnation,
        Self::SkipMark,
        Self::SkipTombstone,
        Self::SkipRevokeMark,
        Self::SkipRefusal,
        Self::SkipBound,
    ];

    /// Returns the ledger size with which the disabled rule leads to a violation.
    pub fn entries(self) -> usize {
        if self == Self::SkipBound { 1 } else { 4 }
    }
}

/// A message that was sent; it may arrive any number of times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Dispatch(Attempt, Incarnation, ClockMark),
    Revoke(Incarnation, ClockMark),
    /// The attempt was refused as not run.
    Refused(Attempt),
    /// The request never started; sent in answer to a revocation after this attempt.
    NeverStarted(Attempt),
}

/// State of the entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    last_report: Option<(Incarnation, ClockMark)>,
    /// The latest dispatch, if its outcome is unknown.
    open: Option<(Attempt, Incarnation, ClockMark)>,
    next_attempt: u64,
    ran_elsewhere: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Tick,
    Restart,
    Report,
    SendDispatch,
    SendRevoke,
    RunElsewhere,
    Deliver(Message),
    /// The dispatch arrives while the sidecar refuses work, for example because it is draining.
    DeliverRefused(Message),
    Start,
    StartFails,
    Finish,
    Displace,
    /// Another request takes up space in the ledger.
    Fill,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestModel {
    mutation: Mutation,
    limits: Limits,
    ticks: u64,
    restarts: u64,
    fillers: u64,
    ledger: Ledger,
    waiting: bool,
    running: bool,
    runs: u32,
    sent: BTreeSet<Message>,
    /// Dispatches of which the original has arrived.
    arrived: BTreeSet<Message>,
    entry: Entry,
}

impl RequestModel {
    pub fn new(mutation: Mutation, entries: usize) -> Self {
        let limits = Limits {
            retention: Duration::from_millis(RETENTION_TICKS * TICK_MS),
            key_retention: Duration::from_millis(RETENTION_TICKS * TICK_MS),
            clock_margin: Duration::ZERO,
            entries,
        };
        Self {
            mutation,
            limits,
            ticks: 0,
            restarts: 0,
            fillers: 0,
            ledger: Ledger::new(Incarnation(0), 0, limits),
            waiting: false,
            running: false,
            runs: 0,
            sent: BTreeSet::new(),
            arrived: BTreeSet::new(),
            entry: Entry {
                last_report: None,
                open: None,
                next_attempt: 0,
                ran_elsewhere: false,
            },
        }
    }

    fn now(&self) -> Monotonic {
        Monotonic::from_millis(self.ticks * TICK_MS)
    }

    fn may_dispatch(&self) -> bool {
        let entry = &self.entry;
        entry.last_report.is_some()
            && entry.open.is_none()
            && !entry.ran_elsewhere
            && entry.next_attempt < MAX_ATTEMPTS
    }

    fn send_dispatch(&mut self) {
        let (incarnation, mark) = self.entry.last_report.expect("heard");
        let attempt = Attempt(self.entry.next_attempt);
        self.entry.next_attempt += 1;
        self.entry.open = Some((attempt, incarnation, mark));
        self.sent
            .insert(Message::Dispatch(attempt, incarnation, mark));
    }

    fn deliver(&mut self, message: Message, precheck: Result<(), Refusal>) {
        match message {
            Message::Dispatch(attempt, incarnation, mark) => {
                let is_original = self.arrived.insert(message);
                let is_refused = self.deliver_dispatch(attempt, incarnation, mark, precheck);
                if is_original && is_refused {
                    self.sent.insert(Message::Refused(attempt));
                }
            }
            Message::Revoke(incarnation, mark) => self.deliver_revoke(incarnation, mark),
            Message::Refused(attempt) | Message::NeverStarted(attempt) => {
                let is_latest = self.entry.open.is_some_and(|(a, ..)| a == attempt);
                if is_latest {
                    self.entry.open = None;
                }
            }
        }
    }

    fn deliver_dispatch(
        &mut self,
        attempt: Attempt,
        incarnation: Incarnation,
        mark: ClockMark,
        precheck: Result<(), Refusal>,
    ) -> bool {
        let now = self.now();
        let mut header = DispatchHeader {
            request: REQUEST,
            attempt,
            incarnation,
            mark,
            key: None,
        };
        match self.mutation {
            Mutation::SkipIncarnation => header.incarnation = self.ledger.incarnation(),
            Mutation::SkipMark => header.mark = Ledger::mark(now),
            Mutation::SkipRefusal if precheck.is_err() => return true,
            _ => {}
        }
        let mut before = self.ledger.clone();
        before.expire(now);
        let decision = self.ledger.accept(now, &header, precheck);
        let was_full = before.len() >= self.limits.entries && !before.contains(REQUEST);
        let is_refused = matches!(decision, DispatchDecision::Refuse(_));
        if self.mutation == Mutation::SkipBound && was_full && is_refused {
            self.ledger = before;
        }
        match decision {
            DispatchDecision::Run => self.waiting = true,
            DispatchDecision::Attach(_) if self.mutation == Mutation::SkipLedger => self.runs += 1,
            DispatchDecision::Attach(_) | DispatchDecision::Refuse(_) => {}
        }
        is_refused
    }

    fn deliver_revoke(&mut self, incarnation: Incarnation, mark: ClockMark) {
        let now = self.now();
        let mut msg = Revoke {
            request: REQUEST,
            incarnation,
            mark,
        };
        if self.mutation == Mutation::SkipRevokeMark {
            msg.mark = Ledger::mark(now);
        }
        let mut ledger = self.ledger.clone();
        let revoked = ledger.revoke(now, &msg);
        let is_new = !self.ledger.contains(REQUEST);
        if !(is_new && self.mutation == Mutation::SkipTombstone) {
            self.ledger = ledger;
        }
        if revoked.was_waiting {
            self.waiting = false;
        }
        if revoked.reply == RevokeReply::NeverStarted {
            // The entry sends a revocation only for its latest attempt.
            let attempt = Attempt(self.entry.next_attempt - 1);
            let of_latest = self
                .entry
                .open
                .is_some_and(|(a, i, m)| a == attempt && i == incarnation && m == mark);
            if of_latest {
                self.sent.insert(Message::NeverStarted(attempt));
            }
        }
    }

    fn displace(&mut self) {
        self.waiting = false;
        let ending = RunOutcome::NotRun(Kind::Displaced);
        self.ledger.end(self.now(), REQUEST, ending);
        self.send_refused();
    }

    /// Sends the entry the reply that the request did not run.
    fn send_refused(&mut self) {
        if let Some((attempt, ..)) = self.entry.open {
            self.sent.insert(Message::Refused(attempt));
        }
    }

    fn fill_ledger(&mut self) {
        self.fillers += 1;
        let request = RequestId::from_bits(100 + u128::from(self.fillers));
        let header = DispatchHeader {
            request,
            attempt: Attempt(0),
            incarnation: self.ledger.incarnation(),
            mark: Ledger::mark(self.now()),
            key: None,
        };
        let precheck = Err(Refusal::not_run(Kind::Draining, "filler"));
        self.ledger.accept(self.now(), &header, precheck);
    }

    fn restart(&mut self) {
        self.restarts += 1;
        self.ticks = 0;
        self.fillers = 0;
        self.waiting = false;
        self.running = false;
        self.ledger = Ledger::new(Incarnation(self.restarts), 0, self.limits);
    }
}

impl Model for RequestModel {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut offer = |step, is_possible| {
            if is_possible {
                steps.push(step);
            }
        };
        let has_proof = self.entry.next_attempt > 0 && self.entry.open.is_none();
        offer(Step::Tick, self.ticks < MAX_TICKS);
        offer(Step::Restart, self.restarts < MAX_RESTARTS);
        offer(Step::Report, true);
        offer(Step::SendDispatch, self.may_dispatch());
        offer(Step::SendRevoke, self.entry.open.is_some());
        offer(Step::RunElsewhere, has_proof && !self.entry.ran_elsewhere);
        offer(Step::Start, self.waiting);
        offer(Step::StartFails, self.waiting);
        offer(Step::Displace, self.waiting);
        offer(Step::Finish, self.running);
        offer(Step::Fill, self.fillers < 1);
        for message in &self.sent {
            offer(Step::Deliver(*message), true);
            let is_dispatch = matches!(message, Message::Dispatch(..));
            offer(Step::DeliverRefused(*message), is_dispatch);
        }
        steps
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Tick => self.ticks += 1,
            Step::Restart => self.restart(),
            Step::Report => {
                let mark = Ledger::mark(self.now());
                self.entry.last_report = Some((self.ledger.incarnation(), mark));
            }
            Step::SendDispatch => self.send_dispatch(),
            Step::SendRevoke => {
                let (_, incarnation, mark) = self.entry.open.expect("open");
                self.sent.insert(Message::Revoke(incarnation, mark));
            }
            Step::RunElsewhere => {
                self.entry.ran_elsewhere = true;
                self.runs += 1;
            }
            Step::Deliver(message) => self.deliver(message, Ok(())),
            Step::DeliverRefused(message) => {
                self.deliver(message, Err(Refusal::not_run(Kind::Draining, "leaving")));
            }
            Step::Start => {
                self.waiting = false;
                self.running = true;
                self.ledger.start(REQUEST).expect("waiting");
                self.runs += 1;
            }
            Step::StartFails => {
                self.waiting = false;
                self.ledger.start(REQUEST).expect("waiting");
                let ending = RunOutcome::NotRun(Kind::ConnectFailed);
                self.ledger.end(self.now(), REQUEST, ending);
                self.send_refused();
            }
            Step::Finish => {
                self.running = false;
                self.ledger.end(self.now(), REQUEST, RunOutcome::Complete);
            }
            Step::Displace => self.displace(),
            Step::Fill => self.fill_ledger(),
        }
    }

    fn violation(&self) -> Option<String> {
        (self.runs > 1).then(|| format!("{} runs", self.runs))
    }
}
