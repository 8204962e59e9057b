//! Configuration document of the fleet: its types, validation, JSON schema, and the differences
//! between two documents.
//!
//! Operators write the document, and every daemon applies the revisions that are accepted.
#![warn(missing_docs)]

mod delta;
mod document;
mod problem;
mod schema;
mod unique;

pub use crate::{
    delta::{Change, Delta},
    document::{Client, Deployment, Document, Fencing, Kind, Limit, Model, Version},
    problem::{MAX_NAME_BYTES, Problem},
    schema::schema,
};
