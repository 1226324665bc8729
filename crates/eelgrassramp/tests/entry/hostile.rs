//! Arbitrary caller input: the entry responds with a specific error and does not panic.

use eelgrassramp::entry::CallerRequest;
use eelgrassramp::wire::Header;
use proptest::prelude::*;

use crate::fixture::Fixture;
use crate::fixture::request;
use crate::fixture::tables_with_model;

/// Size of a large body.
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024 - 64 * 1024;

/// Memory that a large body may cost the process, a few times its size.
const LARGE_BODY_MEMORY_BYTES: u64 = 64 * 1024 * 1024;

fn any_header() -> impl Strategy<Value = Header> {
    let names = prop_oneof![
        Just("eelgrassramp-account".to_owned()),
        Just("idempotency-key".to_owned()),
        Just("eelgrassramp-deadline-ms".to_owned()),
        "[a-z-]{1,12}",
    ];
    let values = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..40),
        "[0-9]{1,25}".prop_map(String::into_bytes),
        "[0-9a-f-]{0,40}".prop_map(String::into_bytes),
    ];
    (names, values).prop_map(|(name, value)| Header { name, value })
}

fn any_body() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        "\\{\"(model|messages|prompt|max_tokens)\":[\\[\\]{}\"a-z0-9:, -]{0,60}\\}?"
            .prop_map(String::into_bytes),
        (1usize..3_000).prop_map(|n| b"[".repeat(n)),
    ]
}

fn any_request() -> impl Strategy<Value = CallerRequest> {
    let path = prop_oneof![
        Just("/charges".to_owned()),
        Just("/drafts".to_owned()),
        Just("/texts".to_owned()),
        ".{0,20}",
    ];
    let headers = proptest::collection::vec(any_header(), 0..4);
    (path, headers, any_body()).prop_map(|(path, headers, body)| CallerRequest {
        method: "POST".to_owned(),
        path,
        headers,
        body: body.into(),
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_request_gets_one_response(req in any_request()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();

        let response = runtime.block_on(async {
            let fixture = Fixture::with_tables(crate::fixture::tables_with_model(&[1])).await;
            fixture.call(req).await
        });

        prop_assert!(response.is_complete_response() || response.kind().is_some(), "{response:?}");
    }
}

/// Returns the peak resident memory of this process.
fn peak_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kib: u64 = kib
        .and_then(|kib| kib.trim().parse().ok())
        .expect("the line holds a number");
    kib * 1_024
}

/// Guards against a prompt whose decoded values exhaust the memory of the process.
#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_prompt_of_many_small_values_costs_little_memory() {
    const VALUE: &str = r#"{"v":0}"#;
    let values = vec![VALUE; LARGE_BODY_BYTES / (VALUE.len() + 1) - 4].join(",");
    let body = format!(r#"{{"model":"greeting","prompt":[{values}]}}"#);
    let fixture = Fixture::with_tables(tables_with_model(&[1])).await;
    let req = CallerRequest {
        body: body.into(),
        ..request("texts")
    };
    let before = peak_bytes();

    let _response = fixture.call(req).await;

    let used = peak_bytes().saturating_sub(before);
    googletest::expect_that!(used, googletest::prelude::lt(LARGE_BODY_MEMORY_BYTES));
}
