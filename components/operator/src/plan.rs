//! Plans: a change that can be read and checked before it is accepted.

use std::{
    collections::{BTreeMap, hash_map::RandomState},
    fmt,
    hash::{BuildHasher, Hasher},
};

use cyclamengrade_caller::backend::Revision;
use cyclamengrade_configuration::Document;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use siphasher::sip128::{Hasher128, SipHasher13};

/// A change of the configuration, based on one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Revision on which the change is based.
    pub base_revision: u64,
    /// Identifier of the change; the same identifier takes effect once.
    pub change_id: String,
    /// Digest of base revision, identifier and document.
    pub digest: String,
    /// The whole new document.
    pub document: Document,
}

/// Why a plan cannot be made or applied.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum Fault {
    /// the document in force is not understood by this program: {0}
    Base(String),
    /// the plan was changed after it was made; make it again with config plan
    Changed,
    /// the plan has digest {found}, not {expected}; make it again and read it
    Other {
        /// Digest that was asked for.
        expected: String,
        /// Digest of the plan.
        found: String,
    },
}

impl std::error::Error for Fault {}

impl Plan {
    /// A plan that turns the configuration in force into `document`.
    pub fn new(base: &Revision, document: Document) -> Self {
        let change_id = identifier();
        let digest = digest(base.revision, &change_id, &document);
        Self { base_revision: base.revision, change_id, digest, document }
    }

    /// Checks that the plan is the one that was made and, when `expected` is given, shown.
    ///
    /// # Errors
    ///
    /// The plan was changed or is another one.
    pub fn check(&self, expected: Option<&str>) -> Result<(), Fault> {
        if digest(self.base_revision, &self.change_id, &self.document) != self.digest {
            return Err(Fault::Changed);
        }
        match expected {
            Some(expected) if expected != self.digest => {
                Err(Fault::Other { expected: expected.into(), found: self.digest.clone() })
            }
            _ => Ok(()),
        }
    }
}

/// What happens to one value.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Path with dots between sections.
    pub path: String,
    /// Value before; absent when it is added.
    pub old: Option<String>,
    /// Value after; absent when it is removed.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { path, old, new } = self;
        match (old, new) {
            (Some(old), Some(new)) => write!(f, "~ {path}: {old} -> {new}"),
            (None, Some(new)) => write!(f, "+ {path}: {new}"),
            (Some(old), None) => write!(f, "- {path}: {old}"),
            (None, None) => write!(f, "  {path}"),
        }
    }
}

/// The values that differ between the configuration in force and `new`, in order of path. Tokens
/// of clients are replaced by a short digest.
///
/// # Errors
///
/// The document in force does not have the shape that this program knows.
pub fn differences(base: &Revision, new: &Document) -> Result<Vec<Difference>, Fault> {
    let old: Document = match &base.document {
        Value::Null => Document::default(),
        value => {
            serde_json::from_value(value.clone()).map_err(|cause| Fault::Base(cause.to_string()))?
        }
    };
    let (old, new) = (flat(&old), flat(new));
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    Ok(paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Difference {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect())
}

fn flat(document: &Document) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    // A document always has a JSON form; its numbers are finite.
    flatten("", &serde_json::to_value(document).unwrap_or_default(), &mut values);
    values
}

fn flatten(path: &str, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(object) if !object.is_empty() => {
            for (name, value) in object {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, value, values);
            }
        }
        // Empty sections carry no setting, but a model without versions is an entry.
        Value::Object(_) if !path.starts_with("models.") => {}
        Value::String(token) if path.starts_with("clients.") && path.ends_with(".token") => {
            values.insert(path.into(), format!("(hidden, digest {})", &hash(&[token])[..8]));
        }
        Value::String(text) => {
            values.insert(path.into(), text.clone());
        }
        other => {
            values.insert(path.into(), other.to_string());
        }
    }
}

fn digest(base_revision: u64, change_id: &str, document: &Document) -> String {
    let document = serde_json::to_string(document).unwrap_or_default();
    hash(&[&base_revision.to_string(), change_id, &document])[..16].into()
}

/// Key under which the same input for the same deployment is the same job.
pub fn job_key(deployment: &str, input: &[u8]) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write_usize(deployment.len());
    hasher.write(deployment.as_bytes());
    hasher.write(input);
    format!("{:032x}", hasher.finish128().as_u128())
}

/// Digest of texts as 32 hexadecimal digits; detects mistakes, not forgery.
fn hash(texts: &[&str]) -> String {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write_u64(text.len() as u64);
        hasher.write(text.as_bytes());
    }
    format!("{:032x}", hasher.finish128().as_u128())
}

/// A random identifier. `RandomState` takes its keys from the operating system.
fn identifier() -> String {
    let word = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", word(), word())
}
