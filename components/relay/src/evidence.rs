//! Evidence that the configuration of this relay is current, which relays exchange.
//!
//! Decisions are in [`cyclamengrade_control::relay::evidence`]. Only the calls of the feed of the configuration
//! table count, and a call counts from its begin, so that the time in which its answer was on its way is part
//! of the age.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::{
    relay::evidence::{self, Candidate, Change, Confirmation, Evidence, Statement},
    time::Time,
};
use cyclamengrade_telemetry::{event, metrics::RELAY_EVIDENCE_AGE_SECONDS};
use futures_util::future::join_all;
use hyper::{Request, Response, StatusCode, Uri};
use kameo::prelude::ActorRef;
use metrics::gauge;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::{
    body::Body,
    clock::boot_time,
    directory::{Directory, Stated},
    online::empty,
    question,
    shared::{Shared, lock},
};

/// Path of the question to another relay.
pub const PATH: &str = "/configuration";
/// Parameter of the question: version of the configuration in force at the relay that asks.
const VERSION: &str = "version";
/// Timeout of one exchange with another relay.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Limit on the bytes of an answer beyond those of a row. Numbers and texts may be spelled longer than in
/// the row, which the factor covers.
const ANSWER_BYTES: usize = 1 << 10;
const ROW_FACTOR: usize = 2;
/// Number of checks of the evidence within the time for which a removed key may be used.
const CHECKS: u32 = 50;
/// Longest time between two checks.
const MAX_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Evidence of this relay, and the configuration that it passes on. Without `Debug`, since that would show keys.
#[derive(Default)]
pub struct State {
    /// Time for which a removed key may be used; `None` if revocation is not strict.
    limit: Option<Duration>,
    evidence: Mutex<Evidence>,
    /// Value of the configuration row in force with its version. Kept only if revocation is strict, since
    /// it holds keys.
    configuration: Mutex<Option<(u64, String)>>,
}

impl State {
    fn new(limit: Option<Duration>) -> Self {
        Self { limit, evidence: Mutex::new(Evidence::new(limit)), configuration: Mutex::default() }
    }
}

/// A call on the configuration table that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// When it began, by [`boot_time`].
    pub begin: Time,
    /// Time for which the store may hold the next call.
    pub wait: Duration,
}

/// Answer to the question of another relay. Without `Debug`, since that would show keys.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Answer {
    /// Version that the evidence is of, if there is any.
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    /// Age of the evidence in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    age_ms: Option<u64>,
    /// Value of the configuration row if it is newer than that of the relay that asks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Value>,
}

impl Answer {
    /// Returns what the other relay states of its evidence.
    pub fn statement(&self) -> Option<Statement> {
        Some(Statement { version: self.version?, age_ms: self.age_ms? })
    }
}

impl Shared {
    /// Sets the time for which a removed key may be used; `None` if revocation is not strict.
    pub fn with_revocation(mut self, limit: Option<Duration>) -> Self {
        self.evidence = State::new(limit);
        self
    }

    /// Whether this relay has evidence that its configuration was the newest one less than `within` ago. The
    /// evidence is of the routes that are loaded after this call, and not of those that were loaded before.
    pub fn is_configuration_current(&self, within: Duration) -> bool {
        lock(&self.evidence.evidence).is_current(boot_time(), within)
    }

    /// Returns the age of the evidence that the configuration is current; `None` without any.
    pub fn evidence_age(&self) -> Option<Duration> {
        lock(&self.evidence.evidence).age(boot_time())
    }

    /// Returns the time for which a key that was taken away may be used at most; `None` if revocation is not
    /// strict.
    pub const fn revocation_time(&self) -> Option<Duration> {
        self.evidence.limit
    }

    /// Records that the store answered a call on the configuration table, after the configuration that the
    /// answer brought was applied.
    pub fn record_confirmed(&self, call: Call) {
        let version = self.routes.load().version;
        let confirmation = Confirmation { version, begin: call.begin };
        lock(&self.evidence.evidence).record_store(confirmation, version, boot_time(), call.wait);
    }

    /// Records that the store has a newer configuration, which cannot be used.
    pub fn record_unusable(&self) {
        lock(&self.evidence.evidence).record_unusable(self.routes.load().version);
    }

    /// Records that a call on the configuration table failed.
    pub fn record_configuration_loss(&self) {
        lock(&self.evidence.evidence).record_store_failure();
    }

    /// Records what another relay stated, after the configuration that it sent was applied.
    pub fn record_statement(&self, name: &str, statement: Option<&Statement>, asked: Time) {
        let version = self.routes.load().version;
        let mut evidence = lock(&self.evidence.evidence);
        evidence.record_statement(name, statement, asked, version, boot_time());
    }

    /// Keeps the value of the configuration row in force for other relays, if revocation is strict.
    pub fn keep_configuration(&self, version: u64, value: &Value) {
        if self.evidence.limit.is_some() {
            *lock(&self.evidence.configuration) = Some((version, value.to_string()));
        }
    }

