//! Tests of the settings template that the deployment renders for relays.
#![allow(clippy::unwrap_used)]

mod program;

use std::fs;

use googletest::prelude::*;
use program::{Program, scratch};

/// Example values of the placeholders of the template.
const PLACEHOLDERS: [(&str, &str); 14] = [
    ("{{NodeName|json}}", "\"front-a-1\""),
    ("{{Zone|json}}", "\"a\""),
    ("{{Listen.Front|json}}", "\"10.1.0.35:8144\""),
    ("{{Listen.Ready|json}}", "\"10.1.0.35:8140\""),
    ("{{Ip}}", "10.1.0.35"),
    ("{{PortRange.0}}", "7660"),
    ("{{Platform.Address|json}}", "\"10.200.1.7:8142\""),
    ("{{Platform.RowBytes|json}}", "65536"),
    ("{{Limits.CpuShare}}", "0.5"),
    ("{{Limits.MemoryMb}}", "130"),
    ("{{Bounds.ConfigApplyMs}}", "2000"),
    ("{{Bounds.StatusS}}", "120"),
    ("{{Bounds.GraceS}}", "8.5"),
    ("{{Bounds.RevokeMs}}", "5000"),
];

/// Start and end of the section of the template that is rendered only if revocation is strict.
const STRICT_REVOKE: (&str, &str) = ("{{#Bounds.StrictRevoke}}", "{{/Bounds.StrictRevoke}}");

fn render_template() -> String {
    render(false)
}

fn render(is_strict: bool) -> String {
    let template = fs::read_to_string("deploy/relay.jsonc").unwrap();
    let (start, end) = STRICT_REVOKE;
    let (before, rest) = template.split_once(start).unwrap();
    let (section, after) = rest.split_once(end).unwrap();
    let section = if is_strict { section } else { "" };
    let template = format!("{before}{section}{after}");
    PLACEHOLDERS.iter().fold(template, |text, (name, value)| text.replace(name, value))
}

/// Guards against a template whose rendered settings are refused.
#[gtest]
fn accepted() -> Result<()> {
    let text = render_template();
    expect_that!(text, not(contains_substring("{{")));
    let path = scratch("relay.jsonc", &text);
    let output = Program::new(&format!("settings check {path} --json")).run();
    expect_that!(output.code, eq(0), "{}", output.errors);
    let settings: serde_json::Value = serde_json::from_str(&output.text)?;
    expect_that!(settings["settings"]["dialect"].as_str(), some(eq("bridge")));
    verify_that!(settings["settings"]["stop"]["grace_s"].as_f64(), some(eq(8.5)))
}

/// Guards against strict revocation at sites that do not ask for it, and against its loss at those that do.
#[gtest]
fn strict_revocation() -> Result<()> {
    for (is_strict, expected) in [(false, None), (true, Some(5_000))] {
        let text = render(is_strict);
        expect_that!(text, not(contains_substring("{{")));
        let path = scratch("relay.jsonc", &text);
        let output = Program::new(&format!("settings check {path} --json")).run();
        expect_that!(output.code, eq(0), "{}", output.errors);
        let settings: serde_json::Value = serde_json::from_str(&output.text)?;
        let revoke_ms = settings["settings"]["accounts"]["revoke_ms"].as_u64();
        expect_that!(revoke_ms, eq(expected), "{is_strict}");
    }
    let short = render(true).replace("5000", "999");
    let path = scratch("relay.jsonc", &short);
    let output = Program::new(&format!("settings check {path}")).run();
    expect_that!(output.code, eq(3));
    verify_that!(output.message(), contains_substring("accounts.revoke_ms"))
}

/// Guards against invalid settings that are accepted, and messages that do not name the key.
#[gtest]
fn refused() -> Result<()> {
    let cases = [
        ("\"name\": \"front-a-1\"", "\"name\": \"a/b\"", "name"),
        ("\"dialect\": \"bridge\"", "\"dialect\": \"other\"", "dialect"),
        ("\"grace_s\": 8.5", "\"grace_s\": 1", "stop.leave_ms"),
        ("\"grace_s\": 8.5", "\"grace\": 8.5", "grace"),
        ("\"stop\"", "\"stopp\"", "stopp"),
    ];
    for (from, to, key) in cases {
        let path = scratch("relay.jsonc", &render_template().replace(from, to));
        let output = Program::new(&format!("settings check {path}")).run();
        expect_that!(output.code, eq(3), "{to}");
        expect_that!(output.message(), contains_substring(key), "{to}");
    }
    Ok(())
}
