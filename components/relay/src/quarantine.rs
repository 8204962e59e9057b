//! Requests that end upstreams: blames for crashes, and the quarantine of what they have in common.
//!
//! The relays that collect the blames are chosen like brokers. They tell the others of a quarantine at
//! once, and store it for relays that start later.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::relay::{
    account::Caller,
    failure::Failure,
    quarantine::{Part, QUARANTINE_TIME, Quarantine, Query, Suspicions},
    selector::{Key, Upstream, short_id},
};
use cyclamengrade_peer::slots::Content;
use cyclamengrade_platform::{
    Error,
    table::{Commit, Transaction},
};
use cyclamengrade_telemetry::event;
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HOST},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    exchange::Outgoing,
    job::{key, row, store},
    online::header_text,
    shared::{Shared, lock},
};

/// Key under which the relays that collect blames are chosen.
const COLLECTOR_KEY: &str = "quarantine";
/// Number of relays that collect the same blames, so that the loss of one forgets none.
const COLLECTORS: usize = 2;
/// Times after a broken connection at which the relay looks whether the upstream serves. A crashing
/// upstream may accept connections until its last thread has ended.
const PROBE_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(200)];
/// Attempts to store a quarantine while others change the row.
const MAX_STORE_ATTEMPTS: u32 = 5;
/// Time after which a quarantine that could not be stored is stored again.
const STORE_RETRY_PERIOD: Duration = Duration::from_secs(1);
/// Limit on the parts in the row; those whose quarantine ends first are dropped.
const MAX_STORED_PARTS: usize = 256;

/// What this relay knows of parts that end upstreams.
#[derive(Default)]
pub struct Ledger {
    parts: Mutex<Quarantine>,
    /// Blames that this relay collects.
    suspicions: Mutex<Suspicions>,
    /// Quarantined parts that are to be stored.
    unstored: Mutex<BTreeSet<Part>>,
    changed: Notify,
}

impl Shared {
    /// Returns the parts of a request's prompt that other requests may share.
    pub fn parts(&self, headers: &HeaderMap) -> Arc<[Part]> {
        self.dialect.shared_parts(headers).iter().map(|id| Part::new(id)).collect()
    }

    /// Returns what a caller's request has in common with others: the shared parts of its prompt, and
    /// what makes it a repeat of another one.
    pub fn request_parts(&self, outgoing: &Outgoing, caller: &Caller) -> Arc<[Part]> {
        let header = |name| header_text(&outgoing.headers, &name).unwrap_or_default();
        let credentials = match caller {
            Caller::Unchecked => header(AUTHORIZATION),
            Caller::Anonymous => "",
            Caller::Holder { account, .. } => &account.name,
        };
        let target = outgoing.uri.path_and_query().map_or("", |target| target.as_str());
        let request = Part::of_request(
            outgoing.method.as_str(),
            header(HOST),
            target,
            credentials,
            &outgoing.body,
        );
        let prompt = self.parts(&outgoing.headers);
        prompt.iter().copied().chain([request]).collect()
    }

    /// Returns the time for which requests with one of these parts are refused.
    pub fn quarantine_left(&self, parts: &[Part]) -> Option<Duration> {
        lock(&self.quarantine.parts).left(self.clock.now(), parts)
    }

    /// Records that an upstream began to answer a request with these parts.
    pub fn record_answered_parts(&self, parts: &[Part]) {
        if !parts.is_empty() {
            lock(&self.quarantine.parts).record_answer(self.clock.now(), parts);
        }
    }

    /// Blames the parts of a request for a crash of its upstream, if the connection of the request
    /// broke off without an event, the upstream refuses new connections, and no request with the
    /// parts was answered recently.
    pub fn report_crash(self: &Arc<Self>, key: Key, upstream: &Upstream, parts: &[Part]) {
        let suspects = lock(&self.quarantine.parts).suspects(self.clock.now(), parts);
        if suspects.is_empty() {
            return;
        }
        let (shared, upstream) = (self.clone(), upstream.clone());
        tokio::spawn(async move {
            if shared.serves_on(&upstream).await {
                return;
            }
            shared.record_upstream_failure(key, &upstream.id, Failure::NotSent);
            event!(PartBlamed, upstream:% = upstream.id, parts:% = format_parts(&suspects));
            let now = shared.clock.now();
            for (_, address) in shared.servers(COLLECTOR_KEY, COLLECTORS, now) {
                shared.send(address, Content::Blamed(short_id(&upstream.id), suspects.clone()));
            }
        });
    }

