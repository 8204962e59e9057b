//! Answers to the question where a request would go now, and why.
//!
//! They come from read-only views of what this relay knows. Nothing is sent to an upstream or another relay, and
//! no token, slot or cached choice is taken or recorded. A broker is asked in a copy of its state.

use std::{collections::BTreeSet, time::Duration};

use cyclamengrade_control::relay::{
    account::Caller,
    allowance,
    broker::{
        Answer, Ask, Charge, Holder, Ticket,
        view::{Obstacle, Preview, Rank, View},
    },
    quota::{self, Admission},
    route::{Kind, Route},
    selector::{Choice, Suspicion, view},
    shard,
};
pub use cyclamengrade_explanation::PATH;
use cyclamengrade_explanation::{self as explanation, Outcome, Question};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
};
use serde_json::json;

use crate::{
    admission::NO_CONFIGURATION_RETRY_AFTER,
    body::Body,
    caller::Rejection,
    charge,
    dialect::{self, JobCall},
    front::jobs,
    job::row,
    online::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, empty},
    shared::{Phase, Shared, lock},
    slots::Need,
};

/// Ticket of the request in the copy of a broker. Tickets of real requests are counted up from 1.
const TICKET: Ticket = Ticket(u64::MAX);
/// Authentication scheme under which the key may come, whatever the dialect.
const SCHEME: &str = "Bearer";

/// Answers a question that came over HTTP.
pub fn respond<T>(shared: &Shared, request: &Request<T>) -> Response<Body> {
    if request.method() != Method::GET {
        return failure(StatusCode::METHOD_NOT_ALLOWED, "questions are asked with GET");
    }
    match Question::parse(request.uri().query().unwrap_or_default()) {
        Ok(question) => match answer(shared, &question, request.headers()) {
            Ok(answer) => json_response(StatusCode::OK, serde_json::to_vec(&answer)),
            Err(cause) => failure(StatusCode::BAD_REQUEST, &cause),
        },
        Err(cause) => failure(StatusCode::BAD_REQUEST, &cause),
    }
}

fn failure(status: StatusCode, message: &str) -> Response<Body> {
    let error = json!({ "error": { "kind": "invalid", "message": message, "not_run": true } });
    json_response(status, serde_json::to_vec(&error))
}

