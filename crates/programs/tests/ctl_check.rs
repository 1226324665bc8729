//! Tests of `tables check`: each invalid file gives a message with the file, location and cause.

use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

const NAME_RULE: &str = "a name is 1 to 128 of: letters, digits, - _ . : /";

/// An invalid file and the message of `tables check` for it, without program and file name.
struct Case {
    name: &'static str,
    text: String,
    message: String,
}

/// Valid tables; each case differs from them by one fault.
fn valid() -> Value {
    json!({
        "routes": [
            route("order", "/v1/orders", "orders"),
            route("greeting", "/v1/chat/completions", "greeting"),
        ],
        "pools": [pool("greeting", "127.0.0.1:7101"), pool("orders", "127.0.0.1:7201")],
    })
}

fn route(name: &str, path: &str, pool: &str) -> Value {
    json!({
        "name": name, "path": path, "tier": "interactive", "pool": pool,
        "timeout_ms": 8000, "max_body_bytes": 65536,
    })
}

fn pool(name: &str, sidecar: &str) -> Value {
    json!({
        "name": name, "kind": "model", "version": "v1", "fencing": "sidecar",
        "endpoints": [endpoint(&format!("{name}-1"), sidecar)],
    })
}

fn endpoint(name: &str, sidecar: &str) -> Value {
    json!({ "name": name, "sidecar": sidecar, "domain": "a", "hardware": "gen3", "version": "v1" })
}

/// A case with the value at the JSON pointer replaced, or added if there is none.
fn set(name: &'static str, pointer: &str, value: Value, message: impl Into<String>) -> Case {
    let mut tables = valid();
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer has a slash");
    match tables.pointer_mut(parent).expect("the parent exists") {
        Value::Object(fields) => drop(fields.insert(field.to_owned(), value)),
        Value::Array(items) => items.push(value),
        other => panic!("{other} is neither an object nor an array"),
    }
    text(name, &tables.to_string(), message)
}

fn text(name: &'static str, text: &str, message: impl Into<String>) -> Case {
    Case {
        name,
        text: text.to_owned(),
        message: message.into(),
    }
}

fn structural_cases() -> Vec<Case> {
    vec![
        text(
            "empty file",
            "",
            "top level: EOF while parsing a value at line 1 column 0",
        ),
        text(
            "broken JSON",
            "{ \"routes\": [ }",
            "field \"routes[0]\": expected value at line 1 column 15",
        ),
        text(
            "missing table",
            "{ \"routes\": [] }",
            "top level: missing field `pools` at line 1 column 16",
        ),
        text(
            "table given twice",
            "{ \"routes\": [], \"routes\": [], \"pools\": [] }",
            "top level: duplicate field `routes` at line 1 column 24",
        ),
        text(
            "text after the end",
            "{ \"routes\": [], \"pools\": [] } ]",
            "trailing characters at line 1 column 31",
        ),
        set(
            "unknown field of a route",
            "/routes/0/colour",
            json!("blue"),
            "field \"routes[0].colour\": unknown field `colour`, expected one of `name`, `path`, `model`",
        ),
        set(
            "unknown field of an endpoint",
            "/pools/0/endpoints/0/prot",
            json!(1),
            "field \"pools[0].endpoints[0].prot\": unknown field `prot`",
        ),
        set(
            "unknown tier",
            "/routes/0/tier",
            json!("urgent"),
            "field \"routes[0].tier\": unknown variant `urgent`, expected one of `order`, `interactive`",
        ),
        set(
            "unknown kind of pool",
            "/pools/0/kind",
            json!("cache"),
            "field \"pools[0].kind\": unknown variant `cache`, expected `model` or `service`",
        ),
        set(
            "unknown fencing",
            "/pools/0/fencing",
            json!("nobody"),
            "field \"pools[0].fencing\": unknown variant `nobody`, expected `engine` or `sidecar`",
        ),
        set(
            "bad address",
            "/pools/0/endpoints/0/sidecar",
            json!("greeting-1"),
            "field \"pools[0].endpoints[0].sidecar\": invalid socket address syntax",
        ),
        set(
            "negative timeout",
            "/routes/0/timeout_ms",
            json!(-5),
            "field \"routes[0].timeout_ms\": invalid value: integer `-5`, expected u64",
        ),
        set(
            "bad date",
            "/pools/0/move",
            json!({ "to": "v2", "by": "next week" }),
            "field \"pools[0].move.by\": failed to parse",
        ),
    ]
}

