//! Types of the configuration document.

use std::{collections::BTreeMap, hash::Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::unique;

/// Configuration of the whole fleet, as operators write it.
///
/// Unknown fields and duplicate names are refused when a document is read. References between
/// entries are checked by [`Document::problems`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Deployments, which callers address by name.
    #[serde(deserialize_with = "unique::map")]
    pub deployments: BTreeMap<String, Deployment>,
    /// Models that deployments may serve, by name.
    #[serde(deserialize_with = "unique::map")]
    pub models: BTreeMap<String, Model>,
    /// Client accounts by name.
    #[serde(deserialize_with = "unique::map")]
    pub clients: BTreeMap<String, Client>,
}

/// Set of upstreams that serve one version of a model or one plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Whether the upstreams are model engines or plain services.
    pub kind: Kind,
    /// Name of an entry of `models`. Required for kind `model`, absent for kind `service`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// Name of a version of the model. Required for kind `model`, absent for kind `service`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Names of adapters that the upstreams load beside the model. Empty for kind `service`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
    /// Whether requests are idempotent, so that they may be repeated, unless the caller says
    /// otherwise. Default: `true`.
    #[serde(default = "enabled")]
    pub idempotent: bool,
    /// Whether the upstreams check the fencing number of an order. Default: ignored.
    #[serde(default)]
    pub fencing: Fencing,
    /// Target for the time to first token, in milliseconds, above 0.
    #[serde(default = "Deployment::default_first_token_ms")]
    pub first_token_ms: u32,
    /// Target for the time between two tokens, in milliseconds, above 0.
    #[serde(default = "Deployment::default_between_tokens_ms")]
    pub between_tokens_ms: u32,
}

impl Deployment {
    /// Creates a deployment of model engines that serve `version` of `model`, with default values and
    /// without adapters.
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

    /// Creates a deployment of a plain service with default values.
    pub fn service() -> Self {
        Self { kind: Kind::Service, model: None, version: None, ..Self::model("", "") }
    }

    /// Sets whether requests are idempotent unless the caller says otherwise.
    pub fn with_idempotent(self, idempotent: bool) -> Self {
        Self { idempotent, ..self }
    }

    /// Sets how the upstreams treat fencing numbers.
    pub fn with_fencing(self, fencing: Fencing) -> Self {
        Self { fencing, ..self }
    }

    /// Adds the name of an adapter that the upstreams load beside the model.
    pub fn with_adapter(mut self, adapter: impl Into<String>) -> Self {
        self.adapters.push(adapter.into());
        self
    }

    /// Sets the targets for the time to first token and the time between two tokens, in
    /// milliseconds, both above 0.
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

/// Kind of the upstreams of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines, which serve a version of a model.
    Model,
    /// A plain service, to which requests are forwarded without a model.
    Service,
}

/// How upstreams treat the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Upstreams refuse an order with an old number.
    Checked,
    /// Upstreams ignore the number.
    #[default]
    Ignored,
}

/// Model that deployments may serve.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Model {
    /// Versions of the model, by name.
    #[serde(deserialize_with = "unique::map")]
    pub versions: BTreeMap<String, Version>,
}

impl Model {
    /// Creates a model without versions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a version. `weights` is the key of its weights in the weight store and must not be empty.
    pub fn with_version(mut self, name: impl Into<String>, weights: impl Into<String>) -> Self {
        self.versions.insert(name.into(), Version { weights: weights.into() });
        self
    }
}

/// Version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Key of the weights in the weight store; not empty.
    pub weights: String,
}

/// Account of a client, under which its callers send requests and submit batch jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Bearer token that the callers of the client send: visible ASCII without spaces, not empty, and
    /// different from the tokens of the other clients.
    pub token: String,
    /// Share of batch capacity relative to other clients, from 1 to 1000. Default: 1.
    #[serde(default = "Client::default_weight")]
    pub weight: u32,
    /// Limits by name of the deployment. The entry `*` applies to every deployment without an entry of
    /// its own.
    #[serde(default, deserialize_with = "unique::map")]
    pub limits: BTreeMap<String, Limit>,
}

impl Client {
    /// Creates a client with the given bearer token, weight 1 and no limits.
    pub fn new(token: impl Into<String>) -> Self {
        Self { token: token.into(), weight: Self::default_weight(), limits: BTreeMap::new() }
    }

    /// Sets the limit for one deployment, or with `*` for every deployment without a limit of its own.
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

/// Limits of one client for one deployment. They apply to the sum over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limit {
    /// Online requests per second, above 0; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Online requests in flight at a time; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Open batch jobs at a time; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_jobs: Option<u32>,
}

impl Limit {
    /// Creates a limit that restricts nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Limits online requests per second. The rate must be above 0.
    pub fn with_requests_per_s(self, requests_per_s: f64) -> Self {
        Self { requests_per_s: Some(requests_per_s), ..self }
    }

    /// Limits online requests in flight at a time.
    pub fn with_concurrent_requests(self, concurrent_requests: u32) -> Self {
        Self { concurrent_requests: Some(concurrent_requests), ..self }
    }

    /// Limits open batch jobs at a time.
    pub fn with_open_jobs(self, open_jobs: u32) -> Self {
        Self { open_jobs: Some(open_jobs), ..self }
    }
}

impl Document {
    /// Returns the digest of the canonical JSON form as 16 hexadecimal digits (SipHash-1-3 with a zero
    /// key).
    ///
    /// The digest detects corrupted and mismatched documents. It does not protect against forgery.
    pub fn digest(&self) -> String {
        let mut hasher = SipHasher13::new();
        hasher.write(&serde_json::to_vec(self).unwrap_or_default());
        format!("{:016x}", hasher.finish())
    }
}

const fn enabled() -> bool {
    true
}
