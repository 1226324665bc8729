//! Attribution of endpoint crashes to parts of prompts, and to requests as a whole.

mod fleet;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eelgrassramp::AccountName;
use eelgrassramp::DomainName;
use eelgrassramp::EndpointName;
use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::PromptPart;
use eelgrassramp::VersionName;
use eelgrassramp_direct::crash_attribution::CrashAttribution;
use eelgrassramp_direct::crash_attribution::RequestContent;
use eelgrassramp_direct::crash_attribution::Suspect;
use eelgrassramp_direct::endpoint::Endpoint;
use eelgrassramp_direct::endpoint::EndpointState;
use eelgrassramp_direct::endpoint::IncarnationKey;
use googletest::prelude::*;
use http::Method;
use http::Uri;

/// Time after which a crash is judged, and more.
const SETTLED_MS: u64 = 1_000;

fn at(ms: u64) -> Monotonic {
    Monotonic::ZERO + Duration::from_millis(ms)
}

fn parts(names: &[&str]) -> Vec<PromptPart> {
    names.iter().copied().map(PromptPart::from).collect()
}

/// Returns the key of one incarnation of an endpoint.
fn incarnation(endpoint: usize, start: u64) -> IncarnationKey {
    IncarnationKey::from(&Endpoint {
        name: EndpointName::new(format!("i-{endpoint}")),
        started_ms: Some(start),
        pool: PoolName::from("drafts"),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        domain: DomainName::from("a"),
        version: VersionName::from("v1"),
        slots: 4,
        state: EndpointState::Ready,
        cold: None,
    })
}

/// Records that an endpoint crashed while it was beginning to answer these prompts.
fn crash(attribution: &mut CrashAttribution, ms: u64, endpoint: usize, prompts: &[&[&str]]) {
    let requests: Vec<_> = prompts.iter().map(|prompt| parts(prompt)).collect();
    crash_of(attribution, ms, endpoint, &requests);
}

fn is_blocked(attribution: &mut CrashAttribution, ms: u64, prompt: &[&str]) -> bool {
    is_request_blocked(attribution, ms, &parts(prompt))
}

fn is_request_blocked(attribution: &mut CrashAttribution, ms: u64, request: &[PromptPart]) -> bool {
    attribution.blocked_part(at(ms), request).is_some()
}

#[gtest]
fn a_part_that_was_there_in_three_crashes_is_blocked() {
    let mut attribution = CrashAttribution::default();
    attribution.record_success(at(0), &parts(&["all", "x", "own-0"]));

    crash(&mut attribution, 100, 1, &[&["all", "bad", "own-1"]]);
    crash(&mut attribution, 300, 2, &[&["all", "bad", "own-1"]]);
    let after_two = attribution.attribute(at(300 + SETTLED_MS));
    crash(&mut attribution, 500, 3, &[&["all", "bad", "own-2"]]);
    let after_three = attribution.attribute(at(500 + SETTLED_MS));

    expect_that!(after_two, none());
    expect_that!(
        after_three.map(|found| found.part),
        some(eq(&PromptPart::from("bad")))
    );
    expect_that!(
        is_blocked(&mut attribution, 2_000, &["all", "bad", "own-3"]),
        eq(true)
    );
    expect_that!(
        is_blocked(&mut attribution, 2_000, &["all", "x", "own-3"]),
        eq(false)
    );
    expect_that!(
        is_blocked(&mut attribution, 2_000, &["all", "x", "bad"]),
        eq(false)
    );
}

#[gtest]
fn one_prompt_alone_blocks_none_of_its_parts() {
    let mut attribution = CrashAttribution::default();

    for n in 0..6 {
        crash(
            &mut attribution,
            200 * n as u64,
            n,
            &[&["all", "x", "own-1"]],
        );
    }

    expect_that!(attribution.attribute(at(1_000 + SETTLED_MS)), none());
}

#[gtest]
fn a_part_that_is_answered_between_crashes_is_not_blocked() {
    let mut attribution = CrashAttribution::default();

    for n in 0..10 {
        let own = format!("own-{n}");
        let ms = 200 * n as u64;
        crash(&mut attribution, ms, n, &[&["all", &own, &own]]);
        attribution.record_success(at(ms + 100), &parts(&["all", "y", "own"]));
    }

    expect_that!(attribution.attribute(at(2_000 + SETTLED_MS)), none());
}

