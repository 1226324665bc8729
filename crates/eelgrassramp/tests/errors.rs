//! Tests of the error kinds and their documentation.

use eelgrassramp::Category;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::errors_to_markdown;
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/ERRORS.md");

#[gtest]
fn page_contains_the_rendered_table() {
    let table = errors_to_markdown();

    expect_that!(PAGE, contains_substring(table.as_str()));
}

#[gtest]
fn kind_names_are_unique() {
    let mut names: Vec<&str> = Kind::ALL.iter().map(|k| k.as_str()).collect();
    let total = names.len();

    names.sort_unstable();
    names.dedup();

    assert_that!(names.len(), eq(total));
}

#[gtest]
fn kinds_with_unknown_outcome_may_have_run_and_unstarted_overload_is_retryable() {
    for kind in Kind::ALL {
        let answer = kind.answer();

        if answer.category == Category::Unknown {
            expect_that!(answer.ran, eq(Ran::Maybe), "{kind}");
        }
        if answer.category == Category::Overload && answer.ran == Ran::No {
            expect_that!(answer.retry_after, some(anything()), "{kind}");
        }
    }
}

#[gtest]
fn error_text_contains_kind_detail_and_source() {
    let cause = std::io::Error::other("connection reset");

    let err = Error::with_source(Kind::EndpointFailed, "endpoint \"card-2\"", cause);

    expect_that!(
        err.to_string(),
        eq("endpoint_failed: endpoint \"card-2\": connection reset")
    );
    expect_that!(err.classify(), eq(Category::Unknown));
}
