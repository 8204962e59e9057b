//! Tests of the streams, injected faults and load reports of the engine stand-in.

mod support;

use std::time::{Duration, Instant};

use cyclamengrade_standins::{
    answer,
    client::{Call, Client, Events},
    engine::Runs,
};
use cyclamengrade_upstream::wire::{CacheEvents, Chunk, Completion, Load};
use googletest::prelude::*;
use serde_json::json;
use support::Standin;

const MODEL: [&str; 2] = ["--models", "m@1"];

fn completion(prompt: &str, max_tokens: u32) -> Completion {
    let (model, prompt) = ("m".to_owned(), prompt.to_owned());
    Completion { model, prompt, max_tokens, stream: true, ..Completion::default() }
}

fn call(standin: &Standin, id: &str, completion: &Completion) -> Call {
    Call::post(standin.address, "/v1/completions")
        .with_header("x-stream-id", id)
        .with_json(completion)
}

async fn read(mut events: Events) -> Result<(String, bool)> {
    let mut text = String::new();
    while let Some(event) = events.next().await? {
        if event == "[DONE]" {
            return Ok((text, true));
        }
        text.push_str(&serde_json::from_str::<Chunk>(&event)?.text);
    }
    Ok((text, false))
}

/// Guards against a stream that differs from the computed answer, and against a resumed stream that
/// repeats or skips tokens.
#[gtest]
#[tokio::test]
async fn resumed_answer() -> Result<()> {
    let standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    let whole = completion("What is felt made of?", 12);
    let (text, done) = read(client.open(call(&standin, "a", &whole)).await?).await?;
    expect_that!(done, is_true());
    expect_that!(text, eq(&answer::text(&whole.prompt, "1", 12)));
    let rest = Completion { resume_from: 5, ..whole.clone() };
    let (tail, _) = read(client.open(call(&standin, "b", &rest)).await?).await?;
    expect_that!(tail, eq(&text[text.len() - 7 * 5..]));
    let nothing = Completion { resume_from: 12, ..whole };
    let (tail, done) = read(client.open(call(&standin, "c", &nothing)).await?).await?;
    expect_that!((tail.as_str(), done), eq(("", true)));
    Ok(())
}

/// Guards against a cancelled stream that keeps its slot or ends with the end marker.
#[gtest]
#[tokio::test]
async fn cancelled_stream() -> Result<()> {
    let standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    let long = completion("Print all orders", 100_000);
    let mut events = client.open(call(&standin, "long", &long)).await?;
    events.next().await?.or_fail()?;
    let cancel = Call::new(hyper::Method::DELETE, standin.address, "/v1/streams/long");
    expect_that!(client.send(cancel.clone()).await?.status, eq(204));
    expect_that!(read(events).await?.1, is_false());
    support::eventually(async || {
        let status = client.send(cancel.clone()).await.ok()?.status;
        (status == 404).then_some(())
    })
    .await
}

/// Guards against more running streams than slots, and against a load report that does not show the
/// waiting ones.
#[gtest]
#[tokio::test]
async fn limited_slots() -> Result<()> {
    let standin = Standin::start("engine", &[MODEL[0], MODEL[1], "--slots", "2"])?;
    let client = Client::new();
    let mut streams = Vec::new();
    for number in 0..2 {
        let long = completion(&format!("long {number}"), 100_000);
        let mut stream = client.open(call(&standin, &format!("long-{number}"), &long)).await?;
        stream.next().await?.or_fail()?;
        streams.push(stream);
    }
    let short = call(&standin, "short", &completion("short", 1));
    let waiting = tokio::spawn({
        let client = client.clone();
        async move { client.open(short).await }
    });
    support::eventually(async || {
        let load: Load =
            client.send(Call::get(standin.address, "/v1/load")).await.ok()?.json().ok()?;
        (load.running == 2 && load.queued == 1 && load.slots == 2).then_some(())
    })
    .await?;
    expect_that!(waiting.is_finished(), is_false());
    // A slot becomes free when the receiver of its stream disconnects.
    drop(streams);
    let (_, done) = read(waiting.await??).await?;
    expect_that!(done, is_true());
    Ok(())
}

/// Guards against a reopened stream that does not replace the old one, or that counts as started
/// instead of resumed: the comparison of replies and runs would take it for a second run.
#[gtest]
#[tokio::test]
async fn reopened_stream() -> Result<()> {
    let standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    let whole = completion("reopened", 60);
    let mut events = client.open(call(&standin, "r", &whole)).await?;
    events.next().await?.or_fail()?;
    let rest = Completion { resume_from: 1, ..whole.clone() };
    let (tail, done) = read(client.open(call(&standin, "r", &rest)).await?).await?;
    expect_that!(done, is_true());
    expect_that!(tail, eq(&answer::text("reopened", "1", 60)[5..]));
    expect_that!(read(events).await?.1, is_false());
    let runs: Runs = client.send(Call::get(standin.address, "/_runs")).await?.json()?;
    let counted = runs.prompts["reopened"];
    expect_that!((counted.started, counted.resumed, counted.finished), eq((1, 1, 1)));
    Ok(())
}

/// Guards against fault markers in prompts without effect: one fails the item, one shortens its
/// answer, and one ends the process.
#[gtest]
#[tokio::test]
async fn prompt_markers() -> Result<()> {
    let mut standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    let failing = completion("[fail] please", 5);
    expect_that!(client.open(call(&standin, "f", &failing)).await?.status, eq(500));
    let short = completion("[stop:3] please", 50);
    let (text, _) = read(client.open(call(&standin, "s", &short)).await?).await?;
    expect_that!(text, eq(&answer::text(&short.prompt, "1", 3)));
    let killing = completion("[kill] please", 5);
    expect_that!(client.open(call(&standin, "k", &killing)).await, err(anything()));
    let status = standin.process.wait(Duration::from_secs(10))?;
    expect_that!(status.code(), some(eq(86)));
    Ok(())
}

