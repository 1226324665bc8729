//! Tests of the ledger with regard to keys, time and memory; the model check covers interleavings.

use std::time::Duration;

use eelgrassramp::Attempt;
use eelgrassramp::ClockMark;
use eelgrassramp::Incarnation;
use eelgrassramp::Kind;
use eelgrassramp::Monotonic;
use eelgrassramp::Ran;
use eelgrassramp::RequestId;
use eelgrassramp::ledger::DispatchDecision;
use eelgrassramp::ledger::DispatchHeader;
use eelgrassramp::ledger::IdempotencyInfo;
use eelgrassramp::ledger::Ledger;
use eelgrassramp::ledger::Limits;
use eelgrassramp::ledger::Refusal;
use eelgrassramp::ledger::RunOutcome;
use eelgrassramp::wire::CloseKey;
use eelgrassramp::wire::CloseKeyReply;
use eelgrassramp::wire::Revoke;
use eelgrassramp::wire::RevokeReply;
use googletest::prelude::*;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;

const INCARNATION: Incarnation = Incarnation(1);
const STARTED_MS: u64 = 1_000_000;
const RETENTION_MS: u64 = 1_000;
const KEY_RETENTION_MS: u64 = 10_000;
const MARGIN_MS: u64 = 100;
const KEY: RequestId = RequestId::from_bits(77);

fn ledger(entries: usize) -> Ledger {
    let limits = Limits {
        retention: Duration::from_millis(RETENTION_MS),
        key_retention: Duration::from_millis(KEY_RETENTION_MS),
        clock_margin: Duration::from_millis(MARGIN_MS),
        entries,
    };
    Ledger::new(INCARNATION, STARTED_MS, limits)
}

fn at(ms: u64) -> Monotonic {
    Monotonic::from_millis(ms)
}

/// Time from which on the ledger covers every use of a key.
const COVERED_MS: u64 = KEY_RETENTION_MS;

fn header(id: u128, mark: u64) -> DispatchHeader {
    DispatchHeader {
        request: RequestId::from_bits(id),
        attempt: Attempt(0),
        incarnation: INCARNATION,
        mark: ClockMark(mark),
        key: None,
    }
}

fn header_with_key(id: u128, mark: u64, fingerprint: u64) -> DispatchHeader {
    let key = IdempotencyInfo {
        key: KEY,
        made_ms: None,
        fingerprint,
        non_idempotent: true,
    };
    DispatchHeader {
        key: Some(key),
        ..header(id, mark)
    }
}

fn created_at(mut header: DispatchHeader, made_ms: u64) -> DispatchHeader {
    if let Some(key) = &mut header.key {
        key.made_ms = Some(made_ms);
    }
    header
}

fn run(ledger: &mut Ledger, now: u64, header: &DispatchHeader) {
    assert_eq!(
        ledger.accept(at(now), header, Ok(())),
        DispatchDecision::Run
    );
    ledger.start(header.request).expect("waiting");
    ledger.end(at(now), header.request, RunOutcome::Complete);
}

fn refusal(decision: &DispatchDecision) -> Option<(Kind, Ran)> {
    match decision {
        DispatchDecision::Refuse(refusal) => Some((refusal.kind, refusal.ran)),
        DispatchDecision::Run | DispatchDecision::Attach(_) => None,
    }
}

fn revoke(id: u128, mark: u64) -> Revoke {
    Revoke {
        request: RequestId::from_bits(id),
        incarnation: INCARNATION,
        mark: ClockMark(mark),
    }
}

#[googletest::test]
fn request_with_a_used_key_attaches_to_the_first_run_and_counts_as_run() {
    let mut ledger = ledger(10);
    run(&mut ledger, COVERED_MS, &header_with_key(1, COVERED_MS, 5));

    let second = ledger.accept(at(COVERED_MS), &header_with_key(2, COVERED_MS, 5), Ok(()));
    let revoked = ledger.revoke(at(COVERED_MS), &revoke(2, COVERED_MS));
    let other_call = ledger.accept(at(COVERED_MS), &header_with_key(3, COVERED_MS, 6), Ok(()));

    expect_that!(
        second,
        eq(&DispatchDecision::Attach(RequestId::from_bits(1)))
    );
    expect_that!(revoked.reply, eq(RevokeReply::Finished));
    expect_that!(refusal(&other_call), some(eq((Kind::KeyReused, Ran::No))));
}

