//! Which upstreams can take a request, and which one gets it.

use cyclamengrade_configuration::Kind;

use crate::{
    fleet::UpstreamKey,
    routing::{Candidate, affine, lighter},
    time::Time,
    traffic::{flight::Flight, machine::Machine, node::Node, pool::Pool},
};

/// Own requests per slot above which an upstream takes no more. Requests then wait here, where
/// they can still go to whichever upstream is free first.
const OWN_PER_SLOT: u32 = 2;
/// Outstanding requests per slot above which an upstream takes no more. Batch streams that were
/// already cancelled are still in the report, and online work must not wait for the next one.
const ALL_PER_SLOT: f64 = 3.0;
/// Factor on the score for each failed attempt in a row.
const FAILURE_FACTOR: f64 = 4.0;
/// Failed attempts that count in the score.
const MOST_FAILURES: u32 = 4;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// To this upstream.
    Upstream(UpstreamKey),
    /// To this upstream, which is ejected and due for a probe.
    Probe(UpstreamKey),
    /// Every upstream in service is full.
    Full,
    /// No upstream is in service.
    Absent,
}

/// What a look at the upstreams of a deployment found.
#[derive(Default)]
struct Found {
    candidates: Vec<Candidate>,
    suspects: Vec<Candidate>,
    unreported: Vec<Candidate>,
    in_service: bool,
    ejected: Option<UpstreamKey>,
    probe: Option<UpstreamKey>,
}

impl Machine {
    /// The upstream for the next attempt of a request.
    pub(super) fn choose(&mut self, now: Time, flight: &Flight) -> Choice {
        let Some(pool) = self.pools.get(flight.pool) else { return Choice::Absent };
        if self.settings.naive {
            return self.next_in_turn(flight);
        }
        let mut found = self.look(now, pool, &pool.subset, flight);
        if !found.in_service && pool.subset.len() < pool.all.len() {
            found = self.look(now, pool, &pool.all, flight);
        }
        // Past a half, waits are no sign of single slow upstreams.
        if found.suspects.len() > found.candidates.len() {
            found.candidates.append(&mut found.suspects);
        }
        if flight.tried.is_empty()
            && let Some(key) = found.probe
        {
            return Choice::Probe(key);
        }
        let candidates =
            if found.candidates.is_empty() { &found.unreported } else { &found.candidates };
        let prefix = flight.request.prefix;
        let chosen = affine(candidates, prefix, pool.hints.get(prefix))
            .or_else(|| lighter(candidates, &mut self.rng));
        match (chosen, found.ejected) {
            (Some(key), _) => Choice::Upstream(key),
            // A retry may use an ejected upstream rather than none.
            (None, Some(key)) if !flight.tried.is_empty() => Choice::Upstream(key),
            (None, _) if found.in_service => Choice::Full,
            (None, _) => Choice::Absent,
        }
    }

    /// An ejected upstream that is due for a probe beside a regular attempt.
    pub(super) fn probe_due(&self, now: Time, flight: &Flight) -> Option<UpstreamKey> {
        let pool = self.pools.get(flight.pool)?;
        pool.subset.iter().copied().find(|&key| {
            self.nodes.get(key).is_some_and(|node| node.health.probe_due(now))
                && self.in_service(key)
                && !flight.tried.contains(&key)
        })
    }

    /// Whether an upstream may get new work.
    pub(super) fn in_service(&self, key: UpstreamKey) -> bool {
        let listed = self.fleet.upstreams.get(key).is_some_and(|upstream| !upstream.leaving);
        let load = self.nodes.get(key).and_then(|node| node.work.last());
        listed && load.is_none_or(|load| load.ready && !load.leaving)
    }

    fn look(&self, now: Time, pool: &Pool, keys: &[UpstreamKey], flight: &Flight) -> Found {
        let mut found = Found::default();
        for &key in keys {
            let Some(node) = self.nodes.get(key) else { continue };
            if !self.in_service(key) || flight.tried.contains(&key) {
                continue;
            }
            found.in_service = true;
            if node.health.is_ejected() {
                found.ejected = Some(key);
                let trial = flight.request.idempotent && node.health.trial_due(now);
                if trial || node.health.probe_overdue(now) {
                    found.probe = Some(key);
                }
            } else if has_room(now, node, pool) {
                let candidate = candidate(now, key, node, pool);
                let suspect = pool.typical.suspect_delay();
                let is_late = suspect.is_some() && node.oldest(now) >= suspect;
                if is_late || node.health.is_suspected(now) {
                    found.suspects.push(candidate);
                } else if node.work.last().is_some() || pool.kind == Kind::Service {
                    found.candidates.push(candidate);
                } else {
                    found.unreported.push(candidate);
                }
            }
        }
        found
    }

    fn next_in_turn(&mut self, flight: &Flight) -> Choice {
        let Some(pool) = self.pools.get(flight.pool) else { return Choice::Absent };
        let usable: Vec<_> = pool
            .all
            .iter()
            .copied()
            .filter(|&key| self.in_service(key) && !flight.tried.contains(&key))
            .collect();
        let turn = pool.turn.wrapping_add(1);
        if let Some(pool) = self.pools.get_mut(flight.pool) {
            pool.turn = turn;
        }
        let chosen = usable.get(turn % usable.len().max(1));
        chosen.map_or(Choice::Absent, |&key| Choice::Upstream(key))
    }
}

fn has_room(now: Time, node: &Node, pool: &Pool) -> bool {
    let slots = node.work.slots();
    let own = node.work.own();
    let room = slots == 0
        || (own < slots.saturating_mul(OWN_PER_SLOT)
            && node.work.estimate(now, pool.usual) < f64::from(slots) * ALL_PER_SLOT);
    room && node.health.has_room(own)
}

fn candidate(now: Time, key: UpstreamKey, node: &Node, pool: &Pool) -> Candidate {
    let relative = pool.typical.relative(node.first(now), node.gap.micros());
    let failures = node.health.penalty(now).min(MOST_FAILURES);
    Candidate {
        key,
        hash: node.hash,
        load: node.work.estimate(now, pool.usual),
        relative: relative * FAILURE_FACTOR.powi(failures.cast_signed()),
    }
}
