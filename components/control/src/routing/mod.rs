//! Which upstream gets an online request.

mod choice;
mod health;
mod latency;
mod outstanding;

pub use self::{
    choice::{Candidate, affine, lighter},
    health::{Health, Phase},
    latency::{Smoothed, Typical, Window},
    outstanding::{Outstanding, Usual},
};
