//! The demand that the other daemons see, estimated from the reports heard lately.

use std::{collections::BTreeMap, time::Duration};

use crate::{time::Time, traffic::Demand};

/// A report counts for this long. One probe a second reaches a random daemon, so a daemon hears
/// from about 60 others in this time, through their probes and their acks.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

/// Reports by sender.
#[derive(Clone, Debug, Default)]
pub(super) struct Reports {
    by_sender: BTreeMap<String, (Time, Vec<Demand>)>,
}

impl Reports {
    pub fn record(&mut self, now: Time, from: &str, demand: Vec<Demand>) {
        self.by_sender.insert(from.into(), (now, demand));
    }

    pub fn remove(&mut self, from: &str) {
        self.by_sender.remove(from);
    }

    /// Demand of all `others` daemons together, extrapolated from those heard.
    pub fn total(&mut self, now: Time, others: usize) -> Vec<Demand> {
        self.by_sender.retain(|_, (at, _)| now.since(*at) < REPORT_LIFETIME);
        let heard = self.by_sender.len();
        if heard == 0 {
            return Vec::new();
        }
        let scale = others.max(heard) as f64 / heard as f64;
        let mut sums: BTreeMap<(&str, &str), f64> = BTreeMap::new();
        for demand in self.by_sender.values().flat_map(|(_, demand)| demand) {
            *sums.entry((&demand.client, &demand.deployment)).or_default() += demand.requests_per_s;
        }
        sums.into_iter()
            .map(|((client, deployment), rate)| Demand {
                client: client.into(),
                deployment: deployment.into(),
                requests_per_s: rate * scale,
            })
            .collect()
    }
}
