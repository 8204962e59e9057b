//! Tests of relays that may serve removed keys for a limited time only.

use std::time::Duration;

use cyclamengrade_standins::{
    bridge::{Faults, Harness},
    client::{Call, Client, Reply},
};
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

/// Time for which removed keys may be used, in milliseconds.
const REVOKE_MS: u64 = 2_000;
const REVOKE_TIME: Duration = Duration::from_millis(REVOKE_MS);
/// Time between two looks at a relay.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Time within which a new configuration has to be in force at a relay that the store refuses.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Starts relays of which the first `strict` ones have a time for removed keys, and waits until they know each
/// other.
async fn start(strict: usize, relays: usize) -> Result<Harness> {
    let harness = Harness::start_strict(strict, relays, REVOKE_MS).await?;
    for relay in 0..relays {
        let joined =
            async || (harness.events(relay, "member_joined").len() == relays - 1).then_some(());
        harness.eventually("the relays know each other", joined).await?;
    }
    Ok(harness)
}

async fn status(harness: &Harness, relay: usize, route: &str) -> Result<u16> {
    Ok(harness.send(harness.call(relay, route, "r-1")).await?.status)
}

async fn await_event(harness: &Harness, relay: usize, name: &str) -> Result<Value> {
    let first = async || harness.events(relay, name).into_iter().next();
    Ok(harness.eventually(name, first).await?)
}

/// Asks a relay for its evidence, as another relay whose configuration has the given version does.
async fn ask(harness: &Harness, relay: usize, query: &str) -> Result<(u16, Value)> {
    let call = Call::get(harness.peer_address(relay), format!("/configuration{query}"));
    // Relays close idle connections, and a kept one may just be closed.
    let reply = Client::new().send(call).await?;
    Ok((reply.status, reply.json().unwrap_or_default()))
}

/// Guards against a relay which the store refuses that loses its evidence or keeps an old configuration while
/// the others reach the store.
#[gtest]
#[tokio::test]
async fn refused_relay() -> Result<()> {
    let mut harness = start(3, 3).await?;
    harness.refuse_relay(0, true);
    await_event(&harness, 0, "feed_lost").await?;
    let begin = Instant::now();
    while begin.elapsed() < REVOKE_TIME * 2 {
        expect_that!(harness.readiness(0).await, some(eq(200)));
        sleep(LOOK_PERIOD).await;
    }
    expect_that!(harness.events(0, "evidence_lost"), is_empty());

    harness.add_route("added");
    let begin = Instant::now();
    harness
        .eventually("the added route", async || {
            (status(&harness, 0, "added").await.ok()? == 200).then_some(())
        })
        .await?;
    expect_that!(begin.elapsed(), lt(APPLY_TIME));
    let relayed = await_event(&harness, 0, "configuration_relayed").await?;
    expect_that!(relayed["member"].as_str(), some(starts_with("vm-")));
    expect_that!(relayed["age_ms"].as_u64(), some(lt(REVOKE_MS)));
    expect_that!(harness.events(0, "evidence_lost"), is_empty());

    // The configuration of the store is the one in force already.
    let configurations = harness.events(0, "configuration_in_force").len();
    harness.refuse_relay(0, false);
    let back = async || {
        let lines = harness.events(0, "feed_back");
        lines.iter().any(|line| line["table"] == "op").then_some(())
    };
    harness.eventually("the feed of the configuration", back).await?;
    expect_that!(status(&harness, 0, "added").await?, eq(200));
    expect_that!(harness.events(0, "configuration_in_force").len(), eq(configurations));
    // Relays that reach the store ask nobody.
    verify_that!(harness.events(1, "configuration_relayed"), is_empty())
}

/// Guards against a relay that goes on to take its configuration for current with no way to the store nor to
/// another relay, against one that reports not ready although no other relay is known to be better off, and
/// against one that does not recover.
#[gtest]
#[tokio::test]
async fn no_way() -> Result<()> {
    let harness = start(3, 3).await?;
    harness.pause_relay(1)?;
    harness.pause_relay(2)?;
    harness.refuse_relay(0, true);
    let begin = Instant::now();
    let lost = await_event(&harness, 0, "evidence_lost").await?;
    // The evidence is at most as old as two calls that the store holds when it is lost.
    expect_that!(begin.elapsed(), lt(REVOKE_TIME + Duration::from_millis(500)));
    expect_that!(lost["age_ms"].as_u64(), some(ge(REVOKE_MS)));
    expect_that!(lost["age_ms"].as_u64(), some(lt(REVOKE_MS + 1_000)));
    // Requests without keys are served.
    expect_that!(status(&harness, 0, "safe").await?, eq(200));
    harness.resume_relay(1)?;
    harness.resume_relay(2)?;
    await_event(&harness, 0, "evidence_back").await?;
    expect_that!(harness.readiness(0).await, some(eq(200)));
    verify_that!(harness.events(0, "evidence_lost").len(), eq(1))
}