fn json_response(status: StatusCode, body: serde_json::Result<Vec<u8>>) -> Response<Body> {
    let Ok(body) = body else { return empty(StatusCode::INTERNAL_SERVER_ERROR) };
    let mut response = Response::new(Body::new(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Answers a question. `headers` may have a key.
fn answer(
    shared: &Shared,
    question: &Question,
    headers: &HeaderMap,
) -> Result<explanation::Answer, String> {
    let uri: Uri = question.path.parse().map_err(|_| "the path is malformed".to_owned())?;
    let method: Method =
        question.method.parse().map_err(|_| "the method is malformed".to_owned())?;
    let headers = with_scheme(headers, shared.dialect.key_scheme());
    let routes = shared.routes.load();
    let answer = explanation::Answer {
        relay: shared.name.clone(),
        configuration: routes.version,
        is_ready: shared.is_ready(),
        evidence: explanation::Evidence {
            age_ms: shared.evidence_age().map(ms),
            limit_ms: shared.revocation_time().map(ms),
        },
        ..explanation::Answer::default()
    };
    if let Some(call) = shared.dialect.job_call(&method, &uri, &headers) {
        return Ok(explain_call(shared, &call, &headers, answer));
    }
    if routes.is_empty() {
        let reason = "this relay has read no configuration yet";
        let outcome = refused(503, reason, Some(NO_CONFIGURATION_RETRY_AFTER));
        return Ok(explanation::Answer { outcome, ..answer });
    }
    let Some(route) = routes.find(&question.host, uri.path()) else {
        let reason = format!("no route matches host {} and path {}", question.host, uri.path());
        return Ok(explanation::Answer { outcome: refused(404, reason, None), ..answer });
    };
    let answer = explanation::Answer { route: Some(describe_route(route)), ..answer };
    Ok(explain_request(shared, question, route, &headers, answer))
}

/// Returns headers with the key of a question under the scheme of the dialect.
fn with_scheme(headers: &HeaderMap, scheme: &str) -> HeaderMap {
    let value = headers.get(AUTHORIZATION);
    let text = value.and_then(|value| str::from_utf8(value.as_bytes()).ok()).unwrap_or_default();
    let key = text.trim().split_once(' ').filter(|(found, _)| {
        found.eq_ignore_ascii_case(SCHEME) || found.eq_ignore_ascii_case(scheme)
    });
    let value = key.and_then(|(_, key)| HeaderValue::try_from(format!("{scheme} {key}")).ok());
    value.map(|value| (AUTHORIZATION, value)).into_iter().collect()
}

fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn refused(status: u16, reason: impl Into<String>, retry_after: Option<Duration>) -> Outcome {
    Outcome::Refused { status, reason: reason.into(), retry_after_ms: retry_after.map(ms) }
}

fn rejected(rejection: Rejection) -> Outcome {
    match rejection {
        Rejection::Unconfigured => refused(
            503,
            "this relay has read no configuration yet",
            Some(NO_CONFIGURATION_RETRY_AFTER),
        ),
        Rejection::Unconfirmed => refused(
            503,
            "this relay does not know whether its configuration is current",
            Some(MIN_RETRY_AFTER),
        ),
        Rejection::Unauthorized(reason) => refused(401, reason, None),
    }
}

fn describe_route(route: &Route) -> explanation::Route {
    explanation::Route {
        name: route.name.clone(),
        prefix: route.path_prefix.clone(),
        kind: route.kind.name().to_owned(),
        is_public: route.public,
        priority: route.priority,
        objective_ms: ms(route.latency_objective),
        timeout_ms: ms(route.timeout),
    }
}

fn describe_caller(
    shared: &Shared,
    headers: &HeaderMap,
    caller: Option<&Caller>,
) -> explanation::Caller {
    explanation::Caller {
        has_accounts: shared.routes.load().accounts.is_some(),
        has_key: shared.dialect.key(headers).is_some(),
        account: caller.and_then(Caller::account).map(|account| account.name.clone()),
    }
}

/// Explains a call about a submitted job.
fn explain_call(
    shared: &Shared,
    call: &JobCall,
    headers: &HeaderMap,
    answer: explanation::Answer,
) -> explanation::Answer {
    let (JobCall::Results { job: id, .. }
    | JobCall::Item { job: id, .. }
    | JobCall::End { job: id }) = call;
    let known = shared.jobs().get(id).cloned();
    let is_public = known.as_ref().is_some_and(|job| job.row.public);
    let caller = shared.identify(is_public, headers);
    let owner = known.as_ref().and_then(|job| job.row.owner.as_ref());
    let job = explanation::Job {
        id: id.clone(),
        is_known: known.is_some(),
        owner: owner.map(|owner| owner.name.clone()),
    };
    let outcome = match (&caller, &known) {
        (Err(rejection), _) => rejected(*rejection),
        (Ok(caller), Some(job)) if !job.row.admits(caller) => {
            refused(404, "the job is of another account", None)
        }
        (Ok(_), Some(job)) if job.row.state == row::State::Ended => {
            Outcome::Answered { text: "The call is about a job that its caller has ended".into() }
        }
        (Ok(_), Some(_)) => Outcome::Answered {
            text: "This relay would answer the call about the job from the store".into(),
        },
        (Ok(_), None) => Outcome::Answered {
            text: "This relay would look the job up in the store, and answer 404 if there is none"
                .into(),
        },
    };
    let caller = describe_caller(shared, headers, caller.as_ref().ok());
    explanation::Answer { job: Some(job), caller: Some(caller), outcome, ..answer }
}

/// Explains a request or the submission of a job on a route.
fn explain_request(
    shared: &Shared,
    question: &Question,
    route: &Route,
    headers: &HeaderMap,
    mut answer: explanation::Answer,
) -> explanation::Answer {
    let is_batch = route.kind == Kind::Batch;
    let identified = shared.identify(route.public, headers);
    let caller = identified.as_ref().ok();
    answer.caller = Some(describe_caller(shared, headers, caller));
    let account = caller.and_then(Caller::account).map(AsRef::as_ref);
    let charge = charge::new(account, route, stated_cost(question));
    answer.charge = Some(explanation::Charge {
        account: account.map(|account| account.name.clone()),
        priority: charge.priority,
        tokens: charge.tokens,
    });
    let quota = account.filter(|_| !is_batch).and_then(|account| shared.view_quota(account));
    answer.quota = quota.as_ref().map(|view| explanation::Quota {
        rate_per_s: view.limit.rate(),
        burst: view.limit.burst(),
        owner: view.owner.clone(),
        is_own: view.owner.as_ref() == Some(&shared.name),
        level: view.level,
        level_age_ms: view.age.map(ms),
    });
    let mut outcomes = Vec::new();
    for target in &route.targets {
        let name = &target.deployment;
        let need = shared.need(name, None, &BTreeSet::new(), route.latency_objective, charge);
        let mut deployment = match is_batch {
            true => explain_items(shared, name, &need),
            false => {
                let (deployment, outcome) = explain_deployment(shared, name, &need);
                outcomes.push(outcome);
                deployment
            }
        };
        deployment.weight = target.weight;
        answer.deployments.push(deployment);
    }
    let deadline = shared.clock.now() + route.timeout;
    answer.outcome = match identified {
        _ if !is_batch && !shared.accepts(route, deadline) => refused(
            503,
            "this relay stops before the request has certainly ended",
            Some(MIN_RETRY_AFTER),
        ),
        Err(rejection) => rejected(rejection),
        Ok(caller) if is_batch => {
            let (batch, outcome) = explain_submission(shared, question, route, &caller);
            answer.batch = Some(batch);
            outcome
        }
        Ok(_) => match quota.and_then(|view| view.refused) {
            Some(wait) => {
                let wait = allowance::retry_after(wait, route.latency_objective);
                refused(429, "the account is over its quota", Some(wait))
            }
            None => combine(outcomes),
        },
    };
    answer
}

/// Returns the cost in tokens that the request states, see [`dialect::stated_tokens`].
fn stated_cost(question: &Question) -> u32 {
    let stated = question.tokens.map(|(prompt, output)| format!("{prompt},{output}"));
    let value = stated.and_then(|stated| HeaderValue::try_from(stated).ok());
    dialect::stated_tokens(value.as_ref())
}

/// Returns the outcome of a request that may go to one of several deployments or shards. A refusal of one shard
/// does not count if another one serves the request.
fn combine(outcomes: Vec<Outcome>) -> Outcome {
    let is_asked = |outcome: &&Outcome| matches!(outcome, Outcome::Asked { .. });
    let is_queued = |outcome: &&Outcome| matches!(outcome, Outcome::Queued { .. });
    if let Some(asked) = outcomes.iter().find(is_asked) {
        return asked.clone();
    }
    let mut sent = (Vec::new(), 0);
    for outcome in &outcomes {
        if let Outcome::Sent { upstreams, stopped_items } = outcome {
            sent.0.extend(upstreams.iter().cloned());
            sent.1 = sent.1.max(*stopped_items);
        }
    }
    if !sent.0.is_empty() {
        return Outcome::Sent { upstreams: sent.0, stopped_items: sent.1 };
    }
    let queued = outcomes.iter().find(is_queued).cloned();
    queued.or_else(|| outcomes.into_iter().next()).unwrap_or_default()
}

/// Explains where an online request would go in a deployment.
fn explain_deployment(
    shared: &Shared,
    name: &str,
    need: &Need,
) -> (explanation::Deployment, Outcome) {
    let mut deployment = new_deployment(shared, name, &need.avoid);
    deployment.start_within_ms = ms(need.start_within);
    let mut outcomes = Vec::new();
    for shard in &need.shards {
        let mut described = describe_shard(shared, *shard);
        let outcome = if described.is_own {
            let (views, preview) = preview(shared, *shard, need);
            described.waiting = Some(preview.waiting);
            described.load_permille = Some(preview.load.permille);
            described.load_wait_ms = Some(ms(preview.load.wait));
            let chosen = apply(shared, &mut deployment.candidates, &views, &preview);
            described.best.clone_from(&chosen);
            decide(shared, name, &preview, chosen)
        } else {
            Outcome::Asked {
                broker: format!("{} ({})", described.broker, described.broker_address),
            }
        };
        outcomes.push(outcome);
        deployment.shards.push(described);
    }
    (deployment, combine(outcomes))
}

/// Asks a copy of this relay's broker.
fn preview(shared: &Shared, shard: u32, need: &Need) -> (Vec<View>, Preview) {
    let ask = new_ask(shared, shard, need);
    let now = shared.clock.now();
    let broker = shared.broker_state();
    (broker.views(now, &ask), broker.preview(now, Holder(shared.incarnation), &ask))
}

fn new_ask(shared: &Shared, shard: u32, need: &Need) -> Ask {
    Ask {
        ticket: TICKET,
        shard,
        start_within: need.start_within,
        data_centre: shard::name_id(&shared.data_centre),
        connected: shared.connected(),
        avoid: need.avoid.clone(),
        software: need.software,
        charge: need.charge,
    }
}

/// Returns the outcome of a request in a shard of which this relay is the broker.
fn decide(shared: &Shared, name: &str, preview: &Preview, chosen: Option<String>) -> Outcome {
    match preview.answer {
        Some(Answer::Granted { .. }) => Outcome::Sent {
            upstreams: chosen.into_iter().collect(),
            stopped_items: preview.stopped,
        },
        Some(Answer::Queued { .. }) => {
            Outcome::Queued { wait_ms: ms(preview.wait), ahead: preview.ahead }
        }
        Some(Answer::Refused { load, .. }) => no_slot(shared, name, load.wait),
        Some(Answer::Stop { .. }) | None => {
            // The broker does not know the shard yet, and the relay chooses by itself.
            let running = shared.clock.running();
            let selector = shared.selector();
            match selector.choose(name, None, &BTreeSet::new(), running, [0.0, 0.5]) {
                Choice::Send(key) => Outcome::Sent {
                    upstreams: selector
                        .upstream(key)
                        .map(|found| found.id.clone())
                        .into_iter()
                        .collect(),
                    stopped_items: 0,
                },
                Choice::Refuse(_) => {
                    drop(selector);
                    no_slot(shared, name, Duration::ZERO)
                }
            }
        }
    }
}

fn no_slot(shared: &Shared, deployment: &str, wait: Duration) -> Outcome {
    let wait = shared.selector().retry_after(deployment, wait, shared.clock.now());
    let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    refused(503, "no upstream can start the request in time", Some(wait))
}

/// Returns a deployment with its upstreams as this relay knows them without a broker.
fn new_deployment(shared: &Shared, name: &str, avoid: &BTreeSet<u32>) -> explanation::Deployment {
    let views = shared.selector().views(name, shared.clock.running());
    let describe = |view: view::View| {
        let (pace, slowness) = shared.told(view.short_id);
        let passed_over = describe_suspicion(&view, avoid);
        explanation::Candidate {
            id: view.upstream.id,
            address: view.upstream.address.to_string(),
            data_centre: view.upstream.data_centre,
            version: view.upstream.version,
            shard: view.shard,
            slots: view.slots,
            own: view.own,
            pace,
            slowness,
            is_usable: passed_over.is_none(),
            passed_over,
            ..explanation::Candidate::default()
        }
    };
    let candidates = views.into_iter().map(describe).collect();
    explanation::Deployment {
        name: name.to_owned(),
        candidates,
        ..explanation::Deployment::default()
    }
}

/// Returns why this relay does not use an upstream by itself.
fn describe_suspicion(view: &view::View, avoid: &BTreeSet<u32>) -> Option<String> {
    let left = ms(view.ejection);
    match view.suspicion {
        _ if view.is_leaving => Some("it is leaving".to_owned()),
        _ if !avoid.contains(&view.short_id) => None,
        Some(Suspicion::Failed) => {
            Some(format!("requests of this relay failed there; not used for {left} ms more"))
        }
        Some(Suspicion::Silent) => Some("nothing arrives from it".to_owned()),
        None => None,
    }
}

fn describe_shard(shared: &Shared, shard: u32) -> explanation::Shard {
    let (broker, address, load) = shared.view_broker(shard);
    explanation::Shard {
        id: shard,
        is_own: broker == shared.name,
        broker,
        broker_address: address.to_string(),
        load_permille: load.map(|load| load.permille),
        load_wait_ms: load.map(|load| ms(load.wait)),
        ..explanation::Shard::default()
    }
}

/// Adds what the broker knows to the upstreams of its shard. Returns the upstream that it chooses.
fn apply(
    shared: &Shared,
    candidates: &mut [explanation::Candidate],
    views: &[View],
    preview: &Preview,
) -> Option<String> {
    let chosen = match preview.answer {
        Some(Answer::Granted { upstream, .. }) => Some(upstream),
        _ => None,
    };
    let best = views.iter().find(|view| Some(view.upstream) == chosen);
    let mut chosen_id = None;
    for candidate in candidates {
        let key = shared.selector().key_of(&candidate.id);
        let short_id = key.map(|key| shared.selector().short_id(key));
        let Some(view) = views.iter().find(|view| Some(view.upstream) == short_id) else {
            continue;
        };
        merge(candidate, view);
        candidate.is_best = Some(view.upstream) == chosen;
        candidate.is_usable &= view.obstacle.is_none();
        if candidate.is_best {
            candidate.is_usable = true;
            chosen_id = Some(candidate.id.clone());
            candidate.passed_over = None;
        } else if candidate.passed_over.is_none() {
            let obstacle = view.obstacle.map(|obstacle| describe_obstacle(obstacle, view));
            let reason = obstacle.or_else(|| Some(compare(view.rank, best?.rank).to_owned()));
            candidate.passed_over = reason;
        }
    }
    chosen_id
}

fn merge(candidate: &mut explanation::Candidate, view: &View) {
    candidate.slots = view.slots;
    candidate.online = Some(view.online);
    candidate.batch = Some(view.batch);
    candidate.pace = view.pace;
    candidate.slowness = Some(view.slowness);
}

fn describe_obstacle(obstacle: Obstacle, view: &View) -> String {
    match obstacle {
        Obstacle::Leaving => "it is leaving".into(),
        Obstacle::Avoided => "this relay does not use it now".into(),
        Obstacle::Software => "it has another software version".into(),
        Obstacle::Paused if view.pause > Duration::ZERO => format!(
            "it has failed {} times in a row; paused for {} ms more",
            view.failures,
            ms(view.pause)
        ),
        Obstacle::Paused if view.pace == Some(0) => {
            "its pace allows no further request until one is answered".into()
        }
        Obstacle::Paused => "relays report that it fails".into(),
        Obstacle::Full => "all of its slots are in use".into(),
        Obstacle::Limited => {
            let rate = view.rate.map_or(0.0, |rate| rate.per_second());
            format!("it takes only {rate} requests/s, and they are used up")
        }
    }
}

/// Returns why a usable upstream comes after another one.
const fn compare(rank: Rank, best: Rank) -> &'static str {
    match () {
        () if rank.is_slow && !best.is_slow => "others are faster",
        () if rank.is_unconnected && !best.is_unconnected => {
            "this relay has an open connection to the best one only"
        }
        () if rank.is_remote && !best.is_remote => "it is in another data centre",
        () if rank.load_permille > best.load_permille => "the best one has more of its slots free",
        () => "it suits as well as the best one",
    }
}

/// Explains which upstreams may run the items of a job in a deployment.
fn explain_items(shared: &Shared, name: &str, need: &Need) -> explanation::Deployment {
    let mut deployment = new_deployment(shared, name, &need.avoid);
    let now = shared.clock.now();
    let Charge { account, .. } = need.charge;
    for shard in &need.shards {
        let mut described = describe_shard(shared, *shard);
        if described.is_own {
            let ask = new_ask(shared, *shard, need);
            let broker = shared.broker_state();
            let (views, backlog) = (broker.views(now, &ask), broker.backlog(now, *shard, account));
            drop(broker);
            described.waiting = Some(backlog.online_waiting);
            described.waiting_items = Some(backlog.waiting);
            described.held_by_items = Some(backlog.held);
            described.is_learning = Some(backlog.is_learning);
            described.is_above_share = Some(backlog.is_above_share);
            described.load_permille = Some(backlog.load.permille);
            described.load_wait_ms = Some(ms(backlog.load.wait));
            for candidate in &mut deployment.candidates {
                let key = shared.selector().key_of(&candidate.id);
                let short_id = key.map(|key| shared.selector().short_id(key));
                let Some(view) = views.iter().find(|view| Some(view.upstream) == short_id) else {
                    continue;
                };
                merge(candidate, view);
                // No item starts at a paused upstream, even if there is no other.
                let is_paused = view.pace == Some(0) || !view.pause.is_zero();
                let obstacle = view.obstacle.or(is_paused.then_some(Obstacle::Paused));
                let reason = obstacle.map(|obstacle| describe_obstacle(obstacle, view));
                candidate.passed_over = candidate.passed_over.take().or(reason);
                candidate.is_usable = candidate.passed_over.is_none();
            }
        }
        deployment.shards.push(described);
    }
    deployment
}

/// Explains whether a job would be stored.
fn explain_submission(
    shared: &Shared,
    question: &Question,
    route: &Route,
    caller: &Caller,
) -> (explanation::Batch, Outcome) {
    let account = caller.account().map(|account| account.name.as_str());
    let waiting = shared.waiting_tokens(route, account);
    let holder = (route.name.clone(), account.map(str::to_owned));
    let reserved = lock(&shared.reserved_tokens).get(&holder).copied().unwrap_or_default();
    let age = shared.fleet_age();
    let tokens = question.tokens.map_or(0, |(prompt, output)| prompt.saturating_add(output));
    let view = quota::View { waiting, reserved, age };
    let batch = explanation::Batch {
        waiting,
        reserved,
        limit: route.quota.limit(),
        age_ms: ms(age),
        store_age_ms: ms(shared.store_age()),
        completion_ms: ms(route.completion_target),
    };
    let outcome = match route.quota.admit(view, tokens, route.completion_target) {
        Admission::Admitted if shared.clock.store_ms().is_none() => refused(
            503,
            "this relay has not reached the store yet",
            Some(jobs::store_retry_after(shared)),
        ),
        Admission::Admitted => {
            let is_running = *shared.phase.borrow() == Phase::Running;
            let owner = if is_running { shared.name.clone() } else { "another relay".into() };
            Outcome::Stored { owner }
        }
        Admission::Full(wait) => {
            refused(429, "the waiting tokens would exceed the limit", Some(wait))
        }
        Admission::TooLarge => refused(429, "the job alone exceeds the limit", None),
        Admission::Unknown => refused(
            503,
            "the list of jobs is too old to tell whether the job fits",
            Some(jobs::store_retry_after(shared)),
        ),
    };
    (batch, outcome)
}
