//! Rules of the ledger on keys, time and memory; the model check covers interleavings.

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

/// A point in time from which on the ledger knows every use of a key.
const OLD_MS: u64 = KEY_RETENTION_MS;

fn claim(id: u128, mark: u64) -> DispatchHeader {
    DispatchHeader {
        request: RequestId::from_bits(id),
        attempt: Attempt(0),
        incarnation: INCARNATION,
        mark: ClockMark(mark),
        key: None,
    }
}

fn keyed(id: u128, mark: u64, fingerprint: u64) -> DispatchHeader {
    let key = IdempotencyInfo {
        key: KEY,
        made_ms: None,
        fingerprint,
        non_idempotent: true,
    };
    DispatchHeader {
        key: Some(key),
        ..claim(id, mark)
    }
}

fn made_at(mut claim: DispatchHeader, made_ms: u64) -> DispatchHeader {
    if let Some(key) = &mut claim.key {
        key.made_ms = Some(made_ms);
    }
    claim
}

fn run(ledger: &mut Ledger, now: u64, claim: &DispatchHeader) {
    assert_eq!(ledger.accept(at(now), claim, Ok(())), DispatchDecision::Run);
    ledger.start(claim.request).expect("waiting");
    ledger.end(at(now), claim.request, RunOutcome::Complete);
}

