//! Text output of the load generator. Lines are short enough for the screen of a phone.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use hdrhistogram::Histogram;

use super::{Arm, Key, Measurement, Options, Samples};

/// Measurements of a run, displayed as comparisons of its arms.
#[derive(Clone, Debug)]
pub struct Report {
    measurements: BTreeMap<Key, Measurement>,
    policies: Vec<bool>,
    seeds: Vec<u64>,
}

/// Ratio of a latency in one arm to the same latency in its baseline.
struct Comparison {
    title: &'static str,
    arm: &'static str,
    base: &'static str,
    statistic: fn(&Samples) -> f64,
    /// Highest acceptable ratio.
    target: f64,
}

const COMPARISONS: [Comparison; 6] = [
    Comparison {
        title: "first token p99, batch / none",
        arm: "batch",
        base: "base",
        statistic: |samples| quantile_ms(&samples.first_token, 0.99),
        target: 1.10,
    },
    Comparison {
        title: "first token p99, 1 slow / none",
        arm: "slow-1",
        base: "base",
        statistic: |samples| quantile_ms(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "first token p99, 2 slow / none",
        arm: "slow-2",
        base: "base",
        statistic: |samples| quantile_ms(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "first token p99, 1/5 slow / none",
        arm: "slow-fifth",
        base: "base",
        statistic: |samples| quantile_ms(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "first token p99, brief slowness / none",
        arm: "moments",
        base: "base",
        statistic: |samples| quantile_ms(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "short answers p99, stragglers / none",
        arm: "stragglers",
        base: "short",
        statistic: |samples| quantile_ms(&samples.completion, 0.99),
        target: 1.15,
    },
];

/// Formats the parameters of a run and a key to the abbreviations.
pub fn heading(options: &Options) -> String {
    let site = &options.site;
    format!(
        "{}: {} daemons, {} engines of {} slots\n\
         phases of {:?}, slow factor {}\n\
         ft = first token, bt = between tokens,\n\
         all = to the end, without stragglers, ms",
        site.name,
        site.daemons,
        site.engines,
        site.slots,
        options.parameters.measured,
        options.parameters.slow_factor,
    )
}

/// Formats the measurement of one phase.
pub fn phase(naive: bool, arm: &Arm, seed: u64, measurement: &Measurement) -> String {
    let samples = &measurement.samples;
    let mut text =
        format!("{} {} seed {seed}: {} requests\n", policy_name(naive), arm.name, samples.requests);
    text += &percentiles("ft", &samples.first_token);
    text += &percentiles("bt", &samples.between_tokens);
    text += &percentiles("all", &samples.completion);
    if arm.batch {
        let share = measurement.items_per_s / measurement.spare_items_per_s;
        let _ = writeln!(
            text,
            "  batch {:.1} of {:.1} spare items/s, {share:.2}",
            measurement.items_per_s, measurement.spare_items_per_s
        );
    }
    let sent = samples.sent.max(1) as f64;
    let _ = write!(
        text,
        "  extra starts {:.1}%, tokens {:.1}%",
        100.0 * measurement.extra_starts as f64 / sent,
        100.0 * measurement.extra_tokens as f64 / samples.delivered.max(1) as f64
    );
    if samples.correct < samples.requests {
        let _ = write!(
            text,
            "\n  refused {}, failed {}, incorrect {}",
            samples.refused, samples.failed, samples.incorrect
        );
    }
    text
}

fn percentiles(name: &str, histogram: &Histogram<u64>) -> String {
    format!(
        "  {name:<3} p50 {:>6.1}  p99 {:>7.1}  p99.9 {:>7.1}\n",
        quantile_ms(histogram, 0.5),
        quantile_ms(histogram, 0.99),
        quantile_ms(histogram, 0.999)
    )
}

/// Returns a quantile of a histogram in microseconds, as milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

const fn policy_name(naive: bool) -> &'static str {
    if naive { "naive" } else { "adaptive" }
}

impl Report {
    /// Creates a report on the measurements of a run.
    pub fn new(options: &Options, measurements: BTreeMap<Key, Measurement>) -> Self {
        Self { measurements, policies: options.policies.clone(), seeds: options.seeds.clone() }
    }

    /// Returns whether every complete answer had the expected text.
    pub fn is_correct(&self) -> bool {
        self.measurements.values().all(|measurement| measurement.samples.incorrect == 0)
    }

    /// Returns the measurements of an arm, in the order of the seeds.
    fn measurements(&self, naive: bool, arm: &'static str) -> Vec<&Measurement> {
        self.seeds.iter().filter_map(|seed| self.measurements.get(&(naive, arm, *seed))).collect()
    }

    /// Merges the samples of an arm over all seeds.
    fn merged(&self, naive: bool, arm: &'static str) -> Samples {
        let mut merged = Samples::default();
        for measurement in self.measurements(naive, arm) {
            merged.merge(&measurement.samples);
        }
        merged
    }

    /// Returns the ratio over the merged samples of all seeds, and the ratio for each seed.
    fn ratio(&self, naive: bool, comparison: &Comparison) -> Option<(f64, Vec<f64>)> {
        let (arm, base) =
            (self.measurements(naive, comparison.arm), self.measurements(naive, comparison.base));
        if arm.is_empty() || base.is_empty() {
            return None;
        }
        let statistic = comparison.statistic;
        let all = statistic(&self.merged(naive, comparison.arm))
            / statistic(&self.merged(naive, comparison.base));
        let per_seed = arm
            .iter()
            .zip(&base)
            .map(|(arm, base)| statistic(&arm.samples) / statistic(&base.samples));
        Some((all, per_seed.collect()))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Ratios over all seeds (lowest to highest seed)")?;
        for &naive in &self.policies {
            writeln!(f, "{}:", policy_name(naive))?;
            for comparison in &COMPARISONS {
                let Some((all, per_seed)) = self.ratio(naive, comparison) else { continue };
                writeln!(f, "  {}", comparison.title)?;
                writeln!(
                    f,
                    "    {all:.2} ({}), target {:.2}",
                    range(&per_seed),
                    comparison.target
                )?;
            }
            let batch = self.measurements(naive, "batch");
            if !batch.is_empty() {
                let shares: Vec<_> = batch
                    .iter()
                    .map(|measurement| measurement.items_per_s / measurement.spare_items_per_s)
                    .collect();
                let step_ratios = batch.iter().map(|measurement| measurement.step_ratio);
                writeln!(
                    f,
                    "  longer steps alone: ratio up to {:.2}",
                    step_ratios.fold(0.0, f64::max)
                )?;
                let mean = shares.iter().sum::<f64>() / shares.len() as f64;
                writeln!(f, "  batch items/s relative to spare capacity")?;
                writeln!(f, "    {mean:.2} ({}), target 0.90", range(&shares))?;
            }
            let all = || self.measurements.iter().filter(|((policy, ..), _)| *policy == naive);
            let sent: u64 = all().map(|(_, measurement)| measurement.samples.sent).sum();
            let extra: i64 = all().map(|(_, measurement)| measurement.extra_starts).sum();
            writeln!(f, "  extra starts by retries and hedges")?;
            let share = 100.0 * extra as f64 / sent.max(1) as f64;
            writeln!(f, "    {share:.1}% of {sent}, target 5%")?;
        }
        Ok(())
    }
}

/// Formats the lowest and the highest of the values.
fn range(values: &[f64]) -> String {
    let lowest = values.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = values.iter().copied().fold(0.0, f64::max);
    format!("{lowest:.2} to {highest:.2}")
}
