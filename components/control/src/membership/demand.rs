//! Estimate of the demand at the other daemons, from their recent reports.

use std::{collections::BTreeMap, time::Duration};

use crate::{time::Time, traffic::Demand};

/// Time for which a report is used. Each daemon probes one random member per second, so a daemon
/// gets reports from about 60 others in this time, through their probes and their acks.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// Latest demand report of each daemon, with the time at which it was received.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandReports {
    by_sender: BTreeMap<String, (Time, Vec<Demand>)>,
}

impl DemandReports {
    pub fn record(&mut self, now: Time, from: &str, demand: Vec<Demand>) {
        self.by_sender.insert(from.into(), (now, demand));
    }

    pub fn remove(&mut self, from: &str) {
        self.by_sender.remove(from);
    }

    /// Returns the total demand at all `others` daemons, extrapolated from those that have
    /// reported.
    pub fn total(&mut self, now: Time, others: usize) -> Vec<Demand> {
        self.by_sender.retain(|_, (received, _)| now.since(*received) < REPORT_TTL);
        let reporting = self.by_sender.len();
        if reporting == 0 {
            return Vec::new();
        }
        let scale = others.max(reporting) as f64 / reporting as f64;
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
