//! Lines and comparisons that fit the width of a phone.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use hdrhistogram::Histogram;

use super::{Arm, Figures, Key, Options, Samples};

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    results: BTreeMap<Key, Figures>,
    policies: Vec<bool>,
    seeds: Vec<u64>,
}

/// A comparison of two arms with a target for the ratio.
struct Comparison {
    title: &'static str,
    arm: &'static str,
    base: &'static str,
    figure: fn(&Samples) -> f64,
    target: f64,
}

const COMPARISONS: [Comparison; 6] = [
    Comparison {
        title: "first token p99, batch / none",
        arm: "batch",
        base: "base",
        figure: |samples| milliseconds(&samples.first_token, 0.99),
        target: 1.10,
    },
    Comparison {
        title: "first token p99, 1 slow / none",
        arm: "slow-1",
        base: "base",
        figure: |samples| milliseconds(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "first token p99, 2 slow / none",
        arm: "slow-2",
        base: "base",
        figure: |samples| milliseconds(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "first token p99, 1/5 slow / none",
        arm: "slow-fifth",
        base: "base",
        figure: |samples| milliseconds(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "first token p99, moments / none",
        arm: "moments",
        base: "base",
        figure: |samples| milliseconds(&samples.first_token, 0.99),
        target: 1.25,
    },
    Comparison {
        title: "short work p99, stragglers / none",
        arm: "stragglers",
        base: "short",
        figure: |samples| milliseconds(&samples.short, 0.99),
        target: 1.15,
    },
];

/// What is measured and what the columns mean.
pub fn heading(options: &Options) -> String {
    let site = &options.site;
    format!(
        "{}: {} daemons, {} engines of {} slots\n\
         phases of {:?}, slow factor {}\n\
         ft = first token, bt = between tokens, ms",
        site.name,
        site.daemons,
        site.engines,
        site.slots,
        options.times.measured,
        options.times.slow_factor,
    )
}

/// Figures of one phase.
pub fn line(naive: bool, arm: &Arm, seed: u64, figures: &Figures) -> String {
    let samples = &figures.samples;
    let mut text =
        format!("{} {} seed {seed}: {} requests\n", policy(naive), arm.name, samples.requests);
    text += &times("ft", &samples.first_token);
    text += &times("bt", &samples.between_tokens);
    text += &times("all", &samples.short);
    if arm.batch {
        let share = figures.items_per_s / figures.spare_items_per_s;
        let _ = writeln!(
            text,
            "  batch {:.1} of {:.1} items/s, {share:.2}",
            figures.items_per_s, figures.spare_items_per_s
        );
    }
    let sent = samples.sent.max(1) as f64;
    let _ = write!(
        text,
        "  extra starts {:.1}%, tokens {:.1}%",
        100.0 * figures.extra_starts as f64 / sent,
        100.0 * figures.extra_tokens as f64 / samples.delivered.max(1) as f64
    );
    if samples.answered < samples.requests {
        let _ = write!(
            text,
            "\n  refused {}, failed {}, wrong {}",
            samples.refused, samples.failed, samples.wrong
        );
    }
    text
}

fn times(name: &str, histogram: &Histogram<u64>) -> String {
    format!(
        "  {name:<3} p50 {:>6.1}  p99 {:>7.1}  p99.9 {:>7.1}\n",
        milliseconds(histogram, 0.5),
        milliseconds(histogram, 0.99),
        milliseconds(histogram, 0.999)
    )
}

fn milliseconds(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

const fn policy(naive: bool) -> &'static str {
    if naive { "naive" } else { "adaptive" }
}

impl Report {
    /// A report on these results.
    pub fn new(options: &Options, results: BTreeMap<Key, Figures>) -> Self {
        Self { results, policies: options.policies.clone(), seeds: options.seeds.clone() }
    }

    /// Whether every whole answer was right.
    pub fn is_right(&self) -> bool {
        self.results.values().all(|figures| figures.samples.wrong == 0)
    }

    fn figures(&self, naive: bool, arm: &'static str) -> Vec<&Figures> {
        self.seeds.iter().filter_map(|seed| self.results.get(&(naive, arm, *seed))).collect()
    }

    fn merged(&self, naive: bool, arm: &'static str) -> Samples {
        let mut merged = Samples::default();
        for figures in self.figures(naive, arm) {
            merged.add(&figures.samples);
        }
        merged
    }

    /// Ratio over all seeds together, and its spread over the single seeds.
    fn ratio(&self, naive: bool, comparison: &Comparison) -> Option<(f64, Vec<f64>)> {
        let (arm, base) =
            (self.figures(naive, comparison.arm), self.figures(naive, comparison.base));
        if arm.is_empty() || base.is_empty() {
            return None;
        }
        let figure = comparison.figure;
        let all = figure(&self.merged(naive, comparison.arm))
            / figure(&self.merged(naive, comparison.base));
        let single =
            arm.iter().zip(&base).map(|(arm, base)| figure(&arm.samples) / figure(&base.samples));
        Some((all, single.collect()))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Ratios over all seeds (lowest to highest seed)")?;
        for &naive in &self.policies {
            writeln!(f, "{}:", policy(naive))?;
            for comparison in &COMPARISONS {
                let Some((all, single)) = self.ratio(naive, comparison) else { continue };
                writeln!(f, "  {}", comparison.title)?;
                writeln!(f, "    {all:.2} ({}), target {:.2}", spread(&single), comparison.target)?;
            }
            let batch = self.figures(naive, "batch");
            if !batch.is_empty() {
                let shares: Vec<_> = batch
                    .iter()
                    .map(|figures| figures.items_per_s / figures.spare_items_per_s)
                    .collect();
                let growth = batch.iter().map(|figures| figures.step_growth);
                writeln!(f, "  longer steps alone give {:.2}", growth.fold(0.0, f64::max))?;
                let mean = shares.iter().sum::<f64>() / shares.len() as f64;
                writeln!(f, "  batch items/s of what spare slots give")?;
                writeln!(f, "    {mean:.2} ({}), target 0.90", spread(&shares))?;
            }
            let all = || self.results.iter().filter(|((policy, ..), _)| *policy == naive);
            let sent: u64 = all().map(|(_, figures)| figures.samples.sent).sum();
            let extra: i64 = all().map(|(_, figures)| figures.extra_starts).sum();
            writeln!(f, "  extra starts by retries and hedges")?;
            let share = 100.0 * extra as f64 / sent.max(1) as f64;
            writeln!(f, "    {share:.1}% of {sent}, target 5%")?;
        }
        Ok(())
    }
}

fn spread(values: &[f64]) -> String {
    let lowest = values.iter().copied().fold(f64::INFINITY, f64::min);
    let highest = values.iter().copied().fold(0.0, f64::max);
    format!("{lowest:.2} to {highest:.2}")
}
