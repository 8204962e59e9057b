//! What a relay answers when it is asked where a request would go now, and why.
//!
//! A [`Question`] travels as the target of an HTTP request, and the [`Answer`] as JSON. Fields are added
//! and never change their meaning, so that programs and relays of different builds understand each other.

mod answer;
mod question;
mod text;

pub use crate::{
    answer::{
        Answer, Batch, Caller, Candidate, Charge, Deployment, Evidence, Job, Outcome, Quota, Route,
        Shard,
    },
    question::{PATH, Question},
};
