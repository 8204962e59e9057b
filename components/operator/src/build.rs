//! Building, printing and parsing of configuration documents.

use std::fmt;

use cyclamengrade_configuration::{Client, Deployment, Document, Model, Problem};

/// Builder of a configuration document. [`Configuration::finish`] checks what was added.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    document: Document,
    duplicates: Vec<String>,
}

impl Configuration {
    /// Creates a configuration without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a model with its versions. A second model with the same name makes
    /// [`finish`](Self::finish) fail.
    pub fn with_model(mut self, name: impl Into<String>, model: Model) -> Self {
        let name = name.into();
        if self.document.models.insert(name.clone(), model).is_some() {
            self.duplicates.push(format!("models.{name}"));
        }
        self
    }

    /// Adds a deployment. A second deployment with the same name makes [`finish`](Self::finish) fail.
    pub fn with_deployment(mut self, name: impl Into<String>, deployment: Deployment) -> Self {
        let name = name.into();
        if self.document.deployments.insert(name.clone(), deployment).is_some() {
            self.duplicates.push(format!("deployments.{name}"));
        }
        self
    }

    /// Adds a client. A second client with the same name makes [`finish`](Self::finish) fail.
    pub fn with_client(mut self, name: impl Into<String>, client: Client) -> Self {
        let name = name.into();
        if self.document.clients.insert(name.clone(), client).is_some() {
            self.duplicates.push(format!("clients.{name}"));
        }
        self
    }

    /// Checks the configuration and returns it as a document.
    ///
    /// # Errors
    ///
    /// An entry was added twice, a name or value is invalid, or an entry refers to one that does not
    /// exist. The error lists all reasons.
    pub fn finish(self) -> Result<Document, Refused> {
        let problems = self.document.problems();
        if self.duplicates.is_empty() && problems.is_empty() {
            Ok(self.document)
        } else {
            Err(Refused { duplicates: self.duplicates, problems })
        }
    }
}

/// Reasons why a configuration is refused. The `Display` form states one reason per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Paths of entries that were added more than once, in order of the additions.
    pub duplicates: Vec<String>,
    /// Invalid names and values, and references to entries that do not exist.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the configuration document is invalid")?;
        for path in &self.duplicates {
            write!(f, "\n{path} is added twice; give one of the two another name")?;
        }
        for problem in &self.problems {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Refused {}

/// Returns the document as indented JSON that ends with a newline.
///
/// # Errors
///
/// A number of the document has no JSON form. [`Configuration::finish`] refuses such a document.
pub fn print(document: &Document) -> Result<String, serde_json::Error> {
    Ok(serde_json::to_string_pretty(document)? + "\n")
}

/// Parses a document from JSON and checks it.
///
/// # Errors
///
/// The text is not a configuration document, or the document is invalid. For an invalid document the
/// message lists all reasons.
pub fn parse(text: &str) -> Result<Document, String> {
    let document: Document = serde_json::from_str(text)
        .map_err(|cause| format!("not a configuration document: {cause}"))?;
    let problems = document.problems();
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(Refused { duplicates: Vec::new(), problems }.to_string())
    }
}
