//! State machine that ties the traffic decisions together.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use cyclamengrade_configuration::Document;
use rand::{SeedableRng, rngs::StdRng};
use slotmap::{SecondaryMap, SlotMap};

use crate::{
    fleet::{Fleet, UpstreamKey},
    time::Time,
    traffic::{
        active_request::{ActiveRequest, FinishedRequests},
        message::{Action, AttemptId, Demand, Input, Load, RequestId, Settings},
        pool::{Pool, PoolKey},
        status::{DeploymentStatus, ServingState, UpstreamStatus},
        upstream::UpstreamState,
    },
};

/// Admits and routes online requests, and limits the number of batch streams at each upstream.
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    pub(super) fleet: Fleet,
    pub(super) document: Arc<Document>,
    /// Names of the live daemons, including this one.
    pub(super) members: Vec<String>,
    /// Requests per second at the other daemons, by deployment and client.
    pub(super) demand: BTreeMap<(String, String), f64>,
    pub(super) pools: SlotMap<PoolKey, Pool>,
    pub(super) pool_keys: BTreeMap<String, PoolKey>,
    pub(super) upstream_states: SecondaryMap<UpstreamKey, UpstreamState>,
    /// Upstreams to which this daemon dispatches batch work.
    pub(super) dispatched_upstreams: Vec<UpstreamKey>,
    pub(super) active_requests: BTreeMap<RequestId, ActiveRequest>,
    /// Request of each attempt in flight.
    pub(super) attempts: BTreeMap<AttemptId, RequestId>,
    pub(super) deadlines: BTreeSet<(Time, RequestId)>,
    pub(super) finished_requests: FinishedRequests,
    pub(super) next_attempt: u64,
    /// Upstreams whose batch limit and notice must be updated before the next actions are returned.
    pub(super) changed_upstreams: Vec<UpstreamKey>,
    /// Upstreams whose notice to the batch dispatcher is held back.
    pub(super) unsent_notices: BTreeSet<UpstreamKey>,
    pub(super) last_runs: LastRuns,
}

/// Times of the last runs of periodic work.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastRuns {
    /// Last update of the latency and load baselines.
    pub baselines: Time,
    /// Last update of rates and demand.
    pub rates: Time,
}

