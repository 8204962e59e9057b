//! Validation of a document.

use std::collections::BTreeMap;

use displaydoc::Display;

use crate::document::{Client, Deployment, Document, Kind};

/// Longest name of an entry.
pub const NAME_BYTES: usize = 63;

/// Service name of daemons in the platform's list of vms, which no deployment may have.
const DAEMONS: &str = "cyclamengrade";

/// What a name consists of. Names are parts of table keys and paths (`/`), of loaded models
/// (`model@version+adapter`) and of limits (`*`).
const NAME: &str = "1 to 63 letters, digits, hyphens, underscores and dots";

/// A reason why a document is not acceptable.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
    /// {path} has a name that is not acceptable; write {expected}
    BadName {
        /// Path of the entry or value.
        path: String,
        /// What to write instead.
        expected: &'static str,
    },
    /// deployments.{deployment}.{field} must be {expected}
    BadDeployment {
        /// Name of the deployment.
        deployment: String,
        /// Name of the field.
        field: &'static str,
        /// What to write instead.
        expected: &'static str,
    },
    /// models.{model}.versions.{version}.weights must be a non-empty string
    NoWeights {
        /// Name of the model.
        model: String,
        /// Name of the version.
        version: String,
    },
    /// deployments.{deployment}.{field} is required for kind model
    MissingField {
        /// Name of the deployment.
        deployment: String,
        /// Name of the missing field.
        field: &'static str,
    },
    /// deployments.{deployment}.model names "{model}", which is not in models
    UnknownModel {
        /// Name of the deployment.
        deployment: String,
        /// Name that does not exist.
        model: String,
    },
    /// deployments.{deployment}.version names "{version}", which is not a version of "{model}"
    UnknownVersion {
        /// Name of the deployment.
        deployment: String,
        /// Name of the model.
        model: String,
        /// Version that does not exist.
        version: String,
    },
    /// clients.{client}.{field} must be {expected}
    BadClient {
        /// Name of the client.
        client: String,
        /// Path of the field within the client.
        field: String,
        /// What to write instead.
        expected: &'static str,
    },
    /// clients.{first} and clients.{second} have the same token
    SharedToken {
        /// One client.
        first: String,
        /// The other client.
        second: String,
    },
    /// clients.{client}.limits names "{deployment}", which is not in deployments
    UnknownDeployment {
        /// Name of the client.
        client: String,
        /// Deployment that does not exist.
        deployment: String,
    },
}

impl std::error::Error for Problem {}

impl Document {
    /// All reasons why the document is not acceptable; empty when it is.
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
                problems.push(Problem::BadName { path, expected: NAME });
            }
        }
        if self.deployments.contains_key(DAEMONS) {
            problems.push(Problem::BadName {
                path: format!("deployments.{DAEMONS}"),
                expected: "another name, because the daemons have this one",
            });
        }
    }

    fn check_models(&self, problems: &mut Vec<Problem>) {
        for (name, model) in &self.models {
            for (version, content) in &model.versions {
                if !is_name(version) {
                    let path = format!("models.{name}.versions.{version}");
                    problems.push(Problem::BadName { path, expected: NAME });
                }
                if content.weights.is_empty() {
                    let (model, version) = (name.clone(), version.clone());
                    problems.push(Problem::NoWeights { model, version });
                }
            }
        }
    }

    fn check_deployment(&self, name: &str, deployment: &Deployment, problems: &mut Vec<Problem>) {
        let mut bad = |field, expected| {
            let deployment = name.to_string();
            problems.push(Problem::BadDeployment { deployment, field, expected });
        };
        if deployment.first_token_ms == 0 {
            bad("first_token_ms", "a whole number above 0");
        }
        if deployment.between_tokens_ms == 0 {
            bad("between_tokens_ms", "a whole number above 0");
        }
        if deployment.kind == Kind::Service {
            let absent = "absent for kind service";
            if deployment.model.is_some() {
                bad("model", absent);
            }
            if deployment.version.is_some() {
                bad("version", absent);
            }
            if !deployment.adapters.is_empty() {
                bad("adapters", absent);
            }
            return;
        }
        for adapter in deployment.adapters.iter().filter(|adapter| !is_name(adapter)) {
            let path = format!("deployments.{name}.adapters: {adapter}");
            problems.push(Problem::BadName { path, expected: NAME });
        }
        problems.extend(self.unresolved(name, deployment));
    }

    /// The reason why a deployment's model and version do not exist.
    fn unresolved(&self, name: &str, deployment: &Deployment) -> Option<Problem> {
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
                problems.push(Problem::SharedToken { first: first.clone(), second: name.clone() });
            }
        }
    }

    fn check_client(&self, name: &str, client: &Client, problems: &mut Vec<Problem>) {
        let mut bad = |field: String, expected| {
            problems.push(Problem::BadClient { client: name.into(), field, expected });
        };
        // A token is sent in a header, which takes visible ASCII only.
        if client.token.is_empty() || !client.token.bytes().all(|byte| byte.is_ascii_graphic()) {
            bad("token".into(), "a non-empty string of visible ASCII without spaces");
        }
        if !(1..=1000).contains(&client.weight) {
            bad("weight".into(), "a whole number from 1 to 1000");
        }
        for (deployment, limit) in &client.limits {
            if limit.requests_per_s.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
                bad(format!("limits.{deployment}.requests_per_s"), "a number above 0");
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
    (1..=NAME_BYTES).contains(&text.len())
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        // These two are relative paths.
        && !matches!(text, "." | "..")
}
