//! Tests of the subcommand `config` against a mock daemon.
#![allow(clippy::unwrap_used, clippy::panic)]

mod program;
#[path = "../components/operator/tests/support/mod.rs"]
mod support;

use std::fs;

use googletest::prelude::*;
use program::{Output, Program, scratch, scratch_path};
use serde_json::{Value, json};
use support::{Daemon, Reply, Request};

/// Starts a mock daemon whose newest revision is 7 with the document of `examples/himal`; `apply`
/// answers all other requests.
fn daemon(apply: impl Fn(&Request) -> Reply + Send + 'static) -> Daemon {
    let text = fs::read_to_string("examples/himal/config.json").unwrap();
    let document: Value = serde_json::from_str(&text).unwrap();
    Daemon::start(move |request| match request.line().as_str() {
        "GET /admin/config" => {
            Reply::json(&json!({ "revision": 7, "digest": "d", "document": document }))
        }
        "GET /admin/config/history?limit=2" => Reply::json(&json!([
            {
                "revision": 7, "change_id": "0123456789abcdef0123456789abcdef", "author": "anna",
                "accepted_unix_ms": 1_796_300_000_000_u64,
                "changes": ["set deployments.wording-llm = {\"kind\":\"model\",\"model\":\"wording\",\"version\":\"7\"}"],
            },
        ])),
        "GET /admin/config/history?limit=100" => Reply::json(&json!([])),
        _ => apply(request),
    })
}

fn run(daemon: &Daemon, arguments: &str) -> Output {
    let output = Program::new(arguments).env("CYCLAMENGRADE_SERVER", &daemon.address).run();
    assert!(output.widest() <= 60 || arguments.contains("--json"), "{}", output.text);
    output
}

/// Writes a copy of the document with another weight and returns its path.
fn write_changed_document() -> String {
    let text = fs::read_to_string("examples/himal/config.json").unwrap();
    scratch("config.json", &text.replace("\"weight\": 3", "\"weight\": 5"))
}

/// Creates a plan with the changed document and returns its path and digest.
fn create_plan(daemon: &Daemon) -> (String, String) {
    let plan = scratch_path("plan.json");
    let output =
        run(daemon, &format!("config plan {} --out {plan} --json", write_changed_document()));
    let value: Value = serde_json::from_str(&output.text).unwrap();
    (plan, value["digest"].as_str().unwrap().into())
}

fn accept(request: &Request) -> Reply {
    Reply::json(&json!({ "revision": 8, "digest": "e", "document": request.json()["document"] }))
}

/// Guards against a plan whose output omits or misstates changes, and against `plan` changing the
/// configuration.
#[gtest]
fn plan_shown() -> Result<()> {
    let daemon = daemon(accept);
    let output = run(&daemon, &format!("config plan {}", write_changed_document()));
    expect_that!(output.code, eq(0));
    expect_that!(output.text, starts_with("~ clients.archive.weight: 3 -> 5\n1 value differs\n"));
    expect_that!(output.text, contains_substring("base revision 7\nplan digest "));

    let output = run(&daemon, "config plan examples/himal/config.json");
    expect_that!(output.text, eq("no difference to revision 7\n"));

    let refused = scratch("bad.json", r#"{"clients": {"a": {"token": ""}}}"#);
    let output = run(&daemon, &format!("config plan {refused}"));
    expect_that!(output.code, eq(3));
    expect_that!(output.message(), contains_substring("clients.a.token must be"));
    verify_that!(daemon.lines(), each(eq("GET /admin/config")))
}

/// Guards against `apply` sending a document, base revision or change id other than those of the
/// plan.
#[gtest]
fn plan_applied() -> Result<()> {
    let daemon = daemon(accept);
    let (plan, digest) = create_plan(&daemon);
    let output =
        run(&daemon, &format!("config apply --plan {plan} --digest {digest} --author anna"));
    expect_that!(output.errors, eq(""));
    expect_that!(output.text, eq("accepted as revision 8\n"));
    let sent = daemon.requests().pop().or_fail()?.json();
    let file: Value = serde_json::from_str(&fs::read_to_string(&plan).or_fail()?).or_fail()?;
    expect_that!(sent["expected_revision"], eq(&json!(7)));
    expect_that!(sent["change_id"], eq(&file["change_id"]));
    expect_that!(sent["document"], eq(&file["document"]));
    verify_that!(sent["document"]["clients"]["archive"]["weight"], eq(&json!(5)))
}

/// Guards against sending a plan that was edited, that is not the reviewed one, or that has no
/// author.
#[gtest]
fn plan_edited() -> Result<()> {
    let daemon = daemon(accept);
    let (plan, digest) = create_plan(&daemon);
    let text = fs::read_to_string(&plan).or_fail()?;
    let edited = scratch("edited.json", &text.replace("\"weight\":5", "\"weight\":6"));
    let output = run(&daemon, &format!("config apply --plan {edited} --author anna"));
    expect_that!(output.code, eq(3));
    expect_that!(output.message(), contains_substring("the plan was changed"));

    let output = run(&daemon, &format!("config apply --plan {plan} --digest 0 --author anna"));
    expect_that!(output.code, eq(3));
    expect_that!(output.message(), contains_substring(digest.as_str()));

    let output = run(&daemon, &format!("config apply --plan {plan}"));
    expect_that!(output.code, eq(2));
    expect_that!(output.message(), contains_substring("give --author NAME"));
    verify_that!(daemon.lines(), each(eq("GET /admin/config")))
}

/// Guards against a conflict that ends with the exit code of another refusal.
#[gtest]
fn plan_outdated() -> Result<()> {
    let daemon = daemon(|_| Reply::refusal(409, "conflict", "revision 8 changed clients.archive"));
    let (plan, _) = create_plan(&daemon);
    let output = run(&daemon, &format!("config apply --plan {plan} --author anna"));
    expect_that!(output.code, eq(5));
    let message = output.message();
    expect_that!(message, contains_substring("revision 8 changed clients.archive"));
    expect_that!(message, contains_substring("based on revision 7; make a new plan"));
    verify_that!(output.text, eq(""))
}

/// Guards against a message for a lost response that does not say how to proceed.
#[gtest]
fn reply_lost() -> Result<()> {
    let daemon = daemon(|_| Reply::Silence);
    let (plan, _) = create_plan(&daemon);
    let output = run(&daemon, &format!("config apply --plan {plan} --author anna"));
    expect_that!(output.code, eq(4));
    let message = output.message();
    expect_that!(message, contains_substring("may have taken effect"));
    verify_that!(message, contains_substring("Run the same command again"))
}

/// Guards against a printed document that differs from the file it was planned from, and against a
/// history without authors.
#[gtest]
fn show_history() -> Result<()> {
    let daemon = daemon(accept);
    let output = run(&daemon, "config show");
    expect_that!(output.errors, eq("revision 7, digest d\n"));
    let file = fs::read_to_string("examples/himal/config.json").or_fail()?;
    expect_that!(output.text, eq(&file));

    let output = run(&daemon, "config history --limit 2");
    expect_that!(output.text, starts_with("7  2026-12-03T"));
    expect_that!(output.text, contains_substring("by anna"));
    let output = run(&daemon, "config history --limit 2 --json");
    let entries: Value = serde_json::from_str(&output.text).or_fail()?;
    verify_that!(entries[0]["author"], eq(&json!("anna")))
}