/// Guards against evidence that lives on among relays, and against a fleet that reports not ready, when the
/// store is lost for all.
#[gtest]
#[tokio::test]
async fn lost_store() -> Result<()> {
    let harness = start(3, 3).await?;
    for faults in [
        Faults { refuse: true, ..Faults::default() },
        Faults { silent: true, ..Faults::default() },
        Faults { silent_table: Some("op"), ..Faults::default() },
    ] {
        let counts = |name: &str| (0..3).map(|relay| harness.events(relay, name).len()).collect();
        let lost: Vec<usize> = counts("evidence_lost");
        harness.store.set_faults(faults);
        // Calls that wait at the store may still be answered.
        let end = Instant::now() + REVOKE_TIME + Duration::from_millis(1_500);
        while Instant::now() < end {
            for relay in 0..3 {
                expect_that!(harness.readiness(relay).await, some(eq(200)), "{relay} {faults:?}");
            }
            sleep(LOOK_PERIOD).await;
        }
        let expected: Vec<usize> = lost.iter().map(|count| count + 1).collect();
        expect_that!(counts("evidence_lost"), eq(&expected), "{faults:?}");
        harness.store.set_faults(Faults::default());
        let back = async || (counts("evidence_back") == expected).then_some(());
        harness.eventually("evidence at all relays", back).await?;
    }
    Ok(())
}

/// Guards against callers that go on to come to a relay with old evidence, while other relays reach the store
/// and give it none. They run without the setting, as during its introduction.
#[gtest]
#[tokio::test]
async fn unready_relay() -> Result<()> {
    let harness = start(1, 3).await?;
    expect_that!(ask(&harness, 1, "?version=0").await?.0, eq(404));
    harness.refuse_relay(0, true);
    let unready = async || (harness.readiness(0).await == Some(503)).then_some(());
    harness.eventually("the relay is not ready", unready).await?;
    // Before its evidence is lost, so that callers have left by then.
    expect_that!(harness.events(0, "evidence_lost"), is_empty());
    await_event(&harness, 0, "evidence_lost").await?;
    expect_that!(status(&harness, 0, "safe").await?, eq(200));
    harness.refuse_relay(0, false);
    harness.await_ready(0).await?;
    await_event(&harness, 0, "evidence_back").await?;
    Ok(())
}

/// Guards against a relay that was paused and takes its configuration for current before it has asked again.
#[gtest]
#[tokio::test]
async fn paused_relay() -> Result<()> {
    let harness = start(2, 2).await?;
    harness.pause_relay(0)?;
    sleep(REVOKE_TIME * 2).await;
    harness.store.set_faults(Faults { silent: true, ..Faults::default() });
    harness.pause_relay(1)?;
    harness.resume_relay(0)?;
    let lost = await_event(&harness, 0, "evidence_lost").await?;
    verify_that!(lost["age_ms"].as_u64(), some(ge(REVOKE_MS * 2)))
}

/// Writes a configuration with one account for each name. The key of an account is its name with the prefix `k-`.
fn configure_accounts(harness: &mut Harness, names: &[&str]) {
    let accounts = names.iter().map(|name| json!({"Name": name, "ApiKeys": [format!("k-{name}")]}));
    harness.accounts = accounts.collect();
    harness.configure(json!([]));
}

async fn call(harness: &Harness, relay: usize, id: &str, key: &str) -> Result<Reply> {
    let call = harness.call(relay, "safe", id);
    Ok(harness.send(call.with_header("authorization", format!("Token {key}"))).await?)
}

/// Waits until a relay answers a request with a key by a status.
async fn await_status(harness: &Harness, relay: usize, key: &str, status: u16) -> Result<()> {
    let answered = async || {
        let reply = call(harness, relay, "probe", key).await.ok()?;
        (reply.status == status).then_some(())
    };
    Ok(harness.eventually("the status", answered).await?)
}

fn ran(harness: &Harness, id: &str) -> bool {
    harness.runners.iter().chain([&harness.plain]).any(|runner| {
        let runs = runner.runs();
        runs.iter().any(|run| run.id == id)
    })
}

