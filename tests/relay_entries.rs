//! Tests of rows in the store that other writers left: entries of upstreams, the configuration, and
//! the tables of the relays.

use std::{collections::BTreeMap, net::UdpSocket, time::Duration};

use cyclamengrade_standins::bridge::{Faults, Harness, Runner};
use googletest::prelude::*;
use serde_json::{Value, json};

/// Number of relays of a test.
const RELAYS: usize = 2;
/// Number of requests that each relay has to serve.
const REQUESTS: usize = 6;
/// Levels of nesting that a parser may not follow with calls of its own.
const MANY_LEVELS: usize = 5_000;
/// Size of a text that fills a row.
const HUGE_TEXT_BYTES: usize = 60_000;

/// Returns values that no parser of a row should accept.
fn unreadable_values() -> Vec<(&'static str, Vec<u8>)> {
    let nested = format!("{}{}", "[".repeat(MANY_LEVELS), "]".repeat(MANY_LEVELS));
    vec![
        ("empty", Vec::new()),
        ("no-utf8", b"{\"Service\":\"\xff\xfe\"}".to_vec()),
        ("cut-off", b"{\"Service\":\"mod".to_vec()),
        ("nested", nested.clone().into_bytes()),
        ("nested-field", format!("{{\"Extra\":{nested}}}").into_bytes()),
        ("open-levels", "{\"a\":".repeat(MANY_LEVELS).into_bytes()),
        ("null", b"null".to_vec()),
        ("number", b"17".to_vec()),
        ("list", b"[1,2]".to_vec()),
        ("huge-number", b"{\"Slots\":1e999}".to_vec()),
        ("huge-text", json!("x".repeat(HUGE_TEXT_BYTES)).to_string().into_bytes()),
        ("no-json", b"}{".to_vec()),
    ]
}

/// Returns changes of fields with which an entry names no upstream.
fn unusable_fields() -> Vec<(&'static str, &'static str, Value)> {
    vec![
        ("port-zero", "Address", json!("127.0.0.1:0")),
        ("port-high", "Address", json!("127.0.0.1:99999")),
        ("no-port", "Address", json!("127.0.0.1")),
        ("any-address", "Address", json!("0.0.0.0:8080")),
        ("multicast", "Address", json!("224.0.0.1:8080")),
        ("broadcast", "Address", json!("255.255.255.255:8080")),
        ("slots-zero", "Slots", json!(0)),
        ("slots-negative", "Slots", json!(-1)),
        ("slots-float", "Slots", json!(1e300)),
        ("slots-most", "Slots", json!(u32::MAX)),
        ("slots-wide", "Slots", json!(u64::MAX)),
        ("slots-many", "Slots", json!(1_000_000)),
        ("slots-text", "Slots", json!("8")),
        ("version-empty", "Version", json!("")),
        ("version-huge", "Version", json!("v".repeat(HUGE_TEXT_BYTES))),
        ("version-null", "Version", Value::Null),
        ("service-empty", "Service", json!("")),
        ("service-huge", "Service", json!("s".repeat(HUGE_TEXT_BYTES))),
        ("service-list", "Service", json!(["model"])),
        ("zone-huge", "Zone", json!("z".repeat(HUGE_TEXT_BYTES))),
        ("state-other", "State", json!("resting")),
        ("born-float", "born", json!(1e30)),
        ("born-negative", "born", json!(-5)),
        ("born-text", "born", json!("now")),
    ]
}

/// Waits until all relays have applied the entry of a runner.
async fn list_everywhere(harness: &Harness, runner: &Runner) -> Result<()> {
    for relay in 0..RELAYS {
        harness.list(runner, relay).await?;
    }
    Ok(())
}

/// Checks that all relays run, serve requests, and follow the list: they use a runner that is listed now
/// once it is the only one.
async fn verify_following(harness: &mut Harness, id: &str) -> Result<()> {
    let runner = harness.add_runner(id, "v1", "a").await?;
    list_everywhere(harness, &runner).await?;
    for other in harness.runners.iter().filter(|other| other.id != id) {
        harness.store.remove("servers", &other.id);
    }
    for relay in 0..RELAYS {
        expect_that!(harness.is_running(relay)?, eq(true), "relay {relay}");
        for number in 0..REQUESTS {
            let id = format!("{id}-{relay}-{number}");
            let reply = harness.stream(relay, "stream", &id, 2).await?;
            expect_that!(reply.status, eq(200), "relay {relay}");
        }
        harness
            .eventually("a request at the listed runner", async || {
                harness.stream(relay, "stream", &format!("{id}-{relay}"), 2).await.ok()?;
                let sent = harness.events(relay, "request_sent");
                sent.iter().any(|line| line["upstream"] == id).then_some(())
            })
            .await?;
        expect_that!(harness.events(relay, "internal_fault"), is_empty(), "relay {relay}");
    }
    Ok(())
}