#[gtest]
fn endpoints_that_crash_together_block_nothing() {
    let mut attribution = CrashAttribution::default();

    for n in 0..10 {
        let own = format!("own-{n}");
        crash(
            &mut attribution,
            100 + n as u64,
            n,
            &[&["all", "hot", &own]],
        );
    }

    expect_that!(attribution.attribute(at(100 + SETTLED_MS)), none());
}

#[gtest]
fn connections_that_were_lost_without_a_crash_block_nothing() {
    let mut attribution = CrashAttribution::default();

    for n in 0..10 {
        let own = format!("own-{n}");
        let suspect = Suspect::of_prompt(&parts(&["all", "hot", &own])).expect("parts are shared");
        let key = incarnation(n, 1);
        attribution.record_loss(at(200 * n as u64), key, suspect);
        attribution.rule_out_crash(key);
    }

    expect_that!(attribution.attribute(at(2_000 + SETTLED_MS)), none());
}

#[gtest]
fn prompts_that_ran_beside_a_blocked_part_are_not_blocked() {
    let mut attribution = CrashAttribution::default();

    for n in 0..4 {
        let own = format!("own-{n}");
        let bad: &[&str] = &["all", "bad", &own];
        let sound: &[&str] = &["all", "rare", &own];
        let prompts = if n == 0 { vec![bad] } else { vec![bad, sound] };
        crash(&mut attribution, 200 * n as u64, n, &prompts);
    }
    let first = attribution.attribute(at(800 + SETTLED_MS));
    let second = attribution.attribute(at(800 + SETTLED_MS));

    expect_that!(
        first.map(|found| found.part),
        some(eq(&PromptPart::from("bad")))
    );
    expect_that!(second, none());
}

#[gtest]
fn reports_of_other_entries_count() {
    let mut entries: Vec<_> = (0..3).map(|_| CrashAttribution::default()).collect();
    for (n, entry) in entries.iter_mut().enumerate() {
        let own = format!("own-{n}");
        crash(entry, 200 * n as u64, n, &[&["all", "bad", &own]]);
    }

    let told: Vec<_> = entries
        .iter()
        .map(|e| e.evidence_to_share(at(500)))
        .collect();
    for evidence in &told[1..] {
        entries[0].apply_evidence(at(500), evidence);
    }
    let found = entries[0].attribute(at(500 + SETTLED_MS));
    let told = entries[0].evidence_to_share(at(2_000));
    let adopted = entries[1].apply_evidence(at(2_000), &told);

    expect_that!(
        found.map(|found| found.part),
        some(eq(&PromptPart::from("bad")))
    );
    expect_that!(adopted, eq(&parts(&["bad"])));
}

#[gtest]
fn a_part_that_an_operator_unblocked_is_blocked_only_by_later_crashes() {
    let bad = PromptPart::from("bad");
    let mut attribution = CrashAttribution::default();
    let mut peer = CrashAttribution::default();
    peer.adopt_block(at(0), &bad);
    // An entry tells of a blocked part only if callers ask it for the part.
    assert!(is_blocked(&mut peer, 0, &["all", "bad", "own"]));
    for n in 0..4 {
        let own = format!("own-{n}");
        crash(
            &mut attribution,
            200 * n as u64,
            n,
            &[&["all", "bad", &own]],
        );
    }
    attribution.attribute(at(SETTLED_MS));

    attribution.unblock(at(2_000), &bad);
    let told = peer.evidence_to_share(at(2_100));
    let adopted = attribution.apply_evidence(at(2_100), &told);
    let by_earlier = attribution.attribute(at(2_000 + SETTLED_MS));
    for n in 4..12 {
        let own = format!("own-{n}");
        crash(
            &mut attribution,
            5_000 + 200 * n as u64,
            n,
            &[&["all", "bad", &own]],
        );
    }
    let by_later = attribution.attribute(at(9_000 + SETTLED_MS));

    expect_that!(adopted, is_empty());
    expect_that!(by_earlier, none());
    expect_that!(by_later.map(|found| found.part), some(eq(&bad)));
}

#[gtest]
fn a_part_is_blocked_until_no_request_has_it_for_some_time() {
    let mut attribution = CrashAttribution::default();
    attribution.adopt_block(at(0), &PromptPart::from("bad"));
    let minute_ms = 60_000;

    let while_requested = (1..30).all(|n| {
        attribution.expire(at(n * minute_ms));
        is_blocked(&mut attribution, n * minute_ms, &["all", "bad", "own"])
    });
    attribution.expire(at(50 * minute_ms));
    let afterwards = is_blocked(&mut attribution, 50 * minute_ms, &["all", "bad", "own"]);

    expect_that!(while_requested, eq(true));
    expect_that!(afterwards, eq(false));
}

