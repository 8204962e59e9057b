//! Differences between two documents.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::document::Document;

/// The entries that differ between two documents.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// One change for each entry, in order of section and name.
    pub changes: Vec<Change>,
}

/// An entry that was set or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Section of the document: `deployments`, `models` or `clients`.
    pub section: String,
    /// Name of the entry.
    pub name: String,
    /// New value; absent when the entry is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

impl Delta {
    /// The changes that turn `old` into `new`.
    pub fn new(old: &Document, new: &Document) -> Self {
        let mut changes = Vec::new();
        compare("clients", &old.clients, &new.clients, &mut changes);
        compare("deployments", &old.deployments, &new.deployments, &mut changes);
        compare("models", &old.models, &new.models, &mut changes);
        Self { changes }
    }

    /// Applies the changes to `document`; `None` when a value does not fit its section.
    pub fn apply(&self, document: &Document) -> Option<Document> {
        let mut document = document.clone();
        for change in &self.changes {
            let Change { section, name, value } = change;
            match section.as_str() {
                "clients" => set(&mut document.clients, name, value.as_ref())?,
                "deployments" => set(&mut document.deployments, name, value.as_ref())?,
                "models" => set(&mut document.models, name, value.as_ref())?,
                _ => return None,
            }
        }
        Some(document)
    }

    /// Whether the two documents are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => {
                // The text is shown in the history and in logs, where a token must not appear.
                let mut value = value.clone();
                if let Some(token) = value.get_mut("token").filter(|_| self.section == "clients") {
                    *token = "(hidden)".into();
                }
                write!(f, "set {}.{} = {value}", self.section, self.name)
            }
            None => write!(f, "remove {}.{}", self.section, self.name),
        }
    }
}

fn compare<T: PartialEq + Serialize>(
    section: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    changes: &mut Vec<Change>,
) {
    for (name, entry) in new {
        if old.get(name) != Some(entry) {
            let value = serde_json::to_value(entry).ok();
            changes.push(Change { section: section.into(), name: name.clone(), value });
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(Change { section: section.into(), name: name.clone(), value: None });
    }
}

fn set<T: DeserializeOwned>(
    entries: &mut BTreeMap<String, T>,
    name: &str,
    value: Option<&Value>,
) -> Option<()> {
    match value {
        Some(value) => {
            entries.insert(name.into(), serde_json::from_value(value.clone()).ok()?);
        }
        None => {
            entries.remove(name);
        }
    }
    Some(())
}