/// Returns the keys that a relay has logged as unusable, with the reason.
fn unusable_keys(harness: &Harness, relay: usize) -> BTreeMap<String, String> {
    let lines = harness.events(relay, "row_unusable");
    let text = |line: &Value, field: &str| line[field].as_str().unwrap_or_default().to_owned();
    lines.iter().map(|line| (text(line, "key"), text(line, "error"))).collect()
}

/// Guards against entries of other writers that are used as upstreams, that end a relay, or after which
/// it no longer follows the list.
#[gtest]
#[tokio::test]
async fn odd_entries() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    let trap = harness.add_runner("trap", "v1", "a").await?;
    let mut keys = Vec::new();
    for (name, bytes) in unreadable_values() {
        harness.store.put_bytes("servers", name, &bytes);
        keys.push(name);
    }
    for (name, field, value) in unusable_fields() {
        let mut entry = trap.entry("model", "ready");
        entry[field] = value;
        harness.store.put("servers", name, &entry);
        keys.push(name);
    }
    for (name, text) in [("no-base64", "%%%"), ("cut-base64", "eyJT")] {
        harness.store.put_encoded("servers", name, text);
        keys.push(name);
    }
    for name in ["caf\u{e9}", "line\nfeed"] {
        harness.store.put("servers", name, &trap.entry("model", "ready"));
        keys.push(name);
    }
    verify_following(&mut harness, "m-3").await?;
    expect_that!(trap.runs(), is_empty());
    for relay in 0..RELAYS {
        let unusable = unusable_keys(&harness, relay);
        let added = harness.events(relay, "upstream_added");
        for key in &keys {
            let reason = unusable.get(&format!("servers//{key}")).map_or("", String::as_str);
            expect_that!(reason, not(eq("")), "relay {relay} took {key} for usable");
            expect_that!(reason.len(), le(400), "the reason for {key} fills the log");
            expect_that!(added.iter().any(|line| line["upstream"] == *key), eq(false), "{key}");
        }
    }
    Ok(())
}

/// Guards against an entry that is refused although the values that the relay reads are in order.
#[gtest]
#[tokio::test]
async fn unread_fields() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    let mut nested = json!(1);
    for _ in 0..50 {
        nested = json!([nested]);
    }
    let runner = harness.add_runner("m-3", "v1", "a").await?;
    let mut entry = runner.entry("model", "ready");
    entry["Extra"] = nested;
    entry["ColdLeftMs"] = json!(1e300);
    entry["CallSeq"] = json!("many");
    entry["Padding"] = json!("x".repeat(HUGE_TEXT_BYTES / 2));
    harness.store.put("servers", "m-3", &entry);
    for relay in 0..RELAYS {
        let name = "upstream_added";
        harness
            .eventually("the entry", async || {
                let lines = harness.events(relay, name);
                lines.iter().any(|line| line["upstream"] == "m-3").then_some(())
            })
            .await?;
    }
    Ok(())
}

/// Guards against a good upstream that stays in use after its entry was replaced by an unusable one,
/// and against one that is not used again once its entry is in order.
#[gtest]
#[tokio::test]
async fn replaced_entry() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    let runner = harness.add_runner("m-3", "v1", "a").await?;
    list_everywhere(&harness, &runner).await?;
    let mut entry = runner.entry("model", "ready");
    entry["Slots"] = json!(u32::MAX);
    harness.store.put("servers", "m-3", &entry);
    for relay in 0..RELAYS {
        harness
            .eventually("the removal", async || {
                let lines = harness.events(relay, "upstream_removed");
                lines.iter().any(|line| line["upstream"] == "m-3").then_some(())
            })
            .await?;
    }
    harness.store.put("servers", "m-3", &runner.entry("model", "ready"));
    for relay in 0..RELAYS {
        harness
            .eventually("the return", async || {
                let lines = harness.events(relay, "upstream_added");
                let times = lines.iter().filter(|line| line["upstream"] == "m-3").count();
                (times == 2).then_some(())
            })
            .await?;
    }
    Ok(())
}

