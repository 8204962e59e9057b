//! Choice between candidates.

use rand::RngExt;

use crate::fleet::UpstreamKey;

/// Load of the affine upstream relative to the mean up to which it is chosen.
const AFFINITY_BOUND: f64 = 1.25;
/// Relative latency up to which the affine upstream is chosen.
const AFFINITY_LATENCY: f64 = 2.0;

/// An upstream that can take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its key.
    pub key: UpstreamKey,
    /// Stable hash of its name.
    pub hash: u64,
    /// Outstanding requests.
    pub load: f64,
    /// Latency relative to its peers; raised by failed attempts.
    pub relative: f64,
}

impl Candidate {
    /// The lower, the better.
    pub fn score(&self) -> f64 {
        (self.load + 1.0) * self.relative
    }
}

/// The better one of two random candidates (Mitzenmacher 2001). The best of all would be the same
/// one for every daemon that has the same report.
pub fn lighter<R: RngExt>(candidates: &[Candidate], rng: &mut R) -> Option<UpstreamKey> {
    match candidates {
        [] => None,
        [only] => Some(only.key),
        _ => {
            let first = rng.random_range(0..candidates.len());
            let other = rng.random_range(0..candidates.len() - 1);
            let second = if other >= first { other + 1 } else { other };
            let (a, b) = (&candidates[first], &candidates[second]);
            Some(if b.score() < a.score() { b.key } else { a.key })
        }
    }
}

/// The candidate that has, or should have, the prompt prefix in its cache, unless it is loaded
/// above the mean.
pub fn affine(
    candidates: &[Candidate],
    prefix: u64,
    cached: Option<UpstreamKey>,
) -> Option<UpstreamKey> {
    if prefix == 0 || candidates.is_empty() {
        return None;
    }
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = sum / candidates.len() as f64;
    let fits = |candidate: &&Candidate| {
        candidate.load + 1.0 <= AFFINITY_BOUND * (mean + 1.0)
            && candidate.relative <= AFFINITY_LATENCY
    };
    let hinted = candidates.iter().find(|candidate| Some(candidate.key) == cached).filter(fits);
    let owner = || candidates.iter().max_by_key(|candidate| mix(candidate.hash ^ prefix));
    hinted.or_else(|| owner().filter(fits)).map(|candidate| candidate.key)
}

/// Finaliser of SplitMix64 (Steele, Lea and Flood 2014).
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