#[googletest::test]
fn key_is_freed_if_its_request_did_not_run() {
    let mut ledger = ledger(10);
    let first = header_with_key(1, COVERED_MS, 5);
    ledger.accept(at(COVERED_MS), &first, Ok(()));
    let ending = RunOutcome::NotRun(Kind::Displaced);
    ledger.end(at(COVERED_MS), first.request, ending);

    let second = ledger.accept(at(COVERED_MS), &header_with_key(2, COVERED_MS, 5), Ok(()));

    expect_that!(second, eq(&DispatchDecision::Run));
}

#[googletest::test]
fn new_incarnation_accepts_only_keys_created_after_its_start() {
    let early_ms = 500;
    let after_start = STARTED_MS + MARGIN_MS + 1;
    let before_start = STARTED_MS + MARGIN_MS;
    let in_future = STARTED_MS + early_ms + MARGIN_MS + 1;
    let decision =
        |header: DispatchHeader| refusal(&ledger(10).accept(at(early_ms), &header, Ok(())));

    let unknown = decision(header_with_key(1, early_ms, 5));
    let created_here = decision(created_at(header_with_key(1, early_ms, 5), after_start));
    let created_before = decision(created_at(header_with_key(1, early_ms, 5), before_start));
    let from_future = decision(created_at(header_with_key(1, early_ms, 5), in_future));

    let may_have_run = (Kind::OutcomeUnknown, Ran::Maybe);
    expect_that!(unknown, some(eq(may_have_run)));
    expect_that!(created_here, none());
    expect_that!(created_before, some(eq(may_have_run)));
    expect_that!(from_future, some(eq((Kind::BadRequest, Ran::No))));
}

#[googletest::test]
fn key_older_than_the_retention_may_have_run() {
    let mut ledger = ledger(10);
    let now = 3 * KEY_RETENTION_MS;
    let created_ms = STARTED_MS + now - KEY_RETENTION_MS;

    let decision = ledger.accept(
        at(now),
        &created_at(header_with_key(1, now, 5), created_ms),
        Ok(()),
    );

    expect_that!(
        refusal(&decision),
        some(eq((Kind::OutcomeUnknown, Ran::Maybe)))
    );
}

