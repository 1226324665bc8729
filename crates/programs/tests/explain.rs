//! Tests of `explain`, which shows operators the log lines of one request.

use eelgrassramp_programs::explain;
use googletest::prelude::*;

const DISPATCHED: &str = r#"  5.1 entry-1 {"msg":"request dispatched","level":"DEBUG","ts":"2026-03-01T10:00:05.100Z","process":"direct-entry","waited_ms":40,"endpoint":"i-1","attempt":1,"request":"a-1"}"#;
const FAILED: &str = r#"  6.0 entry-1 {"msg":"attempt failed","level":"INFO","ts":"2026-03-01T10:00:06.000Z","process":"direct-entry","endpoint":"i-1","kind":"outcome_unknown","request":"a-1"}"#;
const OTHER_REQUEST: &str = r#"  5.2 entry-1 {"msg":"request dispatched","level":"DEBUG","ts":"2026-03-01T10:00:05.200Z","process":"direct-entry","endpoint":"i-1","request":"a-2"}"#;
const STORE_FAILED: &str = r#"  4.0 entry-1 {"msg":"store call failed","level":"WARNING","ts":"2026-03-01T10:00:04.000Z","process":"direct-entry","kind":"servers"}"#;
const STORE_FAILED_AT_OTHER_ENTRY: &str = r#"  4.0 entry-2 {"msg":"store call failed","level":"WARNING","ts":"2026-03-01T10:00:04.000Z","process":"direct-entry","kind":"servers"}"#;
const ENDPOINT_GONE: &str = r#"  5.5 entry-1 {"msg":"endpoint gone","level":"INFO","ts":"2026-03-01T10:00:05.500Z","process":"direct-entry","endpoint":"i-1"}"#;
const OTHER_ENDPOINT_GONE: &str = r#"  5.5 entry-1 {"msg":"endpoint gone","level":"INFO","ts":"2026-03-01T10:00:05.500Z","process":"direct-entry","endpoint":"i-2"}"#;

fn report(lines: &[&str]) -> Vec<String> {
    explain("a-1", lines.iter().map(|line| ("entry.log", *line)))
}

#[gtest]
fn the_lines_of_a_request_are_ordered_by_time() {
    let report = report(&[FAILED, OTHER_REQUEST, DISPATCHED]);

    expect_that!(report.len(), eq(2));
    expect_that!(
        report[0],
        starts_with("      0 ms  entry-1  request dispatched: ")
    );
    expect_that!(report[0], contains_substring("waited_ms 40"));
    expect_that!(
        report[1],
        starts_with("    900 ms  entry-1  attempt failed: ")
    );
}

#[gtest]
fn lines_about_the_state_of_the_process_are_included() {
    let report = report(&[
        DISPATCHED,
        FAILED,
        STORE_FAILED,
        STORE_FAILED_AT_OTHER_ENTRY,
        ENDPOINT_GONE,
        OTHER_ENDPOINT_GONE,
    ]);

    expect_that!(report.len(), eq(4));
    expect_that!(
        report[0],
        starts_with("  -1100 ms  entry-1  store call failed")
    );
    expect_that!(report[2], contains_substring("endpoint gone: endpoint i-1"));
}

#[gtest]
fn an_unknown_request_gives_no_lines() {
    expect_that!(report(&[OTHER_REQUEST, "not a line of a log"]), is_empty());
}