    /// Whether new callers should go to other relays, because this one has old evidence.
    pub fn has_old_evidence(&self) -> bool {
        if self.evidence.limit.is_none() {
            return false;
        }
        let (now, seen) = (self.clock.now(), self.last_news());
        let members = self.members();
        let connected = members.iter().filter(|(_, member)| {
            member.health.is_responsive(now, seen) && member.health.reaches_store()
        });
        let names = connected.map(|(name, _)| name.as_str());
        lock(&self.evidence.evidence).is_unready(boot_time(), names)
    }

    /// Returns the relays to ask for evidence, with their addresses.
    fn evidence_peers(&self) -> Vec<(String, SocketAddr)> {
        let (now, seen) = (self.clock.now(), self.last_news());
        let members = self.members();
        let state = lock(&self.evidence.evidence);
        let boot = boot_time();
        let present = members.iter().filter(|(_, member)| !member.health.is_absent(now, seen));
        let candidates: Vec<Candidate<'_>> = present
            .map(|(name, member)| {
                let is_responsive = member.health.is_responsive(now, seen);
                let reaches_store =
                    is_responsive && member.health.reaches_store() && !state.is_stale(name, boot);
                Candidate { name, reaches_store }
            })
            .collect();
        let chosen = evidence::choose(&candidates, rand::random);
        let with_address = |name: &str| Some((name.to_owned(), members.get(name)?.address));
        chosen.into_iter().filter_map(with_address).collect()
    }

    /// Answers a relay whose configuration in force has the version `known`.
    fn evidence_answer(&self, known: u64) -> Answer {
        // Before the configuration, which is then of this version or a newer one.
        let statement = lock(&self.evidence.evidence).statement(boot_time());
        let configuration = lock(&self.evidence.configuration);
        let newer = configuration.as_ref().filter(|(version, _)| *version > known);
        let value = newer.and_then(|(_, text)| serde_json::from_str(text).ok());
        Answer {
            version: statement.map(|statement| statement.version),
            age_ms: statement.map(|statement| statement.age_ms),
            configuration: value,
        }
    }

    /// Records the age of the evidence, and logs when it is lost or back.
    fn report_evidence(&self) {
        let now = boot_time();
        let (age, change) = {
            let mut evidence = lock(&self.evidence.evidence);
            (evidence.age(now), evidence.take_change(now))
        };
        if let Some(age) = age {
            gauge!(RELAY_EVIDENCE_AGE_SECONDS).set(age.as_secs_f64());
        }
        let revision = self.routes.load().version;
        match change {
            Some(Change::Lost(age)) => {
                event!(EvidenceLost, revision = revision, age_ms = age.as_millis() as u64);
            }
            Some(Change::Back(elapsed)) => {
                event!(EvidenceBack, revision = revision, elapsed_ms = elapsed.as_millis() as u64);
            }
            None => {}
        }
    }
}

/// Asks other relays while the store does not confirm the configuration, until the process ends. Returns at
/// once if revocation is not strict.
pub async fn run(shared: Arc<Shared>, directory: ActorRef<Directory>) {
    let Some(limit) = shared.revocation_time() else { return };
    let period = (limit / CHECKS).min(MAX_CHECK_PERIOD);
    loop {
        sleep(period).await;
        shared.report_evidence();
        let is_due = lock(&shared.evidence.evidence).begin_round(boot_time(), rand::random());
        if is_due {
            let exchanges = shared.evidence_peers().into_iter();
            let exchanges = exchanges.map(|peer| exchange(&shared, &directory, peer));
            join_all(exchanges).await;
        }
    }
}

/// Asks one relay, and has the directory apply its answer.
async fn exchange(
    shared: &Shared,
    directory: &ActorRef<Directory>,
    (member, address): (String, SocketAddr),
) {
    let version = shared.routes.load().version;
    let max_bytes = shared.row_bytes.saturating_mul(ROW_FACTOR).saturating_add(ANSWER_BYTES);
    let asked = boot_time();
    // A relay that does not answer is as good as one without evidence.
    if let Ok(Some(answer)) = timeout(EXCHANGE_TIMEOUT, ask(address, version, max_bytes)).await {
        // Fails only if the directory actor has stopped, which the control thread logs.
        let _ = directory.tell(Stated { member, asked, answer }).await;
    }
}

async fn ask(address: SocketAddr, version: u64, max_bytes: usize) -> Option<Answer> {
    let request = Request::get(format!("{PATH}?{VERSION}={version}"));
    question::send(address, request, Body::empty(), max_bytes).await
}

/// Answers the question of another relay. A relay without strict revocation has no such path.
pub fn answer(shared: &Shared, uri: &Uri) -> Response<Body> {
    if shared.revocation_time().is_none() {
        return empty(StatusCode::NOT_FOUND);
    }
    let mut parameters = uri.query().unwrap_or_default().split('&');
    let version =
        parameters.find_map(|parameter| parameter.strip_prefix(VERSION)?.strip_prefix('='));
    let Some(version) = version.and_then(|version| version.parse().ok()) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&shared.evidence_answer(version)) {
        Ok(body) => Response::new(Body::new(body)),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
