//! Tests of client accounts: who may send requests and read jobs, and what upstreams and logs learn of keys.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Fault, Harness, Job, Run},
    client::{Call, Client, Error, Reply},
};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Keys of the accounts `alba` and `brin`.
const ALBA: &str = "kxalba-1";
const BRIN: &str = "kxbrin-1";

/// Text that all keys of these tests have, and no name.
const KEY_MARK: &str = "kx";

/// What a client got for a call.
type Answer = std::result::Result<Reply, Error>;

fn route(name: &str, kind: &str, service: &str) -> Value {
    json!({
        "Name": name, "Host": "calls.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
        "TimeoutMs": 5_000, "TargetLatencyMs": 4_000, "MaxAttempts": 2, "Service": service,
        "Public": name.starts_with("open"), "Resumable": kind == "stream",
        "CompletionTargetMs": 18_000, "RetentionS": 60, "Cap": if name == "capped" { 5_000 } else { 0 }
    })
}

/// Writes a configuration with these accounts, and waits until all relays have it.
async fn configure(harness: &mut Harness, accounts: Value) -> Result<()> {
    harness.accounts = accounts;
    harness.configure(json!([
        route("open", "safe", "plain"),
        route("open-batch", "batch", "model"),
        route("capped", "batch", "model"),
        route("patient", "safe", "other"),
        route("long", "stream", "model")
    ]));
    // Lines of earlier configurations may be written late.
    let revision = harness.version();
    for relay in 0..harness.relays() {
        let applied = async || {
            let lines = harness.events(relay, "configuration_in_force");
            lines.iter().any(|line| line["revision"] == revision).then_some(())
        };
        harness.eventually("the configuration", applied).await?;
    }
    Ok(())
}

/// Starts relays with the accounts `alba` and `brin`.
async fn start(relays: usize) -> Result<Harness> {
    let mut harness = Harness::start(relays).await?;
    let accounts =
        json!([{"Name": "alba", "ApiKeys": [ALBA]}, {"Name": "brin", "ApiKeys": [BRIN]}]);
    configure(&mut harness, accounts).await?;
    Ok(harness)
}

fn with_key(call: Call, key: &str) -> Call {
    match key {
        "" => call,
        key => call.with_header("authorization", format!("Token {key}")),
    }
}

async fn status(harness: &Harness, route: &str, id: &str, key: &str) -> Result<u16> {
    Ok(harness.send(with_key(harness.call(0, route, id), key)).await?.status)
}

/// Submits a job whose items bring headers with a key and the name of another account.
async fn submit(harness: &Harness, route: &str, id: &str, key: &str, tokens: u64) -> Result<u16> {
    let body = json!({"Items": [{
        "Id": format!("{id}-0"), "Path": "/batch/item", "Tokens": tokens, "Body": "eA==",
        "Headers": {"Token-Counts": "10,4", "Authorization": "Token kxitem", "Tenant": "item"}
    }]});
    let call = Call::post(harness.address(0), format!("/{route}/{id}"))
        .with_header("host", "calls.example")
        .with_header("request-id", id)
        .with_json(&body);
    Ok(harness.send(with_key(call, key)).await?.status)
}

async fn results(harness: &Harness, relay: usize, id: &str, key: &str) -> Result<Reply> {
    let call = Call::get(harness.address(relay), format!("/-/lots/{id}?After=0"));
    Ok(harness.send(with_key(call.with_header("wait-ms", "500"), key)).await?)
}

/// Waits until a job with one item has its result.
async fn await_result(harness: &Harness, id: &str, key: &str) -> Result<()> {
    let result = async || {
        let page: Value = results(harness, 0, id, key).await.ok()?.json().ok()?;
        page["Results"].as_array().is_some_and(|results| results.len() == 1).then_some(())
    };
    Ok(harness.eventually("the result", result).await?)
}

/// Returns the runs of requests whose ids have this prefix.
fn runs(harness: &Harness, prefix: &str) -> Vec<Run> {
    let runners = harness.runners.iter().chain([&harness.plain]);
    runners.flat_map(|runner| runner.runs()).filter(|run| run.id.starts_with(prefix)).collect()
}

