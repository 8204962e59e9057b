//! The configuration document: types, validation, and differences between revisions.
#![warn(missing_docs)]

mod delta;
mod document;
mod problem;
mod schema;
mod unique;

pub use crate::{
    delta::{Change, Delta},
    document::{Client, Deployment, Document, Fencing, Kind, Limit, Model, Version},
    problem::{NAME_BYTES, Problem},
    schema::schema,
};
