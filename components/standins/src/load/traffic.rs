//! Open-loop online traffic: arrivals do not wait for answers.

use std::{net::SocketAddr, time::Duration};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use crate::{
    answer,
    client::Client,
    fleet::{self, Answer, Completion},
};

/// Length of a burst and of the calm between two bursts.
const BURST: Duration = Duration::from_secs(1);

/// Time for which callers wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Shape of the online requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// Fewest and most tokens of a usual answer.
    pub tokens: (u32, u32),
    /// Share of requests whose answer is 50 times as long.
    pub stragglers: f64,
    /// Fewest and most bytes of a prompt.
    pub prompt_bytes: (usize, usize),
}

/// Length of a straggler relative to the mean of the usual answers.
pub const STRAGGLER_FACTOR: u32 = 50;

impl Shape {
    /// Mean number of tokens of a usual answer.
    pub fn mean_tokens(&self) -> f64 {
        f64::from(self.tokens.0 + self.tokens.1) / 2.0
    }

    /// The length is hidden in the prompt and the limit is the same for all, so that the system
    /// cannot tell stragglers by their limit.
    fn completion(&self, random: &mut StdRng, number: u64) -> (Completion, bool) {
        let straggler = random.random_bool(self.stragglers);
        let tokens = match straggler {
            true => self.mean_tokens() as u32 * STRAGGLER_FACTOR,
            false => random.random_range(self.tokens.0..=self.tokens.1),
        };
        let limit = self.tokens.1 * STRAGGLER_FACTOR;
        let bytes = random.random_range(self.prompt_bytes.0..=self.prompt_bytes.1);
        let mut prompt = format!("online {number} {}{tokens}]", answer::STOP_MARKER);
        while prompt.len() < bytes {
            prompt.push_str(" confirm this order for felt and wool");
        }
        (Completion::new(prompt, limit).with_timeout(TIMEOUT), straggler)
    }
}

/// Traffic of one phase.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Callers connect to one of these at random, as behind a load balancer.
    pub daemons: Vec<SocketAddr>,
    /// Shape of the requests.
    pub shape: Shape,
    /// Mean requests a second.
    pub rate: f64,
    /// Ratio of the rate in a burst to the mean rate, from 1 to 2.
    pub burst: f64,
    /// Seed of arrivals and requests.
    pub seed: u64,
}

/// Figures of one phase.
#[derive(Clone, Debug)]
pub struct Samples {
    /// Time to first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Time to the end of answers that are no stragglers, in microseconds.
    pub short: Histogram<u64>,
    /// Requests sent, those of the warm-up included.
    pub sent: u64,
    /// Tokens delivered, those of the warm-up included.
    pub delivered: u64,
    /// Requests counted.
    pub requests: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Refused with `not_run`.
    pub refused: u64,
    /// Ended with another error, or cut off.
    pub failed: u64,
    /// Whole answers with the wrong text.
    pub wrong: u64,
}

impl Default for Samples {
    fn default() -> Self {
        // Three significant digits and automatic growth cannot fail.
        let histogram = || {
            let mut histogram = Histogram::new_with_bounds(1, 1 << 32, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant"));
            histogram.auto(true);
            histogram
        };
        Self {
            first_token: histogram(),
            between_tokens: histogram(),
            short: histogram(),
            sent: 0,
            delivered: 0,
            requests: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            wrong: 0,
        }
    }
}

impl Samples {
    /// Adds the figures of another phase.
    pub fn add(&mut self, other: &Self) {
        // Both have the same precision and grow by themselves.
        let _grown = self.first_token.add(&other.first_token);
        let _grown = self.between_tokens.add(&other.between_tokens);
        let _grown = self.short.add(&other.short);
        self.sent += other.sent;
        self.delivered += other.delivered;
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.wrong += other.wrong;
    }

    fn take(&mut self, sent: &Completion, straggler: bool, delay: Duration, answer: &Answer) {
        self.requests += 1;
        if !answer.whole {
            self.refused += u64::from(answer.not_run);
            self.failed += u64::from(!answer.not_run);
            return;
        }
        let right = answer.text == sent.expected();
        self.answered += u64::from(right);
        self.wrong += u64::from(!right);
        if let Some(first) = answer.first_token {
            record(&mut self.first_token, first + delay);
        }
        for gap in &answer.gaps {
            record(&mut self.between_tokens, *gap);
        }
        if !straggler {
            record(&mut self.short, answer.elapsed + delay);
        }
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    // A histogram that grows by itself takes every value.
    let _grown = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1));
}

impl Traffic {
    /// Sends requests for the given time and waits for all answers. Requests that arrive during
    /// `warm_up` are sent but not counted.
    pub async fn run(&self, client: &Client, warm_up: Duration, measured: Duration) -> Samples {
        let mut random = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut arrival = start;
        let mut requests = JoinSet::new();
        let mut number = self.seed << 20;
        loop {
            arrival += self.gap(&mut random, arrival - start);
            if arrival >= start + warm_up + measured {
                break;
            }
            number += 1;
            let (completion, straggler) = self.shape.completion(&mut random, number);
            let daemon = self.daemons[random.random_range(0..self.daemons.len())];
            sleep_until(arrival).await;
            let counted = arrival >= start + warm_up;
            let client = client.clone();
            requests.spawn(async move {
                let delay = arrival.elapsed();
                let answer = fleet::complete(&client, daemon, &completion).await;
                (completion, straggler, counted, delay, answer)
            });
        }
        let mut samples = Samples::default();
        while let Some(joined) = requests.join_next().await {
            let Ok((completion, straggler, counted, delay, answer)) = joined else { continue };
            let answer = answer.unwrap_or_default();
            samples.sent += 1;
            samples.delivered += answer.text.split_whitespace().count() as u64;
            if counted {
                samples.take(&completion, straggler, delay, &answer);
            }
        }
        samples
    }

    /// Time to the next arrival of a Poisson process whose rate alternates between bursts and
    /// calm.
    fn gap(&self, random: &mut StdRng, elapsed: Duration) -> Duration {
        let in_burst = (elapsed.as_millis() / BURST.as_millis()).is_multiple_of(2);
        let factor = if in_burst { self.burst } else { 2.0 - self.burst };
        let uniform: f64 = random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / (self.rate * factor))
    }
}