/// Guards against copies of a request that are not known as such because they were received in other pieces.
#[gtest]
fn a_request_is_recognized_however_its_body_was_received() {
    let whole = request_parts("a few words", &["all", "own"]);
    let blocks = [
        Bytes::from_static(b"a few"),
        Bytes::new(),
        Bytes::from_static(b" words"),
    ];

    let in_blocks = request_parts_of_blocks(&blocks, &["all", "own"]);

    expect_that!(in_blocks, eq(&whole));
}

/// Returns the parts of a request with this body and prompt, as entries suspect them.
fn request_parts(body: &str, prompt: &[&str]) -> Vec<PromptPart> {
    request_parts_of_blocks(&[Bytes::copy_from_slice(body.as_bytes())], prompt)
}

fn request_parts_of_blocks(body: &[Bytes], prompt: &[&str]) -> Vec<PromptPart> {
    let content = RequestContent {
        method: &Method::POST,
        uri: &Uri::from_static("/cards/7?a=b"),
        account: Some(&AccountName::from("counter")),
        body,
        prompt_parts: &parts(prompt),
    };
    content.suspect_parts().to_vec()
}

/// Records that an endpoint crashed while it was beginning to answer these requests.
fn crash_of(
    attribution: &mut CrashAttribution,
    ms: u64,
    endpoint: usize,
    requests: &[Vec<PromptPart>],
) {
    let key = incarnation(endpoint, 1);
    for request in requests {
        let suspect =
            Suspect::of_prompt(request).expect("the request has parts that are suspected");
        attribution.record_loss(at(ms), key, suspect);
    }
    attribution.confirm_crash(key);
}

#[gtest]
fn a_request_that_was_there_in_three_crashes_is_blocked_and_nothing_that_it_shares() {
    let mut attribution = CrashAttribution::default();
    let bad = request_parts("bad", &["all", "x", "own"]);

    for n in 0..3 {
        let beside = request_parts(&format!("sound-{n}"), &["all", "x", "own"]);
        let requests = [bad.clone(), beside];
        crash_of(&mut attribution, 200 * n as u64, n, &requests);
    }
    let found = attribution.attribute(at(400 + SETTLED_MS));
    let more = attribution.attribute(at(500 + SETTLED_MS));

    let mut is_blocked =
        |request: &[PromptPart]| is_request_blocked(&mut attribution, 2_000, request);
    expect_that!(found.map(|found| found.crashes), some(eq(3)));
    expect_that!(more, none());
    expect_that!(is_blocked(&bad), eq(true));
    expect_that!(
        is_blocked(&request_parts("sound-0", &["all", "x", "own"])),
        eq(false)
    );
    expect_that!(
        is_blocked(&request_parts("new", &["all", "x", "own"])),
        eq(false)
    );
}

#[gtest]
fn a_request_without_a_prompt_that_was_there_in_three_crashes_is_blocked() {
    let mut attribution = CrashAttribution::default();
    let bad = request_parts("bad", &[]);

    for n in 0..3 {
        crash_of(
            &mut attribution,
            200 * n as u64,
            n,
            std::slice::from_ref(&bad),
        );
    }
    attribution.attribute(at(400 + SETTLED_MS));

    let mut is_blocked =
        |request: &[PromptPart]| is_request_blocked(&mut attribution, 2_000, request);
    expect_that!(is_blocked(&bad), eq(true));
    expect_that!(is_blocked(&request_parts("other", &[])), eq(false));
}

#[gtest]
fn a_request_whose_copies_are_answered_is_not_blocked() {
    let mut attribution = CrashAttribution::default();
    let lookup = request_parts("", &[]);

    attribution.record_success(at(0), &lookup);
    for n in 0..5 {
        crash_of(
            &mut attribution,
            100 + 200 * n as u64,
            n,
            std::slice::from_ref(&lookup),
        );
    }
    let without_answers_since = attribution.attribute(at(900 + SETTLED_MS));
    attribution.record_success(at(2_000), &lookup);
    for n in 5..8 {
        crash_of(
            &mut attribution,
            2_100 + 200 * n as u64,
            n,
            std::slice::from_ref(&lookup),
        );
    }
    let after_an_answer = attribution.attribute(at(3_500 + SETTLED_MS));

    expect_that!(without_answers_since, none());
    expect_that!(after_an_answer, none());
}

