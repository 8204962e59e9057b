//! Online requests and the share of batch work at each upstream.
//!
//! Combines routing, admission, retry and pacing, which share the state of the upstreams.

mod flight;
mod machine;
mod message;
mod status;

pub use self::{
    machine::Machine,
    message::{
        Action, Attempt, AttemptId, Demand, Input, Load, Outcome, Refusal, Request, RequestId,
        Settings,
    },
    status::{State, Status},
};
