//! Selection of the upstream for the next attempt of a request.

use cyclamengrade_configuration::Kind;

use crate::{
    fleet::UpstreamKey,
    routing::{Candidate, power_of_two_choices, prefix_affine},
    time::Time,
    traffic::{
        active_request::ActiveRequest, machine::Machine, pool::Pool, upstream::UpstreamState,
    },
};

/// Limit on this daemon's own online requests per slot. Further requests wait in the queue of the
/// daemon, where they can still go to whichever upstream is free first.
const MAX_OWN_PER_SLOT: u32 = 2;
/// Limit on the estimated outstanding requests per slot. It is above 1 because the last report
/// still counts batch streams that have been cancelled since, and online work must not wait for the
/// next report.
const MAX_OUTSTANDING_PER_SLOT: f64 = 3.0;
/// Factor on the relative latency for each consecutive failed attempt.
const FAILURE_PENALTY: f64 = 4.0;
/// Maximum number of consecutive failed attempts to which `FAILURE_PENALTY` is applied.
const MAX_PENALTY_FAILURES: u32 = 4;

/// Result of the selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// Send the request to this upstream.
    Upstream(UpstreamKey),
    /// Send the request as a probe to this ejected upstream.
    Probe(UpstreamKey),
    /// The upstreams that are in service and were not tried yet are ejected or have no room.
    Full,
    /// No upstream that was not tried yet is in service.
    NoneInService,
}

/// Upstreams of a deployment, grouped by how they can serve a request.
#[derive(Default)]
struct Scan {
    candidates: Vec<Candidate>,
    /// Upstreams with a long current wait or a recent loss against a hedge.
    suspects: Vec<Candidate>,
    /// Upstreams without a load report.
    unreported: Vec<Candidate>,
    /// Whether any upstream that was not tried yet is in service.
    in_service: bool,
    /// An ejected upstream, if there is one.
    ejected: Option<UpstreamKey>,
    /// An ejected upstream that the request itself should probe.
    probe: Option<UpstreamKey>,
}

impl Machine {
    /// Chooses the upstream for the next attempt of a request.
    pub(super) fn choose(&mut self, now: Time, active: &ActiveRequest) -> Choice {
        let Some(pool) = self.pools.get(active.pool) else { return Choice::NoneInService };
        if self.settings.naive {
            return self.next_round_robin(active);
        }
        let mut scan = self.scan(now, pool, &pool.subset, active);
        if !scan.in_service && pool.subset.len() < pool.upstreams.len() {
            scan = self.scan(now, pool, &pool.upstreams, active);
        }
        // When more than half are suspects, the waits do not point at individual slow upstreams.
        if scan.suspects.len() > scan.candidates.len() {
            scan.candidates.append(&mut scan.suspects);
        }
        if active.tried.is_empty()
            && let Some(key) = scan.probe
        {
            return Choice::Probe(key);
        }
        let candidates =
            if scan.candidates.is_empty() { &scan.unreported } else { &scan.candidates };
        let prefix = active.request.prefix;
        let chosen = prefix_affine(candidates, prefix, pool.cache_hints.get(prefix))
            .or_else(|| power_of_two_choices(candidates, &mut self.rng));
        match (chosen, scan.ejected) {
            (Some(key), _) => Choice::Upstream(key),
            // A retry uses an ejected upstream when there is no other.
            (None, Some(key)) if !active.tried.is_empty() => Choice::Upstream(key),
            (None, _) if scan.in_service => Choice::Full,
            (None, _) => Choice::NoneInService,
        }
    }

    /// Returns an ejected upstream that is due for a probe beside a regular attempt.
    pub(super) fn due_probe(&self, now: Time, active: &ActiveRequest) -> Option<UpstreamKey> {
        let pool = self.pools.get(active.pool)?;
        pool.subset.iter().copied().find(|&key| {
            self.upstream_states.get(key).is_some_and(|state| state.health.probe_due(now))
                && self.in_service(key)
                && !active.tried.contains(&key)
        })
    }

    /// Whether an upstream is listed, ready and not leaving. Upstreams without a load report count
    /// as ready.
    pub(super) fn in_service(&self, key: UpstreamKey) -> bool {
        let listed = self.fleet.upstreams.get(key).is_some_and(|upstream| !upstream.leaving);
        let load = self.upstream_states.get(key).and_then(|state| state.outstanding.last_report());
        listed && load.is_none_or(|load| load.ready && !load.leaving)
    }

    fn scan(&self, now: Time, pool: &Pool, keys: &[UpstreamKey], active: &ActiveRequest) -> Scan {
        let mut scan = Scan::default();
        for &key in keys {
            let Some(state) = self.upstream_states.get(key) else { continue };
            if !self.in_service(key) || active.tried.contains(&key) {
                continue;
            }
            scan.in_service = true;
            if state.health.is_ejected() {
                scan.ejected = Some(key);
                let solo_probe_due = active.request.idempotent && state.health.solo_probe_due(now);
                if solo_probe_due || state.health.probe_overdue(now) {
                    scan.probe = Some(key);
                }
            } else if has_room(now, state, pool) {
                let candidate = candidate(now, key, state, pool);
                let suspect = pool.latency_baseline.suspect_delay();
                let is_late = suspect.is_some() && state.longest_wait(now) >= suspect;
                if is_late || state.health.is_suspected(now) {
                    scan.suspects.push(candidate);
                } else if state.outstanding.last_report().is_some() || pool.kind == Kind::Service {
                    scan.candidates.push(candidate);
                } else {
                    scan.unreported.push(candidate);
                }
            }
        }
        scan
    }

    fn next_round_robin(&mut self, active: &ActiveRequest) -> Choice {
        let Some(pool) = self.pools.get(active.pool) else { return Choice::NoneInService };
        let usable: Vec<_> = pool
            .upstreams
            .iter()
            .copied()
            .filter(|&key| self.in_service(key) && !active.tried.contains(&key))
            .collect();
        let turn = pool.round_robin.wrapping_add(1);
        if let Some(pool) = self.pools.get_mut(active.pool) {
            pool.round_robin = turn;
        }
        let chosen = usable.get(turn % usable.len().max(1));
        chosen.map_or(Choice::NoneInService, |&key| Choice::Upstream(key))
    }
}

fn has_room(now: Time, state: &UpstreamState, pool: &Pool) -> bool {
    let slots = state.outstanding.slots();
    let own = state.outstanding.own();
    let room = slots == 0
        || (own < slots.saturating_mul(MAX_OWN_PER_SLOT)
            && state.outstanding.estimate(now, pool.load_baseline)
                < f64::from(slots) * MAX_OUTSTANDING_PER_SLOT);
    room && state.health.has_room(own)
}

fn candidate(now: Time, key: UpstreamKey, state: &UpstreamState, pool: &Pool) -> Candidate {
    let relative_latency = pool
        .latency_baseline
        .relative_latency(state.first_token_estimate(now), state.token_gap.micros());
    let failures = state.health.penalty(now).min(MAX_PENALTY_FAILURES);
    Candidate {
        key,
        name_hash: state.name_hash,
        load: state.outstanding.estimate(now, pool.load_baseline),
        relative_latency: relative_latency * FAILURE_PENALTY.powi(failures.cast_signed()),
    }
}
