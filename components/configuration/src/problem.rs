//! Validation of a document beyond its types: names, ranges, and references between entries.

use std::collections::BTreeMap;

use displaydoc::Display;

use crate::document::{Client, Deployment, Document, Kind};

/// Length of the longest name of an entry, a version or an adapter, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Service name of daemons in the platform's list of vms. No deployment may have this name.
const DAEMON_SERVICE: &str = "cyclamengrade";

/// Valid form of a name. The excluded characters have a meaning elsewhere: `/` separates the parts of
/// table keys and paths, `@` and `+` the parts of loaded models (`model@version+adapter`), and `*`
/// stands for all deployments in limits.
const NAME_FORM: &str = "1 to 63 letters, digits, hyphens, underscores and dots";

/// Reason why a document is refused. The `Display` form states the path and what to write instead.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// {path} has an invalid name; write {expected}
    InvalidName {
        /// Path of the entry or value, with dots between sections.
        path: String,
        /// Form of a valid value, as a continuation of the message.
        expected: &'static str,
    },
    /// deployments.{deployment}.{field} must be {expected}
    InvalidDeployment {
        /// Name of the deployment.
        deployment: String,
        /// Name of the invalid field.
        field: &'static str,
        /// Form of a valid value, as a continuation of the message.
        expected: &'static str,
    },
    /// models.{model}.versions.{version}.weights must be a non-empty string
    EmptyWeights {
        /// Name of the model.
        model: String,
        /// Name of the version.
        version: String,
    },
    /// deployments.{deployment}.{field} is required for kind model
    MissingField {
        /// Name of the deployment.
        deployment: String,
        /// Name of the missing field: `model` or `version`.
        field: &'static str,
    },
    /// deployments.{deployment}.model names "{model}", which is not in models
    UnknownModel {
        /// Name of the deployment.
        deployment: String,
        /// Name that is not in `models`.
        model: String,
    },
    /// deployments.{deployment}.version names "{version}", which is not a version of "{model}"
    UnknownVersion {
        /// Name of the deployment.
        deployment: String,
        /// Name of the model.
        model: String,
        /// Name that is not a version of the model.
        version: String,
    },
    /// clients.{client}.{field} must be {expected}
    InvalidClient {
        /// Name of the client.
        client: String,
        /// Path of the invalid field within the client.
        field: String,
        /// Form of a valid value, as a continuation of the message.
        expected: &'static str,
    },
    /// clients.{first} and clients.{second} have the same token
    DuplicateToken {
        /// Name of the client that comes first in order of names.
        first: String,
        /// Name of the client that comes later.
        second: String,
    },
    /// clients.{client}.limits names "{deployment}", which is not in deployments
    UnknownDeployment {
        /// Name of the client.
        client: String,
        /// Name that is neither in `deployments` nor `*`.
        deployment: String,
    },
}

impl std::error::Error for Problem {}

