//! Building blocks for routing online requests: load and latency estimates, ejection, and the
//! choice between candidates.

mod choice;
mod health;
mod latency;
mod outstanding;

pub use self::{
    choice::{Candidate, power_of_two_choices, prefix_affine},
    health::{Health, Phase},
    latency::{Ewma, LatencyBaseline, SampleWindow},
    outstanding::{LoadBaseline, Outstanding},
};
