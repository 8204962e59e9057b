//! Configuration of the daemon: follows the log of revisions and accepts new ones.

mod actor;
mod apply;
mod store;

pub use self::{
    actor::{Extract, Fetch, Follower},
    apply::{apply, history},
};
