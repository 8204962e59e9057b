//! Online requests: the actor around the traffic decisions and the tasks that carry them out.

mod actor;
mod attempt;
mod changes;
mod claim;
mod claims;
mod meter;
mod poller;
mod service;
mod session;
mod stream;

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

pub use self::claims::{Begin, Claims, End, Record};
use self::{
    actor::{Arguments, ReadDemand, ReadStatus, Report, Traffic},
    attempt::Attempts,
    claim::Claim,
    meter::Meter,
    poller::Reported,
    session::Session,
};
use crate::node::Node;

/// Events of one answer that may wait for the caller to read.
const EVENTS: usize = 64;
/// Bytes of a prompt that decide about prefix affinity, as in the engines' cache events.
const PREFIX_BYTES: usize = 64;
/// Longest deadline; a later one counts as this.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3_600);
/// Shortest time between two reports of the tokens of one attempt.
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);
/// Reports of tokens a second that the control thread gets at most.
const SAMPLES_PER_S: u32 = 1_000;

/// Online requests of one daemon; clones share the state.
#[derive(Clone)]
pub struct Online {
    shared: Arc<Shared>,
}

/// What the tasks of all requests share.
struct Shared {
    node: Arc<Node>,
    client: Client,
    traffic: ActorRef<Traffic>,
    claims: Option<Arc<dyn Claims>>,
    next_request: AtomicU64,
    /// Distinguishes the streams of this process from those of all others.
    scope: u64,
    /// Completions in flight.
    completions: AtomicUsize,
    reported: Reported,
}

impl Online {
    /// Starts the actor `Traffic` on the current runtime, which must be that of the control
    /// thread.
    ///
    /// `effects` gets every action of the kinds `BatchLimit` and `Notify`. Without `claims`,
    /// non-idempotent requests run at most once only as far as this process knows.
    pub fn new(
        node: Arc<Node>,
        client: Client,
        claims: Option<Arc<dyn Claims>>,
        effects: mpsc::UnboundedSender<Action>,
    ) -> Self {
        let settings = &node.settings;
        let scope = RandomState::new().build_hasher().finish();
        let arguments = Arguments {
            settings: Settings {
                daemon: settings.name.clone(),
                data_centre: settings.data_centre.clone(),
                seed: settings.policy.seed.unwrap_or(scope),
                subset: settings.policy.subset,
                queue: settings.policy.queue,
                retry_share: settings.policy.retry_share,
                naive: settings.policy.naive,
            },
            clock: node.clock,
            effects,
        };
        // Bounded by the requests in flight; a bounded mailbox could block the traffic tasks.
        let traffic = Traffic::spawn_with_mailbox(arguments, mailbox::unbounded());
        Self {
            shared: Arc::new(Shared {
                node,
                client,
                traffic,
                claims,
                next_request: AtomicU64::new(0),
                scope,
                completions: AtomicUsize::new(0),
                reported: Reported::default(),
            }),
        }
    }

    /// Feeds the actor with the vms, the configuration and the members of the node, and with the
    /// load that the upstreams report, until the daemon stops. To be spawned on the traffic runtime.
    pub async fn run(&self) {
        tokio::join!(self.shared.watch(), poller::run(Arc::clone(&self.shared)));
    }

    /// Feeds the actor with something that happened outside of the online requests.
    pub fn feed(&self, input: Input) {
        self.shared.feed(input);
    }

