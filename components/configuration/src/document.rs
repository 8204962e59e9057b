//! Types of the configuration document.

use std::{collections::BTreeMap, hash::Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::unique;

/// Everything that operators configure for the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// What callers address, by name.
    #[serde(deserialize_with = "unique::map")]
    pub deployments: BTreeMap<String, Deployment>,
    /// Models that deployments may serve, by name.
    #[serde(deserialize_with = "unique::map")]
    pub models: BTreeMap<String, Model>,
    /// Client accounts, by name.
    #[serde(deserialize_with = "unique::map")]
    pub clients: BTreeMap<String, Client>,
}

/// A set of upstreams that serve one model or one plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Whether the upstreams are model engines or plain services.
    pub kind: Kind,
    /// Name of the model; required for kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Version of the model; required for kind `model`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapters that the upstreams load beside the model.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
    /// Whether requests are idempotent unless the caller says otherwise.
    #[serde(default = "enabled")]
    pub idempotent: bool,
    /// Whether the upstreams check the fencing number of an order.
    #[serde(default)]
    pub fencing: Fencing,
    /// Target for the time to first token, in milliseconds.
    #[serde(default = "Deployment::default_first_token_ms")]
    pub first_token_ms: u32,
    /// Target for the time between two tokens, in milliseconds.
    #[serde(default = "Deployment::default_between_tokens_ms")]
    pub between_tokens_ms: u32,
}

impl Deployment {
    /// A deployment of model engines.
    pub fn model(model: impl Into<String>, version: impl Into<String>) -> Self {
        Self {
            kind: Kind::Model,
            model: Some(model.into()),
            version: Some(version.into()),
            adapters: Vec::new(),
            idempotent: true,
            fencing: Fencing::default(),
            first_token_ms: Self::default_first_token_ms(),
            between_tokens_ms: Self::default_between_tokens_ms(),
        }
    }

    /// A deployment of a plain service.
    pub fn service() -> Self {
        Self { kind: Kind::Service, model: None, version: None, ..Self::model("", "") }
    }

    /// Sets whether requests are idempotent by default.
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent, ..self }
    }

    /// Sets how the upstreams treat fencing numbers.
    pub fn with_fencing(self, fencing: Fencing) -> Self {
        Self { fencing, ..self }
    }

    /// Adds an adapter that the upstreams load beside the model.
    pub fn with_adapter(mut self, adapter: impl Into<String>) -> Self {
        self.adapters.push(adapter.into());
        self
    }

    /// Sets the targets for the time to first token and the time between two tokens, in
    /// milliseconds.
    pub fn with_targets_ms(self, first_token_ms: u32, between_tokens_ms: u32) -> Self {
        Self { first_token_ms, between_tokens_ms, ..self }
    }

    const fn default_first_token_ms() -> u32 {
        2_000
    }

    const fn default_between_tokens_ms() -> u32 {
        79
    }
}

/// Kind of a deployment's upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// How upstreams treat the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// An order with an old number is refused.
    Checked,
    /// The number is ignored.
    #[default]
    Ignored,
}

/// A model with its versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Versions by name.
    #[serde(deserialize_with = "unique::map")]
    pub versions: BTreeMap<String, Version>,
}

impl Model {
    /// A model without versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a version with the key of its weights in the weight store.
    pub fn with_version(mut self, name: impl Into<String>, weights: impl Into<String>) -> Self {
        self.versions.insert(name.into(), Version { weights: weights.into() });
        self
    }
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Key of the weights in the weight store.
    pub weights: String,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Bearer token that the client's callers present.
    pub token: String,
    /// Share of batch capacity relative to other clients, from 1 to 1000.
    #[serde(default = "Client::default_weight")]
    pub weight: u32,
    /// Limits by deployment; `*` stands for every deployment without an own entry.
    #[serde(default, deserialize_with = "unique::map")]
    pub limits: BTreeMap<String, Limit>,
}

impl Client {
    /// A client with the given bearer token, weight 1 and no limits.
    pub fn new(token: impl Into<String>) -> Self {
        Self { token: token.into(), weight: Self::default_weight(), limits: BTreeMap::new() }
    }

    /// Adds a limit for one deployment, or for `*`.
    pub fn with_limit(mut self, deployment: impl Into<String>, limit: Limit) -> Self {
        self.limits.insert(deployment.into(), limit);
        self
    }

    /// Sets the share of batch capacity relative to other clients, from 1 to 1000.
    pub fn with_weight(self, weight: u32) -> Self {
        Self { weight, ..self }
    }

    const fn default_weight() -> u32 {
        1
    }
}

/// Limits of one client at one deployment, over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Online requests a second; absent means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Online requests in flight; absent means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Open batch jobs; absent means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_jobs: Option<u32>,
}

impl Limit {
    /// A limit that restricts nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits online requests a second.
    pub fn with_requests_per_s(self, requests_per_s: f64) -> Self {
        Self { requests_per_s: Some(requests_per_s), ..self }
    }

    /// Limits online requests in flight.
    pub fn with_concurrent_requests(self, concurrent_requests: u32) -> Self {
        Self { concurrent_requests: Some(concurrent_requests), ..self }
    }

    /// Limits open batch jobs.
    pub fn with_open_jobs(self, open_jobs: u32) -> Self {
        Self { open_jobs: Some(open_jobs), ..self }
    }
}

impl Document {
    /// Digest of the canonical JSON form, as 16 hexadecimal digits (SipHash-1-3, zero key).
    ///
    /// Detects corruption and mismatched documents; it is no protection against forgery.
    pub fn digest(&self) -> String {
        let mut hasher = SipHasher13::new();
        hasher.write(&serde_json::to_vec(self).unwrap_or_default());
        format!("{:016x}", hasher.finish())
    }
}

const fn enabled() -> bool {
    true
}