/// Fails if a log line or a metric of a relay contains a key, or if an upstream was sent one.
async fn expect_no_keys(harness: &Harness) -> Result<()> {
    for relay in 0..harness.relays() {
        let mut metrics = harness.address(relay);
        metrics.set_port(metrics.port() + 2);
        let metrics = harness.send(Call::get(metrics, "/metrics")).await?.text();
        expect_that!(metrics, not(contains_substring(KEY_MARK)));
        expect_that!(harness.log(relay), not(contains_substring(KEY_MARK)));
    }
    expect_that!(runs(harness, "").iter().any(|run| run.has_key), is_false());
    Ok(())
}

/// Guards against requests that run without a key of an account, and against a key or a stated account
/// name of a caller that reaches an upstream.
#[gtest]
#[tokio::test]
async fn keys() -> Result<()> {
    let harness = start(1).await?;
    for (id, key, expected) in
        [("none", "", 401), ("unknown", "kxother", 401), ("alba", ALBA, 200), ("brin", BRIN, 200)]
    {
        expect_that!(status(&harness, "safe", id, key).await?, eq(expected));
    }
    let names: Vec<String> = runs(&harness, "").into_iter().map(|run| run.tenant).collect();
    expect_that!(names, container_eq(["alba".to_owned(), "brin".to_owned()]));
    let reply = harness.send(harness.call(0, "stream", "s-1")).await?;
    expect_that!(reply.status, eq(401));
    expect_that!(reply.headers["www-authenticate"].to_str()?, eq("Token"));
    // The scheme in another case, and the name of another account.
    let call = harness.call(0, "safe", "spoofed").with_header("tenant", "brin");
    let call = call.with_header("connection", "tenant");
    let call = call.with_header("authorization", format!("tOKEN  {ALBA}"));
    expect_that!(harness.send(call).await?.status, eq(200));
    expect_that!(runs(&harness, "spoofed")[0].tenant, eq("alba"));
    for (id, value) in [("basic", format!("Basic {ALBA}")), ("bare", ALBA.to_owned())] {
        let call = harness.call(0, "safe", id).with_header("authorization", value);
        expect_that!(harness.send(call).await?.status, eq(401));
    }
    // Two keys, of which the upstream might have seen the other one.
    let call = with_key(with_key(harness.call(0, "safe", "two"), BRIN), ALBA);
    expect_that!(harness.send(call).await?.status, eq(401));
    harness
        .eventually("the log lines", async || {
            (harness.events(0, "request_unauthorized").len() == 6).then_some(())
        })
        .await?;
    expect_no_keys(&harness).await
}

/// Guards against an account whose name is not ASCII and whose callers are refused, or whose name an upstream gets
/// otherwise.
#[gtest]
#[tokio::test]
async fn foreign_name() -> Result<()> {
    let mut harness = start(1).await?;
    for name in ["Caf\u{e9} Inverness", "\u{1f9f5}", &"n".repeat(5_000)] {
        configure(&mut harness, json!([{"Name": name, "ApiKeys": [ALBA]}])).await?;
        let id = format!("r-{}", name.len());
        expect_that!(status(&harness, "safe", &id, ALBA).await?, eq(200));
        expect_that!(runs(&harness, &id)[0].tenant, eq(name));
        let job = format!("j-{}", name.len());
        expect_that!(submit(&harness, "batch", &job, ALBA, 14).await?, eq(202));
        await_result(&harness, &job, ALBA).await?;
        expect_that!(runs(&harness, &job)[0].tenant, eq(name));
    }
    expect_that!(harness.events(0, "configuration_part_ignored"), is_empty());
    expect_no_keys(&harness).await
}

/// Guards against a public route that asks for a key, that passes one on, or that does not tell the upstream
/// of a known account.
#[gtest]
#[tokio::test]
async fn public_route() -> Result<()> {
    let harness = start(1).await?;
    for (id, key, account) in [("none", "", ""), ("unknown", "kxother", ""), ("alba", ALBA, "alba")]
    {
        let call = with_key(harness.call(0, "open", id), key).with_header("tenant", "brin");
        expect_that!(harness.send(call).await?.status, eq(200));
        expect_that!(runs(&harness, id)[0].tenant, eq(account));
    }
    expect_no_keys(&harness).await
}

