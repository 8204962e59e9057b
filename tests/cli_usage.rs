//! Tests of arguments, help texts, exit codes and the width of the program's output.
#![allow(clippy::unwrap_used, clippy::panic)]

mod program;

use std::{fs, net::TcpListener};

use googletest::prelude::*;
use program::{Program, scratch};
use serde_json::Value;

/// Guards against invalid arguments that are ignored or end with an exit code other than 2.
#[gtest]
fn usage_errors() -> Result<()> {
    for (arguments, message) in [
        ("", "a subcommand is missing"),
        ("launch", "unknown subcommand launch"),
        ("daemon", "the settings FILE is missing"),
        ("daemon a b", "unexpected argument b"),
        ("daemon --fast", "unknown option --fast"),
        ("daemon no/such/file", "cannot read the settings file no/such/file"),
        ("settings", "one of check is missing"),
        ("settings print", "unknown subcommand print"),
        ("settings check", "the settings FILE is missing"),
        ("config", "one of plan, apply, show, history is missing"),
        ("config revert", "unknown subcommand revert"),
        ("config plan", "the document FILE is missing"),
        ("config plan a.json", "no daemon is named"),
        ("config apply --author a", "'--plan' option must be set"),
        ("config apply --author a --plan p", "no daemon is named"),
        ("config show x", "unexpected argument x"),
        ("config history --limit many", "failed to parse 'many'"),
        ("config show --server there", "there is not an address"),
        ("config show --server there:port", "there:port is not an address"),
        ("batch", "one of submit, status, results, cancel is missing"),
        ("batch submit f", "'--deployment' option must be set"),
        ("batch submit f --deployment d --due soon", "soon is not a duration"),
        ("batch submit f --deployment d --due 5w", "5w is not a duration"),
        ("batch submit f --deployment d --server h:1", "cannot read f"),
        ("batch status", "the ID of the job is missing"),
        ("batch cancel a b --server h:1", "unexpected argument b"),
        ("upstreams all", "unexpected argument all"),
    ] {
        let output = Program::new(arguments).run();
        expect_that!(output.code, eq(2), "{arguments}");
        let actual = output.message();
        expect_that!(actual, contains_substring(message), "{arguments}");
        expect_that!(output.text, eq(""), "{arguments}");
        expect_that!(output.widest(), le(60), "{arguments}: {}", output.errors);
    }
    Ok(())
}

/// Guards against a subcommand without a help text, and a help text that is too wide for a phone.
#[gtest]
fn help_texts() -> Result<()> {
    for subcommand in [
        "",
        "daemon",
        "settings",
        "settings check",
        "config",
        "config plan",
        "batch",
        "upstreams",
        "explain",
    ] {
        for option in ["--help", "-h"] {
            let output = Program::new(&format!("{subcommand} {option}")).run();
            expect_that!(output.code, eq(0), "{subcommand}");
            expect_that!(output.text, contains_substring("Usage:"), "{subcommand}");
            expect_that!(output.widest(), le(60), "{subcommand}");
        }
    }
    for option in ["--version", "-V"] {
        let output = Program::new(option).run();
        let expected = format!("cyclamengrade {}\n", env!("CARGO_PKG_VERSION"));
        expect_that!(output.text, eq(&expected));
        expect_that!(output.code, eq(0));
    }
    Ok(())
}

/// Guards against refused settings that end with exit code 0 or with a message that does not say
/// what to write instead.
#[gtest]
fn settings_checked() -> Result<()> {
    let output = Program::new("settings check examples/tessiture/daemon.jsonc").run();
    expect_that!(output.code, eq(0));
    expect_that!(output.text, contains_substring("fine"));

    let output = Program::new("settings check examples/himal/daemon.jsonc --json").run();
    let value: Value = serde_json::from_str(&output.text).or_fail()?;
    expect_that!(value["settings"]["peer"]["probe_period_ms"], eq(&Value::from(1_000)));

    let example = fs::read_to_string("examples/himal/daemon.jsonc").or_fail()?;
    let file = scratch("refused.jsonc", &example.replace("3000,", "5000,"));
    for arguments in ["settings check", "daemon"] {
        let output = Program::new(arguments).with(&file).run();
        expect_that!(output.code, eq(3), "{arguments}");
        let message = output.message();
        expect_that!(message, contains_substring("lease.renewal_ms: 5000 ms is not under half"));
        expect_that!(message, contains_substring("write at most 4999"));
    }
    Ok(())
}

/// Guards against an unreachable daemon that ends with the exit code of a refusal.
#[gtest]
fn unreachable() -> Result<()> {
    let address = TcpListener::bind("127.0.0.1:0").or_fail()?.local_addr().or_fail()?;
    for arguments in ["config show", "config history", "upstreams", "batch status x"] {
        let output = Program::new(arguments).with("--server").with(&address.to_string()).run();
        expect_that!(output.code, eq(4), "{arguments}");
        expect_that!(output.message(), contains_substring("cannot connect to"), "{arguments}");
        expect_that!(output.widest(), le(60), "{arguments}");
    }
    let output = Program::new("upstreams --json").env("CYCLAMENGRADE_SERVER", address).run();
    let error: Value = serde_json::from_str(&output.errors).or_fail()?;
    expect_that!(error["error"]["kind"], eq(&Value::from("unreachable")));
    verify_that!(error["error"]["exit"], eq(&Value::from(4)))
}
