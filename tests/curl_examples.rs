//! Runs the curl examples of the page for callers against a running fleet.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{collections::BTreeMap, fs, net::SocketAddr, time::Duration};

use cyclamengrade_standins::{
    client::Call,
    fleet::{Fleet, Plan, TOKEN},
};
use googletest::prelude::*;
use hyper::Method;
use serde_json::Value;

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the content of all fenced code blocks in the given language.
fn code_blocks(page: &str, language: &str) -> Vec<String> {
    let fence = format!("```{language}\n");
    let rest = page.split(&fence).skip(1);
    rest.filter_map(|rest| rest.split_once("```")).map(|(block, _)| block.into()).collect()
}

/// Splits a shell command into words; supports single quotes, double quotes, variables and line
/// continuations.
fn split_words(command: &str, variables: &BTreeMap<&str, String>) -> Vec<String> {
    let mut words = Vec::new();
    let (mut word, mut quote, mut open) = (String::new(), None, false);
    let mut rest = command.chars().peekable();
    while let Some(c) = rest.next() {
        match (c, quote) {
            ('\'' | '"', None) => (quote, open) = (Some(c), true),
            (c, Some(q)) if c == q => quote = None,
            ('\\', None) => _ = rest.next_if_eq(&'\n'),
            ('$', None | Some('"')) => {
                let mut name = String::new();
                while let Some(c) = rest.next_if(|c| c.is_ascii_alphanumeric() || *c == '_') {
                    name.push(c);
                }
                word += variables
                    .get(name.as_str())
                    .unwrap_or_else(|| panic!("variable without a value: {name}"));
                open = true;
            }
            (c, None) if c.is_whitespace() => {
                if open {
                    words.push(std::mem::take(&mut word));
                }
                open = false;
            }
            (c, _) => {
                word.push(c);
                open = true;
            }
        }
    }
    if open {
        words.push(word);
    }
    words
}

/// Parses the arguments of curl; `items` is the content of `items.jsonl`.
fn call(words: &[String], items: &str) -> Call {
    let mut words = words.iter();
    assert_eq!(words.next().map(String::as_str), Some("curl"));
    let (mut method, mut url, mut headers, mut body) = (None, None, Vec::new(), None);
    while let Some(word) = words.next() {
        match word.as_str() {
            "-sS" | "-sSN" => {}
            "-X" => method = words.next().cloned(),
            "-H" => headers.push(words.next().unwrap().split_once(": ").unwrap()),
            "-d" => body = words.next().cloned(),
            "--data-binary" => {
                assert_eq!(words.next().map(String::as_str), Some("@items.jsonl"));
                body = Some(items.into());
            }
            option if option.starts_with('-') => panic!("unsupported curl option: {option}"),
            other => url = Some(other),
        }
    }
    let (address, path) = url.unwrap().split_once('/').unwrap();
    let address: SocketAddr = address.parse().unwrap();
    let method = match method.as_deref() {
        Some("POST") => Method::POST,
        Some(other) => panic!("unsupported method: {other}"),
        None if body.is_some() => Method::POST,
        None => Method::GET,
    };
    let call = Call::new(method, address, format!("/{path}")).with_timeout(RESPONSE_TIMEOUT);
    let call = headers.into_iter().fold(call, |call, (name, value)| call.with_header(name, value));
    call.with_body(body.unwrap_or_default())
}

/// Guards against examples that do not work: sends every command of the page to a fleet, in order,
/// and expects the status and the text that the page states below it.
#[gtest]
#[tokio::test]
async fn examples_run() -> Result<()> {
    let page = fs::read_to_string("docs/callers.md").or_fail()?;
    let items = code_blocks(&page, "jsonl").concat();
    let fleet = Fleet::start(Plan::new(1, 1, 1)).await.or_fail()?;
    let mut variables = BTreeMap::from([
        ("CYCLAMENGRADE_SERVER", fleet.daemons[0].address.to_string()),
        ("CYCLAMENGRADE_TOKEN", TOKEN.to_string()),
    ]);
    let examples = code_blocks(&page, "sh");
    expect_that!(examples.len(), ge(9));
    for example in examples {
        let (command, expected) = example.rsplit_once("\n# ").or_fail()?;
        let (status, text) = expected.trim().split_once(' ').unwrap_or((expected.trim(), ""));
        let call = call(&split_words(command, &variables), &items);
        let reply = fleet.client.send(call).await.or_fail()?;
        let answer = reply.text();
        expect_that!(reply.status.to_string(), eq(status), "{command}\n{answer}");
        expect_that!(answer, contains_substring(text), "{command}");
        if command.contains("/v1/batches?") {
            let job: Value = reply.json().or_fail()?;
            variables.insert("JOB", job["id"].as_str().or_fail()?.into());
        }
    }
    Ok(())
}
