//! Building, printing and reading documents.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{fs, path::PathBuf, process::Command};

use cyclamengrade_operator::{Client, Configuration, Deployment, Model, parse, print};
use googletest::prelude::*;

/// Guards against an entry that silently replaces another of the same name.
#[gtest]
fn added_twice() -> Result<()> {
    let refused = Configuration::new()
        .with_model("m", Model::new())
        .with_model("m", Model::new())
        .with_deployment("d", Deployment::service())
        .with_deployment("d", Deployment::service())
        .with_client("c", Client::new("t"))
        .with_client("c", Client::new("t"))
        .finish()
        .unwrap_err();
    expect_that!(
        refused.repeated,
        elements_are![eq("models.m"), eq("deployments.d"), eq("clients.c")]
    );
    verify_that!(refused.to_string(), contains_substring("models.m is added twice"))
}

/// Guards against a document that is printed although a daemon refuses it.
#[gtest]
fn problems_listed() -> Result<()> {
    let refused = Configuration::new()
        .with_deployment("d", Deployment::model("no", "1"))
        .with_client("c", Client::new("t").with_weight(0))
        .finish()
        .unwrap_err();
    expect_that!(refused.problems.len(), eq(2));
    expect_that!(refused.to_string().lines().count(), eq(3));
    let text = r#"{"clients": {"c": {"token": ""}}}"#;
    expect_that!(parse(text), err(contains_substring("clients.c.token must be")));
    verify_that!(parse("{"), err(contains_substring("not a configuration document")))
}

/// Guards against a printed document that reads back differently.
#[gtest]
fn print_read() -> Result<()> {
    let document = Configuration::new()
        .with_model("m", Model::new().with_version("1", "w"))
        .with_deployment("d", Deployment::model("m", "1").with_adapter("a"))
        .finish()
        .or_fail()?;
    verify_that!(parse(&print(&document).or_fail()?), ok(eq(&document)))
}

/// Guards against example documents that are older than the programs that print them. Cargo builds
/// the examples of a package before it runs the package's tests.
#[gtest]
fn example_programs() -> Result<()> {
    let test = std::env::current_exe().or_fail()?;
    let programs = test.parent().and_then(|path| path.parent()).or_fail()?.join("examples");
    let documents = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for site in ["tessiture", "himal"] {
        let output = Command::new(programs.join(site)).output().or_fail()?;
        expect_that!(output.status.success(), eq(true), "{site}");
        let file = fs::read_to_string(documents.join(site).join("config.json")).or_fail()?;
        expect_that!(String::from_utf8_lossy(&output.stdout), eq(&file), "{site}");
    }
    Ok(())
}
