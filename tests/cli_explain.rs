//! Tests of the subcommand `explain`, which asks a relay where a request would go.
#![allow(clippy::unwrap_used, clippy::panic)]

mod program;

use std::{net::TcpListener, time::Duration};

use cyclamengrade_standins::{
    bridge::{Harness, Run},
    client::Call,
};
use googletest::prelude::*;
use program::{Output, Program, scratch};
use serde_json::{Value, json};
use tokio::{task::spawn_blocking, time::sleep};

const KEY: &str = "kxalba-1";
/// Text that all keys of these tests have, and nothing else.
const KEY_MARK: &str = "kx";
const BURST: usize = 3;
/// Version of the second configuration of a harness.
const REVISION: u64 = 6;

/// Starts relays with one account, whose burst lasts for a few requests.
async fn start(relays: usize) -> Result<Harness> {
    let mut harness = Harness::start(relays).await?;
    harness.accounts = json!([{
        "Name": "alba", "ApiKeys": [KEY], "Priority": 1, "RatePerS": 0.01, "Burst": BURST
    }]);
    let capped = json!([{
        "Name": "capped", "Host": "calls.example", "PathPrefix": "/capped/", "Kind": "batch",
        "TimeoutMs": 5_000, "TargetLatencyMs": 400, "MaxAttempts": 2, "Service": "model",
        "CompletionTargetMs": 18_000, "RetentionS": 60, "Cap": 5_000
    }]);
    harness.configure(capped);
    for relay in 0..relays {
        let applied = async || {
            let lines = harness.events(relay, "configuration_in_force");
            lines.iter().any(|line| line["revision"] == REVISION).then_some(())
        };
        harness.eventually("the configuration", applied).await?;
    }
    Ok(harness)
}

/// Asks a relay about a request on a route, with further arguments.
async fn explain(harness: &Harness, relay: usize, path: &str, rest: &str) -> Output {
    let mut address = harness.address(relay);
    address.set_port(address.port() + 2);
    let arguments = format!("explain --relay {address} --host calls.example --path {path} {rest}");
    let output = spawn_blocking(move || Program::new(&arguments).run()).await.unwrap();
    assert!(
        !output.text.contains(KEY_MARK) && !output.errors.contains(KEY_MARK),
        "{}",
        output.text
    );
    assert!(output.widest() <= 60 || rest.contains("--json"), "{}", output.text);
    output
}

async fn explain_json(harness: &Harness, relay: usize, path: &str, rest: &str) -> Result<Value> {
    let output = explain(harness, relay, path, &format!("{rest} --json")).await;
    expect_that!(output.code, eq(0), "{}", output.errors);
    serde_json::from_str(&output.text).or_fail()
}

/// Returns the text of an answer with wrapped lines joined.
fn joined(output: &Output) -> String {
    output.text.replace("\n        ", " ").replace("\n      ", " ").replace("\n    ", " ")
}

fn key_file(key: &str) -> String {
    format!("--key-file {}", scratch("key", &format!("{key}\n")))
}

fn runs(harness: &Harness) -> Vec<Run> {
    let runners = harness.runners.iter().chain([&harness.plain]);
    runners.flat_map(|runner| runner.runs()).collect()
}

async fn status(harness: &Harness, id: &str) -> Result<u16> {
    let call = harness.call(0, "safe", id).with_header("authorization", format!("Token {KEY}"));
    Ok(harness.send(call).await?.status)
}

/// Guards against a question that reaches an upstream, or takes a slot or a token of the quota, and against a
/// refusal because of the quota that is not foretold.
#[gtest]
#[tokio::test]
async fn nothing_taken() -> Result<()> {
    let harness = start(1).await?;
    let key = key_file(KEY);
    let tokens = format!("{key} --prompt-tokens 100 --output-tokens 20");
    let output = explain(&harness, 0, "/safe/x", &tokens).await;
    expect_that!(output.code, eq(0), "{}", output.errors);
    let text = joined(&output);
    expect_that!(text, starts_with("It would be sent to p-1 now.\nWhy:\n"));
    expect_that!(text, contains_substring("answered by relay vm-0"));
    expect_that!(text, contains_substring("account alba, by a valid key"));
    expect_that!(text, contains_substring("priority 1, stated cost 300 tokens"));
    expect_that!(text, contains_substring("quota 0.01 requests/s, burst 3; kept by this relay"));
    expect_that!(text, contains_substring("this relay is the broker"));
    for _ in 0..12 {
        let answer = explain_json(&harness, 0, "/safe/x", &key).await?;
        expect_that!(answer["outcome"]["kind"], eq("sent"), "{answer}");
        let candidate = &answer["deployments"][0]["candidates"][0];
        expect_that!(candidate["online"], eq(0), "{answer}");
        expect_that!(candidate["own"], eq(0), "{answer}");
    }
    expect_that!(runs(&harness).len(), eq(0));
    expect_that!(harness.plain.connections(), eq(0));

    let mut served = 0;
    let last = loop {
        let foretold = explain_json(&harness, 0, "/safe/x", &key).await?;
        match status(&harness, &format!("r-{served}")).await? {
            200 => {
                expect_that!(foretold["outcome"]["kind"], eq("sent"), "{foretold}");
                served += 1;
            }
            _ => break foretold,
        }
    };
    expect_that!(served, ge(BURST));
    expect_that!(runs(&harness).len(), eq(served));
    expect_that!(last["outcome"]["kind"], eq("refused"), "{last}");
    expect_that!(last["outcome"]["status"], eq(429), "{last}");
    expect_that!(last["outcome"]["retry_after_ms"], eq(200), "{last}");
    expect_that!(harness.log(0), not(contains_substring(KEY_MARK)));
    Ok(())
}