/// Guards against a removed key that a relay which the store refuses goes on to serve, and against one that is
/// served after its time at a relay without any way to the store. The refusals say that the requests have not run.
#[gtest]
#[tokio::test]
async fn removed_keys() -> Result<()> {
    let mut harness = start(2, 2).await?;
    configure_accounts(&mut harness, &["alba", "brin"]);
    for relay in 0..2 {
        await_status(&harness, relay, "k-brin", 200).await?;
    }
    harness.refuse_relay(0, true);
    await_event(&harness, 0, "feed_lost").await?;
    configure_accounts(&mut harness, &["alba"]);
    let removed = Instant::now();
    await_status(&harness, 0, "k-brin", 401).await?;
    expect_that!(removed.elapsed(), lt(REVOKE_TIME));
    expect_that!(call(&harness, 0, "r-1", "k-alba").await?.status, eq(200));

    harness.pause_relay(1)?;
    let paused = Instant::now();
    await_status(&harness, 0, "k-alba", 503).await?;
    expect_that!(paused.elapsed(), lt(REVOKE_TIME + Duration::from_millis(500)));
    for (id, key) in [("r-2", "k-alba"), ("r-3", "k-brin"), ("r-4", "k-other")] {
        let reply = call(&harness, 0, id, key).await?;
        expect_that!(reply.status, eq(503), "{key}");
        expect_that!(reply.headers.contains_key("retry-after"), is_true(), "{key}");
        expect_that!(reply.headers.get("connection"), some(eq("close")), "{key}");
        expect_that!(ran(&harness, id), is_false(), "{key}");
    }
    await_event(&harness, 0, "configuration_unconfirmed").await?;
    harness.resume_relay(1)?;
    await_status(&harness, 0, "k-alba", 200).await
}

/// Guards against a key that was removed while its relay was paused, and is served by the relay right after the
/// pause, before it has read the new configuration.
#[gtest]
#[tokio::test]
async fn removed_in_pause() -> Result<()> {
    let mut harness = start(1, 1).await?;
    configure_accounts(&mut harness, &["alba", "brin"]);
    await_status(&harness, 0, "k-brin", 200).await?;
    harness.pause_relay(0)?;
    configure_accounts(&mut harness, &["alba"]);
    sleep(REVOKE_TIME).await;
    let sent = (0..8).map(|number| {
        let call = harness.call(0, "safe", &format!("late-{number}"));
        let call = call.with_header("authorization", "Token k-brin");
        tokio::spawn(async move { Client::new().send(call).await })
    });
    let sent: Vec<_> = sent.collect();
    sleep(Duration::from_millis(100)).await;
    harness.resume_relay(0)?;
    for (number, sent) in sent.into_iter().enumerate() {
        expect_that!(sent.await??.status, any![eq(401), eq(503)]);
        expect_that!(ran(&harness, &format!("late-{number}")), is_false());
    }
    Ok(())
}

/// Guards against a removed key that works on because the configuration which removes it cannot be used, also after
/// a restart of a relay beside it; and against a relay that stays so when a usable one follows.
#[gtest]
#[tokio::test]
async fn unusable_configuration() -> Result<()> {
    let mut harness = start(2, 2).await?;
    configure_accounts(&mut harness, &["alba", "brin"]);
    for relay in 0..2 {
        await_status(&harness, relay, "k-brin", 200).await?;
    }
    harness.accounts = json!("alba");
    harness.configure(json!([]));
    let removed = Instant::now();
    for relay in 0..2 {
        await_status(&harness, relay, "k-brin", 503).await?;
        expect_that!(removed.elapsed(), lt(REVOKE_TIME + Duration::from_millis(500)));
        let line = await_event(&harness, relay, "configuration_outdated").await?;
        expect_that!(line["revision"].as_u64(), some(eq(harness.version() - 3)));
    }
    harness.kill_relay(1)?;
    harness.start_relay(1)?;
    sleep(REVOKE_TIME).await;
    for relay in 0..2 {
        let id = format!("late-{relay}");
        expect_that!(call(&harness, relay, &id, "k-brin").await?.status, eq(503));
        expect_that!(ran(&harness, &id), is_false());
    }
    configure_accounts(&mut harness, &["alba"]);
    for relay in 0..2 {
        await_status(&harness, relay, "k-brin", 401).await?;
        expect_that!(call(&harness, relay, "r-1", "k-alba").await?.status, eq(200));
    }
    Ok(())
}