    /// Runs a completion. Returns once the first token has arrived, or with the refusal.
    ///
    /// Dropping the future or the receiver cancels the request.
    pub async fn complete(&self, call: Completion) -> Result<mpsc::Receiver<Event>, Failure> {
        let shared = &self.shared;
        let document = Arc::clone(&shared.node.configuration.borrow().document);
        let deployment = deployment(&document, &call.deployment, configuration::Kind::Model)?;
        let idempotent = call.idempotent.unwrap_or(deployment.idempotent);
        let (deadline, request) = shared.request(
            &call.client,
            &call.deployment,
            prefix(&call.prompt),
            call.deadline,
            idempotent,
        );
        let claim = shared.claim(
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
        let (out, events) = mpsc::channel(EVENTS);
        let (opened, first) = oneshot::channel();
        let client = shared.client.clone();
        let span = trace::start("online", call.traceparent.as_deref());
        let task = stream::Task {
            session: Session::new(shared.traffic.clone(), request),
            attempts: Attempts::new(client, body, span, shared.scope, !idempotent),
            idempotent,
            meter: Meter::new(&call.deployment),
            client: call.client,
            deployment: call.deployment,
            deadline,
            claim,
            out,
            opened: Some(opened),
            progress: stream::State::default(),
            shared: Arc::clone(shared),
        };
        let counted = Counted::new(Arc::clone(shared));
        shared.node.traffic.spawn(async move {
            task.run().await;
            drop(counted);
        });
        match first.await {
            Ok(Ok(())) => Ok(events),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(session::stopping(false)),
        }
    }

    /// Calls a plain service. Dropping the future cancels the call.
    pub async fn call_service(&self, call: ServiceCall) -> Result<ServiceResponse, Failure> {
        let shared = &self.shared;
        let document = Arc::clone(&shared.node.configuration.borrow().document);
        let deployment = deployment(&document, &call.deployment, configuration::Kind::Service)?;
        let idempotent = call.idempotent.unwrap_or(deployment.idempotent);
        let (deadline, request) =
            shared.request(&call.client, &call.deployment, 0, call.deadline, idempotent);
        let claim = shared.claim(
            &call.client,
            call.idempotency_key.clone(),
            idempotent,
            &[call.deployment.as_bytes(), call.path.as_bytes(), &call.body],
        );
        let session = Session::new(shared.traffic.clone(), request);
        let task =
            service::Task::new(Arc::clone(shared), session, call, idempotent, deadline, claim);
        let (out, answer) = oneshot::channel();
        shared.node.traffic.spawn(task.run(out));
        answer.await.unwrap_or_else(|_| Err(session::stopping(false)))
    }

    /// The upstreams as this daemon sees them.
    pub async fn status(&self) -> Vec<UpstreamStatus> {
        self.shared.traffic.ask(ReadStatus).await.unwrap_or_default()
    }

    /// Models that the upstreams reported last, by name of the vm.
    pub fn models(&self) -> BTreeMap<String, Vec<String>> {
        self.shared.reported.models()
    }

    /// Requests a second that this daemon sees, to be reported to the other daemons.
    pub async fn demand(&self) -> Vec<Demand> {
        self.shared.traffic.ask(ReadDemand).await.unwrap_or_default()
    }
}

impl Shared {
    fn feed(&self, input: Input) {
        // Fails only while the daemon stops.
        let _ = self.traffic.tell(Report { input, request: None, last: false }).try_send();
    }

    /// Feeds the actor with every change of the node's state.
    async fn watch(&self) {
        let mut configuration = self.node.configuration.clone();
        let mut fleet = self.node.fleet.clone();
        let mut members = self.node.members.clone();
        let mut fed: Option<(Arc<Vec<Vm>>, Arc<configuration::Document>)> = None;
        loop {
            let vms = fleet.borrow_and_update().clone();
            let document = Arc::clone(&configuration.borrow_and_update().document);
            // The members' demand changes every second, and the fleet costs far more to take in.
            let known = fed.as_ref().is_some_and(|(fed_vms, fed_document)| {
                Arc::ptr_eq(fed_vms, &vms) && Arc::ptr_eq(fed_document, &document)
            });
            if !known {
                fed = Some((Arc::clone(&vms), Arc::clone(&document)));
                self.feed(Input::Fleet { vms, document });
            }
            let current = members.borrow_and_update().clone();
            let names = current.daemons.iter().map(|member| member.name.clone()).collect();
            self.feed(Input::Members { names, demand: current.demand.clone() });
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

    fn request(
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

    fn claim(
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

    /// The version that an upstream must answer with; absent while it has only an older one.
    fn version(&self, deployment: &str, upstream: &str) -> Option<String> {
        let document = Arc::clone(&self.node.configuration.borrow().document);
        let deployment = document.deployments.get(deployment)?;
        deployment.version.clone().filter(|_| self.reported.has_wanted(upstream, deployment))
    }

    /// Time between two reports of one attempt, which keeps all reports within their rate.
    fn sample_period(&self) -> Duration {
        let completions = u32::try_from(self.completions.load(Ordering::Relaxed));
        let spread = Duration::from_secs(1) * completions.unwrap_or(u32::MAX) / SAMPLES_PER_S;
        SAMPLE_PERIOD.max(spread)
    }
}

/// A completion in flight.
struct Counted {
    shared: Arc<Shared>,
}

impl Counted {
    fn new(shared: Arc<Shared>) -> Self {
        shared.completions.fetch_add(1, Ordering::Relaxed);
        Self { shared }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.shared.completions.fetch_sub(1, Ordering::Relaxed);
    }
}

fn deployment<'a>(
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

/// Hash of the first part of a prompt, as the engines compute it for their cache events.
fn prefix(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    let mut hasher = SipHasher13::new();
    hasher.write(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hasher.finish()
}
