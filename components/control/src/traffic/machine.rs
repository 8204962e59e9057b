//! The state machine.

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
        flight::{Flight, Recent},
        message::{Action, AttemptId, Demand, Input, Load, RequestId, Settings},
        node::Node,
        pool::{Pool, PoolKey},
        status::{State, Status, Summary},
    },
};

/// Decides about online requests and about the number of batch streams at each upstream.
pub struct Machine {
    pub(super) settings: Settings,
    pub(super) rng: StdRng,
    pub(super) fleet: Fleet,
    pub(super) document: Arc<Document>,
    pub(super) members: Vec<String>,
    pub(super) demand: BTreeMap<(String, String), f64>,
    pub(super) pools: SlotMap<PoolKey, Pool>,
    pub(super) pool_names: BTreeMap<String, PoolKey>,
    pub(super) nodes: SecondaryMap<UpstreamKey, Node>,
    pub(super) mine: Vec<UpstreamKey>,
    pub(super) flights: BTreeMap<RequestId, Flight>,
    pub(super) attempts: BTreeMap<AttemptId, RequestId>,
    pub(super) deadlines: BTreeSet<(Time, RequestId)>,
    pub(super) recent: Recent,
    pub(super) next_attempt: u64,
    pub(super) touched: Vec<UpstreamKey>,
    pub(super) unsent_notices: BTreeSet<UpstreamKey>,
    pub(super) periods: Periods,
}

/// When periodic work was done last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Periods {
    /// Medians of the upstreams.
    pub typical: Time,
    /// Rates and demand.
    pub second: Time,
}

impl Machine {
    /// A machine that knows no upstream yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            settings,
            fleet: Fleet::default(),
            document: Arc::default(),
            members: Vec::new(),
            demand: BTreeMap::new(),
            pools: SlotMap::with_key(),
            pool_names: BTreeMap::new(),
            nodes: SecondaryMap::new(),
            mine: Vec::new(),
            flights: BTreeMap::new(),
            attempts: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            recent: Recent::default(),
            next_attempt: 0,
            touched: Vec::new(),
            unsent_notices: BTreeSet::new(),
            periods: Periods::default(),
        }
    }

    /// Takes an input and returns what to do, in order.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Arrived(request) => self.arrived(now, request, &mut actions),
            Input::FirstToken { attempt } => self.first_token(now, attempt, &mut actions),
            Input::Tokens { attempt, count, elapsed, longest_gap } => {
                self.tokens(now, attempt, (count, elapsed, longest_gap), &mut actions);
            }
            Input::Silent { attempt } => self.silent(now, attempt, &mut actions),
            Input::Ended { attempt, outcome, delivered } => {
                self.ended(now, attempt, outcome, delivered, &mut actions);
            }
            Input::Abandoned { request } => self.abandoned(now, request, &mut actions),
            Input::Load { upstream, load } => self.loaded(now, &upstream, load),
            Input::Cached { upstream, prefix } => self.cached(&upstream, prefix),
            Input::OnlineNotice { from, upstream, in_flight } => {
                self.noticed(now, from, &upstream, in_flight);
            }
            Input::BatchStarted { upstream } => self.batch_started(now, &upstream),
            Input::BatchEnded { upstream, outcome, first_token, between_tokens } => {
                self.batch_ended(now, &upstream, outcome, (first_token, between_tokens));
            }
            Input::Fleet { vms, document } => self.fleet_changed(&vms, document, &mut actions),
            Input::Members { names, demand } => self.members_changed(now, names, demand),
            Input::Tick => self.tick(now, &mut actions),
        }
        self.pump(now, &mut actions);
        self.settle(now, &mut actions);
        actions
    }

    /// The upstreams with their addresses.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Whether ticks should come every 5 ms: a request waits in the queue or for its first token,
    /// or a notice to a batch dispatcher is due.
    pub fn is_waiting(&self) -> bool {
        !self.unsent_notices.is_empty()
            || self.pools.values().any(|pool| !pool.queue.is_empty() || !pool.pending.is_empty())
    }

    /// Upstreams whose load reports matter to this daemon: those that it considers for online
    /// requests, and those to which it dispatches batch work.
    pub fn watched(&self) -> BTreeSet<UpstreamKey> {
        let considered = self.pools.values().flat_map(|pool| pool.subset.iter().copied());
        considered.chain(self.mine.iter().copied()).collect()
    }

    /// Requests a second that this daemon sees.
    pub fn demand(&self) -> Vec<Demand> {
        let mut entries = Vec::new();
        for (deployment, &key) in &self.pool_names {
            let Some(pool) = self.pools.get(key) else { continue };
            for (client, account) in &pool.accounts {
                if account.rate() > 0.0 {
                    entries.push(Demand {
                        client: client.clone(),
                        deployment: deployment.clone(),
                        requests_per_s: account.rate(),
                    });
                }
            }
        }
        entries
    }

    /// The deployments in order of name.
    pub fn summaries(&self) -> Vec<Summary> {
        let pools = self.pool_names.iter();
        pools
            .filter_map(|(deployment, &key)| {
                let pool = self.pools.get(key)?;
                Some(Summary {
                    deployment: deployment.clone(),
                    queued: pool.queue.len(),
                    retry_budget: pool.budget.level(),
                    retries_denied: pool.budget.denied(),
                })
            })
            .collect()
    }

    /// The upstreams in order of name.
    pub fn status(&self) -> Vec<Status> {
        let keys = self.fleet.by_name.values();
        keys.filter_map(|&key| {
            let upstream = self.fleet.upstreams.get(key)?;
            let node = self.nodes.get(key)?;
            Some(Status {
                name: upstream.name.clone(),
                deployment: upstream.deployment.clone(),
                data_centre: upstream.data_centre.clone(),
                state: state(upstream.leaving, node),
                online: node.work.own(),
                batch: node.pace.batch(),
                reported_running: node.work.last().map_or(0, |load| load.running),
                first_token_ms: node.first.micros().unwrap_or_default() / 1_000.0,
            })
        })
        .collect()
    }
}

fn state(leaving: bool, node: &Node) -> State {
    match node.work.last() {
        _ if leaving => State::Leaving,
        Some(Load { leaving: true, .. }) => State::Leaving,
        Some(Load { ready: false, .. }) => State::Loading,
        _ if node.health.is_ejected() && node.health.failures() > 0 => State::Unreachable,
        _ if node.health.is_ejected() => State::Ejected,
        _ => State::Ready,
    }
}