fn route_cases() -> Vec<Case> {
    let hidden = "never matches, because route \"order\" before it takes all its requests";
    vec![
        set(
            "dangling pool name",
            "/routes/1/pool",
            json!("greetings"),
            "routes[1].pool: pool \"greetings\" does not exist (route \"greeting\")",
        ),
        set(
            "invalid route name",
            "/routes/0/name",
            json!("my order"),
            format!("routes[0].name: invalid name \"my order\"; {NAME_RULE}"),
        ),
        set(
            "route declared twice",
            "/routes/1/name",
            json!("order"),
            "routes[1].name: route \"order\" is declared twice, first at routes[0]",
        ),
        set(
            "route with the path of another",
            "/routes/-",
            route("late", "/v1/orders", "orders"),
            format!("routes[2]: route \"late\" {hidden}"),
        ),
        set(
            "route hidden by a prefix",
            "/routes/0/path",
            json!("/v1/*"),
            format!("routes[1]: route \"greeting\" {hidden}"),
        ),
        set(
            "relative path",
            "/routes/0/path",
            json!("v1/orders"),
            "routes[0].path: path \"v1/orders\" does not begin with \"/\" (route \"order\")",
        ),
        set(
            "star before the end",
            "/routes/0/path",
            json!("/v1/*/orders"),
            "routes[0].path: path \"/v1/*/orders\" has \"*\" before its end (route \"order\")",
        ),
        set(
            "query in a path",
            "/routes/0/path",
            json!("/v1/orders?x=1"),
            "routes[0].path: path \"/v1/orders?x=1\" holds a query, a fragment or white space",
        ),
        set(
            "empty model",
            "/routes/1/model",
            json!(""),
            "routes[1].model: model is empty (route \"greeting\"); leave it out to take any",
        ),
        set(
            "timeout 0",
            "/routes/0/timeout_ms",
            json!(0),
            "routes[0].timeout_ms: timeout of 0 ms is not within 1 to 3600000 (route \"order\")",
        ),
        set(
            "body limit 0",
            "/routes/0/max_body_bytes",
            json!(0),
            "routes[0].max_body_bytes: body limit of 0 bytes is not within 1 to 4128768",
        ),
        set(
            "body limit above what a message carries",
            "/routes/0/max_body_bytes",
            json!(5_000_000),
            "routes[0].max_body_bytes: body limit of 5000000 bytes is not within 1 to 4128768",
        ),
    ]
}

