//! Invalid settings files: each gives one line with file, location and cause, and exit code 2.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use googletest::prelude::*;

/// A program and settings that it accepts.
#[derive(Clone, Copy)]
struct ProgramUnderTest {
    program: &'static str,
    settings: &'static str,
}

const ENTRY: ProgramUnderTest = ProgramUnderTest {
    program: env!("CARGO_BIN_EXE_eelgrassramp-entry"),
    settings: r#"{
    // Where callers connect.
    "name": "entry-1", "listen": "127.0.0.1:0", "domain": "a", "region": "north",
    "store": "127.0.0.1:9"
}"#,
};

const SIDECAR: ProgramUnderTest = ProgramUnderTest {
    program: env!("CARGO_BIN_EXE_eelgrassramp-sidecar"),
    settings: r#"{
    "listen": "127.0.0.1:0", "endpoint": "cards-1", "pool": "cards", "version": "v1",
    "kind": "model", "engine": "127.0.0.1:9", "domain": "a", "hardware": "gen3", "slots": 8
}"#,
};

struct Case {
    program: ProgramUnderTest,
    from: &'static str,
    to: &'static str,
    expected: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        program: ENTRY,
        from: r#""region""#,
        to: r#""regoin""#,
        expected: &["regoin", "unknown field"],
    },
    Case {
        program: ENTRY,
        from: r#""name": "entry-1", "#,
        to: "",
        expected: &["missing field `name`"],
    },
    Case {
        program: ENTRY,
        from: "entry-1",
        to: "",
        expected: &["name"],
    },
    Case {
        program: ENTRY,
        from: "127.0.0.1:9",
        to: "127.0.0.1",
        expected: &["store", "socket address"],
    },
    Case {
        program: ENTRY,
        from: "127.0.0.1:0",
        to: "localhost",
        expected: &["listen", "socket address"],
    },
    Case {
        program: ENTRY,
        from: r#""region""#,
        to: r#""log": "loud", "region""#,
        expected: &["log", "loud"],
    },
    Case {
        program: ENTRY,
        from: "// Where",
        to: "Where",
        expected: &["line 2"],
    },
    Case {
        program: ENTRY,
        from: "\n}",
        to: "\n} {}",
        expected: &["trailing"],
    },
    Case {
        program: SIDECAR,
        from: r#""slots": 8"#,
        to: r#""slots": 0"#,
        expected: &["slots"],
    },
    Case {
        program: SIDECAR,
        from: r#""slots": 8"#,
        to: r#""slots": "8""#,
        expected: &["slots", "invalid type"],
    },
    Case {
        program: SIDECAR,
        from: r#""model""#,
        to: r#""robot""#,
        expected: &["kind", "robot"],
    },
    Case {
        program: SIDECAR,
        from: r#""endpoint": "cards-1", "#,
        to: "",
        expected: &["missing field `endpoint`"],
    },
    Case {
        program: SIDECAR,
        from: "cards-1",
        to: "cards 1",
        expected: &["endpoint", "cards 1"],
    },
    Case {
        program: SIDECAR,
        from: "127.0.0.1:9",
        to: "127.0.0.1:99999",
        expected: &["engine", "socket address"],
    },
];

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder for temporary files can be written");
    path
}

fn check(program_under_test: ProgramUnderTest, path: &Path) -> Output {
    let mut command = Command::new(program_under_test.program);
    command.arg("--settings").arg(path).arg("--check");
    command.output().expect("the program was built")
}

#[gtest]
fn valid_settings_are_accepted() {
    for (program_under_test, name) in [(ENTRY, "good-entry.jsonc"), (SIDECAR, "good-sidecar.jsonc")]
    {
        let path = write_settings(name, program_under_test.settings);

        let out = check(program_under_test, &path);

        expect_that!(out.status.code(), some(eq(0)), "{name}");
        expect_that!(out.stderr, is_empty(), "{name}");
    }
}

#[gtest]
fn each_fault_is_reported_in_one_line() {
    for (i, case) in CASES.iter().enumerate() {
        let file = format!("bad-{i}.jsonc");
        let text = case.program.settings.replacen(case.from, case.to, 1);
        let path = write_settings(&file, &text);

        let out = check(case.program, &path);

        let stderr = String::from_utf8_lossy(&out.stderr);
        expect_that!(out.status.code(), some(eq(2)), "{file}: {stderr}");
        expect_that!(stderr.lines().count(), eq(1), "{stderr}");
        expect_that!(stderr, contains_substring(file.as_str()));
        for part in case.expected {
            expect_that!(stderr, contains_substring(*part), "{file}");
        }
    }
}

#[gtest]
fn a_missing_file_is_reported_by_name() {
    let path = PathBuf::from("no-such-folder/settings.jsonc");

    let out = check(ENTRY, &path);

    let stderr = String::from_utf8_lossy(&out.stderr);
    expect_that!(out.status.code(), some(eq(2)));
    expect_that!(stderr, contains_substring("no-such-folder/settings.jsonc"));
}
