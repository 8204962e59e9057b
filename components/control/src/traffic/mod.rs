//! Online requests and the share of batch work at each upstream.
//!
//! Combines routing, admission, retry and pacing, which share the state of the upstreams.

mod batch;
mod flight;
mod grouping;
mod machine;
mod message;
mod node;
mod online;
mod outcome;
mod pool;
mod selection;
mod status;
mod tick;

pub use self::{
    machine::Machine,
    message::{
        Action, Attempt, AttemptId, Demand, Input, Load, Outcome, Refusal, Request, RequestId,
        Settings,
    },
    status::{State, Status, Summary},
};