/// Guards against a refused request that is explained as an allowed one, and against an answer to callers, who may
/// not see the fleet.
#[gtest]
#[tokio::test]
async fn refused() -> Result<()> {
    let harness = start(1).await?;
    let unknown = key_file("kxother");
    for (path, rest, status, message) in [
        ("/safe/x", unknown.as_str(), 401, "refused with 401: unknown key"),
        ("/safe/x", "", 401, "refused with 401: no key"),
        ("/capped/x", unknown.as_str(), 401, "refused with 401: unknown key"),
        ("/none/x", unknown.as_str(), 404, "no route matches host calls.example and path /none/x"),
        ("/-/lots/j-1?After=0", "--method GET", 401, "refused with 401: no key"),
    ] {
        let output = explain(&harness, 0, path, rest).await;
        expect_that!(output.code, eq(0), "{}", output.errors);
        expect_that!(joined(&output), contains_substring(message), "{path}");
        let answer = explain_json(&harness, 0, path, rest).await?;
        expect_that!(answer["outcome"]["status"], eq(status), "{path}: {answer}");
    }
    let call = Call::get(harness.address(0), "/explain?host=calls.example&path=/safe/x");
    let reply = harness.send(call.with_header("host", "calls.example")).await?;
    expect_that!(reply.status, eq(404));
    let mut metrics = harness.address(0);
    metrics.set_port(metrics.port() + 2);
    let reply = harness.send(Call::get(metrics, "/explain?host=calls.example")).await?;
    expect_that!(reply.status, eq(400));
    expect_that!(reply.text(), contains_substring("does not begin with a slash"));
    let reply = harness.send(Call::get(metrics, "/metrics")).await?;
    expect_that!(reply.text(), contains_substring("# TYPE relay_"));
    expect_that!(runs(&harness).len(), eq(0));
    Ok(())
}