#[googletest::test]
fn closed_key_is_never_accepted_again() {
    let msg = CloseKey {
        key: KEY,
        key_time_ms: None,
    };
    let mut old_ledger = ledger(10);
    let mut new_ledger = ledger(10);

    let closed = old_ledger.close_key(at(COVERED_MS), &msg);
    let unknown = new_ledger.close_key(at(0), &msg);
    let late = old_ledger.accept(at(COVERED_MS), &header_with_key(1, COVERED_MS, 5), Ok(()));
    let late_new = new_ledger.accept(at(0), &header_with_key(1, 0, 5), Ok(()));

    expect_that!(closed, eq(CloseKeyReply::Closed));
    expect_that!(unknown, eq(CloseKeyReply::Unknown));
    expect_that!(refusal(&late), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(refusal(&late_new), some(eq((Kind::NotServed, Ran::No))));
}

#[googletest::test]
fn closing_a_used_key_returns_its_request() {
    let mut ledger = ledger(10);
    run(&mut ledger, COVERED_MS, &header_with_key(1, COVERED_MS, 5));
    let msg = CloseKey {
        key: KEY,
        key_time_ms: None,
    };

    let reply = ledger.close_key(at(COVERED_MS), &msg);

    expect_that!(reply, eq(CloseKeyReply::Used(RequestId::from_bits(1))));
}

#[googletest::test]
fn expired_request_is_neither_run_nor_reported_as_not_run() {
    let mut ledger = ledger(10);
    run(&mut ledger, 0, &header(1, 0));
    let late = RETENTION_MS + 1;

    let copy = ledger.accept(at(late), &header(1, 0), Ok(()));
    let revoked = ledger.revoke(at(late), &revoke(1, 0));

    expect_that!(ledger.is_empty(), eq(true));
    expect_that!(refusal(&copy), some(eq((Kind::StaleMark, Ran::No))));
    expect_that!(revoked.reply, eq(RevokeReply::Forgotten));
}

#[googletest::test]
fn refusal_of_a_later_attempt_restarts_its_retention() {
    let mut ledger = ledger(10);
    let precheck = || Err(Refusal::not_run(Kind::Draining, "leaving"));
    let first = header(1, 0);
    let later = DispatchHeader {
        attempt: Attempt(1),
        ..header(1, 800)
    };
    ledger.accept(at(0), &first, precheck());
    ledger.accept(at(800), &later, precheck());

    let copy = ledger.accept(at(RETENTION_MS + 500), &later, Ok(()));

    expect_that!(refusal(&copy), some(eq((Kind::Draining, Ran::No))));
}

#[googletest::test]
fn duplicates_and_repeated_revocations_take_no_memory() {
    let mut ledger = ledger(10);
    let mut sizes = Vec::new();

    for ms in 0..RETENTION_MS {
        ledger.revoke(at(ms), &revoke(1, ms));
        ledger.accept(at(ms), &header(1, ms), Ok(()));
        sizes.push(ledger.expiry_count());
    }

    expect_that!(ledger.len(), eq(1));
    expect_that!(sizes, each(le(&100)));
}

/// One random operation on a ledger.
#[derive(Debug, Clone)]
enum Op {
    Accept(DispatchHeader),
    Revoke(Revoke),
    CloseKey(CloseKey),
    Start(u128),
    End(u128),
}

fn op() -> impl Strategy<Value = (u64, Op)> {
    let id = 0..12_u128;
    let accept = (id.clone(), any::<bool>(), 0..4_u64, 0..2_000_u64).prop_map(
        |(id, has_key, attempt, mark)| {
            let header = if has_key {
                header_with_key(id, mark, 5)
            } else {
                header(id, mark)
            };
            Op::Accept(DispatchHeader {
                attempt: Attempt(attempt),
                ..header
            })
        },
    );
    let op = proptest::prop_oneof![
        accept,
        (id.clone(), 0..2_000_u64).prop_map(|(id, mark)| Op::Revoke(revoke(id, mark))),
        id.clone().prop_map(|id| {
            Op::CloseKey(CloseKey {
                key: RequestId::from_bits(id + 70),
                key_time_ms: None,
            })
        }),
        id.clone().prop_map(Op::Start),
        id.prop_map(Op::End),
    ];
    (0..400_u64, op)
}

proptest! {
    #[test]
    fn memory_stays_bounded_and_is_freed(ops in proptest::collection::vec(op(), 1..200)) {
        let entries = 6;
        let mut ledger = ledger(entries);
        let mut now = 0;
        let mut running = std::collections::BTreeSet::new();
        let mut waiting = std::collections::BTreeSet::new();
        for (pause, op) in ops {
            now += pause;
            match op {
                Op::Accept(header) => {
                    if ledger.accept(at(now), &header, Ok(())) == DispatchDecision::Run {
                        assert!(!running.contains(&header.request), "a running request is not run");
                        waiting.insert(header.request);
                    }
                }
                Op::Revoke(msg) => {
                    let revoked = ledger.revoke(at(now), &msg);
                    assert_eq!(revoked.was_waiting, waiting.remove(&msg.request));
                }
                Op::CloseKey(msg) => {
                    ledger.close_key(at(now), &msg);
                }
                Op::Start(id) => {
                    let request = RequestId::from_bits(id);
                    let started = ledger.start(request).is_ok();
                    assert_eq!(started, waiting.remove(&request));
                    if started {
                        running.insert(request);
                    }
                }
                Op::End(id) => {
                    let request = RequestId::from_bits(id);
                    if running.remove(&request) {
                        ledger.end(at(now), request, RunOutcome::Complete);
                    }
                }
            }
            assert!(ledger.len() <= entries, "{} entries", ledger.len());
        }
        for request in waiting {
            ledger.end(at(now), request, RunOutcome::NotRun(Kind::Displaced));
        }
        for request in running {
            ledger.end(at(now), request, RunOutcome::Complete);
        }
        ledger.expire(at(now + KEY_RETENTION_MS + 1));
        assert!(ledger.is_empty());
    }
}