impl Machine {
    /// Creates a state machine that knows no upstreams yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
            fleet: Fleet::default(),
            document: Arc::default(),
            members: Vec::new(),
            demand: BTreeMap::new(),
            pools: SlotMap::with_key(),
            pool_keys: BTreeMap::new(),
            upstream_states: SecondaryMap::new(),
            dispatched_upstreams: Vec::new(),
            active_requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            finished_requests: FinishedRequests::default(),
            next_attempt: 0,
            changed_upstreams: Vec::new(),
            unsent_notices: BTreeSet::new(),
            last_runs: LastRuns::default(),
        }
    }

    /// Processes an input and returns the resulting actions in the order in which to execute them.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Arrived(request) => self.handle_arrival(now, request, &mut actions),
            Input::FirstToken { attempt } => self.handle_first_token(now, attempt, &mut actions),
            Input::Tokens { attempt, count, elapsed, longest_gap } => {
                self.handle_tokens(now, attempt, (count, elapsed, longest_gap), &mut actions);
            }
            Input::Silent { attempt } => self.handle_silence(now, attempt, &mut actions),
            Input::Ended { attempt, outcome, delivered } => {
                self.handle_attempt_end(now, attempt, outcome, delivered, &mut actions);
            }
            Input::Abandoned { request } => self.end_request(now, request, &mut actions),
            Input::Load { upstream, load } => self.handle_load_report(now, &upstream, load),
            Input::Cached { upstream, prefix } => self.handle_cached_prefix(&upstream, prefix),
            Input::OnlineNotice { from, upstream, in_flight } => {
                self.handle_online_notice(now, from, &upstream, in_flight);
            }
            Input::BatchStarted { upstream } => self.handle_batch_start(now, &upstream),
            Input::BatchEnded { upstream, outcome, first_token, between_tokens } => {
                self.handle_batch_end(now, &upstream, outcome, (first_token, between_tokens));
            }
            Input::Fleet { vms, document } => {
                self.handle_fleet_change(&vms, document, &mut actions)
            }
            Input::Members { names, demand } => self.handle_member_change(now, names, demand),
            Input::Tick => self.handle_tick(now, &mut actions),
        }
        self.dispatch_queued(now, &mut actions);
        self.emit_batch_updates(now, &mut actions);
        actions
    }

    /// Returns the known upstreams and their addresses.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Whether ticks should come every 5 ms. This is the case while a request waits in the queue or
    /// for its first token, or while a notice to a batch dispatcher is held back.
    pub fn needs_fast_ticks(&self) -> bool {
        !self.unsent_notices.is_empty()
            || self
                .pools
                .values()
                .any(|pool| !pool.queue.is_empty() || !pool.awaiting_first_token.is_empty())
    }

    /// Returns the upstreams whose load reports this daemon needs: those in its subsets for online
    /// requests, and those to which it dispatches batch work.
    pub fn monitored_upstreams(&self) -> BTreeSet<UpstreamKey> {
        let considered = self.pools.values().flat_map(|pool| pool.subset.iter().copied());
        considered.chain(self.dispatched_upstreams.iter().copied()).collect()
    }

    /// Returns the demand that this daemon sees, for each client and deployment.
    pub fn demand(&self) -> Vec<Demand> {
        let mut entries = Vec::new();
        for (deployment, &key) in &self.pool_keys {
            let Some(pool) = self.pools.get(key) else { continue };
            for (client, limiter) in &pool.limiters {
                if limiter.rate() > 0.0 {
                    entries.push(Demand {
                        client: client.clone(),
                        deployment: deployment.clone(),
                        requests_per_s: limiter.rate(),
                    });
                }
            }
        }
        entries
    }

    /// Returns the status of all deployments, ordered by name.
    pub fn deployment_status(&self) -> Vec<DeploymentStatus> {
        let pools = self.pool_keys.iter();
        pools
            .filter_map(|(deployment, &key)| {
                let pool = self.pools.get(key)?;
                Some(DeploymentStatus {
                    deployment: deployment.clone(),
                    queued: pool.queue.len(),
                    retry_budget: pool.budget.level(),
                    retries_denied: pool.budget.denied(),
                })
            })
            .collect()
    }

    /// Returns the status of all upstreams, ordered by name.
    pub fn upstream_status(&self) -> Vec<UpstreamStatus> {
        let keys = self.fleet.by_name.values();
        keys.filter_map(|&key| {
            let upstream = self.fleet.upstreams.get(key)?;
            let state = self.upstream_states.get(key)?;
            Some(UpstreamStatus {
                name: upstream.name.clone(),
                deployment: upstream.deployment.clone(),
                data_centre: upstream.data_centre.clone(),
                state: serving_state(upstream.leaving, state),
                online: state.outstanding.own(),
                batch: state.batch_limiter.streams(),
                reported_running: state.outstanding.last_report().map_or(0, |load| load.running),
                first_token_ms: state.first_token.micros().unwrap_or_default() / 1_000.0,
            })
        })
        .collect()
    }
}

fn serving_state(leaving: bool, state: &UpstreamState) -> ServingState {
    match state.outstanding.last_report() {
        _ if leaving => ServingState::Leaving,
        Some(Load { leaving: true, .. }) => ServingState::Leaving,
        Some(Load { ready: false, .. }) => ServingState::Loading,
        _ if state.health.is_ejected() && state.health.failures() > 0 => ServingState::Unreachable,
        _ if state.health.is_ejected() => ServingState::Ejected,
        _ => ServingState::Ready,
    }
}