impl Document {
    /// Returns every reason why the document is refused; empty for a valid document.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_names(&mut problems);
        self.check_models(&mut problems);
        for (name, deployment) in &self.deployments {
            self.check_deployment(name, deployment, &mut problems);
        }
        self.check_tokens(&mut problems);
        for (name, client) in &self.clients {
            self.check_client(name, client, &mut problems);
        }
        problems
    }

    fn check_names(&self, problems: &mut Vec<Problem>) {
        let sections = [
            ("deployments", self.deployments.keys().collect::<Vec<_>>()),
            ("models", self.models.keys().collect()),
            ("clients", self.clients.keys().collect()),
        ];
        for (section, names) in sections {
            for name in names.into_iter().filter(|name| !is_name(name)) {
                let path = format!("{section}.{name}");
                problems.push(Problem::InvalidName { path, expected: NAME_FORM });
            }
        }
        if self.deployments.contains_key(DAEMON_SERVICE) {
            problems.push(Problem::InvalidName {
                path: format!("deployments.{DAEMON_SERVICE}"),
                expected: "another name, because the daemons have this one",
            });
        }
    }

    fn check_models(&self, problems: &mut Vec<Problem>) {
        for (name, model) in &self.models {
            for (version, content) in &model.versions {
                if !is_name(version) {
                    let path = format!("models.{name}.versions.{version}");
                    problems.push(Problem::InvalidName { path, expected: NAME_FORM });
                }
                if content.weights.is_empty() {
                    let (model, version) = (name.clone(), version.clone());
                    problems.push(Problem::EmptyWeights { model, version });
                }
            }
        }
    }

    fn check_deployment(&self, name: &str, deployment: &Deployment, problems: &mut Vec<Problem>) {
        let mut report = |field, expected| {
            let deployment = name.to_string();
            problems.push(Problem::InvalidDeployment { deployment, field, expected });
        };
        if deployment.first_token_ms == 0 {
            report("first_token_ms", "a whole number above 0");
        }
        if deployment.between_tokens_ms == 0 {
            report("between_tokens_ms", "a whole number above 0");
        }
        if deployment.kind == Kind::Service {
            let must_be_absent = "absent for kind service";
            if deployment.model.is_some() {
                report("model", must_be_absent);
            }
            if deployment.version.is_some() {
                report("version", must_be_absent);
            }
            if !deployment.adapters.is_empty() {
                report("adapters", must_be_absent);
            }
            return;
        }
        for adapter in deployment.adapters.iter().filter(|adapter| !is_name(adapter)) {
            let path = format!("deployments.{name}.adapters: {adapter}");
            problems.push(Problem::InvalidName { path, expected: NAME_FORM });
        }
        problems.extend(self.reference_problem(name, deployment));
    }

    /// Returns the problem of the reference to a model and a version; `None` when both exist.
    fn reference_problem(&self, name: &str, deployment: &Deployment) -> Option<Problem> {
        let missing = |field| Some(Problem::MissingField { deployment: name.into(), field });
        let Some(model) = &deployment.model else { return missing("model") };
        let Some(version) = &deployment.version else { return missing("version") };
        match self.models.get(model) {
            None => Some(Problem::UnknownModel { deployment: name.into(), model: model.clone() }),
            Some(known) if known.versions.contains_key(version) => None,
            Some(_) => Some(Problem::UnknownVersion {
                deployment: name.into(),
                model: model.clone(),
                version: version.clone(),
            }),
        }
    }

    fn check_tokens(&self, problems: &mut Vec<Problem>) {
        let mut tokens = BTreeMap::new();
        for (name, client) in self.clients.iter().filter(|(_, client)| !client.token.is_empty()) {
            if let Some(first) = tokens.insert(&client.token, name) {
                problems
                    .push(Problem::DuplicateToken { first: first.clone(), second: name.clone() });
            }
        }
    }

    fn check_client(&self, name: &str, client: &Client, problems: &mut Vec<Problem>) {
        let mut report = |field: String, expected| {
            problems.push(Problem::InvalidClient { client: name.into(), field, expected });
        };
        // Callers send the token in a header, whose values are limited to visible ASCII.
        if client.token.is_empty() || !client.token.bytes().all(|byte| byte.is_ascii_graphic()) {
            report("token".into(), "a non-empty string of visible ASCII without spaces");
        }
        if !(1..=1000).contains(&client.weight) {
            report("weight".into(), "a whole number from 1 to 1000");
        }
        for (deployment, limit) in &client.limits {
            if limit.requests_per_s.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
                report(format!("limits.{deployment}.requests_per_s"), "a number above 0");
            }
        }
        for deployment in client.limits.keys() {
            if deployment != "*" && !self.deployments.contains_key(deployment) {
                problems.push(Problem::UnknownDeployment {
                    client: name.into(),
                    deployment: deployment.clone(),
                });
            }
        }
    }
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        // Both are relative segments of a path.
        && !matches!(text, "." | "..")
}
