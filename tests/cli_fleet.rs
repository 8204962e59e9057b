//! Tests of the command-line program against a running fleet.
#![allow(clippy::unwrap_used, clippy::panic)]

mod program;

use std::fs;

use cyclamengrade_standins::fleet::{DEPLOYMENT, Fleet, Plan, TOKEN};
use googletest::prelude::*;
use program::{Output, Program, scratch, scratch_path};
use serde_json::Value;

fn run(fleet: &Fleet, daemon: usize, arguments: &str) -> Output {
    let output = Program::new(arguments)
        .env("CYCLAMENGRADE_SERVER", fleet.daemons[daemon].address)
        .env("CYCLAMENGRADE_TOKEN", TOKEN)
        .run();
    assert!(output.widest() <= 60 || arguments.contains("--json"), "{}", output.text);
    output
}

/// Guards against a program that works with the mock daemon only: runs plan, apply, a conflict,
/// history, upstreams and a batch job against real daemons.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operator_session() -> Result<()> {
    let fleet = Fleet::start(Plan::new(2, 1, 1)).await.or_fail()?;

    let shown = run(&fleet, 0, "config show");
    expect_that!(shown.code, eq(0), "{}", shown.errors);
    let mut document: Value = serde_json::from_str(&shown.text).or_fail()?;
    document["clients"]["second"] = serde_json::json!({ "token": "token-of-second" });
    let file = scratch("config.json", &document.to_string());
    let (first, second) = (scratch_path("first.json"), scratch_path("second.json"));
    for plan in [&first, &second] {
        let output = run(&fleet, 0, &format!("config plan {file} --out {plan}"));
        expect_that!(output.code, eq(0), "{}", output.errors);
        expect_that!(output.text, contains_substring("+ clients.second.token: (hidden"));
    }
    let apply = |daemon, plan: &str| {
        run(&fleet, daemon, &format!("config apply --plan {plan} --author anna"))
    };
    // The same plan takes effect once, also through another daemon.
    for daemon in [0, 1] {
        let output = apply(daemon, &first);
        expect_that!(output.code, eq(0), "{}", output.errors);
        expect_that!(output.text, eq("accepted as revision 2\n"));
    }
    let output = apply(1, &second);
    expect_that!(output.code, eq(5), "{}", output.errors);
    expect_that!(output.message(), contains_substring("clients.second"));

    let output = run(&fleet, 1, "config history");
    expect_that!(output.text, contains_substring("  by anna\n"));
    expect_that!(output.text, not(contains_substring("token-of-second")));

    let output = run(&fleet, 1, "upstreams --json");
    let upstreams: Value = serde_json::from_str(&output.text).or_fail()?;
    expect_that!(upstreams.as_array().map(Vec::len), some(eq(2)));
    expect_that!(run(&fleet, 1, "upstreams").text, contains_substring(DEPLOYMENT));

    let items: String = (0..20)
        .map(|n| format!("{{\"id\":\"{n}\",\"prompt\":\"Label {n}\",\"max_tokens\":4}}\n"))
        .collect();
    let items = scratch("items.jsonl", &items);
    let submit = format!("batch submit {items} --deployment {DEPLOYMENT} --wait --json");
    let mut ids = Vec::new();
    for daemon in [0, 1] {
        let output = run(&fleet, daemon, &submit);
        expect_that!(output.code, eq(0), "{}", output.errors);
        let job: Value = serde_json::from_str(&output.text).or_fail()?;
        expect_that!(job["state"], eq(&Value::from("completed")));
        expect_that!(job["succeeded"], eq(&Value::from(20)));
        ids.push(job["id"].as_str().or_fail()?.to_string());
    }
    expect_that!(ids[0], eq(&ids[1]));

    let results = scratch_path("results.jsonl");
    let output = run(&fleet, 1, &format!("batch results {} --output {results}", ids[0]));
    expect_that!(output.code, eq(0), "{}", output.errors);
    expect_that!(fs::read_to_string(&results).or_fail()?.lines().count(), eq(20));
    let output = run(&fleet, 0, &format!("batch cancel {}", ids[0]));
    verify_that!(output.text, contains_substring("completed: 20 of 20 succeeded"))
}

/// Guards against a daemon that ignores the setting `admin_token`, and against a program that does
/// not send the token or that sends it with requests about batch jobs.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn admin_token() -> Result<()> {
    let token = "token-of-operators";
    let settings = serde_json::json!({ "admin_token": token });
    let fleet = Fleet::start(Plan::new(1, 1, 0).with_settings(&settings)).await.or_fail()?;
    for arguments in ["config show", "config history", "upstreams"] {
        let output = run(&fleet, 0, arguments);
        expect_that!(output.code, eq(3), "{arguments}");
        expect_that!(output.message(), contains_substring("admin token"), "{arguments}");
        expect_that!(output.text, eq(""), "{arguments}");
        let output = run(&fleet, 0, &format!("{arguments} --admin-token {token}"));
        expect_that!(output.code, eq(0), "{arguments}: {}", output.errors);
    }
    let items = scratch("admin.jsonl", "{\"id\":\"1\",\"prompt\":\"p\",\"max_tokens\":2}\n");
    let output = Program::new(&format!("batch submit {items} --deployment {DEPLOYMENT}"))
        .env("CYCLAMENGRADE_SERVER", fleet.daemons[0].address)
        .env("CYCLAMENGRADE_TOKEN", TOKEN)
        .env("CYCLAMENGRADE_ADMIN_TOKEN", token)
        .run();
    expect_that!(output.code, eq(0), "{}", output.errors);
    let output = Program::new("config show")
        .env("CYCLAMENGRADE_SERVER", fleet.daemons[0].address)
        .env("CYCLAMENGRADE_ADMIN_TOKEN", token)
        .run();
    verify_that!(output.code, eq(0))
}
