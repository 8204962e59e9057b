//! JSON schema of the document, for programs that build documents in other languages.

use serde_json::{Value, json};

use crate::{Deployment, MAX_NAME_BYTES};

/// Returns the JSON schema (draft 2020-12) of the document.
///
/// The schema states types, ranges and the form of names. Only [`crate::Document::problems`] checks
/// that a reference names an entry that exists.
pub fn schema() -> Value {
    json!({
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "cyclamengrade configuration",
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "deployments": entries("What callers address.", "deployment"),
            "models": entries("Models that deployments may serve.", "model"),
            "clients": entries("Client accounts.", "client"),
        },
        "$defs": {
            "name": {
                "type": "string",
                "pattern": format!("^[A-Za-z0-9._-]{{1,{MAX_NAME_BYTES}}}$"),
            },
            "deployment": deployment(),
            "model": model(),
            "client": client(),
            "limit": limit(),
        },
    })
}

/// Returns the schema of an object with any number of named entries, all with the given definition.
fn entries(description: &str, definition: &str) -> Value {
    json!({
        "type": "object",
        "description": description,
        "propertyNames": { "$ref": "#/$defs/name" },
        "additionalProperties": { "$ref": format!("#/$defs/{definition}") },
    })
}

fn deployment() -> Value {
    let defaults = Deployment::service();
    json!({
        "type": "object",
        "additionalProperties": false,
        "required": ["kind"],
        "properties": {
            "kind": {
                "enum": ["model", "service"],
                "description": "Whether the upstreams are model engines or plain services.",
            },
            "model": {
                "$ref": "#/$defs/name",
                "description": "Name of the model; required for kind model, absent for service.",
            },
            "version": {
                "$ref": "#/$defs/name",
                "description": "Version of the model; required for kind model, absent for service.",
            },
            "adapters": {
                "type": "array",
                "items": { "$ref": "#/$defs/name" },
                "default": [],
                "description": "Adapters that the upstreams load beside the model.",
            },
            "idempotent": {
                "type": "boolean",
                "default": defaults.idempotent,
                "description": "Whether requests are idempotent unless the caller says otherwise.",
            },
            "fencing": {
                "enum": ["checked", "ignored"],
                "default": defaults.fencing,
                "description": "Whether the upstreams refuse an order with an old fencing number.",
            },
            "first_token_ms": {
                "type": "integer",
                "minimum": 1,
                "maximum": u32::MAX,
                "default": defaults.first_token_ms,
                "description": "Target for the time to first token, in milliseconds.",
            },
            "between_tokens_ms": {
                "type": "integer",
                "minimum": 1,
                "maximum": u32::MAX,
                "default": defaults.between_tokens_ms,
                "description": "Target for the time between two tokens, in milliseconds.",
            },
        },
    })
}

fn model() -> Value {
    json!({
        "type": "object",
        "additionalProperties": false,
        "properties": {
            "versions": {
                "type": "object",
                "description": "Versions by name.",
                "propertyNames": { "$ref": "#/$defs/name" },
                "additionalProperties": {
                    "type": "object",
                    "additionalProperties": false,
                    "required": ["weights"],
                    "properties": {
                        "weights": {
                            "type": "string",
                            "minLength": 1,
                            "description": "Key of the weights in the weight store.",
                        },
                    },
                },
            },
        },
    })
}

fn client() -> Value {
    json!({
        "type": "object",
        "additionalProperties": false,
        "required": ["token"],
        "properties": {
            "token": {
                "type": "string",
                "pattern": "^[!-~]+$",
                "description": "Bearer token that the client's callers present.",
            },
            "weight": {
                "type": "integer",
                "minimum": 1,
                "maximum": 1000,
                "default": 1,
                "description": "Share of batch capacity relative to other clients.",
            },
            "limits": {
                "type": "object",
                "description":
                    "Limits by deployment; * stands for every deployment without an own entry.",
                "additionalProperties": { "$ref": "#/$defs/limit" },
            },
        },
    })
}

fn limit() -> Value {
    json!({
        "type": "object",
        "description": "Limits over the whole fleet; an absent one means unlimited.",
        "additionalProperties": false,
        "properties": {
            "requests_per_s": {
                "type": "number",
                "exclusiveMinimum": 0,
                "description": "Online requests a second.",
            },
            "concurrent_requests": {
                "type": "integer",
                "minimum": 0,
                "maximum": u32::MAX,
                "description": "Online requests in flight.",
            },
            "open_jobs": {
                "type": "integer",
                "minimum": 0,
                "maximum": u32::MAX,
                "description": "Open batch jobs.",
            },
        },
    })
}
