//! Checks the design targets in a simulation and compares with the naive policy. The asserted
//! bounds are the stated targets.

mod model;

use std::time::Duration;

use googletest::prelude::*;
use model::{Measured, Model, Plan};

/// Seeds of the runs. Each run must meet the targets.
const SEEDS: [u64; 3] = [1, 2, 3];

/// Guards against batch work that delays online requests, and against spare slots that stay idle.
#[gtest]
fn batch_harm() {
    for seed in SEEDS {
        for naive in [true, false] {
            let plan = Plan { seed, naive, ..Plan::default() };
            let alone = Model::run(plan.clone());
            let mixed = Model::run(Plan { batch: true, ..plan });
            let ratio = Measured::p99(&mixed.first_token_ms) / Measured::p99(&alone.first_token_ms);
            let share = mixed.batch_share();
            println!("seed {seed} naive {naive}: p99 ratio {ratio:.3}, batch share {share:.3}");
            if !naive {
                expect_that!(ratio, le(1.10), "seed {seed}");
                expect_that!(share, ge(0.90), "seed {seed}");
            } else {
                expect_that!(share, lt(0.90), "seed {seed}");
            }
        }
    }
}

/// Guards against requests that wait for slow upstreams when a fifth of them is slowed tenfold.
#[gtest]
fn slowed_fifth() {
    for seed in SEEDS {
        let [naive, ratio] = [true, false].map(|naive| {
            let plan = Plan { seed, naive, ..Plan::default() };
            let even = Model::run(plan.clone());
            let slowed = Model::run(Plan { slowdown: 10.0, ..plan });
            if !naive {
                expect_that!(slowed.extra_dispatch_ratio(), le(0.05), "seed {seed}");
            }
            Measured::p99(&slowed.first_token_ms) / Measured::p99(&even.first_token_ms)
        });
        println!("seed {seed}: p99 ratio {ratio:.3}, naive {naive:.3}");
        expect_that!(ratio, le(1.25), "seed {seed}");
        expect_that!(ratio, lt(naive), "seed {seed}");
    }
}

/// Guards against a policy that detects too late which upstreams are slow when others slow down
/// every 20 s. The design target applies to a lasting slowdown; here the ratio must only be better
/// than that of the naive policy.
#[gtest]
fn slow_moments() {
    for seed in SEEDS {
        let [naive, ratio] = [true, false].map(|naive| {
            let plan = Plan { seed, naive, ..Plan::default() };
            let even = Model::run(plan.clone());
            let slowdown_period = Duration::from_secs(20);
            let slowed = Model::run(Plan { slowdown: 10.0, slowdown_period, ..plan });
            if !naive {
                expect_that!(slowed.extra_dispatch_ratio(), le(0.05), "seed {seed}");
            }
            Measured::p99(&slowed.first_token_ms) / Measured::p99(&even.first_token_ms)
        });
        println!("seed {seed}: p99 ratio {ratio:.3}, naive {naive:.3}");
        expect_that!(ratio, lt(naive), "seed {seed}");
    }
}

/// Guards against a slowdown of the whole deployment that is mistaken for individual slow
/// upstreams. Ejecting them would concentrate the load on the other half.
#[gtest]
fn slowed_service() {
    for seed in SEEDS {
        let slowdown_start = Duration::from_secs(20);
        let plan = Plan {
            seed,
            requests_per_s: 20.0,
            slowdown: 10.0,
            slowed_one_in: 1,
            slowdown_start,
            ..Plan::default()
        };
        let measured = Model::run(plan);
        println!("seed {seed}: ejected {:.3}", measured.max_ejected_share);
        expect_that!(measured.max_ejected_share, le(0.25), "seed {seed}");
    }
}

/// Guards against short requests that wait behind long ones.
#[gtest]
fn stragglers() {
    for seed in SEEDS {
        let plan = Plan { seed, requests_per_s: 120.0, ..Plan::default() };
        let even = Model::run(plan.clone());
        let mixed = Model::run(Plan { stragglers: 0.01, ..plan });
        let ratio = Measured::p99(&mixed.short_request_ms) / Measured::p99(&even.short_request_ms);
        println!("seed {seed}: p99 ratio of short work {ratio:.3}");
        expect_that!(ratio, le(1.15), "seed {seed}");
    }
}
