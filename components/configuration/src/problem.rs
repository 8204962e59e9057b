//! Validation of a document.

use displaydoc::Display;

use crate::document::{Document, Kind};

/// A reason why a document is not acceptable.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Problem {
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
        self.check_deployments(&mut problems);
        self.check_clients(&mut problems);
        problems
    }

    fn check_deployments(&self, problems: &mut Vec<Problem>) {
        for (name, deployment) in &self.deployments {
            if deployment.kind == Kind::Service {
                continue;
            }
            let Some(model) = &deployment.model else {
                problems.push(Problem::MissingField { deployment: name.clone(), field: "model" });
                continue;
            };
            let Some(version) = &deployment.version else {
                problems.push(Problem::MissingField { deployment: name.clone(), field: "version" });
                continue;
            };
            match self.models.get(model) {
                None => problems
                    .push(Problem::UnknownModel { deployment: name.clone(), model: model.clone() }),
                Some(known) if !known.versions.contains_key(version) => {
                    problems.push(Problem::UnknownVersion {
                        deployment: name.clone(),
                        model: model.clone(),
                        version: version.clone(),
                    });
                }
                Some(_) => {}
            }
        }
    }

    fn check_clients(&self, problems: &mut Vec<Problem>) {
        let mut tokens = std::collections::BTreeMap::new();
        for (name, client) in &self.clients {
            if client.token.is_empty() {
                problems.push(Problem::BadClient {
                    client: name.clone(),
                    field: "token".into(),
                    expected: "a non-empty string",
                });
            } else if let Some(first) = tokens.insert(&client.token, name) {
                problems.push(Problem::SharedToken { first: first.clone(), second: name.clone() });
            }
            if !(1..=1000).contains(&client.weight) {
                problems.push(Problem::BadClient {
                    client: name.clone(),
                    field: "weight".into(),
                    expected: "a whole number from 1 to 1000",
                });
            }
            for (deployment, limit) in &client.limits {
                if deployment != "*" && !self.deployments.contains_key(deployment) {
                    problems.push(Problem::UnknownDeployment {
                        client: name.clone(),
                        deployment: deployment.clone(),
                    });
                }
                if limit.requests_per_s.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
                    problems.push(Problem::BadClient {
                        client: name.clone(),
                        field: format!("limits.{deployment}.requests_per_s"),
                        expected: "a number above 0",
                    });
                }
            }
        }
    }
}
