//! Tests of questions as targets of HTTP requests, and of the text of answers.

use cyclamengrade_explanation::{Answer, Candidate, Deployment, Outcome, Question, Shard};
use googletest::prelude::*;

/// Guards against a question that arrives changed because of characters with a meaning in a query.
#[gtest]
fn questions() {
    for question in [
        Question::new("calls.example:80", "/safe/path"),
        Question::new("h", "/a/b?x=1&y=%20+;#z").with_method("GET"),
        Question::new("h", "/").with_tokens(Some((10, 4))),
    ] {
        let target = question.target();
        let query = target.strip_prefix("/explain?").unwrap_or_default();
        expect_that!(Question::parse(query), ok(eq(&question)), "{target}");
    }
}

/// Guards against malformed questions that are answered as if they were others.
#[gtest]
fn malformed() {
    for (query, message) in [
        ("", "the host is empty"),
        ("host=h", "does not begin with a slash"),
        ("host=h&path=x", "does not begin with a slash"),
        ("host=a%20b&path=/", "is not a host"),
        ("host=h&path=/%zz", "the parameter path is malformed"),
        ("host=h&path=/%2", "the parameter path is malformed"),
        ("host=h&path=/%0A", "characters that have to be encoded"),
        ("host=h&path=/&method=A%20B", "is not a method"),
        ("host=h&path=/&prompt_tokens=many&output_tokens=1", "prompt_tokens is not a number"),
        ("host=h&path=/&prompt_tokens=1", "one of prompt_tokens and output_tokens is missing"),
        ("host=h&path=/&key=k", "\"key\" is not a parameter"),
    ] {
        expect_that!(Question::parse(query), err(contains_substring(message)), "{query}");
    }
}

/// Guards against a program that cannot read the answer of a later build, with fields that it does not know, or of
/// an earlier one, without some that it does.
#[gtest]
fn other_builds() -> Result<()> {
    let text = r#"{"relay": "vm-1", "later": 1, "outcome": {"kind": "sent", "upstreams": ["u"],
        "stopped_items": 0}, "deployments": [{"name": "d", "candidates": [{"id": "u", "later": {}}]}]}"#;
    let answer: Answer = serde_json::from_str(text).or_fail()?;
    expect_that!(answer.relay, eq("vm-1"));
    verify_that!(answer.deployments[0].candidates[0].id, eq("u"))
}

/// Guards against a text that does not begin with the outcome, that hides why an upstream is passed over, or that
/// lists hundreds of upstreams.
#[gtest]
fn text() {
    let candidate = |number: usize| Candidate {
        id: format!("u-{number}"),
        slots: 8,
        is_best: number == 90,
        is_usable: number != 40,
        passed_over: (number != 90).then(|| "all of its slots are in use".to_owned()),
        ..Candidate::default()
    };
    let shard = Shard { is_own: true, waiting: Some(2), ..Shard::default() };
    let deployment = Deployment {
        name: "model".into(),
        shards: vec![shard],
        candidates: (0..100).map(candidate).collect(),
        ..Deployment::default()
    };
    let upstreams = vec!["u-90".to_owned()];
    let outcome = Outcome::Sent { upstreams, stopped_items: 0 };
    let answer = Answer { outcome, deployments: vec![deployment], ..Answer::default() };
    let text = answer.to_string();
    expect_that!(text, starts_with("It would be sent to u-90 now.\nWhy:\n"));
    let rows: Vec<&str> = text.lines().filter(|line| line.starts_with("  u-")).collect();
    expect_that!(rows[1], starts_with("  u-40 "));
    let chosen = text.lines().find(|line| line.starts_with("  u-90 ")).unwrap_or_default();
    expect_that!(chosen, ends_with("best"));
    expect_that!(text, contains_substring("passed over: all of its slots are in use"));
    expect_that!(text, ends_with("and 76 more, see --json\n"));
    expect_that!(text.lines().count(), lt(60));
    let refused = Outcome::Refused {
        status: 429,
        reason: "the account is over its quota".into(),
        retry_after_ms: Some(250),
    };
    let expected =
        "It would be refused with 429: the account is over its quota. Retry-After: 0.250";
    expect_that!(refused.to_string(), eq(expected));
}
