//! Tests of the subcommands `batch` and `upstreams` against a mock daemon.
#![allow(clippy::unwrap_used, clippy::panic)]

mod program;
#[path = "../components/operator/tests/support/mod.rs"]
mod support;

use std::{
    fs,
    sync::atomic::{AtomicU64, Ordering},
};

use googletest::prelude::*;
use program::{Output, Program, scratch, scratch_path};
use serde_json::{Value, json};
use support::{Daemon, Reply};

const ITEMS: &str = "{\"id\":\"1\",\"prompt\":\"p\",\"max_tokens\":4}\n";

fn job(state: &str, succeeded: u64) -> Value {
    json!({
        "id": "0123456789abcdef0123456789abcdef", "deployment": "wording-llm", "state": state,
        "items": 430_000, "succeeded": succeeded, "failed": 3,
        "due_unix_ms": 1_796_300_000_000_u64,
    })
}

/// Starts a mock daemon whose job `j` has the state `ending` from the third status request on.
fn daemon(ending: &'static str) -> Daemon {
    let status_requests = AtomicU64::new(0);
    Daemon::start(move |request| match request.path.as_str() {
        path if path.ends_with("/results") => Reply::Answer(200, "{\"id\":\"1\"}\n".into()),
        path if path.ends_with("/cancel") => Reply::json(&job("cancelled", 5)),
        "/v1/batches/j" => match status_requests.fetch_add(1, Ordering::Relaxed) {
            0 | 1 => Reply::json(&job("open", 5)),
            _ => Reply::json(&job(ending, 429_997)),
        },
        "/v1/batches/none" => Reply::refusal(404, "not_found", "no job has the identifier none"),
        path if path.starts_with("/v1/batches?") => Reply::json(&json!({
            "id": "j", "deployment": "wording-llm", "state": "open", "items": 1,
            "succeeded": 0, "failed": 0, "due_unix_ms": 0,
        })),
        _ => Reply::refusal(429, "limited", "the client has too many open jobs"),
    })
}

fn run(daemon: &Daemon, arguments: &str) -> Output {
    let output = Program::new(arguments)
        .env("CYCLAMENGRADE_SERVER", format!("http://{}/", daemon.address))
        .env("CYCLAMENGRADE_TOKEN", "secret")
        .run();
    assert!(output.widest() <= 60 || arguments.contains("--json"), "{}", output.text);
    output
}

/// Guards against a second job when the same command is run again, and against a default key that
/// does not depend on the deployment.
#[gtest]
fn submit_twice() -> Result<()> {
    let daemon = daemon("completed");
    let file = scratch("items.jsonl", ITEMS);
    for deployment in ["wording-llm", "wording-llm", "other"] {
        let arguments = format!("batch submit {file} --deployment {deployment} --due 2h");
        let output = run(&daemon, &arguments);
        expect_that!(output.code, eq(0));
        expect_that!(output.text, starts_with("job j\n"));
    }
    run(&daemon, &format!("batch submit {file} --deployment wording-llm --key my-key"));
    let requests = daemon.requests();
    let keys: Vec<_> = requests.iter().map(|r| r.header("idempotency-key").unwrap()).collect();
    expect_that!(keys[0], eq(keys[1]));
    expect_that!(keys[0], not(eq(keys[2])));
    expect_that!(keys[3], eq("my-key"));
    expect_that!(requests[0].line(), eq("POST /v1/batches?deployment=wording-llm&due_s=7200"));
    expect_that!(requests[0].body, eq(ITEMS.as_bytes()));
    expect_that!(requests[0].header("authorization"), some(eq("Bearer secret")));
    verify_that!(requests[3].line(), contains_substring("due_s=86400"))
}

/// Guards against `--wait` that ends early, prints progress into a log, or hides a cancellation.
#[gtest]
fn submit_wait() -> Result<()> {
    let file = scratch("items.jsonl", ITEMS);
    let arguments = format!("batch submit {file} --deployment wording-llm --wait");
    let output = run(&daemon("completed"), &arguments);
    expect_that!(output.code, eq(0));
    expect_that!(output.errors, eq(""));
    expect_that!(
        output.text,
        contains_substring("completed: 429997 of 430000 succeeded, 3 failed")
    );
    let output = run(&daemon("cancelled"), &(arguments + " --json"));
    expect_that!(output.code, eq(3));
    let state: Value = serde_json::from_str(&output.text).or_fail()?;
    verify_that!(state["state"], eq(&json!("cancelled")))
}