/// Guards against a failed upstream that is passed over without a reason.
#[gtest]
#[tokio::test]
async fn failed_upstream() -> Result<()> {
    let harness = Harness::start(1).await?;
    harness.runners[0].crash();
    for number in 0..20 {
        harness.stream(0, "stream", &format!("s-{number}"), 2).await?;
        let output = explain(&harness, 0, "/stream/x", "").await;
        let text = joined(&output);
        if text.contains("passed over: requests of this relay failed there") {
            expect_that!(text, starts_with("It would be sent to m-2 now."));
            let answer = explain_json(&harness, 0, "/stream/x", "").await?;
            expect_that!(answer["caller"]["has_accounts"], eq(false), "{answer}");
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    fail!("the crashed upstream is not passed over")
}

/// Guards against an explanation of a job that does not tell who would run it, or whether it fits into the limit on
/// waiting tokens.
#[gtest]
#[tokio::test]
async fn batch_route() -> Result<()> {
    let harness = start(1).await?;
    let key = key_file(KEY);
    let output = explain(&harness, 0, "/capped/j", &key).await;
    expect_that!(output.code, eq(0), "{}", output.errors);
    let text = joined(&output);
    expect_that!(text, starts_with("The job would be accepted (202) and run by vm-0.\n"));
    expect_that!(text, contains_substring("account alba, by a valid key"));
    expect_that!(text, contains_substring("waiting tokens 0, limit 5000"));
    expect_that!(text, contains_substring("late items go first, then those due first"));
    expect_that!(text, contains_substring("items: 0 waiting, 0 running"));
    let large = format!("{key} --prompt-tokens 5000 --output-tokens 1");
    let answer = explain_json(&harness, 0, "/capped/j", &large).await?;
    expect_that!(answer["outcome"]["status"], eq(429), "{answer}");
    expect_that!(answer["batch"]["limit"], eq(5_000), "{answer}");
    let other = key_file("kxother");
    let output = explain(&harness, 0, "/-/lots/j-1", &format!("--method GET {other}")).await;
    expect_that!(joined(&output), contains_substring("job j-1: this relay has not read its row"));
    expect_that!(runs(&harness).len(), eq(0));
    Ok(())
}

/// Guards against a relay that explains the decisions of another one, instead of naming it.
#[gtest]
#[tokio::test]
async fn other_broker() -> Result<()> {
    let harness = start(2).await?;
    let key = key_file(KEY);
    let shard = |answer: &Value| answer["deployments"][0]["shards"][0].clone();
    let is_own = |answer: &Value| shard(answer)["is_own"] == true;
    // Each relay takes itself for the broker until it has read the row of the other one.
    let agreed = async || {
        let mut answers = Vec::new();
        for relay in 0..2 {
            answers.push(explain_json(&harness, relay, "/safe/x", &key).await.ok()?);
        }
        (answers.iter().filter(|answer| is_own(answer)).count() == 1).then_some(answers)
    };
    let answers = harness.eventually("one broker", agreed).await?;
    let own: Vec<bool> = answers.iter().map(is_own).collect();
    let broker = own.iter().position(|own| *own).unwrap();
    let other = &answers[1 - broker];
    expect_that!(answers[broker]["outcome"]["kind"], eq("sent"));
    expect_that!(other["outcome"]["kind"], eq("asked"), "{other}");
    expect_that!(shard(other)["broker"], eq(format!("vm-{broker}").as_str()));
    let address = harness.peer_address(broker).to_string();
    expect_that!(shard(other)["broker_address"], eq(address.as_str()));
    let output = explain(&harness, 1 - broker, "/safe/x", &key).await;
    let expected = format!("Relay vm-{broker} ({address}) would decide; ask it with --relay.");
    expect_that!(joined(&output), starts_with(expected));
    Ok(())
}

/// Guards against invalid arguments that are sent to a relay, or that end with another exit code than those of the
/// other subcommands, and against a key in an error message.
#[gtest]
fn bad_arguments() -> Result<()> {
    let empty = scratch("empty-key", "\n");
    let lines = scratch("two-keys", "kxa\nkxb\n");
    for (arguments, message) in [
        ("", "'--relay' option must be set".to_owned()),
        ("--relay 127.0.0.1:1", "'--host' option must be set".into()),
        ("--relay 127.0.0.1:1 --host h", "'--path' option must be set".into()),
        ("--relay there:1 --host h --path /", "there:1 is not an address".into()),
        ("--relay 127.0.0.1:1 --host h --path x", "does not begin with a slash".into()),
        ("--relay 127.0.0.1:1 --host / --path /", "is not a host".into()),
        ("--relay 127.0.0.1:1 --host h --path / --method /", "is not a method".into()),
        ("--relay 127.0.0.1:1 --host h --path / x", "unexpected argument x".into()),
        ("--relay 127.0.0.1:1 --host h --path / --prompt-tokens 3", "write both".into()),
        ("--relay 127.0.0.1:1 --host h --path / --prompt-tokens x", "failed to parse 'x'".into()),
        ("--relay 127.0.0.1:1 --host h --path / --key-file no/file", "cannot read no/file".into()),
        (
            &format!("--relay 127.0.0.1:1 --host h --path / --key-file {empty}"),
            "does not hold one line with a key".into(),
        ),
        (
            &format!("--relay 127.0.0.1:1 --host h --path / --key-file {lines}"),
            "does not hold one line with a key".into(),
        ),
    ] {
        let output = Program::new(&format!("explain {arguments}")).run();
        expect_that!(output.code, eq(2), "{arguments}");
        expect_that!(output.message(), contains_substring(message), "{arguments}");
        expect_that!(output.message(), not(contains_substring(KEY_MARK)), "{arguments}");
        expect_that!(output.widest(), le(60), "{arguments}");
    }
    let address = TcpListener::bind("127.0.0.1:0").or_fail()?.local_addr().or_fail()?;
    let arguments = format!("explain --relay {address} --host h --path / --json");
    let output = Program::new(&arguments).run();
    expect_that!(output.code, eq(4));
    let error: Value = serde_json::from_str(&output.errors).or_fail()?;
    verify_that!(error["error"]["kind"], eq("unreachable"))
}