/// Guards against callers that are checked, or headers that are changed, by a configuration without accounts;
/// and against an empty list that lets everybody in.
#[gtest]
#[tokio::test]
async fn no_accounts() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    let call = with_key(harness.call(0, "safe", "open"), ALBA).with_header("tenant", "brin");
    expect_that!(harness.send(call).await?.status, eq(200));
    let run = runs(&harness, "open").remove(0);
    expect_that!((run.tenant.as_str(), run.has_key), eq(("brin", true)));
    configure(&mut harness, json!([])).await?;
    expect_that!(status(&harness, "safe", "empty", ALBA).await?, eq(401));
    expect_that!(status(&harness, "open", "public", ALBA).await?, eq(200));
    expect_that!(runs(&harness, "public")[0].has_key, is_false());
    Ok(())
}

/// Adds an upstream with one slot for the route `patient`, and occupies it by a request for a while. Returns
/// that request and one that waits for the slot.
async fn occupy(harness: &mut Harness) -> Result<[JoinHandle<Answer>; 2]> {
    let runner = harness.add_runner("o-1", "v1", "a").await?;
    runner.limit_slots(1);
    harness.store.put("servers", "o-1", &runner.entry("other", "ready"));
    let added = async || {
        let lines = harness.events(0, "upstream_added");
        lines.iter().any(|line| line["upstream"] == "o-1").then_some(())
    };
    harness.eventually("the upstream", added).await?;
    runner.queue_faults(&[Fault::QuietAfter(0, Duration::from_secs(2))]);
    let client = Client::new();
    let send = |id: &str| {
        let (client, call) = (client.clone(), with_key(harness.call(0, "patient", id), ALBA));
        tokio::spawn(async move { client.send(call).await })
    };
    let running = send("running");
    let begun = async || (!runs(harness, "running").is_empty()).then_some(());
    harness.eventually("the first run", begun).await?;
    let waiting = send("waiting");
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok([running, waiting])
}

/// Guards against a removed key that still runs requests, also those that were waiting when it was removed;
/// and against a running request that ends with its account.
#[gtest]
#[tokio::test]
async fn removed_key() -> Result<()> {
    let mut harness = start(1).await?;
    let [running, waiting] = occupy(&mut harness).await?;
    configure(&mut harness, json!([{"Name": "brin", "ApiKeys": [BRIN]}])).await?;
    expect_that!(waiting.is_finished(), is_false());
    expect_that!(running.await??.status, eq(200));
    expect_that!(waiting.await??.status, eq(401));
    // A thread of its own writes the lines, maybe after the response.
    let first = async || harness.events(0, "request_unauthorized").into_iter().next();
    let rejected = harness.eventually("the log line", first).await?;
    expect_that!(rejected["reason"], eq(&json!("key was removed")));
    expect_that!(status(&harness, "safe", "later", ALBA).await?, eq(401));
    expect_that!(runs(&harness, "waiting"), is_empty());
    // The slot of the rejected request is free.
    expect_that!(status(&harness, "patient", "brin", BRIN).await?, eq(200));
    Ok(())
}

/// Guards against a key that reaches an upstream, or a request that is rejected, when the first accounts are
/// configured while the request waits.
#[gtest]
#[tokio::test]
async fn first_accounts() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    configure(&mut harness, Value::Null).await?;
    let [running, waiting] = occupy(&mut harness).await?;
    configure(&mut harness, json!([{"Name": "alba", "ApiKeys": [ALBA]}])).await?;
    expect_that!(running.await??.status, eq(200));
    expect_that!(waiting.await??.status, eq(200));
    let run = runs(&harness, "waiting").remove(0);
    verify_that!((run.tenant.as_str(), run.has_key), eq(("alba", false)))
}

/// Guards against a stream that goes on at another upstream although its key was removed, and against the
/// claim that it has not run.
#[gtest]
#[tokio::test]
async fn removed_under_way() -> Result<()> {
    let mut harness = start(1).await?;
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::QuietAfter(3, Duration::from_secs(4))]);
    }
    let call = with_key(harness.call(0, "long", "cut"), ALBA).with_header("token-counts", "10,400");
    let client = Client::new();
    let sent = tokio::spawn(async move { client.send(call).await });
    let runs_now = async || (!runs(&harness, "cut").is_empty()).then_some(());
    harness.eventually("the run", runs_now).await?;
    configure(&mut harness, json!([{"Name": "brin", "ApiKeys": [BRIN]}])).await?;
    for runner in &harness.runners {
        runner.restart();
    }
    expect_that!(sent.await?.is_ok_and(|reply| reply.status == 401), is_false());
    let cause = async || {
        let lines = harness.events(0, "stream_broken");
        lines.first().map(|line| line["cause"].as_str().unwrap_or_default().to_owned())
    };
    let cause = harness.eventually("the end of the stream", cause).await?;
    expect_that!(cause, eq("its key is no longer known to be valid"));
    verify_that!(runs(&harness, "cut").len(), eq(1))
}

