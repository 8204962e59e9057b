//! Test environment for relays with the `bridge` dialect: a metadata store and runners that speak
//! the protocols which the `platform/` folder translates, and relay processes that use them.

mod caller;
mod disturbance;
mod harness;
mod keyring;
mod links;
mod listing;
mod plan;
mod run;
mod runner;
mod store;

use self::harness::HOST;
pub use self::{
    caller::{Callers, Contradiction, ITEM_EVENTS, Promise, Record, Stops},
    disturbance::Disturbance,
    harness::{Harness, Job},
    keyring::{ACCOUNTS, Account, Keyring, REVOKE_MS},
    links::{Cut, Links},
    plan::{Plan, Profile, Size, Step},
    run::{End, Run},
    runner::{Answer, Early, Endless, Fault, Mark, Moment, Naming, Repeated, Runner},
    store::{Faults, Store},
};
