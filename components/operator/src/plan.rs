//! Plans: changes of the configuration that an operator reviews before they are applied.
//!
//! The digest of a plan makes sure that the plan that is applied is the one that was reviewed.

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

/// Change of the configuration, based on one revision. Plans are stored as JSON files between review
/// and application.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number of the revision on which the change is based. A daemon refuses the plan as a conflict
    /// when this is no longer the newest revision.
    pub base_revision: u64,
    /// Random identifier of the change. A change takes effect at most once, however often it is sent.
    pub change_id: String,
    /// Digest of base revision, identifier and document, as 16 hexadecimal digits.
    pub digest: String,
    /// Whole new document, which replaces the one in force.
    pub document: Document,
}

/// Reason why a plan cannot be made or applied. The `Display` form is the message for operators.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum Fault {
    /// the document in force is not understood by this program: {0}
    UnknownBase(String),
    /// the plan was changed after it was made; make it again with config plan
    Modified,
    /// the plan has digest {found}, not {expected}; make it again and read it
    DigestMismatch {
        /// Digest that the operator stated.
        expected: String,
        /// Digest of the plan.
        found: String,
    },
}

impl std::error::Error for Fault {}

impl Plan {
    /// Creates a plan that replaces the document of `base`, the revision in force, by `document`. Every call
    /// draws a new random identifier, so that two equal plans are two changes.
    pub fn new(base: &Revision, document: Document) -> Self {
        let change_id = random_identifier();
        let digest = digest(base.revision, &change_id, &document);
        Self { base_revision: base.revision, change_id, digest, document }
    }

    /// Checks that the plan was not modified after it was made, and that it has the digest `expected`
    /// when one is given, that is, that it is the plan that the operator reviewed.
    ///
    /// # Errors
    ///
    /// The plan was modified, or has another digest.
    pub fn check(&self, expected: Option<&str>) -> Result<(), Fault> {
        if digest(self.base_revision, &self.change_id, &self.document) != self.digest {
            return Err(Fault::Modified);
        }
        match expected {
            Some(expected) if expected != self.digest => {
                Err(Fault::DigestMismatch { expected: expected.into(), found: self.digest.clone() })
            }
            _ => Ok(()),
        }
    }
}

/// Difference of one value between two documents: added, changed or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Path of the value, with dots between its parts.
    pub path: String,
    /// Value in the old document; `None` when the value is added.
    pub old: Option<String>,
    /// Value in the new document; `None` when the value is removed.
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

/// Returns the values that differ between the configuration in force and `new`, in order of path.
///
/// Tokens of clients are replaced by the first 8 digits of their digest, so that a changed token is
/// visible and its text is not.
///
/// # Errors
///
/// The document in force has fields or types that this version of the program does not know.
pub fn differences(base: &Revision, new: &Document) -> Result<Vec<Difference>, Fault> {
    let old: Document = match &base.document {
        Value::Null => Document::default(),
        value => serde_json::from_value(value.clone())
            .map_err(|cause| Fault::UnknownBase(cause.to_string()))?,
    };
    let (old, new) = (values_by_path(&old), values_by_path(new));
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

/// Returns every value of the document with its path.
fn values_by_path(document: &Document) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    // A document always has a JSON form, since its numbers are finite.
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
        // An empty section has no value to show. A model without versions is shown, because it is an
        // entry.
        Value::Object(_) if !path.starts_with("models.") => {}
        Value::String(token) if path.starts_with("clients.") && path.ends_with(".token") => {
            values.insert(path.into(), format!("(hidden, digest {})", &hex_digest(&[token])[..8]));
        }
        Value::String(text) => {
            values.insert(path.into(), text.clone());
        }
        other => {
            values.insert(path.into(), other.to_string());
        }
    }
}

/// Returns the digest of a plan as 16 hexadecimal digits.
fn digest(base_revision: u64, change_id: &str, document: &Document) -> String {
    let document = serde_json::to_string(document).unwrap_or_default();
    hex_digest(&[&base_revision.to_string(), change_id, &document])[..16].into()
}

/// Returns the idempotency key of a batch job, as 32 hexadecimal digits. The same input for the same
/// deployment has the same key and is therefore the same job.
pub fn job_key(deployment: &str, input: &[u8]) -> String {
    let mut hasher = SipHasher13::new();
    hasher.write_usize(deployment.len());
    hasher.write(deployment.as_bytes());
    hasher.write(input);
    format!("{:032x}", hasher.finish128().as_u128())
}

/// Returns the digest of a list of texts as 32 hexadecimal digits. It detects mistakes and does not
/// protect against forgery.
fn hex_digest(texts: &[&str]) -> String {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write_u64(text.len() as u64);
        hasher.write(text.as_bytes());
    }
    format!("{:032x}", hasher.finish128().as_u128())
}

/// Returns a random identifier of 32 hexadecimal digits. `RandomState` takes its keys from the random
/// source of the operating system.
fn random_identifier() -> String {
    let random_u64 = || RandomState::new().build_hasher().finish();
    format!("{:016x}{:016x}", random_u64(), random_u64())
}
