//! Reading of valid settings files of a daemon, and refusal of invalid ones.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::path::Path;

use cyclamengrade_settings::{Daemon, Error, Level, Problem};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Returns the text of a settings file with the required keys only and then `changes`, by path.
fn text(changes: &[(&str, Value)]) -> String {
    let mut value = json!({
        "name": "entry-1",
        "data_centre": "como",
        "listen": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081",
        "platform": {
            "table": "127.0.0.1:7001",
            "objects": "127.0.0.1:7002",
            "vms": "127.0.0.1:7003",
        },
    });
    for (path, change) in changes {
        let mut target = &mut value;
        for name in path.split('.') {
            if target[name].is_null() {
                target[name] = json!({});
            }
            target = &mut target[name];
        }
        *target = change.clone();
    }
    value.to_string()
}

fn parse(text: &str) -> std::result::Result<Daemon, Error> {
    Daemon::parse(Path::new("daemon.jsonc"), text)
}

fn problems(changes: &[(&str, Value)]) -> Vec<Problem> {
    match parse(&text(changes)) {
        Ok(_) => Vec::new(),
        Err(Error::Refused { problems, .. }) => problems,
        Err(error) => panic!("the settings failed, but not in a check: {error}"),
    }
}

fn messages(changes: &[(&str, Value)]) -> Vec<String> {
    problems(changes).iter().map(ToString::to_string).collect()
}

/// Guards against a default that differs between the type and the table of keys.
#[gtest]
fn defaults_apply() -> Result<()> {
    let settings = parse(&text(&[])).or_fail()?;
    let written = serde_json::to_value(&settings).or_fail()?;
    for key in cyclamengrade_settings::key::KEYS {
        use cyclamengrade_settings::key::Default;
        let pointer = format!("/{}", key.path.replace('.', "/"));
        let value = written.pointer(&pointer);
        let expected = match key.default {
            Default::Required => continue,
            Default::Absent(_) => Value::Null,
            Default::Integer(number) => json!(number),
            Default::Number(number) => json!(number),
            Default::Boolean(boolean) => json!(boolean),
            Default::Choice(choice) => json!(choice),
        };
        expect_that!(value, some(eq(&expected)), "{}", key.path);
    }
    Ok(())
}

/// Guards against a field of the type that is missing from the table of keys, and the reverse.
#[gtest]
fn keys_match_type() -> Result<()> {
    fn paths(prefix: &str, value: &Value, found: &mut Vec<String>) {
        for (name, value) in value.as_object().into_iter().flatten() {
            match value {
                Value::Object(_) => paths(&format!("{prefix}{name}."), value, found),
                _ => found.push(format!("{prefix}{name}")),
            }
        }
    }
    let settings = parse(&text(&[])).or_fail()?;
    let mut found = Vec::new();
    paths("", &serde_json::to_value(&settings).or_fail()?, &mut found);
    let mut known: Vec<_> =
        cyclamengrade_settings::key::KEYS.iter().map(|key| key.path.to_string()).collect();
    found.sort();
    known.sort();
    verify_that!(found, eq(&known))
}

/// Guards against accepting more than JSON with comments and trailing commas.
#[gtest]
fn strict_syntax() -> Result<()> {
    let valid = format!("// comment\n/* block */ {}", text(&[]).replace('}', ",}"));
    expect_that!(parse(&valid), ok(anything()));
    for bad in ["{name: 'x'}", "{", "", "{\"name\": 0x10}", "[1]"] {
        expect_that!(parse(bad), err(anything()), "{bad}");
    }
    let error = parse("{\n  \"name\": \n}").unwrap_err().to_string();
    verify_that!(error, all![starts_with("daemon.jsonc: "), contains_substring("line 3")])
}

