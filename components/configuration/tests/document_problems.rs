//! Validation of documents: every refusal and its message.
#![allow(clippy::unwrap_used, clippy::panic)]

use cyclamengrade_configuration::{Client, Deployment, Document, Limit, Model};
use googletest::prelude::*;

fn valid() -> Document {
    let mut document = Document::default();
    document.models.insert("telaio".into(), Model::new().with_version("2", "telaio/2"));
    document.deployments.insert("telaio-lm".into(), Deployment::model("telaio", "2"));
    document.deployments.insert("magazzino-app".into(), Deployment::service());
    document.clients.insert("labels".into(), Client::new("t-1"));
    document
}

/// Guards against accepting an invalid value, and against a message without the path of the value.
#[gtest]
fn invalid_values_refused() -> Result<()> {
    type Change = fn(&mut Document);
    fn model(document: &mut Document) -> &mut Deployment {
        document.deployments.get_mut("telaio-lm").unwrap()
    }
    fn service(document: &mut Document) -> &mut Deployment {
        document.deployments.get_mut("magazzino-app").unwrap()
    }
    fn client(document: &mut Document) -> &mut Client {
        document.clients.get_mut("labels").unwrap()
    }
    let cases: &[(Change, &str)] = &[
        (|d| model(d).model = None, "deployments.telaio-lm.model is required for kind model"),
        (|d| model(d).version = None, "deployments.telaio-lm.version is required"),
        (|d| model(d).model = Some("x".into()), "names \"x\", which is not in models"),
        (|d| model(d).version = Some("9".into()), "names \"9\", which is not a version of"),
        (|d| model(d).adapters = vec!["a+b".into()], "deployments.telaio-lm.adapters: a+b"),
        (|d| model(d).first_token_ms = 0, "deployments.telaio-lm.first_token_ms must be"),
        (|d| model(d).between_tokens_ms = 0, "deployments.telaio-lm.between_tokens_ms must be"),
        (|d| service(d).model = Some("telaio".into()), "magazzino-app.model must be absent"),
        (|d| service(d).version = Some("2".into()), "magazzino-app.version must be absent"),
        (|d| service(d).adapters = vec!["a".into()], "magazzino-app.adapters must be absent"),
        (|d| client(d).token.clear(), "clients.labels.token must be"),
        (|d| client(d).token = "a b".into(), "clients.labels.token must be"),
        (|d| client(d).weight = 0, "clients.labels.weight must be a whole number from 1"),
        (|d| client(d).weight = 1001, "clients.labels.weight must be"),
        (
            |d| _ = client(d).limits.insert("*".into(), Limit::new().with_requests_per_s(0.0)),
            "clients.labels.limits.*.requests_per_s must be a number above 0",
        ),
        (
            |d| _ = client(d).limits.insert("no".into(), Limit::new()),
            "clients.labels.limits names \"no\", which is not in deployments",
        ),
        (
            |d| _ = d.clients.insert("other".into(), Client::new("t-1")),
            "clients.labels and clients.other have the same token",
        ),
        (
            |d| _ = d.deployments.insert("a/b".into(), Deployment::service()),
            "deployments.a/b has an invalid name",
        ),
        (
            |d| _ = d.deployments.insert("cyclamengrade".into(), Deployment::service()),
            "deployments.cyclamengrade has an invalid name; write another name",
        ),
        (|d| _ = d.models.insert("m@1".into(), Model::new()), "models.m@1 has an invalid name"),
        (
            |d| _ = d.models.insert("m".into(), Model::new().with_version("1", "")),
            "models.m.versions.1.weights must be a non-empty string",
        ),
        (
            |d| _ = d.models.insert("m".into(), Model::new().with_version("..", "w")),
            "models.m.versions... has an invalid name",
        ),
    ];
    expect_that!(valid().problems(), is_empty());
    for (change, message) in cases {
        let mut document = valid();
        change(&mut document);
        let problems: Vec<_> = document.problems().iter().map(ToString::to_string).collect();
        expect_that!(problems, elements_are![contains_substring(*message)]);
    }
    Ok(())
}

/// Guards against reporting only the first problem.
#[gtest]
fn all_problems_reported() -> Result<()> {
    let mut document = valid();
    document.models.clear();
    document.clients.get_mut("labels").or_fail()?.weight = 0;
    document.clients.get_mut("labels").or_fail()?.token.clear();
    verify_that!(document.problems().len(), eq(3))
}

/// Guards against ignoring an unknown field, and against accepting a wrong type or a missing field.
#[gtest]
fn strict_shape() -> Result<()> {
    for text in [
        r#"{"deployment": {}}"#,
        r#"{"deployments": {"a": {"kind": "service", "colour": 1}}}"#,
        r#"{"deployments": {"a": {"kind": "engine"}}}"#,
        r#"{"deployments": {"a": {}}}"#,
        r#"{"clients": {"a": {}}}"#,
        r#"{"clients": {"a": {"token": "t", "weight": -1}}}"#,
        r#"{"models": {"m": {"versions": {"1": {}}}}}"#,
    ] {
        expect_that!(serde_json::from_str::<Document>(text), err(anything()), "{text}");
    }
    Ok(())
}

/// Guards against a duplicate name whose last entry applies without an error.
#[gtest]
fn duplicate_name() -> Result<()> {
    let service = r#"{"kind": "service"}"#;
    for text in [
        format!(r#"{{"deployments": {{"a": {service}, "a": {service}}}}}"#),
        r#"{"models": {"a": {}, "a": {}}}"#.into(),
        r#"{"models": {"m": {"versions": {"a": {"weights": "w"}, "a": {"weights": "w"}}}}}"#.into(),
        r#"{"clients": {"a": {"token": "t"}, "a": {"token": "u"}}}"#.into(),
        r#"{"clients": {"c": {"token": "t", "limits": {"a": {}, "a": {}}}}}"#.into(),
    ] {
        let error = serde_json::from_str::<Document>(&text).unwrap_err().to_string();
        expect_that!(error, starts_with("the name \"a\" occurs twice"), "{text}");
    }
    Ok(())
}