/// Guards against a run that does not take effect because its reply is dropped, and against a silent
/// connection that affects connections opened later or that delivers the end of its stream.
#[gtest]
#[tokio::test]
async fn lost_reply_and_silent_connection() -> Result<()> {
    let standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    standin.set_faults(json!({"lose_replies": 1})).await?;
    let lost = completion("lost", 3);
    expect_that!(client.open(call(&standin, "l", &lost)).await, err(anything()));
    let runs: Runs = client.send(Call::get(standin.address, "/_runs")).await?.json()?;
    expect_that!(runs.prompts["lost"].finished, eq(1));

    let long = completion("silent", 100_000);
    let silent = call(&standin, "s", &long).with_timeout(Duration::from_secs(3));
    let mut events = client.open(silent).await?;
    events.next().await?.or_fail()?;
    standin.set_faults(json!({"silent": true})).await?;
    let fresh = Client::new().open(call(&standin, "n", &completion("new", 3))).await?;
    expect_that!(read(fresh).await?.1, is_true());
    while let Ok(event) = events.next().await {
        expect_that!(event, some(anything()));
    }
    Ok(())
}

/// Guards against a frozen engine that generates tokens, or that does not continue its streams
/// afterwards.
#[gtest]
#[tokio::test]
async fn frozen_engine() -> Result<()> {
    let standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    let whole = completion("frozen", 20);
    let mut events = client.open(call(&standin, "z", &whole)).await?;
    events.next().await?.or_fail()?;
    standin.set_faults(json!({"frozen": true})).await?;
    let runs = async || -> Result<Runs> {
        Ok(client.send(Call::get(standin.address, "/_runs")).await?.json()?)
    };
    let before = runs().await?.total.tokens;
    tokio::time::sleep(Duration::from_millis(200)).await;
    expect_that!(runs().await?.total.tokens, eq(before));
    expect_that!(before, lt(20));
    standin.set_faults(json!({"frozen": false})).await?;
    expect_that!(read(events).await?.1, is_true());
    Ok(())
}

/// Guards against an answer that looks complete although the process died while sending it.
#[gtest]
#[tokio::test]
async fn exit_during_answer() -> Result<()> {
    let mut standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    standin.set_faults(json!({"die_after_bytes": 900})).await?;
    let events = client.open(call(&standin, "d", &completion("dies", 100))).await?;
    expect_that!(read(events).await, err(anything()));
    expect_that!(standin.process.wait(Duration::from_secs(10))?.code(), some(eq(86)));
    Ok(())
}

/// Guards against a slow factor that does not lengthen the time between tokens.
#[gtest]
#[tokio::test]
async fn slow_factor() -> Result<()> {
    let standin = Standin::start("engine", &MODEL)?;
    let client = Client::new();
    standin.set_faults(json!({"slow_factor": 10.0})).await?;
    let start = Instant::now();
    read(client.open(call(&standin, "s", &completion("slow", 5))).await?).await?;
    expect_that!(start.elapsed(), gt(Duration::from_millis(500)));
    Ok(())
}

/// Guards against orders with an outdated fencing number that take effect, and against accepted
/// orders that do not load the model.
#[gtest]
#[tokio::test]
async fn fenced_orders() -> Result<()> {
    let standin =
        Standin::start("engine", &[MODEL[0], MODEL[1], "--fencing", "checked", "--load-ms", "50"])?;
    let client = Client::new();
    let order = async |fence: &str, models: &[&str]| -> Result<u16> {
        let call = Call::new(hyper::Method::PUT, standin.address, "/v1/orders")
            .with_header("x-fencing-number", fence)
            .with_json(&json!({"models": models}));
        Ok(client.send(call).await?.status)
    };
    expect_that!(order("7", &["m@1", "m@2"]).await?, eq(200));
    expect_that!(order("6", &["m@1"]).await?, eq(409));
    support::eventually(async || {
        let load: Load =
            client.send(Call::get(standin.address, "/v1/load")).await.ok()?.json().ok()?;
        load.models.contains(&"m@2".to_owned()).then_some(())
    })
    .await?;
    let newer = Completion { version: Some("2".into()), ..completion("new version", 4) };
    let (text, _) = read(client.open(call(&standin, "v", &newer)).await?).await?;
    expect_that!(text, eq(&answer::text("new version", "2", 4)));
    Ok(())
}

/// Guards against cache events that are published without delay or without gaps.
#[gtest]
#[tokio::test]
async fn cache_events() -> Result<()> {
    let standin = Standin::start(
        "engine",
        &[MODEL[0], MODEL[1], "--cache-gap", "2", "--cache-lag-ms", "500"],
    )?;
    let client = Client::new();
    let get = Call::get(standin.address, "/v1/cache-events?after=0");
    for number in 0..3 {
        let short = completion(&format!("prompt {number}"), 1);
        read(client.open(call(&standin, "c", &short)).await?).await?;
    }
    let early: CacheEvents = client.send(get.clone()).await?.json()?;
    expect_that!(early.events.len(), lt(2));
    let numbers = support::eventually(async || {
        let late: CacheEvents = client.send(get.clone()).await.ok()?.json().ok()?;
        let numbers: Vec<_> = late.events.iter().map(|event| event.number).collect();
        (numbers.len() == 2).then_some(numbers)
    })
    .await?;
    expect_that!(numbers, elements_are![eq(&1), eq(&3)]);
    Ok(())
}
