//! The closed list of error kinds and its documentation.

use eelgrassramp::Category;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Ran;
use eelgrassramp::errors_to_markdown;
use googletest::prelude::*;

const PAGE: &str = include_str!("../../../docs/ERRORS.md");

#[gtest]
fn page_holds_the_table_of_the_code() {
    let table = errors_to_markdown();

    expect_that!(PAGE, contains_substring(table.as_str()));
}

#[gtest]
fn names_are_unique() {
    let mut names: Vec<&str> = Kind::ALL.iter().map(|k| k.as_str()).collect();
    let total = names.len();

    names.sort_unstable();
    names.dedup();

    assert_that!(names.len(), eq(total));
}

#[gtest]
fn a_kind_that_leaves_the_outcome_open_is_never_said_not_to_have_run() {
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
fn an_error_names_its_kind_its_subject_and_its_cause() {
    let cause = std::io::Error::other("connection reset");

    let err = Error::with_source(Kind::EndpointFailed, "endpoint \"card-2\"", cause);

    expect_that!(
        err.to_string(),
        eq("endpoint_failed: endpoint \"card-2\": connection reset")
    );
    expect_that!(err.classify(), eq(Category::Unknown));
}