#[gtest]
fn a_part_that_several_blocked_requests_have_in_common_is_blocked() {
    let mut attribution = CrashAttribution::default();
    let first = request_parts("first", &["all", "bad", "own-1"]);
    let second = request_parts("second", &["all", "bad", "own-2"]);
    attribution.record_success(at(0), &parts(&["all", "x", "own"]));

    for n in 0..3 {
        crash_of(
            &mut attribution,
            200 * n as u64,
            n,
            std::slice::from_ref(&first),
        );
    }
    let as_request = attribution.attribute(at(400 + SETTLED_MS));
    crash_of(&mut attribution, 1_600, 3, &[second]);
    let as_part = attribution.attribute(at(1_600 + SETTLED_MS));

    expect_that!(as_request.map(|found| found.part), some(eq(&first[2])));
    expect_that!(
        as_part.map(|found| found.part),
        some(eq(&PromptPart::from("bad")))
    );
}

#[gtest]
fn requests_that_cannot_be_told_apart_are_blocked_together() {
    let mut attribution = CrashAttribution::default();
    let (one, other) = (request_parts("one", &[]), request_parts("other", &[]));

    for n in 0..3 {
        let requests = [one.clone(), other.clone()];
        crash_of(&mut attribution, 200 * n as u64, n, &requests);
    }
    attribution.attribute(at(400 + SETTLED_MS));

    let mut is_blocked =
        |request: &[PromptPart]| is_request_blocked(&mut attribution, 2_000, request);
    expect_that!(is_blocked(&one), eq(true));
    expect_that!(is_blocked(&other), eq(true));
}

/// Lets two entries tell each other all they know once, each message `delay_ms` after it was written.
fn exchange(entries: &mut [CrashAttribution; 2], ms: u64, delay_ms: u64) {
    for (from, to) in [(0, 1), (1, 0)] {
        let told = entries[from].evidence_to_share(at(ms));
        entries[to].apply_evidence(at(ms + delay_ms), &told);
    }
}

/// Guards against a successful response that seems later each time it is passed on, and so clears a part
/// of a crash that came after it.
#[gtest]
fn a_success_does_not_become_later_by_being_passed_on() {
    let mut entries: [_; 2] = std::array::from_fn(|_| CrashAttribution::default());
    entries[0].record_success(at(0), &parts(&["all", "bad", "own"]));
    for n in 0..8 {
        let own = format!("own-{n}");
        let ms = 500 + 200 * n as u64;
        crash(&mut entries[0], ms, n, &[&["all", "bad", &own]]);
        exchange(&mut entries, ms, 10);
    }
    for second in 3..33 {
        exchange(&mut entries, second * 1_000, 100);
    }

    let found = entries[0].attribute(at(34_000));

    expect_that!(
        found.map(|found| found.part),
        some(eq(&PromptPart::from("bad")))
    );
}

/// Guards against two entries that keep a part blocked because each hears of it from the other.
#[gtest]
fn a_part_that_nobody_asks_for_is_not_kept_blocked_by_hearsay() {
    let mut entries: [_; 2] = std::array::from_fn(|_| CrashAttribution::default());
    for n in 0..3 {
        let own = format!("own-{n}");
        let ms = 200 * n as u64;
        crash(&mut entries[0], ms, n, &[&["all", "bad", &own]]);
    }
    let found = entries[0].attribute(at(2_000));
    for second in 2..700 {
        entries[0].expire(at(second * 1_000));
        exchange(&mut entries, second * 1_000, 20);
        entries[1].expire(at(second * 1_000 + 500));
    }

    expect_that!(found, some(anything()));
    for entry in &mut entries {
        let blocked = is_blocked(entry, 700_000, &["all", "bad", "own"]);
        expect_that!(blocked, eq(false));
    }
}

/// Callers of one entry keep a part blocked at all of them.
#[gtest]
fn a_part_that_is_asked_for_at_one_entry_stays_blocked_at_the_others() {
    let mut entries: [_; 2] = std::array::from_fn(|_| CrashAttribution::default());
    for n in 0..3 {
        let own = format!("own-{n}");
        let ms = 200 * n as u64;
        crash(&mut entries[0], ms, n, &[&["all", "bad", &own]]);
    }
    entries[0].attribute(at(2_000));
    for second in 2..1_500 {
        let is_asked_for = is_blocked(&mut entries[0], second * 1_000, &["all", "bad", "own"]);
        assert!(is_asked_for);
        exchange(&mut entries, second * 1_000, 20);
        for entry in &mut entries {
            entry.expire(at(second * 1_000 + 500));
        }
    }

    let blocked = is_blocked(&mut entries[1], 1_500_000, &["all", "bad", "own"]);

    expect_that!(blocked, eq(true));
}
