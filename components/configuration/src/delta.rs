//! Differences between two documents, entry by entry.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::document::Document;

/// Entries that differ between two documents. Revisions are sent and stored in this form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// One change for each entry that differs. [`Delta::new`] orders them by section: `clients`,
    /// `deployments`, `models`; within a section, entries that are set come before entries that are
    /// removed, each by name.
    pub changes: Vec<Change>,
}

/// Entry that is set or removed.
///
/// The `Display` form hides the token of a client, because it is shown in the history and in logs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Section of the document: `deployments`, `models` or `clients`.
    pub section: String,
    /// Name of the entry within its section.
    pub name: String,
    /// New value of the whole entry, in its JSON form; `None` when the entry is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<Value>,
}

impl Delta {
    /// Returns the changes that turn `old` into `new`.
    pub fn new(old: &Document, new: &Document) -> Self {
        let mut changes = Vec::new();
        push_changes("clients", &old.clients, &new.clients, &mut changes);
        push_changes("deployments", &old.deployments, &new.deployments, &mut changes);
        push_changes("models", &old.models, &new.models, &mut changes);
        Self { changes }
    }

    /// Returns `document` with the changes applied. Returns `None` when a change has an unknown
    /// section, or a value that does not have the type of its section. The removal of an entry that
    /// does not exist has no effect.
    pub fn apply(&self, document: &Document) -> Option<Document> {
        let mut document = document.clone();
        for change in &self.changes {
            let Change { section, name, value } = change;
            match section.as_str() {
                "clients" => set_entry(&mut document.clients, name, value.as_ref())?,
                "deployments" => set_entry(&mut document.deployments, name, value.as_ref())?,
                "models" => set_entry(&mut document.models, name, value.as_ref())?,
                _ => return None,
            }
        }
        Some(document)
    }

    /// Returns whether there are no changes, that is, whether the two documents are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => {
                // This text appears in the history and in logs, where tokens must not be readable.
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

/// Appends the changes of one section that turn `old` into `new`.
fn push_changes<T: PartialEq + Serialize>(
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

/// Sets the entry `name` to `value`, or removes it when there is no value. Returns `None` when the
/// value does not have the type of the section.
fn set_entry<T: DeserializeOwned>(
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
