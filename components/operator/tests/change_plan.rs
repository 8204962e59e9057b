//! Checks of plans, and the differences between documents that a plan shows.
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

fn difference_lines(base: &Document, new: &Document) -> Vec<String> {
    differences(&revision(base), new).unwrap().iter().map(ToString::to_string).collect()
}

/// Guards against missing a difference, and against showing a whole entry for a changed value.
#[gtest]
fn values_shown() -> Result<()> {
    let (old, mut new) = (document("1", "t"), document("2", "t"));
    expect_that!(difference_lines(&old, &old), is_empty());
    expect_that!(
        difference_lines(&old, &new),
        elements_are![eq("~ deployments.lm.version: 1 -> 2")]
    );
    new.clients.clear();
    new.models.insert("empty".into(), Model::new());
    verify_that!(
        difference_lines(&old, &new),
        elements_are![
            eq("- clients.labels.limits.*.requests_per_s: 2.5"),
            starts_with("- clients.labels.token: (hidden, digest "),
            eq("- clients.labels.weight: 1"),
            eq("~ deployments.lm.version: 1 -> 2"),
            eq("+ models.empty.versions: {}"),
        ]
    )
}

/// Guards against printing tokens to terminals and logs, and against not showing that a token
/// changed.
#[gtest]
fn tokens_hidden() -> Result<()> {
    let shown = difference_lines(&document("1", "old-secret"), &document("1", "new-secret"));
    expect_that!(shown, elements_are![starts_with("~ clients.labels.token: (hidden")]);
    verify_that!(shown[0], not(contains_substring("secret")))
}

/// Guards against applying a plan that was edited, or a plan other than the reviewed one.
#[gtest]
fn plan_checked() -> Result<()> {
    let base = revision(&document("1", "t"));
    let plan = Plan::new(&base, document("2", "t"));
    expect_that!(plan.base_revision, eq(3));
    expect_that!(plan.check(None), ok(eq(&())));
    expect_that!(plan.check(Some(&plan.digest)), ok(eq(&())));
    expect_that!(plan.check(Some("0")), err(matches_pattern!(Fault::DigestMismatch { .. })));

    let edits: [fn(&mut Plan); 3] = [
        |plan| plan.base_revision = 4,
        |plan| plan.change_id.push('0'),
        |plan| plan.document = Document::default(),
    ];
    for edit in edits {
        let mut edited = plan.clone();
        edit(&mut edited);
        expect_that!(edited.check(None), err(eq(&Fault::Modified)));
    }
    let text = serde_json::to_string(&plan).or_fail()?;
    let read: Plan = serde_json::from_str(&text).or_fail()?;
    expect_that!(read.check(Some(&plan.digest)), ok(eq(&())));

    // Two plans with the same content are two changes.
    let other = Plan::new(&base, document("2", "t"));
    verify_that!(other.change_id, not(eq(&plan.change_id)))
}

/// Guards against treating a base with unknown fields as an empty document.
#[gtest]
fn unknown_base() -> Result<()> {
    let mut base = revision(&document("1", "t"));
    base.document = json!({ "colours": {} });
    expect_that!(
        differences(&base, &document("1", "t")),
        err(matches_pattern!(Fault::UnknownBase(contains_substring("colours"))))
    );
    base.document = Value::Null;
    verify_that!(differences(&base, &Document::default()), ok(is_empty()))
}

/// Guards against equal keys for different jobs, and against different keys for the same job.
#[gtest]
fn job_keys() -> Result<()> {
    expect_that!(job_key("lm", b"{}"), eq(&job_key("lm", b"{}")));
    expect_that!(job_key("lm", b"{}"), not(eq(&job_key("lm", b"{} "))));
    verify_that!(job_key("lm", b"x{}"), not(eq(&job_key("lmx", b"{}"))))
}