/// Guards against a duplicate key whose last value applies without a message.
#[gtest]
fn duplicate_key() -> Result<()> {
    let error = parse(r#"{"lease": {"length_ms": 1, "length_ms": 2}}"#).unwrap_err().to_string();
    verify_that!(error, contains_substring("lease.length_ms appears twice"))
}

/// Guards against an unknown key being ignored, and against advice that names an unknown key.
#[gtest]
fn unknown_key() -> Result<()> {
    expect_that!(
        messages(&[("lease.lenght_ms", json!(1))]),
        elements_are![eq(
            "lease.lenght_ms: unknown key; write lease.length_ms instead, or remove it"
        )]
    );
    expect_that!(
        messages(&[("timers.length_ms", json!(1))]),
        elements_are![contains_substring("write lease.length_ms instead")]
    );
    verify_that!(
        messages(&[("colour", json!("blue"))]),
        elements_are![eq("colour: unknown key; remove it, or see docs/settings.md for the keys")]
    )
}

/// Guards against a value of a wrong type being converted to another type.
#[gtest]
fn wrong_type() -> Result<()> {
    for (path, value) in [
        ("name", json!(5)),
        ("admin_token", json!(5)),
        ("listen", json!("localhost:80")),
        ("listen", json!("10.0.0.1")),
        ("lease", json!(3)),
        ("lease.length_ms", json!("10000")),
        ("lease.length_ms", json!(10.5)),
        ("lease.length_ms", json!(null)),
        ("policy.naive", json!(1)),
        ("policy.retry_share", json!("0.1")),
        ("telemetry.log_level", json!(["info"])),
    ] {
        let found = problems(&[(path, value.clone())]);
        expect_that!(
            found,
            elements_are![matches_pattern!(Problem::WrongType { path: eq(path), .. })],
            "{path} = {value}"
        );
    }
    Ok(())
}

/// Guards against accepting values just outside of a range, and against refusing its bounds.
#[gtest]
fn range_bounds() -> Result<()> {
    use cyclamengrade_settings::key::{KEYS, Kind};

    let range_problems = |path: &str, value: Value| {
        problems(&[(path, value)])
            .iter()
            .filter(|problem| matches!(problem, Problem::OutOfRange { .. }))
            .count()
    };
    for key in KEYS {
        match key.kind {
            Kind::Integer { min, max } => {
                expect_that!(range_problems(key.path, json!(min)), eq(0), "{}", key.path);
                expect_that!(range_problems(key.path, json!(max)), eq(0), "{}", key.path);
                expect_that!(range_problems(key.path, json!(max + 1)), eq(1), "{}", key.path);
                let below = i64::try_from(min).or_fail()? - 1;
                expect_that!(range_problems(key.path, json!(below)), eq(1), "{}", key.path);
            }
            Kind::Number { min, max } => {
                expect_that!(range_problems(key.path, json!(min)), eq(0), "{}", key.path);
                expect_that!(range_problems(key.path, json!(max)), eq(0), "{}", key.path);
                expect_that!(range_problems(key.path, json!(max + 0.01)), eq(1), "{}", key.path);
                expect_that!(range_problems(key.path, json!(min - 0.01)), eq(1), "{}", key.path);
            }
            Kind::Name => {
                for bad in ["", "Entry", "a b", "a/b", &"x".repeat(64)] {
                    expect_that!(
                        range_problems(key.path, json!(bad)),
                        eq(1),
                        "{} = {bad}",
                        key.path
                    );
                }
            }
            Kind::Choice(_) => {
                expect_that!(range_problems(key.path, json!("loud")), eq(1), "{}", key.path);
            }
            Kind::Address => {
                for bad in ["0.0.0.0:80", "10.0.0.1:0"] {
                    expect_that!(
                        range_problems(key.path, json!(bad)),
                        eq(1),
                        "{} = {bad}",
                        key.path
                    );
                }
            }
            Kind::Token => {
                for bad in ["", &"x".repeat(15), &"x".repeat(257), &" ".repeat(20)] {
                    expect_that!(
                        range_problems(key.path, json!(bad)),
                        eq(1),
                        "{} = {bad}",
                        key.path
                    );
                }
                for good in [16, 256] {
                    expect_that!(
                        range_problems(key.path, json!("x".repeat(good))),
                        eq(0),
                        "{}",
                        key.path
                    );
                }
            }
            Kind::Listener | Kind::Boolean => {}
        }
    }
    Ok(())
}

/// Guards against reporting only the first problem of a file.
#[gtest]
fn all_problems_reported() -> Result<()> {
    let error = parse(r#"{"name": "Entry", "lease": {"length_ms": 5}, "colour": 1}"#);
    let message = error.unwrap_err().to_string();
    for part in ["name: ", "lease.length_ms: ", "colour: ", "listen: ", "platform.vms: "] {
        expect_that!(message, contains_substring(format!("daemon.jsonc: {part}")));
    }
    verify_that!(message.lines().count(), eq(9))
}

/// Guards against accepting settings that are valid by themselves and contradict each other.
#[gtest]
fn contradictions() -> Result<()> {
    let cases: &[(&[(&str, Value)], &str)] = &[
        (&[("lease.renewal_ms", json!(5_000))], "lease.renewal_ms"),
        (&[("platform.timeout_ms", json!(10_000))], "platform.timeout_ms"),
        (&[("timers.drain_ms", json!(2_000))], "timers.drain_ms"),
        (&[("peer.probe_timeout_ms", json!(1_000))], "peer.probe_timeout_ms"),
        (&[("peer.suspicion_ms", json!(999))], "peer.suspicion_ms"),
        (&[("limits.batch_body_bytes", json!(1_024))], "limits.batch_body_bytes"),
        (&[("limits.batch_items", json!(10))], "limits.chunk_items"),
        (&[("peer_listen", json!("127.0.0.1:8080"))], "peer_listen"),
        (&[("peer_listen", json!("0.0.0.0:8080"))], "peer_listen"),
        (&[("platform.vms", json!("127.0.0.1:8081"))], "platform.vms"),
        (&[("listen", json!("0.0.0.0:7001"))], "platform.table"),
    ];
    for (changes, expected) in cases {
        expect_that!(
            problems(changes),
            elements_are![matches_pattern!(Problem::Contradiction { path: eq(*expected), .. })],
            "{changes:?}"
        );
    }
    let valid: &[&[(&str, Value)]] = &[
        &[("lease.renewal_ms", json!(4_999))],
        &[("listen", json!("127.0.0.1:0")), ("peer_listen", json!("127.0.0.1:0"))],
        &[("platform.objects", json!("127.0.0.1:7001"))],
        &[("listen", json!("0.0.0.0:7009")), ("platform.table", json!("10.0.0.5:7009"))],
    ];
    for changes in valid {
        expect_that!(messages(changes), is_empty(), "{changes:?}");
    }
    verify_that!(
        messages(&[("lease.renewal_ms", json!(5_000))]),
        elements_are![eq("lease.renewal_ms: 5000 ms is not under half of lease.length_ms \
             (10000 ms); write at most 4999, or raise lease.length_ms")]
    )
}

/// Guards against a log level whose name the settings file does not accept.
#[gtest]
fn log_levels() -> Result<()> {
    for level in [Level::Error, Level::Warn, Level::Info, Level::Debug, Level::Trace] {
        let settings = parse(&text(&[("telemetry.log_level", json!(level.name()))])).or_fail()?;
        expect_that!(settings.telemetry.log_level, eq(level));
    }
    Ok(())
}

/// Guards against an error that does not name the file that cannot be read.
#[gtest]
fn missing_file() -> Result<()> {
    let error = Daemon::read("no/such/daemon.jsonc").unwrap_err().to_string();
    verify_that!(error, contains_substring("cannot read the settings file no/such/daemon.jsonc"))
}

/// Guards against showing a token in a message, and against accepting a token that is easy to guess
/// or cannot be sent in a header.
#[gtest]
fn admin_token() -> Result<()> {
    let settings = parse(&text(&[("admin_token", json!("0123456789abcdef"))])).or_fail()?;
    expect_that!(settings.admin_token, some(eq("0123456789abcdef")));
    for token in ["", "0123456789abcde", "0123456789 abcdef", "0123456789abcd\u{e9}f"] {
        let found = messages(&[("admin_token", json!(token))]);
        expect_that!(found, elements_are![starts_with("admin_token: ")], "{token}");
        expect_that!(found[0].contains("0123456789"), eq(false), "{token}");
    }
    let found = messages(&[("admin_token", json!(123_456_789))]);
    verify_that!(found, elements_are![not(contains_substring("123456789"))])
}
