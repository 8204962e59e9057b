//! Building, printing and parsing of documents.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{fs, path::PathBuf, process::Command};

use cyclamengrade_operator::{Client, Configuration, Deployment, Model, parse, print};
use googletest::prelude::*;

/// Guards against an entry that replaces another one of the same name without an error.
#[gtest]
fn duplicate_entries() -> Result<()> {
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
        refused.duplicates,
        elements_are![eq("models.m"), eq("deployments.d"), eq("clients.c")]
    );
    verify_that!(refused.to_string(), contains_substring("models.m is added twice"))
}

/// Guards against accepting a document that a daemon would refuse.
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

/// Guards against a printed document that parses to a different one.
#[gtest]
fn print_round_trip() -> Result<()> {
    let document = Configuration::new()
        .with_model("m", Model::new().with_version("1", "w"))
        .with_deployment("d", Deployment::model("m", "1").with_adapter("a"))
        .finish()
        .or_fail()?;
    verify_that!(parse(&print(&document).or_fail()?), ok(eq(&document)))
}

/// Guards against example documents that differ from the output of the programs that print them. Cargo
/// builds the examples of a package before it runs the tests of the package.
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
