//! Bad settings files: each gives one line with file, place and cause, and exit code 2.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use googletest::prelude::*;

/// A program together with settings that it accepts.
#[derive(Clone, Copy)]
struct Subject {
    program: &'static str,
    settings: &'static str,
}

const ENTRY: Subject = Subject {
    program: env!("CARGO_BIN_EXE_eelgrassramp-entry"),
    settings: r#"{
    // Where callers connect.
    "name": "entry-1", "listen": "127.0.0.1:0", "domain": "a", "region": "north",
    "store": "127.0.0.1:9"
}"#,
};

const SIDECAR: Subject = Subject {
    program: env!("CARGO_BIN_EXE_eelgrassramp-sidecar"),
    settings: r#"{
    "listen": "127.0.0.1:0", "endpoint": "cards-1", "pool": "cards", "version": "v1",
    "kind": "model", "engine": "127.0.0.1:9", "domain": "a", "hardware": "gen3", "slots": 8
}"#,
};

struct Case {
    program: Subject,
    from: &'static str,
    to: &'static str,
    says: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        program: ENTRY,
        from: r#""region""#,
        to: r#""regoin""#,
        says: &["regoin", "unknown field"],
    },
    Case {
        program: ENTRY,
        from: r#""name": "entry-1", "#,
        to: "",
        says: &["missing field `name`"],
    },
    Case {
        program: ENTRY,
        from: "entry-1",
        to: "",
        says: &["name"],
    },
    Case {
        program: ENTRY,
        from: "127.0.0.1:9",
        to: "127.0.0.1",
        says: &["store", "socket address"],
    },
    Case {
        program: ENTRY,
        from: "127.0.0.1:0",
        to: "localhost",
        says: &["listen", "socket address"],
    },
    Case {
        program: ENTRY,
        from: r#""region""#,
        to: r#""log": "loud", "region""#,
        says: &["log", "loud"],
    },
    Case {
        program: ENTRY,
        from: "// Where",
        to: "Where",
        says: &["line 2"],
    },
    Case {
        program: ENTRY,
        from: "\n}",
        to: "\n} {}",
        says: &["trailing"],
    },
    Case {
        program: SIDECAR,
        from: r#""slots": 8"#,
        to: r#""slots": 0"#,
        says: &["slots"],
    },
    Case {
        program: SIDECAR,
        from: r#""slots": 8"#,
        to: r#""slots": "8""#,
        says: &["slots", "invalid type"],
    },
    Case {
        program: SIDECAR,
        from: r#""model""#,
        to: r#""robot""#,
        says: &["kind", "robot"],
    },
    Case {
        program: SIDECAR,
        from: r#""endpoint": "cards-1", "#,
        to: "",
        says: &["missing field `endpoint`"],
    },
    Case {
        program: SIDECAR,
        from: "cards-1",
        to: "cards 1",
        says: &["endpoint", "cards 1"],
    },
    Case {
        program: SIDECAR,
        from: "127.0.0.1:9",
        to: "127.0.0.1:99999",
        says: &["engine", "socket address"],
    },
];

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the folder for temporary files can be written");
    path
}

fn check(subject: Subject, path: &Path) -> Output {
    let mut command = Command::new(subject.program);
    command.arg("--settings").arg(path).arg("--check");
    command.output().expect("the program was built")
}

#[gtest]
fn good_settings_pass() {
    for (subject, name) in [(ENTRY, "good-entry.jsonc"), (SIDECAR, "good-sidecar.jsonc")] {
        let path = write_settings(name, subject.settings);

        let out = check(subject, &path);

        expect_that!(out.status.code(), some(eq(0)), "{name}");
        expect_that!(out.stderr, is_empty(), "{name}");
    }
}

#[gtest]
fn each_fault_is_named_in_one_line() {
    for (i, case) in CASES.iter().enumerate() {
        let file = format!("bad-{i}.jsonc");
        let text = case.program.settings.replacen(case.from, case.to, 1);
        let path = write_settings(&file, &text);

        let out = check(case.program, &path);

        let said = String::from_utf8_lossy(&out.stderr);
        expect_that!(out.status.code(), some(eq(2)), "{file}: {said}");
        expect_that!(said.lines().count(), eq(1), "{said}");
        expect_that!(said, contains_substring(file.as_str()));
        for part in case.says {
            expect_that!(said, contains_substring(*part), "{file}");
        }
    }
}

#[gtest]
fn a_missing_file_is_named() {
    let path = PathBuf::from("no-such-folder/settings.jsonc");

    let out = check(ENTRY, &path);

    let said = String::from_utf8_lossy(&out.stderr);
    expect_that!(out.status.code(), some(eq(2)));
    expect_that!(said, contains_substring("no-such-folder/settings.jsonc"));
}