/// Guards against states, results and refusals of the daemon that are not printed or not written.
#[gtest]
fn look_cancel() -> Result<()> {
    let daemon = daemon("completed");
    let output = run(&daemon, "batch status j");
    expect_that!(output.text, contains_substring("open: 5 of 430000 succeeded"));
    let output = run(&daemon, "batch cancel j");
    expect_that!(output.text, contains_substring("cancelled: 5 of 430000"));
    let output = run(&daemon, "batch results j");
    expect_that!(output.text, eq("{\"id\":\"1\"}\n"));
    let path = scratch_path("results.jsonl");
    let output = run(&daemon, &format!("batch results j --output {path}"));
    expect_that!(output.code, eq(0));
    expect_that!(fs::read_to_string(&path).or_fail()?, eq("{\"id\":\"1\"}\n"));
    let output = run(&daemon, "batch status none");
    expect_that!(output.code, eq(3));
    verify_that!(output.message(), contains_substring("no job has the identifier none"))
}

/// Guards against a refusal whose message omits the time after which to retry.
#[gtest]
fn refused_limited() -> Result<()> {
    let daemon = Daemon::start(|_| Reply::refusal(429, "limited", "too many open jobs"));
    let file = scratch("items.jsonl", ITEMS);
    let output = run(&daemon, &format!("batch submit {file} --deployment wording-llm"));
    expect_that!(output.code, eq(3));
    verify_that!(
        output.message(),
        contains_substring("limited: too many open jobs; try again after 1500 ms")
    )
}

/// Guards against error kinds that end with the wrong exit code, so that a script cannot tell them
/// apart.
#[gtest]
fn exit_codes() -> Result<()> {
    for (status, kind, code) in [
        (400, "invalid", 3),
        (401, "unauthorized", 3),
        (404, "not_found", 3),
        (409, "conflict", 5),
        (413, "too_large", 3),
        (429, "limited", 3),
        (500, "internal", 1),
        (502, "upstream_failed", 3),
        (502, "outcome_unknown", 4),
        (503, "overloaded", 4),
        (503, "unavailable", 4),
        (504, "expired", 3),
    ] {
        let daemon =
            Daemon::start(move |_| Reply::refusal(status, kind, "refused by the mock daemon"));
        let output = run(&daemon, "batch status j --json");
        expect_that!(output.code, eq(code), "{kind}");
        let error: Value = serde_json::from_str(&output.errors).or_fail()?;
        expect_that!(error["error"]["exit"], eq(&json!(code)));
    }
    Ok(())
}

/// Guards against a results file that looks complete although the response was cut off.
#[gtest]
fn results_cut() -> Result<()> {
    let daemon = Daemon::start(|_| Reply::Partial("{\"id\":\"1\"}\n".into()));
    let path = scratch_path("results.jsonl");
    let output = run(&daemon, &format!("batch results j --output {path}"));
    expect_that!(output.code, eq(4));
    expect_that!(fs::exists(&path).or_fail()?, eq(false));
    verify_that!(fs::exists(format!("{path}.partial")).or_fail()?, eq(false))
}

/// Guards against a table that is too wide for a phone or that omits an upstream.
#[gtest]
fn upstreams_table() -> Result<()> {
    let upstream = |name: &str, deployment: &str, state: &str| {
        json!({
            "name": name, "deployment": deployment, "data_centre": "biella", "state": state,
            "online": 1200, "batch": 17, "reported_running": 9999, "first_token_ms": 12345.6,
        })
    };
    let upstreams = json!([
        upstream("tl-2", "telaio-lm", "unreachable"),
        upstream("tl-1", "telaio-lm", "ready"),
        upstream("a-very-long-name-of-a-vm-in-the-list", "telaio-lm", "ejected"),
        upstream("app-1", "magazzino-app", "leaving"),
    ]);
    let daemon = Daemon::start(move |_| Reply::json(&upstreams));
    let output = run(&daemon, "upstreams");
    expect_that!(
        output.text.lines().collect::<Vec<_>>(),
        elements_are![
            eq(&"magazzino-app in biella"),
            eq(&"  NAME                   STATE        ONL  BAT  RUN   TTFT"),
            eq(&"  app-1                  leaving     1200   17 9999  12346"),
            eq(&"telaio-lm in biella"),
            eq(&"  NAME                   STATE        ONL  BAT  RUN   TTFT"),
            eq(&"  a-very-long-name-of-a-vm-in-the-list"),
            eq(&"                         ejected     1200   17 9999  12346"),
            eq(&"  tl-1                   ready       1200   17 9999  12346"),
            eq(&"  tl-2                   unreachable 1200   17 9999  12346"),
        ]
    );
    let output = run(&daemon, "upstreams --deployment magazzino-app --json");
    let value: Value = serde_json::from_str(&output.text).or_fail()?;
    verify_that!(value.as_array().map(Vec::len), some(eq(1)))
}