    /// Returns whether an upstream keeps accepting connections after one of them broke off.
    async fn serves_on(self: &Arc<Self>, upstream: &Upstream) -> bool {
        for delay in PROBE_DELAYS {
            sleep(delay).await;
            if !self.is_reachable(upstream).await {
                return false;
            }
        }
        true
    }

    /// Handles a blame that another relay, or this one, reports.
    pub fn handle_blame(&self, upstream: u32, parts: &[Part]) {
        let query = lock(&self.quarantine.suspicions).blame(self.clock.now(), upstream, parts);
        if let Some(query) = query {
            event!(PartSuspect, parts:% = format_parts(&query.parts));
            self.handle_sound(&self.answer_query(&query));
            self.send_to_all(&Content::PartsQuery(query));
        }
    }

    /// Returns the queried parts with which this relay has had requests answered.
    pub fn answer_query(&self, query: &Query) -> Vec<Part> {
        lock(&self.quarantine.parts).sound_parts(self.clock.now(), query)
    }

    /// Records that parts are sound.
    pub fn handle_sound(&self, parts: &[Part]) {
        lock(&self.quarantine.suspicions).clear(parts);
    }

    /// Quarantines the parts that are still suspect after all relays could say that they are sound.
    pub fn confirm_suspects(&self) {
        let confirmed = lock(&self.quarantine.suspicions).take_confirmed(self.clock.now());
        if confirmed.is_empty() {
            return;
        }
        self.hold_parts(&confirmed, QUARANTINE_TIME);
        self.send_to_all(&Content::Held(confirmed.clone(), QUARANTINE_TIME));
        lock(&self.quarantine.unstored).extend(confirmed);
        self.quarantine.changed.notify_one();
    }

    /// Quarantines parts for a time.
    pub fn hold_parts(&self, parts: &[Part], left: Duration) {
        let now = self.clock.now();
        for part in parts {
            if lock(&self.quarantine.parts).hold(now, *part, left) {
                event!(
                    PartQuarantined,
                    part:% = format_parts(&[*part]),
                    left_ms = left.as_millis() as u64
                );
            }
        }
    }

    /// Quarantines the parts of the stored row.
    pub fn apply_quarantine(&self, row: &row::Quarantine) {
        let Some(now_ms) = self.clock.store_ms() else { return };
        for (part, end_ms) in &row.ends_ms {
            let left = Duration::from_millis(end_ms.saturating_sub(now_ms));
            self.hold_parts(&[Part(*part)], left);
        }
    }

    fn send_to_all(&self, content: &Content) {
        let addresses: Vec<SocketAddr> =
            self.members().values().map(|member| member.address).collect();
        for address in addresses {
            self.send(address, content.clone());
        }
    }
}

/// Stores quarantines until the process ends, so that relays that start later know them.
pub async fn store_changes(shared: Arc<Shared>) {
    loop {
        // Quarantines that could not be stored are tried again after the period.
        let _ = timeout(STORE_RETRY_PERIOD, shared.quarantine.changed.notified()).await;
        let parts = lock(&shared.quarantine.unstored).clone();
        if parts.is_empty() {
            continue;
        }
        match store_parts(&shared, &parts).await {
            Ok(()) => lock(&shared.quarantine.unstored).retain(|part| !parts.contains(part)),
            Err(error) => event!(PlatformUnreachable, service = "table", error:% = error),
        }
    }
}

async fn store_parts(shared: &Shared, parts: &BTreeSet<Part>) -> Result<(), Error> {
    let key = key::quarantine();
    let mut known = shared.table.read(vec![key.clone()]).await?.into_iter().next().flatten();
    for _ in 0..MAX_STORE_ATTEMPTS {
        // A row that cannot be decoded is replaced.
        let mut row: row::Quarantine =
            known.as_ref().and_then(|row| store::decode(row).ok()).unwrap_or_default();
        let now_ms = shared.clock.store_ms().unwrap_or_default();
        row.extend(parts.iter().map(|part| part.0), now_ms, QUARANTINE_TIME, MAX_STORED_PARTS);
        let version = known.as_ref().map_or(0, |row| row.version);
        let transaction = Transaction::new()
            .with_condition(key.clone(), version)
            .with_write(key.clone(), store::encode(&row)?);
        match shared.table.commit(transaction).await? {
            Commit::Done { .. } => return Ok(()),
            Commit::Conflict { rows } => known = rows.into_iter().next().flatten(),
        }
    }
    Err(Error::Unreachable("the row of the quarantine keeps changing".into()))
}

/// Returns the hashes of parts as logs show them.
pub fn format_parts(parts: &[Part]) -> String {
    parts.iter().map(|part| format!("{:016x}", part.0)).collect::<Vec<_>>().join(",")
}
