//! Online requests: the actor that runs the traffic state machine, the tasks that send requests to
//! upstreams, and the poller of the upstreams' load.

mod actor;
mod attempt;
mod claim;
mod claims;
mod completion;
mod meter;
mod poller;
mod service;
mod session;
mod status;

use std::{
    collections::BTreeMap,
    hash::{BuildHasher, Hasher, RandomState},
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use cyclamengrade_caller::{
    Failure, Kind,
    backend::{Completion, Event, ServiceCall, ServiceResponse},
};
use cyclamengrade_configuration as configuration;
use cyclamengrade_control::{
    fleet::Vm,
    traffic::{Action, Demand, Input, Request, RequestId, Settings, UpstreamStatus},
};
use cyclamengrade_telemetry::trace;
use cyclamengrade_upstream::{Client, wire};
use kameo::{
    actor::{ActorRef, Spawn},
    mailbox,
};
use siphasher::{sip::SipHasher13, sip128};
use tokio::sync::{mpsc, oneshot};

pub use self::claims::{Answer, Claims, Decision, Outcome};
use self::{
    actor::{Arguments, ReadDemand, ReadStatus, Report, Traffic},
    attempt::Attempts,
    claim::Claim,
    meter::Meter,
    poller::Models,
    session::Session,
};
use crate::node::Node;

/// Events of one completion that are buffered while the caller reads slowly.
const EVENT_CHANNEL_CAPACITY: usize = 64;
/// Leading bytes of a prompt whose hash is used for prefix affinity; the engines hash the same
/// bytes for their cache events.
const PREFIX_BYTES: usize = 64;
/// Maximum time until the deadline of a request; a later deadline is reduced to it.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);
/// Minimum time between two reports of the tokens of one attempt to the control thread.
const MIN_TOKEN_REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Maximum rate of token reports of all attempts together, which bounds the work of the control
/// thread.
const MAX_TOKEN_REPORTS_PER_S: u32 = 1_000;

/// Handles the online requests of one daemon. Clones share the state.
#[derive(Clone)]
pub struct Online {
    shared: Arc<Shared>,
}

/// State that the tasks of all requests share.
struct Shared {
    node: Arc<Node>,
    client: Client,
    traffic: ActorRef<Traffic>,
    claims: Option<Arc<dyn Claims>>,
    next_request: AtomicU64,
    /// Random number that makes the stream IDs of this process unique among all processes.
    process_nonce: u64,
    completions_in_flight: AtomicUsize,
    models: Models,
}

impl Online {
    /// Starts the actor `Traffic` on the current runtime, which must be that of the control
    /// thread.
    ///
    /// `batch_actions` receives the actions [`Action::BatchLimit`] and [`Action::Notify`]. Without
    /// `claims`, a non-idempotent request that the caller sends again, even with the same
    /// idempotency key, may run again.
    pub fn new(
        node: Arc<Node>,
        client: Client,
        claims: Option<Arc<dyn Claims>>,
        batch_actions: mpsc::UnboundedSender<Action>,
    ) -> Self {
        let settings = &node.settings;
        let process_nonce = RandomState::new().build_hasher().finish();
        let arguments = Arguments {
            settings: Settings {
                daemon: settings.name.clone(),
                data_centre: settings.data_centre.clone(),
                seed: settings.policy.seed.unwrap_or(process_nonce),
                subset: settings.policy.subset,
                queue: settings.policy.queue,
                retry_share: settings.policy.retry_share,
                naive: settings.policy.naive,
            },
            clock: node.clock,
            batch_actions,
        };
        // The number of messages is limited by the requests in flight. A bounded mailbox could
        // block the tasks of the requests.
        let traffic = Traffic::spawn_with_mailbox(arguments, mailbox::unbounded());
        Self {
            shared: Arc::new(Shared {
                node,
                client,
                traffic,
                claims,
                next_request: AtomicU64::new(0),
                process_nonce,
                completions_in_flight: AtomicUsize::new(0),
                models: Models::default(),
            }),
        }
    }

    /// Passes the vms, the configuration and the members of the node to the actor, and polls the
    /// load of the upstreams, until the daemon stops. Must be spawned on the traffic runtime.
    pub async fn run(&self) {
        tokio::join!(self.shared.forward_node_state(), poller::run(Arc::clone(&self.shared)));
    }

    /// Passes an input that does not belong to an online request to the traffic state machine.
    pub fn send_input(&self, input: Input) {
        self.shared.send_input(input);
    }

    /// Runs a completion and returns its events once the first token has arrived.
    ///
    /// Dropping the future or the receiver cancels the request, unless it holds a claim: it then
    /// runs to its end, so that a repeated request finds the result.
    ///
    /// # Errors
    ///
    /// Returns the failure of a request that ends before its first token.
    pub async fn complete(&self, call: Completion) -> Result<mpsc::Receiver<Event>, Failure> {
        let shared = &self.shared;
        let document = Arc::clone(&shared.node.configuration.borrow().document);
        let deployment = find_deployment(&document, &call.deployment, configuration::Kind::Model)?;
        let idempotent = call.idempotent.unwrap_or(deployment.idempotent);
        let (deadline, request) = shared.new_request(
            &call.client,
            &call.deployment,
            prefix_hash(&call.prompt),
            call.deadline,
            idempotent,
        );
        let claim = shared.new_claim(
            &call.client,
            call.idempotency_key,
            idempotent,
            &[call.deployment.as_bytes(), &call.max_tokens.to_le_bytes(), call.prompt.as_bytes()],
        );
        let body = wire::Completion {
            model: deployment.model.clone().unwrap_or_default(),
            version: None,
            prompt: call.prompt,
            max_tokens: call.max_tokens,
            stream: true,
            resume_from: 0,
        };
        let (event_sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let (started_sender, started) = oneshot::channel();
        let client = shared.client.clone();
        let span = trace::start("online", call.traceparent.as_deref());
        let task = completion::Task {
            session: Session::new(shared.traffic.clone(), request),
            attempts: Attempts::new(client, body, span, shared.process_nonce, !idempotent),
            idempotent,
            meter: Meter::new(&call.deployment),
            client: call.client,
            deployment: call.deployment,
            deadline,
            claim,
            events: event_sender,
            started: Some(started_sender),
            state: completion::State::default(),
            shared: Arc::clone(shared),
        };
        let in_flight = InFlight::new(Arc::clone(shared));
        shared.node.traffic.spawn(async move {
            task.run().await;
            drop(in_flight);
        });
        match started.await {
            Ok(Ok(())) => Ok(events),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(session::daemon_stopping(false)),
        }
    }

    /// Calls a plain service and returns its response.
    ///
    /// Dropping the future cancels the call, with the same exception as for
    /// [`complete`](Self::complete).
    ///
    /// # Errors
    ///
    /// Fails if the deployment does not exist or is not a service, and if no upstream gave a
    /// response.
    pub async fn call_service(&self, call: ServiceCall) -> Result<ServiceResponse, Failure> {
        let shared = &self.shared;
        let document = Arc::clone(&shared.node.configuration.borrow().document);
        let deployment =
            find_deployment(&document, &call.deployment, configuration::Kind::Service)?;
        let idempotent = call.idempotent.unwrap_or(deployment.idempotent);
        let (deadline, request) =
            shared.new_request(&call.client, &call.deployment, 0, call.deadline, idempotent);
        let claim = shared.new_claim(
            &call.client,
            call.idempotency_key.clone(),
            idempotent,
            &[call.deployment.as_bytes(), call.path.as_bytes(), &call.body],
        );
        let session = Session::new(shared.traffic.clone(), request);
        let task =
            service::Task::new(Arc::clone(shared), session, call, idempotent, deadline, claim);
        let (sender, response) = oneshot::channel();
        shared.node.traffic.spawn(task.run(sender));
        response.await.unwrap_or_else(|_| Err(session::daemon_stopping(false)))
    }

    /// Returns the state of each upstream as observed by this daemon; empty while the daemon stops.
    pub async fn status(&self) -> Vec<UpstreamStatus> {
        self.shared.traffic.ask(ReadStatus).await.unwrap_or_default()
    }

    /// Returns the models that each upstream reported last, by name of the vm.
    pub fn models(&self) -> BTreeMap<String, Vec<String>> {
        self.shared.models.by_vm()
    }

    /// Returns the request rates that this daemon sees, which it reports to the other daemons.
    pub async fn demand(&self) -> Vec<Demand> {
        self.shared.traffic.ask(ReadDemand).await.unwrap_or_default()
    }
}

impl Shared {
    fn send_input(&self, input: Input) {
        // Fails only while the daemon stops.
        let _ = self.traffic.tell(Report { input, request: None, last: false }).try_send();
    }

    /// Passes the vms, the configuration and the members to the actor, at the start and on every
    /// change.
    async fn forward_node_state(&self) {
        let mut configuration = self.node.configuration.clone();
        let mut fleet = self.node.fleet.clone();
        let mut members = self.node.members.clone();
        let mut sent: Option<(Arc<Vec<Vm>>, Arc<configuration::Document>)> = None;
        loop {
            let vms = fleet.borrow_and_update().clone();
            let document = Arc::clone(&configuration.borrow_and_update().document);
            // `Input::Fleet` is far more expensive to process than `Input::Members`, and the demand
            // of the members changes every second.
            let unchanged = sent.as_ref().is_some_and(|(sent_vms, sent_document)| {
                Arc::ptr_eq(sent_vms, &vms) && Arc::ptr_eq(sent_document, &document)
            });
            if !unchanged {
                sent = Some((Arc::clone(&vms), Arc::clone(&document)));
                self.send_input(Input::Fleet { vms, document });
            }
            let current = members.borrow_and_update().clone();
            let names = current.daemons.iter().map(|member| member.name.clone()).collect();
            self.send_input(Input::Members { names, demand: current.demand.clone() });
            let changed = tokio::select! {
                changed = configuration.changed() => changed,
                changed = fleet.changed() => changed,
                changed = members.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Creates a request, and returns it together with the instant of its deadline.
    fn new_request(
        &self,
        client: &str,
        deployment: &str,
        prefix: u64,
        deadline: Option<Duration>,
        idempotent: bool,
    ) -> (Instant, Request) {
        let default = Duration::from_millis(self.node.settings.timers.request_ms);
        let remaining = deadline.unwrap_or(default).min(MAX_DEADLINE);
        let request = Request {
            id: RequestId(self.next_request.fetch_add(1, Ordering::Relaxed)),
            client: client.to_owned(),
            deployment: deployment.to_owned(),
            prefix,
            deadline: Some(self.node.clock.now() + remaining),
            idempotent,
        };
        (Instant::now() + remaining, request)
    }

    /// Creates the claim of a non-idempotent request that carries a key. The digest covers
    /// `content`, so that a key cannot be used again for another request.
    fn new_claim(
        &self,
        client: &str,
        key: Option<String>,
        idempotent: bool,
        content: &[&[u8]],
    ) -> Option<Claim> {
        let claims = self.claims.as_ref().filter(|_| !idempotent)?;
        let mut hasher = sip128::SipHasher13::new();
        for part in content {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        let digest = sip128::Hasher128::finish128(&hasher).as_u128();
        Some(Claim {
            claims: Arc::clone(claims),
            client: client.to_owned(),
            key: key?,
            digest: format!("{digest:032x}"),
            held: false,
        })
    }

    /// Returns the model version to request from an upstream; `None` while the versions that it has are
    /// not known.
    fn required_version(&self, deployment: &str, upstream: &str) -> Option<String> {
        let document = Arc::clone(&self.node.configuration.borrow().document);
        self.models.version(upstream, document.deployments.get(deployment)?)
    }

    /// Returns the time between two token reports of one attempt, which grows with the number of
    /// completions in flight to keep within `MAX_TOKEN_REPORTS_PER_S`.
    fn token_report_period(&self) -> Duration {
        let completions = u32::try_from(self.completions_in_flight.load(Ordering::Relaxed));
        let period =
            Duration::from_secs(1) * completions.unwrap_or(u32::MAX) / MAX_TOKEN_REPORTS_PER_S;
        MIN_TOKEN_REPORT_PERIOD.max(period)
    }
}

/// Guard that counts a completion as in flight until it is dropped.
struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    fn new(shared: Arc<Shared>) -> Self {
        shared.completions_in_flight.fetch_add(1, Ordering::Relaxed);
        Self { shared }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.completions_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn find_deployment<'a>(
    document: &'a configuration::Document,
    name: &str,
    kind: configuration::Kind,
) -> Result<&'a configuration::Deployment, Failure> {
    let deployment = document.deployments.get(name).ok_or_else(|| {
        Failure::not_run(Kind::NotFound, format!("the deployment `{name}` does not exist"))
    })?;
    if deployment.kind == kind {
        return Ok(deployment);
    }
    let message = match kind {
        configuration::Kind::Model => {
            format!("the deployment `{name}` is a plain service; call it under /v1/services/{name}")
        }
        configuration::Kind::Service => {
            format!("the deployment `{name}` is a model; call it under /v1/completions")
        }
    };
    Err(Failure::not_run(Kind::Invalid, message))
}

/// Returns the hash of the leading bytes of a prompt, as the engines compute it for their cache
/// events.
fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = SipHasher13::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
