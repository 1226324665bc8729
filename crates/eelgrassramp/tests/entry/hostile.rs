//! Arbitrary caller input: the entry responds with a specific error and does not panic.

use eelgrassramp::entry::CallerRequest;
use eelgrassramp::wire::Header;
use proptest::prelude::*;

use crate::fixture::Fixture;

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
