//! State machine for online requests and for the limit on batch streams at each upstream.
//!
//! Combines routing, admission, retry and pacing, which share the state of the upstreams.

mod active_request;
mod batch;
mod machine;
mod message;
mod online;
mod outcome;
mod pool;
mod selection;
mod status;
mod tick;
mod topology;
mod upstream;

pub use self::{
    machine::Machine,
    message::{
        Action, Attempt, AttemptId, Demand, Input, Load, Outcome, Refusal, Request, RequestId,
        Settings,
    },
    status::{DeploymentStatus, ServingState, UpstreamStatus},
};
