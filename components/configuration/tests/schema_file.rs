//! Agreement of the JSON schema with the types, the published file and the example documents.
#![allow(clippy::unwrap_used, clippy::panic)]

use std::{fs, path::PathBuf};

use cyclamengrade_configuration::{Client, Deployment, Document, Fencing, Limit, Model, schema};
use googletest::prelude::*;
use serde_json::{Value, json};

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Appends the violations of `rule` by `value` to `found`. Covers the keywords of types, choices,
/// ranges, items and properties, and neither `pattern`, `minLength` nor `propertyNames`.
fn violations(rule: &Value, value: &Value, path: &str, found: &mut Vec<String>) {
    let schema = schema();
    if let Some(reference) = rule["$ref"].as_str() {
        let target = schema.pointer(reference.trim_start_matches('#')).unwrap();
        violations(target, value, path, found);
    }
    if rule["enum"].as_array().is_some_and(|choices| !choices.contains(value)) {
        found.push(format!("{path}: not one of the choices"));
    }
    let type_matches = match rule["type"].as_str() {
        None => true,
        Some("object") => value.is_object(),
        Some("array") => value.is_array(),
        Some("string") => value.is_string(),
        Some("boolean") => value.is_boolean(),
        Some("integer") => value.is_u64() || value.is_i64(),
        Some("number") => value.is_number(),
        Some(other) => panic!("unknown type in the schema: {other}"),
    };
    if !type_matches {
        found.push(format!("{path}: wrong type"));
    }
    let number = value.as_f64();
    let is_below = |bound: &Value| bound.as_f64().zip(number).is_some_and(|(bound, n)| n < bound);
    let is_above = |bound: &Value| bound.as_f64().zip(number).is_some_and(|(bound, n)| n > bound);
    let equals_exclusive_minimum =
        rule["exclusiveMinimum"].as_f64().is_some_and(|bound| number == Some(bound));
    if is_below(&rule["minimum"])
        || is_below(&rule["exclusiveMinimum"])
        || equals_exclusive_minimum
        || is_above(&rule["maximum"])
    {
        found.push(format!("{path}: out of range"));
    }
    for item in value.as_array().into_iter().flatten() {
        violations(&rule["items"], item, path, found);
    }
    let Some(object) = value.as_object() else { return };
    for required in rule["required"].as_array().into_iter().flatten() {
        if !object.contains_key(required.as_str().unwrap()) {
            found.push(format!("{path}: {required} is missing"));
        }
    }
    for (name, inner) in object {
        let path = format!("{path}.{name}");
        match (&rule["properties"][name], &rule["additionalProperties"]) {
            (Value::Null, Value::Bool(false)) => found.push(format!("{path}: unknown")),
            (Value::Null, others) => violations(others, inner, &path, found),
            (rule, _) => violations(rule, inner, &path, found),
        }
    }
}

fn check(value: &Value) -> Vec<String> {
    let mut found = Vec::new();
    violations(&schema(), value, "", &mut found);
    found
}

/// Guards against a published schema file that differs from the schema in the code.
#[gtest]
fn file_current() -> Result<()> {
    let text = fs::read_to_string(root().join("docs/config.schema.json")).or_fail()?;
    let file: Value = serde_json::from_str(&text).or_fail()?;
    verify_that!(file, eq(&schema()))
}

/// Guards against a field of the types that the schema refuses, a property that the types lack, and
/// a default that differs.
#[gtest]
fn fields_known() -> Result<()> {
    let limit = Limit::new().with_requests_per_s(0.5).with_concurrent_requests(1).with_open_jobs(1);
    let mut document = Document::default();
    document.models.insert("m".into(), Model::new().with_version("1", "w"));
    document.deployments.insert(
        "d".into(),
        Deployment::model("m", "1").with_adapter("a").with_fencing(Fencing::Checked),
    );
    document.clients.insert("c".into(), Client::new("t").with_limit("d", limit));
    let full = serde_json::to_value(&document).or_fail()?;
    expect_that!(check(&full), is_empty());

    // The written document has exactly the properties of the schema.
    for (definition, pointer) in [
        ("deployment", "/deployments/d"),
        ("model", "/models/m"),
        ("client", "/clients/c"),
        ("limit", "/clients/c/limits/d"),
    ] {
        let mut known: Vec<_> = schema()["$defs"][definition]["properties"]
            .as_object()
            .or_fail()?
            .keys()
            .cloned()
            .collect();
        known.sort();
        let mut written: Vec<_> =
            full.pointer(pointer).or_fail()?.as_object().or_fail()?.keys().cloned().collect();
        written.sort();
        expect_that!(written, eq(&known), "{definition}");
    }

    let minimal = json!({ "deployments": { "d": { "kind": "service" } }, "clients": { "c": { "token": "t" } } });
    let read: Document = serde_json::from_value(minimal).or_fail()?;
    let written = serde_json::to_value(&read).or_fail()?;
    for (definition, pointer) in [("deployment", "/deployments/d"), ("client", "/clients/c")] {
        let properties = &schema()["$defs"][definition]["properties"];
        for (name, rule) in properties.as_object().or_fail()? {
            let Some(default) = rule.get("default") else { continue };
            let value = written.pointer(&format!("{pointer}/{name}"));
            // An empty list is left out of the written document.
            expect_that!(value.unwrap_or(&json!([])), eq(default), "{definition}.{name}");
        }
    }
    Ok(())
}

/// Guards against a schema that accepts documents that the types or their validation refuse.
#[gtest]
fn shape_refused() -> Result<()> {
    for value in [
        json!({ "deployment": {} }),
        json!({ "deployments": { "a": {} } }),
        json!({ "deployments": { "a": { "kind": "engine" } } }),
        json!({ "deployments": { "a": { "kind": "service", "colour": 1 } } }),
        json!({ "deployments": { "a": { "kind": "service", "first_token_ms": 0 } } }),
        json!({ "clients": { "a": { "token": "t", "weight": 1001 } } }),
        json!({ "clients": { "a": { "token": "t", "limits": { "*": { "requests_per_s": 0 } } } } }),
        json!({ "models": { "m": { "versions": { "1": {} } } } }),
    ] {
        expect_that!(check(&value).len(), eq(1), "{value}");
    }
    Ok(())
}

/// Guards against example documents that a daemon refuses.
#[gtest]
fn examples_accepted() -> Result<()> {
    for (site, deployments) in
        [("tessiture", ["magazzino-app", "telaio-lm"]), ("himal", ["print-relay", "wording-llm"])]
    {
        let path = root().join("examples").join(site).join("config.json");
        let text = fs::read_to_string(path).or_fail()?;
        let document: Document = serde_json::from_str(&text).or_fail()?;
        expect_that!(document.problems(), is_empty());
        expect_that!(document.deployments.keys().collect::<Vec<_>>(), eq(&deployments));
        expect_that!(check(&serde_json::from_str(&text).or_fail()?), is_empty());
    }
    Ok(())
}
