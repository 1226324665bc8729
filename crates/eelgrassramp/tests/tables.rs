//! Tests of the tables document and its validated form.

use eelgrassramp::Kind;
use eelgrassramp::TableVersion;
use eelgrassramp::Tier;
use eelgrassramp::tables::CurrentTables;
use eelgrassramp::tables::Document;
use eelgrassramp::tables::Tables;
use eelgrassramp::wire::TablesSnapshot;
use googletest::prelude::*;

const MUG_PRINTS: &str = include_str!("../../../examples/mug-prints.jsonc");
const DUNE_BOARDS: &str = include_str!("../../../examples/dune-boards.jsonc");

fn mug_prints() -> Document {
    Document::from_jsonc(MUG_PRINTS, "mug-prints.jsonc").expect("the example is well-formed")
}

fn snapshot(version: u64, document: &Document) -> TablesSnapshot {
    TablesSnapshot {
        version: TableVersion(version),
        document: document.to_bytes().expect("a document is JSON"),
    }
}

#[googletest::test]
fn examples_are_valid() {
    for text in [MUG_PRINTS, DUNE_BOARDS] {
        let document = Document::from_jsonc(text, "example").expect("the example is well-formed");

        let errors = document.validate(Some(jiff::Timestamp::UNIX_EPOCH));

        expect_that!(errors, is_empty());
    }
}

#[googletest::test]
fn snapshot_round_trips_through_tables() {
    let sent = snapshot(7, &mug_prints());

    let tables = Tables::from_snapshot(&sent).expect("the example is valid");
    let again = tables.to_snapshot().expect("tables are JSON");

    let decoded = Tables::from_snapshot(&again).expect("what was written can be read");
    expect_that!(again.version, eq(TableVersion(7)));
    expect_that!(decoded, eq(&tables));
}

#[googletest::test]
fn routes_are_joined_to_pools_by_name() {
    let tables = Tables::from_snapshot(&snapshot(1, &mug_prints())).expect("valid");

    let route = tables.route("/v1/chat/completions", Some("greeting"));

    let route = route.expect("the route exists");
    expect_that!(route.tier, eq(Tier::Interactive));
    expect_that!(
        tables.pool_of(route).expect("joined").endpoints.len(),
        eq(5)
    );
}

#[googletest::test]
fn older_tables_never_replace_newer_ones() {
    let current = CurrentTables::default();
    let newer = Tables::from_snapshot(&snapshot(5, &mug_prints())).expect("valid");
    let older = Tables::from_snapshot(&snapshot(4, &Document::default())).expect("valid");

    let taken = [current.offer(newer), current.offer(older)];

    expect_that!(taken, eq([true, false]));
    expect_that!(current.get().version, eq(TableVersion(5)));
}

#[googletest::test]
fn invalid_snapshot_is_rejected_with_its_field() {
    let mut document = mug_prints();
    document.routes[0].pool = "nowhere".into();

    let result = Tables::from_snapshot(&snapshot(3, &document));

    let e = result.expect_err("the pool is missing");
    expect_that!(e.kind(), eq(Kind::InvalidTables));
    expect_that!(
        e.detail(),
        eq("routes[0].pool: pool \"nowhere\" does not exist (route \"order\")")
    );
}