/// Guards against jobs that another account can read or end, or whose items bring their callers' headers
/// to upstreams.
#[gtest]
#[tokio::test]
async fn jobs() -> Result<()> {
    let harness = start(2).await?;
    expect_that!(submit(&harness, "batch", "j-1", "", 14).await?, eq(401));
    expect_that!(submit(&harness, "batch", "j-1", ALBA, 14).await?, eq(202));
    expect_that!(submit(&harness, "batch", "j-1", ALBA, 14).await?, eq(202));
    expect_that!(submit(&harness, "batch", "j-1", BRIN, 14).await?, eq(404));
    await_result(&harness, "j-1", ALBA).await?;
    for relay in 0..2 {
        for (key, expected) in [(ALBA, 200), (BRIN, 404), ("kxother", 401), ("", 401)] {
            expect_that!(results(&harness, relay, "j-1", key).await?.status, eq(expected));
            let item = Call::get(harness.address(relay), "/-/items/j-1?Id=j-1-0");
            expect_that!(harness.send(with_key(item, key)).await?.status, eq(expected));
        }
        expect_that!(results(&harness, relay, "j-2", ALBA).await?.status, eq(404));
        for (key, expected) in [(BRIN, 404), ("", 401), (ALBA, 200)] {
            let end = Call::new(hyper::Method::DELETE, harness.address(relay), "/-/lots/j-1");
            expect_that!(harness.send(with_key(end, key)).await?.status, eq(expected));
        }
    }
    expect_that!(runs(&harness, "j-1")[0].tenant, eq("alba"));
    expect_no_keys(&harness).await
}

/// Guards against a job that runs the items of another account, whose submission with the same id stored them but
/// not its row.
#[gtest]
#[tokio::test]
async fn foreign_items() -> Result<()> {
    let harness = start(1).await?;
    let foreign = json!({"Items": [{
        "Id": "foreign-0", "Path": "/batch/item", "Tokens": 14, "Body": "eQ==", "Headers": {}
    }]});
    harness.store.put_object("jobs-j-1", foreign.to_string().as_bytes());
    expect_that!(submit(&harness, "batch", "j-1", ALBA, 14).await?, eq(503));
    expect_that!(results(&harness, 0, "j-1", ALBA).await?.status, eq(404));
    // The items of an earlier submission of the same job are its own.
    let own = json!({"Items": [{
        "Id": "j-2-0", "Path": "/batch/item", "Tokens": 14, "Body": "eA==",
        "Headers": {"Tenant": "item", "Token-Counts": "10,4", "Authorization": "Token kxitem"}
    }]});
    harness.store.put_object("jobs-j-2", own.to_string().as_bytes());
    expect_that!(submit(&harness, "batch", "j-2", ALBA, 14).await?, eq(202));
    await_result(&harness, "j-2", ALBA).await?;
    verify_that!(runs(&harness, "foreign"), is_empty())
}

/// Guards against a job without an account that needs a key on a public route, or none on another one.
#[gtest]
#[tokio::test]
async fn anonymous_jobs() -> Result<()> {
    let mut harness = Harness::start(1).await?;
    // As a relay of the previous build stores it.
    let old = Job::new("old", 1);
    let call = old.submission(harness.address(0), "batch", 4);
    expect_that!(harness.send(call).await?.status, eq(202));
    harness.await_results(0, &old).await?;
    let accounts =
        json!([{"Name": "alba", "ApiKeys": [ALBA]}, {"Name": "brin", "ApiKeys": [BRIN]}]);
    configure(&mut harness, accounts).await?;
    for (key, expected) in [(ALBA, 200), (BRIN, 200), ("", 401)] {
        expect_that!(results(&harness, 0, "old", key).await?.status, eq(expected));
    }
    expect_that!(submit(&harness, "open-batch", "open", "kxother", 14).await?, eq(202));
    await_result(&harness, "open", "").await?;
    expect_that!(results(&harness, 0, "open", BRIN).await?.status, eq(200));
    expect_that!(submit(&harness, "open-batch", "own", ALBA, 14).await?, eq(202));
    await_result(&harness, "own", ALBA).await?;
    expect_that!(results(&harness, 0, "own", "").await?.status, eq(401));
    expect_that!(runs(&harness, "open")[0].tenant, eq(""));
    expect_that!(runs(&harness, "own")[0].tenant, eq("alba"));
    expect_no_keys(&harness).await
}