/// Guards against a list that is not followed any more because many large rows were written during an
/// outage, so that the changes since then do not fit into one answer.
#[gtest]
#[tokio::test]
async fn huge_rows() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    harness.store.set_faults(Faults { refuse: true, ..Faults::default() });
    let value = json!("x".repeat(HUGE_TEXT_BYTES)).to_string();
    for number in 0..150 {
        harness.store.put_bytes("servers", &format!("huge-{number}"), value.as_bytes());
    }
    harness.store.set_faults(Faults::default());
    verify_following(&mut harness, "m-3").await
}

/// Guards against a configuration that cannot be read or has extreme numbers, and that ends a relay,
/// its service, or the following of the configuration.
#[gtest]
#[tokio::test]
async fn odd_configuration() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    for (_, bytes) in unreadable_values() {
        harness.store.put_bytes("op", "config", &bytes);
    }
    harness.store.put_encoded("op", "config", "%%%");
    let route = |name: &str, kind: &str, number: Value| {
        json!({
            "Name": name, "Host": "calls.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": number, "TargetLatencyMs": number, "GapAimMs": number,
            "CompletionTargetMs": number, "RetentionS": number, "Cap": number, "MaxAttempts": u32::MAX,
            "Resumable": true,
            "Split": [{"Service": "model", "Weight": u32::MAX}, {"Service": "model", "Weight": u32::MAX}]
        })
    };
    for (round, number) in [json!(1e300), json!(1e22), json!(1.8e22), json!(u64::MAX), json!(1e15)]
        .into_iter()
        .enumerate()
    {
        let (stream, batch) = (format!("stream-{round}"), format!("batch-{round}"));
        harness.configure(json!([
            route(&stream, "stream", number.clone()),
            route(&batch, "batch", number.clone())
        ]));
        for relay in 0..RELAYS {
            let id = format!("s-{round}-{relay}");
            let status = harness
                .eventually("the route", async || {
                    let reply = harness.stream(relay, &stream, &id, 2).await;
                    let status = reply.map_or(0, |reply| reply.status);
                    (status != 404).then_some(status)
                })
                .await?;
            expect_that!(status, eq(200), "{number} at relay {relay}");
            let id = format!("j-{round}-{relay}");
            let job = harness.submit_to(relay, &batch, &id, 2, 3).await;
            let status = job.as_ref().map_or(0, |(_, status)| *status);
            expect_that!(status, eq(202), "{number} at relay {relay}");
            if let Ok((job, 202)) = job {
                let results = harness.await_results(relay, &job).await?;
                expect_that!(Harness::complete_items(&results, 3).len(), eq(2), "{number}");
            }
        }
    }
    harness.add_route("added");
    for relay in 0..RELAYS {
        harness
            .eventually("the added route", async || {
                let reply = harness.send(harness.call(relay, "added", "r-1")).await.ok()?;
                (reply.status == 200).then_some(())
            })
            .await?;
        expect_that!(harness.is_running(relay)?, eq(true));
    }
    Ok(())
}

/// Returns a row of a job with extreme numbers.
fn odd_job(state: &str) -> Value {
    json!({
        "host": "calls.example", "path": "/batch/x", "items": usize::MAX, "tokens": u64::MAX,
        "accepted_ms": u64::MAX, "due_ms": u64::MAX, "expires_ms": u64::MAX, "state": state,
        "owner": {"name": "ghost", "incarnation": u64::MAX}
    })
}

