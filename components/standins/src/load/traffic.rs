//! Open-loop generator of online traffic: requests are sent at their arrival times, whether or not
//! earlier ones have been answered.

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

/// Duration of a burst, and of the period with a lower rate between two bursts.
const BURST_DURATION: Duration = Duration::from_secs(1);

/// Time after which a caller gives up on a request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Distribution of the sizes of the online requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// Minimum and maximum number of tokens of an answer that is not a straggler.
    pub tokens: (u32, u32),
    /// Probability, from 0 to 1, that a request is a straggler: one with an answer of
    /// `STRAGGLER_FACTOR` times the mean length.
    pub straggler_share: f64,
    /// Minimum and maximum of the length to which a prompt is padded, in bytes. Padding consists
    /// of whole phrases, so a prompt may be longer.
    pub prompt_bytes: (usize, usize),
}

/// Ratio of the length of a straggler to the mean length of the other answers.
pub const STRAGGLER_FACTOR: u32 = 50;

impl Shape {
    /// Returns the mean number of tokens of the answers that are not stragglers.
    pub fn mean_tokens(&self) -> f64 {
        f64::from(self.tokens.0 + self.tokens.1) / 2.0
    }

    /// Draws a random request. Returns it and whether it is a straggler. The prompt sets the length
    /// of the answer and `max_tokens` is the same for all requests, so that the system under test
    /// cannot recognize stragglers by `max_tokens`.
    fn completion(&self, random: &mut StdRng, number: u64) -> (Completion, bool) {
        let straggler = random.random_bool(self.straggler_share);
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
        (Completion::new(prompt, limit).with_timeout(CALLER_TIMEOUT), straggler)
    }
}

/// Parameters of the online traffic in one phase.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Addresses of the daemons. Each request goes to a random one, as behind a load balancer.
    pub daemons: Vec<SocketAddr>,
    /// Distribution of the request sizes.
    pub shape: Shape,
    /// Mean arrival rate.
    pub requests_per_s: f64,
    /// Ratio of the rate in a burst to the mean rate, from 1 to 2.
    pub burst_ratio: f64,
    /// Seed of the random arrival times and requests.
    pub seed: u64,
}

/// Latencies and outcomes of the online requests of one or more phases.
#[derive(Clone, Debug)]
pub struct Samples {
    /// Time to first token, in microseconds from the scheduled arrival.
    pub first_token: Histogram<u64>,
    /// Time between two tokens of a stream, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// Time to the end of answers that are not stragglers, in microseconds from the scheduled
    /// arrival.
    pub completion: Histogram<u64>,
    /// Number of requests sent, including the warm-up.
    pub sent: u64,
    /// Number of tokens received, including the warm-up.
    pub delivered: u64,
    /// Number of requests that arrived after the warm-up. The fields below count these only.
    pub requests: u64,
    /// Number of complete answers with the expected text.
    pub correct: u64,
    /// Number of requests that failed with `not_run`.
    pub refused: u64,
    /// Number of requests that ended with another error or before the end of the answer.
    pub failed: u64,
    /// Number of complete answers with a text other than the expected one.
    pub incorrect: u64,
}

impl Default for Samples {
    fn default() -> Self {
        // The constructor fails only for invalid bounds or a precision above five digits.
        let histogram = || {
            let mut histogram = Histogram::new_with_bounds(1, 1 << 32, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant"));
            histogram.auto(true);
            histogram
        };
        Self {
            first_token: histogram(),
            between_tokens: histogram(),
            completion: histogram(),
            sent: 0,
            delivered: 0,
            requests: 0,
            correct: 0,
            refused: 0,
            failed: 0,
            incorrect: 0,
        }
    }
}

impl Samples {
    /// Adds the latencies and counts of another phase.
    pub fn merge(&mut self, other: &Self) {
        // Adding fails only for values out of range, and the histograms resize automatically.
        let _grown = self.first_token.add(&other.first_token);
        let _grown = self.between_tokens.add(&other.between_tokens);
        let _grown = self.completion.add(&other.completion);
        self.sent += other.sent;
        self.delivered += other.delivered;
        self.requests += other.requests;
        self.correct += other.correct;
        self.refused += other.refused;
        self.failed += other.failed;
        self.incorrect += other.incorrect;
    }

    /// Records the outcome of a request that was sent `delay` after its scheduled arrival.
    fn record_answer(
        &mut self,
        sent: &Completion,
        straggler: bool,
        delay: Duration,
        answer: &Answer,
    ) {
        self.requests += 1;
        if !answer.complete {
            self.refused += u64::from(answer.not_run);
            self.failed += u64::from(!answer.not_run);
            return;
        }
        let correct = answer.text == sent.expected();
        self.correct += u64::from(correct);
        self.incorrect += u64::from(!correct);
        if let Some(first) = answer.first_token {
            record_time(&mut self.first_token, first + delay);
        }
        for gap in &answer.gaps {
            record_time(&mut self.between_tokens, *gap);
        }
        if !straggler {
            record_time(&mut self.completion, answer.elapsed + delay);
        }
    }
}

fn record_time(histogram: &mut Histogram<u64>, time: Duration) {
    // Recording fails only for values out of range, and the histogram resizes automatically.
    let _grown = histogram.record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1));
}

impl Traffic {
    /// Sends requests for `warm_up` and then `measured`, and waits for all answers. Requests that
    /// arrive during `warm_up` count only towards `sent` and `delivered`.
    pub async fn run(&self, client: &Client, warm_up: Duration, measured: Duration) -> Samples {
        let mut random = StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut arrival = start;
        let mut requests = JoinSet::new();
        let mut number = self.seed << 20;
        loop {
            arrival += self.interarrival_time(&mut random, arrival - start);
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
                samples.record_answer(&completion, straggler, delay, &answer);
            }
        }
        samples
    }

    /// Draws the time to the next arrival. Arrivals are a Poisson process whose rate alternates
    /// between bursts and periods with a lower rate.
    fn interarrival_time(&self, random: &mut StdRng, elapsed: Duration) -> Duration {
        let in_burst = (elapsed.as_millis() / BURST_DURATION.as_millis()).is_multiple_of(2);
        let factor = if in_burst { self.burst_ratio } else { 2.0 - self.burst_ratio };
        let uniform: f64 = random.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / (self.requests_per_s * factor))
    }
}