fn pool_cases() -> Vec<Case> {
    vec![
        set(
            "pool declared twice",
            "/pools/-",
            pool("greeting", "127.0.0.1:7102"),
            "pools[2].name: pool \"greeting\" is declared twice, first at pools[0]",
        ),
        set(
            "invalid version name",
            "/pools/0/version",
            json!(""),
            format!("pools[0].version: invalid name \"\" (pool \"greeting\"); {NAME_RULE}"),
        ),
        set(
            "weight 0",
            "/pools/0/weights",
            json!({ "counter": 0 }),
            "pools[0].weights.counter: weight 0 of account \"counter\" is not within 1 to 1000",
        ),
        Case {
            name: "weight given twice",
            text: valid().to_string().replacen(
                "\"kind\":",
                "\"weights\":{\"c\":1,\"c\":2},\"kind\":",
                1,
            ),
            message: "field \"pools[0].weights\": \"c\" is given twice at line 1 column 160"
                .to_owned(),
        },
        set(
            "move to the same version",
            "/pools/0/move",
            json!({ "to": "v1", "by": "2100-01-01T06:00:00Z" }),
            "pools[0].move.to: move to version \"v1\", which pool \"greeting\" has already",
        ),
        set(
            "date that has passed",
            "/pools/0/move",
            json!({ "to": "v2", "by": "2020-01-01T06:00:00Z" }),
            "pools[0].move.by: date 2020-01-01T06:00:00Z of the move of pool \"greeting\" has passed",
        ),
        set(
            "move that begins after its date",
            "/pools/0/move",
            json!({ "to": "v2", "by": "2100-01-01T00:00:00Z", "not_before": "2100-01-02T00:00:00Z" }),
            "pools[0].move.not_before: move of pool \"greeting\" may not begin before its date",
        ),
        set(
            "no endpoints",
            "/pools/0/endpoints",
            json!([]),
            "pools[0].endpoints: pool \"greeting\" has no endpoints",
        ),
        set(
            "endpoint declared twice",
            "/pools/0/endpoints/-",
            endpoint("greeting-1", "127.0.0.1:7109"),
            "pools[0].endpoints[1].name: endpoint \"greeting-1\" is declared twice in pool \"greeting\"",
        ),
        set(
            "address used twice",
            "/pools/1/endpoints/0/sidecar",
            json!("127.0.0.1:7101"),
            "pools[1].endpoints[0].sidecar: address 127.0.0.1:7101 of endpoint \"orders-1\" is used by \
             endpoint \"greeting-1\" of pool \"greeting\" already",
        ),
        set(
            "address without a host",
            "/pools/0/endpoints/0/sidecar",
            json!("0.0.0.0:7101"),
            "pools[0].endpoints[0].sidecar: nothing can listen at address 0.0.0.0:7101",
        ),
        set(
            "invalid failure domain",
            "/pools/0/endpoints/0/domain",
            json!("a b"),
            "pools[0].endpoints[0].domain: invalid name \"a b\" (endpoint \"greeting-1\")",
        ),
    ]
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target folder can be written");
    path
}

fn check(path: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_eelgrassramp-ctl"))
        .args(["tables", "check", path])
        .output()
        .expect("the tool starts")
}

#[googletest::test]
fn each_invalid_file_gives_a_specific_message() {
    let cases = [structural_cases(), route_cases(), pool_cases()];
    for (i, case) in cases.iter().flatten().enumerate() {
        let path = write_file(&format!("bad-{i}.jsonc"), &case.text);

        let out = check(&path.display().to_string());

        let stderr = String::from_utf8_lossy(&out.stderr);
        let expected = format!("eelgrassramp-ctl: {}: {}", path.display(), case.message);
        expect_that!(out.status.code(), some(eq(2)), "{}", case.name);
        expect_that!(stderr, starts_with(expected), "{}", case.name);
        expect_that!(
            stderr.lines().count(),
            eq(1),
            "{}: one fault, one line",
            case.name
        );
    }
}

#[googletest::test]
fn valid_file_is_accepted() {
    let path = write_file("valid.jsonc", &valid().to_string());

    let out = check(&path.display().to_string());

    let stdout = String::from_utf8_lossy(&out.stdout);
    expect_that!(out.status.code(), some(eq(0)));
    expect_that!(
        stdout,
        ends_with("valid.jsonc: valid: 2 routes, 2 pools, 2 endpoints\n")
    );
}

#[googletest::test]
fn missing_file_is_reported_by_name() {
    let out = check("nowhere.jsonc");

    let stderr = String::from_utf8_lossy(&out.stderr);
    expect_that!(out.status.code(), some(eq(2)));
    expect_that!(
        stderr,
        starts_with("eelgrassramp-ctl: nowhere.jsonc: No such file")
    );
}

#[googletest::test]
fn all_faults_of_a_file_are_reported_at_once() {
    let mut tables = valid();
    tables["routes"][0]["timeout_ms"] = json!(0);
    tables["routes"][1]["pool"] = json!("nowhere");
    let path = write_file("two-faults.jsonc", &tables.to_string());

    let out = check(&path.display().to_string());

    let stderr = String::from_utf8_lossy(&out.stderr);
    expect_that!(stderr.lines().count(), eq(2));
    expect_that!(stderr, contains_substring("routes[0].timeout_ms: "));
    expect_that!(stderr, contains_substring("routes[1].pool: "));
}
