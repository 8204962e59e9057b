//! Plans and the differences that they show.
#![allow(clippy::unwrap_used, clippy::panic)]

use cyclamengrade_operator::{
    Client, Configuration, Deployment, Document, Limit, Model, Plan, Revision,
    plan::{Fault, differences, job_key},
};
use googletest::prelude::*;
use serde_json::{Value, json};

fn document(version: &str, token: &str) -> Document {
    Configuration::new()
        .with_model("m", Model::new().with_version("1", "w/1").with_version("2", "w/2"))
        .with_deployment("lm", Deployment::model("m", version))
        .with_client(
            "labels",
            Client::new(token).with_limit("*", Limit::new().with_requests_per_s(2.5)),
        )
        .finish()
        .unwrap()
}

fn revision(document: &Document) -> Revision {
    let value = serde_json::to_value(document).unwrap();
    Revision { revision: 3, digest: document.digest(), document: value }
}

fn lines(base: &Document, new: &Document) -> Vec<String> {
    differences(&revision(base), new).unwrap().iter().map(ToString::to_string).collect()
}

/// Guards against differences that are missed or shown as whole entries.
#[gtest]
fn values_shown() -> Result<()> {
    let (old, mut new) = (document("1", "t"), document("2", "t"));
    expect_that!(lines(&old, &old), is_empty());
    expect_that!(lines(&old, &new), elements_are![eq("~ deployments.lm.version: 1 -> 2")]);
    new.clients.clear();
    new.models.insert("empty".into(), Model::new());
    verify_that!(
        lines(&old, &new),
        elements_are![
            eq("- clients.labels.limits.*.requests_per_s: 2.5"),
            starts_with("- clients.labels.token: (hidden, digest "),
            eq("- clients.labels.weight: 1"),
            eq("~ deployments.lm.version: 1 -> 2"),
            eq("+ models.empty.versions: {}"),
        ]
    )
}

/// Guards against tokens on screens and in logs of scripts, and against a changed token that is
/// not shown as changed.
#[gtest]
fn tokens_hidden() -> Result<()> {
    let shown = lines(&document("1", "old-secret"), &document("1", "new-secret"));
    expect_that!(shown, elements_are![starts_with("~ clients.labels.token: (hidden")]);
    verify_that!(shown[0], not(contains_substring("secret")))
}

/// Guards against applying a plan that was edited, or another one than was read.
#[gtest]
fn plan_checked() -> Result<()> {
    let base = revision(&document("1", "t"));
    let plan = Plan::new(&base, document("2", "t"));
    expect_that!(plan.base_revision, eq(3));
    expect_that!(plan.check(None), ok(eq(&())));
    expect_that!(plan.check(Some(&plan.digest)), ok(eq(&())));
    expect_that!(plan.check(Some("0")), err(matches_pattern!(Fault::Other { .. })));

    let edits: [fn(&mut Plan); 3] = [
        |plan| plan.base_revision = 4,
        |plan| plan.change_id.push('0'),
        |plan| plan.document = Document::default(),
    ];
    for edit in edits {
        let mut edited = plan.clone();
        edit(&mut edited);
        expect_that!(edited.check(None), err(eq(&Fault::Changed)));
    }
    let text = serde_json::to_string(&plan).or_fail()?;
    let read: Plan = serde_json::from_str(&text).or_fail()?;
    expect_that!(read.check(Some(&plan.digest)), ok(eq(&())));

    // Two plans are two changes even when they are equal otherwise.
    let other = Plan::new(&base, document("2", "t"));
    verify_that!(other.change_id, not(eq(&plan.change_id)))
}

/// Guards against a base that this program does not understand being shown as empty.
#[gtest]
fn unknown_base() -> Result<()> {
    let mut base = revision(&document("1", "t"));
    base.document = json!({ "colours": {} });
    expect_that!(
        differences(&base, &document("1", "t")),
        err(matches_pattern!(Fault::Base(contains_substring("colours"))))
    );
    base.document = Value::Null;
    verify_that!(differences(&base, &Document::default()), ok(is_empty()))
}

/// Guards against one key for different jobs, and against different keys for one job.
#[gtest]
fn job_keys() -> Result<()> {
    expect_that!(job_key("lm", b"{}"), eq(&job_key("lm", b"{}")));
    expect_that!(job_key("lm", b"{}"), not(eq(&job_key("lm", b"{} "))));
    verify_that!(job_key("lm", b"x{}"), not(eq(&job_key("lmx", b"{}"))))
}
