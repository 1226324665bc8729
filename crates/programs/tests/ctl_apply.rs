//! Tests of the operators' tool against a stand-in of the platform: edits, conflicts, lost replies
//! and outages.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;

use eelgrassramp::ObjectVersion;
use eelgrassramp::Timers;
use eelgrassramp::store::ObjectApi;
use eelgrassramp_standins::http::serve;
use eelgrassramp_standins::platform::InjectedFault;
use eelgrassramp_standins::platform::Platform;
use eelgrassramp_standins::platform::Settings;
use googletest::prelude::*;
use serde_json::Value;
use tokio::process::Command;
use tokio_util::sync::CancellationToken;

const MUG_PRINTS: &str = include_str!("../../../examples/mug-prints.jsonc");

/// The example tables, with addresses on which nothing listens.
fn mug_prints() -> String {
    MUG_PRINTS.replace("127.0.0.1", "127.9.9.9")
}

struct Fixture {
    platform: Arc<Platform>,
    address: SocketAddr,
    name: &'static str,
}

impl Fixture {
    async fn start(name: &'static str) -> Self {
        let platform = Platform::new(Settings::default(), Timers::start());
        let address = serve(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            Arc::clone(&platform) as _,
            CancellationToken::new(),
        )
        .await
        .expect("a free port on loopback");
        Self {
            platform,
            address,
            name,
        }
    }

    async fn ctl(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_eelgrassramp-ctl"))
            .args(["--store", &self.address.to_string()])
            .args(args)
            .output()
            .await
            .expect("the tool starts")
    }

    async fn apply(&self, text: &str, args: &[&str]) -> Output {
        let path = self.file(text);
        let all = [&["tables", "apply", path.as_str()], args].concat();
        self.ctl(&all).await
    }

    async fn json(&self, args: &[&str]) -> Value {
        let out = self.ctl(&[&["--output", "json"], args].concat()).await;
        serde_json::from_slice(&out.stdout).expect("JSON on standard output")
    }

    async fn route_timeout(&self, route: &str) -> Option<u64> {
        let shown = self.json(&["tables", "get"]).await;
        let routes = shown["tables"]["routes"].as_array()?.iter();
        let row = routes.clone().find(|r| r["name"] == route)?;
        row["timeout_ms"].as_u64()
    }

    fn file(&self, text: &str) -> String {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(self.name);
        std::fs::write(&path, text).expect("the target folder can be written");
        path.display().to_string()
    }
}

fn stdout(out: &Output) -> String {
    String::from_utf8_lossy(&out.stdout).into_owned()
}

fn stderr(out: &Output) -> String {
    String::from_utf8_lossy(&out.stderr).into_owned()
}

/// The example tables with changed timeouts of the `order` and `greeting` routes.
fn edited(order_ms: u64, greeting_ms: u64) -> String {
    mug_prints()
        .replace(
            "\"timeout_ms\": 10000",
            &format!("\"timeout_ms\": {order_ms}"),
        )
        .replace(
            "\"timeout_ms\": 8000",
            &format!("\"timeout_ms\": {greeting_ms}"),
        )
}

#[googletest::test]
#[tokio::test]
async fn applied_tables_are_read_back_and_listed() {
    let fixture = Fixture::start("applied.jsonc").await;

    let first = fixture.apply(&mug_prints(), &["-m", "first tables"]).await;
    let again = fixture.apply(&mug_prints(), &[]).await;
    let history = fixture.json(&["tables", "history"]).await;

    expect_that!(first.status.code(), some(eq(0)), "{}", stderr(&first));
    expect_that!(stdout(&again), contains_substring("already has these rows"));
    expect_that!(history.as_array().map(Vec::len), some(eq(1)));
    expect_that!(history[0]["message"].as_str(), some(eq("first tables")));
    expect_that!(fixture.route_timeout("order").await, some(eq(10_000)));
}

#[googletest::test]
#[tokio::test]
async fn edits_of_different_rows_on_one_base_are_merged() {
    let fixture = Fixture::start("merged.jsonc").await;
    fixture.apply(&mug_prints(), &[]).await;
    let base = fixture.json(&["tables", "get"]).await["version"].to_string();

    let first_edit = fixture
        .apply(&edited(11_000, 8_000), &["--base", &base])
        .await;
    let second_edit = fixture
        .apply(&edited(10_000, 9_000), &["--base", &base])
        .await;

    expect_that!(
        first_edit.status.code(),
        some(eq(0)),
        "{}",
        stderr(&first_edit)
    );
    expect_that!(
        second_edit.status.code(),
        some(eq(0)),
        "{}",
        stderr(&second_edit)
    );
    expect_that!(
        stdout(&second_edit),
        contains_substring("rows that other edits changed")
    );
    expect_that!(fixture.route_timeout("order").await, some(eq(11_000)));
    expect_that!(fixture.route_timeout("greeting").await, some(eq(9_000)));
}