/// Guards against a job that ends, or whose items lose their account, when the account is removed.
#[gtest]
#[tokio::test]
async fn job_outlives_keys() -> Result<()> {
    let mut harness = start(2).await?;
    let call = Job::new("j-1", 20).submission(harness.address(0), "batch", 100);
    expect_that!(harness.send(with_key(call, ALBA)).await?.status, eq(202));
    configure(&mut harness, json!([])).await?;
    let before = runs(&harness, "j-1").len();
    let done = async || {
        let items = harness.events(0, "item_completed").len();
        (items == 20).then_some(())
    };
    harness.eventually("all items", done).await?;
    let runs = runs(&harness, "j-1");
    expect_that!(runs.len(), gt(before));
    expect_that!(runs.iter().all(|run| run.tenant == "alba"), is_true());
    configure(&mut harness, json!([{"Name": "alba", "ApiKeys": ["kxalba-2"]}])).await?;
    verify_that!(results(&harness, 1, "j-1", "kxalba-2").await?.status, eq(200))
}

/// Guards against an account that uses up the tokens that another one may have waiting.
#[gtest]
#[tokio::test]
async fn waiting_tokens() -> Result<()> {
    let harness = start(1).await?;
    // The first job stays open.
    for runner in &harness.runners {
        runner.queue_faults(&[Fault::PauseAfter(0); 20]);
    }
    expect_that!(submit(&harness, "capped", "j-1", ALBA, 4_000).await?, eq(202));
    expect_that!(submit(&harness, "capped", "j-2", ALBA, 4_000).await?, eq(429));
    verify_that!(submit(&harness, "capped", "j-3", BRIN, 4_000).await?, eq(202))
}

/// Guards against invalid accounts that take effect or keep other parts of the configuration out of force, against a
/// list of accounts that cannot be read and takes effect, and against messages that quote a key.
#[gtest]
#[tokio::test]
async fn bad_accounts() -> Result<()> {
    let mut harness = start(1).await?;
    // With the statuses for the keys of both accounts.
    let lists = [
        (
            json!([{"Name": "alba", "ApiKeys": [ALBA, BRIN]}, {"Name": "brin", "ApiKeys": [BRIN]}]),
            200,
            401,
        ),
        (json!([{"Name": "alba", "ApiKeys": ALBA}, {"Name": "brin", "ApiKeys": [BRIN]}]), 401, 200),
        (json!([{"Name": "alba", "ApiKeys": [{"Key": ALBA}]}]), 401, 401),
        (
            json!([{"Name": "alba", "ApiKeys": [ALBA]}, {"Name": "alba", "ApiKeys": [BRIN]}]),
            200,
            200,
        ),
    ];
    for (number, (list, alba, brin)) in lists.into_iter().enumerate() {
        configure(&mut harness, list).await?;
        let ignored = harness.events(0, "configuration_part_ignored");
        expect_that!(ignored.len(), eq(number + 1));
        let error = ignored[number]["error"].as_str().unwrap_or_default().to_owned();
        expect_that!(error, contains_substring("account"));
        for (key, expected) in [(ALBA, alba), (BRIN, brin)] {
            let found = status(&harness, "safe", &format!("r-{number}"), key).await?;
            expect_that!(found, eq(expected), "list {number}");
        }
    }
    harness.accounts = json!(ALBA);
    harness.configure(json!([]));
    let refused = async || harness.events(0, "row_unusable").first().cloned();
    let line = harness.eventually("the refusal", refused).await?;
    expect_that!(line["error"].as_str().unwrap_or_default(), contains_substring("account"));
    expect_that!(status(&harness, "safe", "r-old", ALBA).await?, eq(200));
    // A submission that quotes a key where headers are expected.
    let call = Call::post(harness.address(0), "/batch/j-1").with_header("host", "calls.example");
    let body = json!({"Items": [{"Id": "a", "Path": "/", "Headers": ALBA, "Body": ""}]});
    let call = with_key(call.with_header("request-id", "j-1").with_json(&body), ALBA);
    expect_that!(harness.send(call).await?.status, eq(400));
    expect_no_keys(&harness).await
}
