//! Test environment for relays with the `bridge` dialect: a metadata store and runners that speak
//! the protocols which the `platform/` folder translates, and relay processes that use them.

mod harness;
mod runner;
mod store;

pub use self::{
    harness::{Harness, Job},
    runner::{Answer, Endless, Fault, Mark, Moment, Naming, Repeated, Run, Runner},
    store::{Faults, Store},
};