#[googletest::test]
#[tokio::test]
async fn conflicting_edit_is_rejected_with_both_values() {
    let fixture = Fixture::start("clash.jsonc").await;
    fixture.apply(&mug_prints(), &[]).await;
    let base = fixture.json(&["tables", "get"]).await["version"].to_string();
    fixture
        .apply(&edited(11_000, 8_000), &["--base", &base])
        .await;

    let second_edit = fixture
        .apply(&edited(12_000, 8_000), &["--base", &base])
        .await;

    expect_that!(second_edit.status.code(), some(eq(1)));
    expect_that!(
        stderr(&second_edit),
        all![
            contains_substring("route \"order\": this edit set it, another edit set it"),
            contains_regex("this edit: .*12000"),
            contains_regex("in force: .*11000"),
        ]
    );
    expect_that!(fixture.route_timeout("order").await, some(eq(11_000)));
}

#[googletest::test]
#[tokio::test]
async fn edit_whose_reply_was_lost_is_applied_once() {
    let fixture = Fixture::start("lost.jsonc").await;
    fixture.apply(&mug_prints(), &[]).await;
    fixture.platform.set_faults(|f| f.lost_replies = 1);

    let out = fixture.apply(&edited(11_000, 8_000), &[]).await;
    let history = fixture.json(&["tables", "history"]).await;

    expect_that!(
        fixture.platform.injected_count(InjectedFault::LostReply),
        eq(1)
    );
    expect_that!(out.status.code(), some(eq(0)), "{}", stderr(&out));
    expect_that!(history.as_array().map(Vec::len), some(eq(2)));
    expect_that!(fixture.route_timeout("order").await, some(eq(11_000)));
}

#[googletest::test]
#[tokio::test]
async fn unavailable_store_gives_its_own_exit_code() {
    let fixture = Fixture::start("away.jsonc").await;
    fixture.platform.set_faults(|f| f.outage = true);

    let out = fixture.ctl(&["tables", "get"]).await;

    expect_that!(out.status.code(), some(eq(3)));
    expect_that!(
        stderr(&out),
        contains_substring("GET /objects/tables: status 503")
    );
}

#[googletest::test]
#[tokio::test]
async fn diff_shows_changed_rows_and_lines() {
    let fixture = Fixture::start("diff.jsonc").await;
    fixture.apply(&mug_prints(), &[]).await;
    let path = fixture.file(&edited(11_000, 8_000));

    let out = fixture.ctl(&["tables", "diff", &path]).await;

    expect_that!(
        stdout(&out),
        all![
            contains_substring("route \"order\" changed"),
            contains_substring("-  \"timeout_ms\": 10000"),
            contains_substring("+  \"timeout_ms\": 11000"),
            not(contains_substring("greeting")),
        ]
    );
}

/// The stored progress of a move that was taken back, as written by the lease holder.
const TAKEN_BACK: &str = r#"{
    "pool": "greeting", "tables": 1, "old": "v1", "new": "v2", "by": "2100-01-01T06:00:00Z",
    "not_before": null, "fence": 3, "edit": { "high": 1, "low": 2 }, "phase": "taken_back",
    "evidence": "7 of 9 requests failed", "late": null, "routes": [],
    "began": "2026-12-01T06:00:00Z", "updated": "2026-12-01T06:10:00Z"
}"#;

#[googletest::test]
#[tokio::test]
async fn move_that_was_taken_back_is_shown_with_its_evidence() {
    let fixture = Fixture::start("moves.jsonc").await;
    let key = "moves/greeting";
    let api = fixture.platform.client("entry");
    api.put(key, ObjectVersion(0), TAKEN_BACK.into())
        .await
        .expect("a healthy store");

    let shown = fixture.json(&["moves"]).await;
    let followed = fixture.ctl(&["moves", "--follow"]).await;

    expect_that!(shown[0]["status"].as_str(), some(eq("taken back")));
    expect_that!(followed.status.code(), some(eq(1)));
    expect_that!(
        stderr(&followed),
        contains_substring("all traffic is on v1 again: 7 of 9 requests failed")
    );
}

#[googletest::test]
#[tokio::test]
async fn move_that_no_entry_started_is_waiting() {
    let fixture = Fixture::start("waiting.jsonc").await;
    let wanted = "\"move\": { \"to\": \"v2\", \"by\": \"2100-01-01T06:00:00Z\" },\n\"fencing\"";
    fixture
        .apply(
            &mug_prints().replacen("\"fencing\"", wanted, 1),
            &["--no-announce"],
        )
        .await;

    let shown = fixture.json(&["moves"]).await;

    expect_that!(shown[0]["pool"].as_str(), some(eq("greeting")));
    expect_that!(shown[0]["status"].as_str(), some(eq("waiting")));
}

#[googletest::test]
#[tokio::test]
async fn status_lists_unreachable_endpoints_as_away() {
    let fixture = Fixture::start("status.jsonc").await;
    fixture.apply(&mug_prints(), &["--no-announce"]).await;

    let shown = fixture.json(&["status"]).await;

    let endpoints = shown["endpoints"].as_array().expect("a list");
    expect_that!(endpoints.len(), eq(8));
    expect_that!(endpoints.iter().all(|e| e["state"] == "away"), eq(true));
}