/// Guards against answers to other relays that hold the keys of a configuration which they have, or that state
/// a younger evidence than there is, and against questions that are taken for other ones.
#[gtest]
#[tokio::test]
async fn answers() -> Result<()> {
    let mut harness = start(1, 1).await?;
    let (status, answer) = ask(&harness, 0, "?version=0").await?;
    expect_that!(status, eq(200));
    let version = answer["version"].as_u64().or_fail()?;
    expect_that!(answer["configuration"]["Version"], eq(&json!(version)));
    expect_that!(answer["configuration"]["Routes"].as_array().is_some(), eq(true));
    let (_, answer) = ask(&harness, 0, &format!("?version={version}")).await?;
    expect_that!(answer["version"], eq(&json!(version)));
    expect_that!(answer.get("configuration"), none());
    expect_that!(answer["age_ms"].as_u64(), some(lt(REVOKE_MS)));
    for query in ["", "?version=", "?version=x", "?version=-1", "?other=1"] {
        expect_that!(ask(&harness, 0, query).await?.0, eq(400), "{query}");
    }

    harness.store.set_faults(Faults { silent: true, ..Faults::default() });
    sleep(REVOKE_TIME).await;
    let (_, answer) = ask(&harness, 0, "?version=0").await?;
    expect_that!(answer["age_ms"].as_u64(), some(ge(1_000)));
    harness.store.set_faults(Faults::default());
    harness.add_route("added");
    let newer = async || {
        let (_, answer) = ask(&harness, 0, &format!("?version={version}")).await.ok()?;
        (answer["version"].as_u64()? > version).then_some(answer)
    };
    let answer = harness.eventually("evidence of the newer version", newer).await?;
    verify_that!(answer["configuration"]["Version"], eq(&answer["version"]))
}

/// Answers each question about the configuration with the next of several texts.
async fn serve_odd_answers(listener: TcpListener, version: u64) {
    let answers = [
        "evidence".to_owned(),
        format!("{{\"version\":{version},\"age_ms\":-5}}"),
        format!("{{\"version\":{version},\"age_ms\":{}}}", u64::MAX),
        format!("{{\"version\":{version}}}"),
        "{\"age_ms\":0}".to_owned(),
        // Evidence of a configuration that is missing, and of one that cannot be used.
        format!("{{\"version\":{},\"age_ms\":0}}", version + 1),
        format!(
            "{{\"version\":{0},\"age_ms\":0,\"configuration\":{{\"Version\":{0},\"Routes\":7}}}}",
            version + 1
        ),
        // Larger than any row.
        format!("{{\"version\":{version},\"age_ms\":0,\"other\":\"{}\"}}", "x".repeat(1 << 20)),
    ];
    for answer in answers.iter().cycle() {
        let Ok((mut stream, _)) = listener.accept().await else { return };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", answer.len());
        let mut question = [0; 1_024];
        let _ = stream.read(&mut question).await;
        // The relay closes the connection in the middle of an answer that is too large.
        let _ = stream.write_all(format!("{head}{answer}").as_bytes()).await;
    }
}

/// Guards against odd answers of another relay that count as evidence, change the configuration, end the
/// relay, or are logged each time.
#[gtest]
#[tokio::test]
async fn odd_answers() -> Result<()> {
    let harness = start(1, 1).await?;
    let (_, answer) = ask(&harness, 0, "?version=0").await?;
    let version = answer["version"].as_u64().or_fail()?;
    let listener = TcpListener::bind((harness.peer_address(0).ip(), 0)).await?;
    let other = json!({"address": listener.local_addr()?, "incarnation": 7, "capacity": 1_000});
    tokio::spawn(serve_odd_answers(listener, version));
    harness.store.put_row("fleet", "members", "vm-odd", other.to_string().as_bytes());
    await_event(&harness, 0, "member_joined").await?;
    harness.refuse_relay(0, true);
    let lost = await_event(&harness, 0, "evidence_lost").await?;
    expect_that!(lost["age_ms"].as_u64(), some(lt(REVOKE_MS + 1_000)));
    await_event(&harness, 0, "row_unusable").await?;
    sleep(REVOKE_TIME * 2).await;
    expect_that!(harness.events(0, "evidence_back"), is_empty());
    expect_that!(harness.events(0, "row_unusable").len(), eq(1));
    expect_that!(harness.events(0, "configuration_relayed"), is_empty());
    verify_that!(status(&harness, 0, "safe").await?, eq(200))
}

/// Guards against a change of the time by a reload, which must not take effect in a part of the relay only.
#[gtest]
#[tokio::test]
async fn reload() -> Result<()> {
    let harness = start(1, 1).await?;
    harness.reload_relay(0, |settings| settings["accounts"] = json!({"revoke_ms": 60_000}))?;
    let reloaded = await_event(&harness, 0, "settings_reloaded").await?;
    expect_that!(reloaded["restart_needed"], eq(&json!(true)));
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    let lost = await_event(&harness, 0, "evidence_lost").await?;
    verify_that!(lost["age_ms"].as_u64(), some(lt(REVOKE_MS + 1_000)))
}
