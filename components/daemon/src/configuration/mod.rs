//! The configuration in force, and acceptance of new revisions.

mod actor;
mod apply;
mod store;

pub use self::{
    actor::{Content, Extract, Follower},
    apply::{apply, history},
};
