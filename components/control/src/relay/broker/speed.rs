//! Speeds of upstreams, learned from how they answer.
//!
//! An upstream writes events more slowly the more requests it has. That is its load, not its speed. So each shard
//! learns the time between events by the number of requests at an upstream, over all of its upstreams, and
//! each upstream its time relative to that: the slowness. A lasting difference and a momentary one are averaged
//! apart.

use std::{collections::BTreeMap, time::Duration};

use crate::time::Time;

/// Weight of a new sample in the average of the lasting slowness.
const LASTING_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the average of the momentary slowness.
const MOMENTARY_WEIGHT: f64 = 0.4;
/// Time constant with which the momentary slowness returns to the lasting one.
const MOMENT: Duration = Duration::from_secs(2);
/// Weight of a new sample in the averages of a shard.
const SHARD_WEIGHT: f64 = 0.05;
/// Fewest events of a response whose time between events counts.
const MIN_EVENTS: u32 = 4;
/// Slowness from which an upstream is used after the others. Smaller differences cost callers less than the new
/// connections that they would cause.
const SLOW_RATIO: f64 = 1.4;
/// Slowness from which the difference of an upstream is told to other relays, and its reciprocal.
const NOTABLE_RATIO: f64 = 1.15;
/// Samples before the slowness of an upstream is used.
const MIN_SAMPLES: u32 = 3;
/// Bounds of a single sample, so that one odd response does not decide.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 8.0);

/// What relays tell each other of the speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Short id of the upstream.
    pub upstream: u32,
    /// Lasting slowness, in thousandths.
    pub slowness_milli: u32,
    /// Time since the last sample.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Speed {
    lasting: f64,
    momentary: f64,
    samples: u32,
    sampled_at: Time,
}

impl Speed {
    /// Returns the slowness at a time.
    fn slowness(&self, now: Time) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 1.0;
        }
        let age = now.since(self.sampled_at).as_secs_f64();
        let excess = (self.momentary - self.lasting).max(0.0);
        self.lasting + excess * (-age / MOMENT.as_secs_f64()).exp()
    }
}

/// Averages of one shard.
#[derive(Clone, Debug, Default)]
struct Shard {
    /// Time between events by the number of requests at an upstream, in seconds, without slowness.
    gaps: BTreeMap<u32, f64>,
    /// Time to the first event, in seconds.
    first: Option<f64>,
}

/// Speeds of the upstreams of a broker.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    shards: BTreeMap<u32, Shard>,
    by_upstream: BTreeMap<u32, Speed>,
}

/// A response as it counts towards the speed of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub shard: u32,
    pub upstream: u32,
    /// Mean number of requests at the upstream while it wrote the response.
    pub requests: u32,
    /// Mean time between two events.
    pub gap: Duration,
    pub events: u32,
}

impl Speeds {
    /// Records the time between the events of a response.
    pub fn record_gap(&mut self, sample: Sample, now: Time) {
        if sample.events < MIN_EVENTS || sample.gap.is_zero() {
            return;
        }
        let gap = sample.gap.as_secs_f64();
        let slowness = self.by_upstream.get(&sample.upstream).map_or(1.0, |speed| speed.lasting);
        let shard = self.shards.entry(sample.shard).or_default();
        // The first response at a load says nothing of the upstream.
        let usual = *shard.gaps.entry(sample.requests).or_insert(gap / slowness);
        let ratio = (gap / usual).clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let speed = self.by_upstream.entry(sample.upstream).or_insert(Speed {
            lasting: ratio,
            momentary: ratio,
            samples: 0,
            sampled_at: now,
        });
        speed.lasting += (ratio - speed.lasting) * LASTING_WEIGHT;
        speed.momentary += (ratio - speed.momentary) * MOMENTARY_WEIGHT;
        speed.samples = speed.samples.saturating_add(1);
        speed.sampled_at = now;
        // The curve is that of an upstream of usual speed, whichever upstreams are used most.
        let normal = gap / speed.lasting;
        shard.gaps.insert(sample.requests, usual + (normal - usual) * SHARD_WEIGHT);
    }

    /// Records the time to the first event of a response of an upstream that is not limited.
    pub fn record_first(&mut self, shard: u32, first: Duration) {
        let usual = &mut self.shards.entry(shard).or_default().first;
        let first = first.as_secs_f64();
        *usual = Some(usual.map_or(first, |usual| usual + (first - usual) * SHARD_WEIGHT));
    }

    /// Returns the usual time to the first event; `None` before the first response.
    pub fn usual_first(&self, shard: u32) -> Option<Duration> {
        Duration::try_from_secs_f64(self.shards.get(&shard)?.first?).ok()
    }

    /// Returns the time between the events of an upstream relative to the others at equal load.
    pub fn slowness(&self, upstream: u32, now: Time) -> f64 {
        self.by_upstream.get(&upstream).map_or(1.0, |speed| speed.slowness(now))
    }

    /// Whether an upstream is so slow that others are used first.
    pub fn is_slow(&self, upstream: u32, now: Time) -> bool {
        self.slowness(upstream, now) >= SLOW_RATIO
    }

    /// Forgets the upstreams for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.by_upstream.retain(|upstream, _| is_listed(*upstream));
    }

    /// Returns the lasting slowness of the upstreams that differ from the others.
    pub fn news(&self, now: Time) -> Vec<News> {
        let known = self.by_upstream.iter().filter(|(_, speed)| speed.samples >= MIN_SAMPLES);
        let differ = known.filter(|(_, speed)| {
            speed.lasting >= NOTABLE_RATIO || speed.lasting <= NOTABLE_RATIO.recip()
        });
        differ
            .map(|(upstream, speed)| News {
                upstream: *upstream,
                slowness_milli: (speed.lasting * 1_000.0) as u32,
                age: now.since(speed.sampled_at),
            })
            .collect()
    }

    /// Takes over what another broker learned, unless this one has learned it itself.
    pub fn adopt(&mut self, news: &News, now: Time) {
        let slowness = f64::from(news.slowness_milli) / 1_000.0;
        let slowness = slowness.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        self.by_upstream.entry(news.upstream).or_insert(Speed {
            lasting: slowness,
            momentary: slowness,
            samples: MIN_SAMPLES,
            sampled_at: now - news.age,
        });
    }
}
