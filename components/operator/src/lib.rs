//! Library for operators: builds configuration documents, makes plans, and calls daemons.
//!
//! A program of an operator builds the whole configuration in code and prints it as a document.
//! `cyclamengrade config plan` then shows what the document would change in the fleet.
//!
//! ```
//! use cyclamengrade_operator::{Client, Configuration, Deployment, Limit, Model};
//!
//! let document = Configuration::new()
//!     .with_model("wording", Model::new().with_version("3", "wording/3"))
//!     .with_deployment("wording-llm", Deployment::model("wording", "3"))
//!     .with_client(
//!         "labels",
//!         Client::new("token-of-labels")
//!             .with_limit("wording-llm", Limit::new().with_requests_per_s(40.0)),
//!     )
//!     .finish()?;
//! println!("{}", cyclamengrade_operator::print(&document)?);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
#![warn(missing_docs)]

mod admin;
mod build;
mod error;
mod explain;
pub mod plan;
mod wire;

pub use cyclamengrade_caller::backend::{HistoryEntry, Job, JobState, Revision, Upstream};
pub use cyclamengrade_configuration::{
    Client, Deployment, Document, Fencing, Kind, Limit, Model, Problem, Version,
};
pub use cyclamengrade_explanation::{Answer as Explanation, Question};

pub use crate::{
    admin::{Admin, Attempts},
    build::{Configuration, Refused, parse, print},
    error::Error,
    explain::explain,
    plan::Plan,
};
