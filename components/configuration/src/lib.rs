//! The configuration document: types, validation, and differences between revisions.

mod delta;
mod document;
mod problem;

pub use crate::{
    delta::{Change, Delta},
    document::{Client, Deployment, Document, Fencing, Kind, Limit, Model, Version},
    problem::Problem,
};
