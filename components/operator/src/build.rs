//! Builds, prints and reads a configuration document.

use std::fmt;

use cyclamengrade_configuration::{Client, Deployment, Document, Model, Problem};

/// A configuration under construction.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    document: Document,
    repeated: Vec<String>,
}

impl Configuration {
    /// A configuration without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a model with its versions.
    pub fn with_model(mut self, name: impl Into<String>, model: Model) -> Self {
        let name = name.into();
        if self.document.models.insert(name.clone(), model).is_some() {
            self.repeated.push(format!("models.{name}"));
        }
        self
    }

    /// Adds a deployment.
    pub fn with_deployment(mut self, name: impl Into<String>, deployment: Deployment) -> Self {
        let name = name.into();
        if self.document.deployments.insert(name.clone(), deployment).is_some() {
            self.repeated.push(format!("deployments.{name}"));
        }
        self
    }

    /// Adds a client.
    pub fn with_client(mut self, name: impl Into<String>, client: Client) -> Self {
        let name = name.into();
        if self.document.clients.insert(name.clone(), client).is_some() {
            self.repeated.push(format!("clients.{name}"));
        }
        self
    }

    /// The checked document.
    ///
    /// # Errors
    ///
    /// An entry was added twice, or entries contradict each other; the error lists all reasons.
    pub fn finish(self) -> Result<Document, Refused> {
        let problems = self.document.problems();
        if self.repeated.is_empty() && problems.is_empty() {
            Ok(self.document)
        } else {
            Err(Refused { repeated: self.repeated, problems })
        }
    }
}

/// Why a document is not acceptable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Paths of entries that were added twice.
    pub repeated: Vec<String>,
    /// Entries that contradict each other or are out of range.
    pub problems: Vec<Problem>,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the configuration document is not acceptable")?;
        for path in &self.repeated {
            write!(f, "\n{path} is added twice; give one of the two another name")?;
        }
        for problem in &self.problems {
            write!(f, "\n{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Refused {}

/// The document as indented JSON with a line end.
///
/// # Errors
///
/// A number of the document has no JSON form, which `finish` refuses before.
pub fn print(document: &Document) -> Result<String, serde_json::Error> {
    Ok(serde_json::to_string_pretty(document)? + "\n")
}

/// Reads a document and checks it.
///
/// # Errors
///
/// The text is no document, or its entries contradict each other; the message lists all reasons.
pub fn parse(text: &str) -> Result<Document, String> {
    let document: Document = serde_json::from_str(text)
        .map_err(|cause| format!("not a configuration document: {cause}"))?;
    let problems = document.problems();
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(Refused { repeated: Vec::new(), problems }.to_string())
    }
}