/// Guards against rows of the relays' tables that others left and that end a relay, its batch jobs, its
/// exchange with the other relays, or the records of software versions and streams.
#[gtest]
#[tokio::test]
async fn odd_fleet_rows() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    let member = |address: &str| {
        json!({
            "address": address, "incarnation": u64::MAX, "capacity": u32::MAX, "joined_ms": u64::MAX
        })
    };
    let versions = json!({"deployments": {"model": {"software": [], "since_ms": u64::MAX}}});
    let quarantine = json!({"ends_ms": {"0": u64::MAX, "18446744073709551615": u64::MAX}});
    let origins = json!({"streams": [[u64::MAX, u32::MAX, u64::MAX], [0, 0, 0]]});
    let odd_rows = [
        ("fleet", "members", "ghost-1", member("127.0.0.1:0")),
        ("fleet", "members", "ghost-2", member("255.255.255.255:9")),
        ("fleet", "members", "vm-0", member("127.0.0.1:9")),
        ("fleet", "jobs-3", "odd-open", odd_job("open")),
        ("fleet", "jobs-4", "odd-done", odd_job("done")),
        ("fleet", "jobs-5", "odd-ended", odd_job("ended")),
        ("fleet", "versions", "deployments", versions),
        ("fleet", "quarantine", "parts", quarantine),
        ("origins", "0", "ghost", origins.clone()),
        ("origins", "1", "vm-0", origins.clone()),
        ("origins", "2", "vm-0", origins),
    ];
    for (table, part, key, value) in &odd_rows {
        harness.store.put_row(table, part, key, value.to_string().as_bytes());
    }
    for (_, bytes) in unreadable_values() {
        for (table, part, key, _) in &odd_rows {
            harness.store.put_row(table, part, key, &bytes);
        }
    }
    // Cleanups run every five seconds.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let runner = harness.add_runner("m-v2", "v2", "a").await?;
    list_everywhere(&harness, &runner).await?;
    harness
        .eventually("the versions", async || {
            let row = harness.store.value("fleet", "versions", "deployments")?;
            let versions = row["deployments"]["model"]["software"].as_array()?.len();
            (versions == 2).then_some(())
        })
        .await?;
    harness
        .eventually("the row of the relay", async || {
            let row = harness.store.value("fleet", "members", "vm-0")?;
            row["address"].as_str()?.ends_with(&harness.peer_address(0).to_string()).then_some(())
        })
        .await?;
    let (job, status) = harness.submit(0, "j-1", 4, 5).await?;
    expect_that!(status, eq(202));
    let results = harness.await_results(1, &job).await?;
    expect_that!(Harness::complete_items(&results, 5).len(), eq(4));
    verify_following(&mut harness, "m-3").await?;
    harness
        .eventually("the origins of a relay", async || {
            let names = harness.store.names("origins");
            let own = names.iter().filter(|(_, key)| key == "vm-0");
            let mut rows = own.filter_map(|(part, key)| harness.store.value("origins", part, key));
            rows.any(|row| row["streams"].as_array().is_some_and(|list| !list.is_empty()))
                .then_some(())
        })
        .await?;
    Ok(())
}

/// Guards against a job that no relay can take over because of rows about its items that others left.
#[gtest]
#[tokio::test]
async fn odd_job_rows() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    let mut jobs = Vec::new();
    let odd = unreadable_values();
    for number in 0..odd.len() {
        let (job, status) = harness.submit(0, &format!("j-{number}"), 2, 60).await?;
        expect_that!(status, eq(202));
        jobs.push(job);
    }
    harness.kill_relay(0)?;
    let names = harness.store.names("fleet");
    for (job, (_, bytes)) in jobs.iter().zip(&odd) {
        let Some((part, id)) = names.iter().find(|(_, key)| *key == job.id) else { continue };
        harness.store.put_row("failures", part, id, bytes);
        for item in ["000000", "999999", "odd"] {
            harness.store.put_row("partials", part, &format!("{id}/{item}"), bytes);
        }
        for position in ["000000", "999999", "odd"] {
            harness.store.put_row("results", part, &format!("{id}/{position}"), bytes);
        }
        let partial = json!({
            "last": u64::MAX, "text": "piece", "events": u64::MAX, "software": u32::MAX
        });
        let partial = partial.to_string();
        harness.store.put_row("partials", part, &format!("{id}/000001"), partial.as_bytes());
    }
    for job in &jobs {
        let results = harness.await_results(1, job).await?;
        expect_that!(Harness::complete_items(&results, 60).len(), eq(2), "{}: {results:?}", job.id);
    }
    expect_that!(harness.is_running(1)?, eq(true));
    Ok(())
}

/// Guards against a relay whose exchange with the others ends when datagrams of unknown origin arrive.
#[gtest]
#[tokio::test]
async fn odd_datagrams() -> Result<()> {
    let mut harness = Harness::start(RELAYS).await?;
    let socket = UdpSocket::bind((harness.peer_address(0).ip(), 0))?;
    let mut datagrams: Vec<Vec<u8>> =
        unreadable_values().into_iter().map(|(_, bytes)| bytes).collect();
    // A field of groups that are nested more deeply than the format has.
    datagrams.push(vec![0x0b; 60_000]);
    // A length that exceeds the datagram.
    datagrams.push(vec![0x12, 0xff, 0xff, 0xff, 0xff, 0x0f]);
    for relay in 0..RELAYS {
        for datagram in &datagrams {
            socket.send_to(datagram, harness.peer_address(relay))?;
        }
    }
    verify_following(&mut harness, "m-3").await?;
    let granted = harness.events(1, "request_sent");
    verify_that!(granted.iter().any(|line| line["granted"] == true), eq(true))
}