fn refusal(verdict: &DispatchDecision) -> Option<(Kind, Ran)> {
    match verdict {
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
fn a_key_used_by_another_request_leads_to_its_run_and_counts_as_run() {
    let mut ledger = ledger(10);
    run(&mut ledger, OLD_MS, &keyed(1, OLD_MS, 5));

    let second = ledger.accept(at(OLD_MS), &keyed(2, OLD_MS, 5), Ok(()));
    let revoked = ledger.revoke(at(OLD_MS), &revoke(2, OLD_MS));
    let other_call = ledger.accept(at(OLD_MS), &keyed(3, OLD_MS, 6), Ok(()));

    expect_that!(
        second,
        eq(&DispatchDecision::Attach(RequestId::from_bits(1)))
    );
    expect_that!(revoked.reply, eq(RevokeReply::Finished));
    expect_that!(refusal(&other_call), some(eq((Kind::KeyReused, Ran::No))));
}

#[googletest::test]
fn a_key_whose_request_did_not_run_is_free_again() {
    let mut ledger = ledger(10);
    let first = keyed(1, OLD_MS, 5);
    ledger.accept(at(OLD_MS), &first, Ok(()));
    let ending = RunOutcome::NotRun(Kind::Displaced);
    ledger.end(at(OLD_MS), first.request, ending);

    let second = ledger.accept(at(OLD_MS), &keyed(2, OLD_MS, 5), Ok(()));

    expect_that!(second, eq(&DispatchDecision::Run));
}

#[googletest::test]
fn a_young_life_takes_only_keys_that_were_made_in_it() {
    let young = 500;
    let after_start = STARTED_MS + MARGIN_MS + 1;
    let before_start = STARTED_MS + MARGIN_MS;
    let in_future = STARTED_MS + young + MARGIN_MS + 1;
    let verdict = |claim: DispatchHeader| refusal(&ledger(10).accept(at(young), &claim, Ok(())));

    let unknown = verdict(keyed(1, young, 5));
    let made_here = verdict(made_at(keyed(1, young, 5), after_start));
    let made_before = verdict(made_at(keyed(1, young, 5), before_start));
    let from_future = verdict(made_at(keyed(1, young, 5), in_future));

    let may_have_run = (Kind::OutcomeUnknown, Ran::Maybe);
    expect_that!(unknown, some(eq(may_have_run)));
    expect_that!(made_here, none());
    expect_that!(made_before, some(eq(may_have_run)));
    expect_that!(from_future, some(eq((Kind::BadRequest, Ran::No))));
}

#[googletest::test]
fn a_key_older_than_the_retention_may_have_run() {
    let mut ledger = ledger(10);
    let now = 3 * KEY_RETENTION_MS;
    let made = STARTED_MS + now - KEY_RETENTION_MS;

    let verdict = ledger.accept(at(now), &made_at(keyed(1, now, 5), made), Ok(()));

    expect_that!(
        refusal(&verdict),
        some(eq((Kind::OutcomeUnknown, Ran::Maybe)))
    );
}

#[googletest::test]
fn a_claimed_key_is_never_used_here_again() {
    let msg = CloseKey {
        key: KEY,
        key_time_ms: None,
    };
    let mut old = ledger(10);
    let mut young = ledger(10);

    let closed = old.close_key(at(OLD_MS), &msg);
    let unknown = young.close_key(at(0), &msg);
    let late = old.accept(at(OLD_MS), &keyed(1, OLD_MS, 5), Ok(()));
    let late_young = young.accept(at(0), &keyed(1, 0, 5), Ok(()));

    expect_that!(closed, eq(CloseKeyReply::Closed));
    expect_that!(unknown, eq(CloseKeyReply::Unknown));
    expect_that!(refusal(&late), some(eq((Kind::NotServed, Ran::No))));
    expect_that!(refusal(&late_young), some(eq((Kind::NotServed, Ran::No))));
}

#[googletest::test]
fn a_claim_finds_the_request_that_used_the_key() {
    let mut ledger = ledger(10);
    run(&mut ledger, OLD_MS, &keyed(1, OLD_MS, 5));
    let msg = CloseKey {
        key: KEY,
        key_time_ms: None,
    };

    let reply = ledger.close_key(at(OLD_MS), &msg);

    expect_that!(reply, eq(CloseKeyReply::Used(RequestId::from_bits(1))));
}

#[googletest::test]
fn what_was_forgotten_is_neither_run_nor_said_not_to_have_run() {
    let mut ledger = ledger(10);
    run(&mut ledger, 0, &claim(1, 0));
    let late = RETENTION_MS + 1;

    let copy = ledger.accept(at(late), &claim(1, 0), Ok(()));
    let revoked = ledger.revoke(at(late), &revoke(1, 0));

    expect_that!(ledger.is_empty(), eq(true));
    expect_that!(refusal(&copy), some(eq((Kind::StaleMark, Ran::No))));
    expect_that!(revoked.reply, eq(RevokeReply::Forgotten));
}

#[googletest::test]
fn a_refusal_of_a_later_attempt_is_remembered_from_its_own_time() {
    let mut ledger = ledger(10);
    let outside = || Err(Refusal::not_run(Kind::Draining, "leaving"));
    let first = claim(1, 0);
    let later = DispatchHeader {
        attempt: Attempt(1),
        ..claim(1, 800)
    };
    ledger.accept(at(0), &first, outside());
    ledger.accept(at(800), &later, outside());

    let copy = ledger.accept(at(RETENTION_MS + 500), &later, Ok(()));

    expect_that!(refusal(&copy), some(eq((Kind::Draining, Ran::No))));
}

#[googletest::test]
fn copies_and_repeated_revocations_take_no_memory() {
    let mut ledger = ledger(10);
    let mut sizes = Vec::new();

    for ms in 0..RETENTION_MS {
        ledger.revoke(at(ms), &revoke(1, ms));
        ledger.accept(at(ms), &claim(1, ms), Ok(()));
        sizes.push(ledger.notes());
    }

    expect_that!(ledger.len(), eq(1));
    expect_that!(sizes, each(le(&100)));
}

/// One random message to a ledger.
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
            let claim = if has_key {
                keyed(id, mark, 5)
            } else {
                claim(id, mark)
            };
            Op::Accept(DispatchHeader {
                attempt: Attempt(attempt),
                ..claim
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
    fn memory_stays_within_its_bound_and_drains(ops in proptest::collection::vec(op(), 1..200)) {
        let entries = 6;
        let mut ledger = ledger(entries);
        let mut now = 0;
        let mut running = std::collections::BTreeSet::new();
        let mut waiting = std::collections::BTreeSet::new();
        for (pause, op) in ops {
            now += pause;
            match op {
                Op::Accept(claim) => {
                    if ledger.accept(at(now), &claim, Ok(())) == DispatchDecision::Run {
                        assert!(!running.contains(&claim.request), "a running request is not run");
                        waiting.insert(claim.request);
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
