//! Applies the changes of the store to the relay's view of the configuration, the upstreams, the
//! other relays and the jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        entry,
        monitor::Health,
        registry::{self, Registry},
    },
    time::Time,
};
use cyclamengrade_platform::feed::{Change, Changes, Content};
use cyclamengrade_telemetry::{event, metrics::RELAY_CONFIGURATION_UNUSABLE};
use kameo::{
    Actor,
    message::{Context, Message},
};
use metrics::gauge;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    evidence::{Answer, Call},
    job::{
        key::{self, Subject},
        row,
    },
    listing::Follow,
    shared::{Job, Member, OwnRow, Shared},
    task,
};

/// Longest logged reason for which a row cannot be used, in characters.
const MAX_REASON_CHARS: usize = 200;

/// Largest number of parts of one configuration that are logged as left out.
const MAX_FLAWS: usize = 20;

/// Changes of one table, or a snapshot of it.
pub struct Update {
    pub table: String,
    pub changes: Changes,
    /// Whether `changes` holds all rows of the table.
    pub is_snapshot: bool,
    /// Time between the previous answer of the store and this one.
    pub silence: Duration,
    pub follow: Follow,
    /// The call that brought the changes, if it confirms the configuration.
    pub call: Option<Call>,
}

/// The configuration has not changed up to a call of the store.
pub struct Confirmed(pub Call);

/// Another relay answered what evidence it has.
pub struct Stated {
    pub member: String,
    /// When it was asked, by [`crate::clock::boot_time`].
    pub asked: Time,
    pub answer: Answer,
}

/// The list of upstreams has not changed up to a version of the store.
pub struct Unchanged {
    pub version: u64,
    pub follow: Follow,
}

/// Removes the upstreams whose entries expired in an outage of the store and did not return within
/// the grace period.
pub struct Sweep;

/// Applies the updates of the store, and keeps the last known state during an outage of the store.
#[derive(Actor)]
pub struct Directory {
    shared: Arc<Shared>,
    registry: Registry,
    /// Newest version seen of each table; older snapshots are ignored.
    versions: BTreeMap<String, u64>,
    /// Whether the configuration in the store can be used. If not, no answer of the store confirms the one in
    /// force.
    is_usable: bool,
    /// Why the last configuration of another relay could not be used. Each answer brings it again.
    rejection: Option<String>,
}

impl Directory {
    /// Creates an empty directory. Entries of upstreams that expired in an outage of the store may
    /// return within `grace_period` after it.
    pub fn new(shared: Arc<Shared>, grace_period: Duration) -> Self {
        let registry = Registry::new(grace_period);
        Self { shared, registry, versions: BTreeMap::new(), is_usable: true, rejection: None }
    }

    fn apply(&mut self, update: Update) {
        let known = self.versions.entry(update.table.clone()).or_default();
        if update.is_snapshot && update.changes.version < *known {
            // The snapshot is older than changes that were already applied.
            return;
        }
        *known = update.changes.version.max(*known);
        let now = self.shared.clock.now();
        let sources = self.shared.dialect.sources().clone();
        if update.table == sources.configuration_table {
            self.apply_configuration(&sources.configuration_key, &update);
            if let Some(call) = update.call {
                self.confirm(call);
            }
        } else if update.table == sources.upstream_table {
            let (version, follow) = (update.changes.version, update.follow);
            self.apply_upstreams(now, update);
            self.shared.listing.record_applied(version, follow);
        } else {
            self.apply_fleet(now, update);
        }
    }

    fn apply_configuration(&mut self, key: &str, update: &Update) {
        let mut rows = update.changes.rows.iter().filter(|change| change.key == key).peekable();
        if update.is_snapshot && rows.peek().is_none() {
            self.record_unusable(update.changes.version, "the store has no configuration");
        }
        for change in rows {
            let begin = self.shared.clock.now();
            let put = match &change.content {
                Content::Value(value) => self.put_configuration(value),
                Content::Malformed(error) => Err(error.clone()),
                Content::Deleted => Err("it was deleted".to_owned()),
            };
            match put {
                Err(error) => {
                    log_unusable(key, change.version, &error);
                    self.record_unusable(change.version, &error);
                }
                Ok(revision) => {
                    self.is_usable = true;
                    gauge!(RELAY_CONFIGURATION_UNUSABLE).set(0.0);
                    if let Some(revision) = revision {
                        event!(
                            ConfigurationInForce,
                            revision = revision,
                            row_version = change.version,
                            elapsed_ms = self.shared.clock.now().since(begin).as_millis() as u64
                        );
                    }
                }
            }
        }
        self.record_usable();
    }

    /// Records that the newest configuration in the store cannot be used. Keys that it takes away would work on
    /// if the store went on to confirm the one before.
    fn record_unusable(&mut self, row_version: u64, error: &str) {
        let in_force = self.shared.routes.load().version;
        self.is_usable = false;
        self.shared.record_unusable();
        gauge!(RELAY_CONFIGURATION_UNUSABLE).set(1.0);
        event!(
            ConfigurationOutdated,
            row_version = row_version,
            revision = in_force,
            error:% = shortened(error)
        );
    }

    /// Records that the store confirmed the configuration, unless the newest one cannot be used.
    fn confirm(&self, call: Call) {
        match self.is_usable {
            true => self.shared.record_confirmed(call),
            false => self.shared.record_unusable(),
        }
    }

    /// Puts a configuration in force if it is newer. Returns its version, or `None` if it is not newer.
    fn put_configuration(&self, value: &Value) -> Result<Option<u64>, String> {
        let read = task::catch_step("configuration", || self.shared.dialect.configuration(value));
        let table = read.unwrap_or_else(|panicked| Err(panicked.to_string()))?;
        let version = table.version;
        if version <= self.shared.routes.load().version {
            return Ok(None);
        }
        for flaw in table.flaws.iter().take(MAX_FLAWS) {
            event!(ConfigurationPartIgnored, revision = version, error:% = shortened(flaw));
        }
        self.shared.routes.store(Arc::new(table));
        self.shared.keep_configuration(version, value);
        self.shared.batch_changed.notify_one();
        Ok(Some(version))
    }

    /// Applies the answer of another relay: its configuration first, which its evidence is about.
    fn apply_statement(&mut self, stated: &Stated) {
        let statement = stated.answer.statement();
        if let Some(value) = &stated.answer.configuration {
            match self.put_configuration(value) {
                Err(error) => {
                    if self.rejection.as_ref() != Some(&error) {
                        let sources = self.shared.dialect.sources();
                        log_unusable(&sources.configuration_key, 0, &error);
                        self.rejection = Some(error);
                    }
                }
                Ok(None) => {}
                Ok(Some(revision)) => {
                    event!(
                        ConfigurationRelayed,
                        revision = revision,
                        member:% = stated.member,
                        age_ms = statement.map_or(0, |statement| statement.age_ms)
                    );
                    self.record_usable();
                }
            }
        }
        self.shared.record_statement(&stated.member, statement.as_ref(), stated.asked);
    }

    /// Records whether a usable configuration is in force.
    fn record_usable(&self) {
        let is_usable = !self.shared.routes.load().is_empty();
        self.shared.readiness.send_if_modified(|readiness| {
            std::mem::replace(&mut readiness.configuration, is_usable) != is_usable
        });
    }

    fn apply_upstreams(&mut self, now: Time, update: Update) {
        let Update { changes, is_snapshot, table, silence, .. } = update;
        self.registry.record_store_answer(now, silence);
        if is_snapshot {
            let listed: BTreeSet<&str> =
                changes.rows.iter().filter_map(|change| upstream_id(&table, &change.key)).collect();
            let missing: Vec<String> =
                self.registry.ids().filter(|id| !listed.contains(id)).map(str::to_owned).collect();
            for id in missing {
                let change = self.registry.record_missing(&id, now);
                self.log_change(&id, change);
            }
        }
        for row in &changes.rows {
            let Some(id) = upstream_id(&table, &row.key) else { continue };
            let change = self.apply_upstream(id, row, now);
            self.log_change(id, change);
        }
        self.publish();
        self.shared
            .readiness
            .send_if_modified(|readiness| !std::mem::replace(&mut readiness.upstreams, true));
    }

    fn apply_upstream(&mut self, id: &str, row: &Change, now: Time) -> registry::Change {
        let parsed = match &row.content {
            Content::Deleted => return self.registry.record_missing(id, now),
            Content::Value(value) => {
                let read = task::catch_step("upstream", || self.shared.dialect.upstream(id, value));
                read.unwrap_or_else(|panicked| Err(panicked.to_string()))
            }
            Content::Malformed(error) => Err(error.clone()),
        };
        let plausible = parsed.and_then(|upstream| match entry::flaw(&upstream) {
            Some(flaw) => Err(flaw.to_string()),
            None => Ok(upstream),
        });
        match plausible {
            Ok(upstream) => self.registry.put(id, row.version, upstream),
            Err(error) => {
                log_unusable(&row.key, row.version, &error);
                self.registry.remove(id)
            }
        }
    }

    fn log_change(&self, id: &str, change: registry::Change) {
        let deployment = self.registry.get(id).map_or("", |upstream| &upstream.deployment);
        match change {
            registry::Change::Added => {
                event!(UpstreamAdded, upstream:% = id, deployment:% = deployment);
            }
            registry::Change::Leaving => {
                event!(UpstreamLeaving, upstream:% = id, deployment:% = deployment);
            }
            registry::Change::Lapsed => event!(UpstreamLapsed, upstream:% = id),
            registry::Change::Removed => event!(UpstreamRemoved, upstream:% = id),
            registry::Change::Minor => {}
        }
    }

    /// Passes the upstreams to the selector, and closes the idle connections to those removed.
    fn publish(&self) {
        let (removed, has_new_software) = {
            let mut selector = self.shared.selector();
            let known = selector.software();
            let removed = selector.set_upstreams(&self.registry.upstreams());
            (removed, !selector.software().is_subset(&known))
        };
        if has_new_software {
            self.shared.publish_origins();
        }
        self.shared.origins.upstreams_changed.notify_one();
        self.shared.mark_leaving();
        self.shared.publish_places();
        self.shared.pool.close_idle(&removed);
        self.shared.forget_links(&removed);
        self.shared.batch_changed.notify_one();
    }

    fn sweep(&mut self) {
        let removed = self.registry.remove_expired(self.shared.clock.now());
        for id in &removed {
            self.log_change(id, registry::Change::Removed);
        }
        if !removed.is_empty() {
            self.publish();
        }
    }

    fn apply_fleet(&self, now: Time, update: Update) {
        let Update { changes, is_snapshot, .. } = update;
        if is_snapshot {
            let listed: BTreeSet<&str> =
                changes.rows.iter().map(|change| change.key.as_str()).collect();
            self.shared.members().retain(|name, _| listed.contains(key::member(name).as_str()));
            self.shared.retain_leaving(|id| listed.contains(key::leaving(id).as_str()));
            // A job row that is newer than the snapshot was written after the snapshot began.
            self.shared.jobs().retain(|id, known| {
                listed.contains(key::job(id).as_str()) || known.version > changes.version
            });
        }
        for change in &changes.rows {
            match key::subject(&change.key) {
                Some(Subject::Member(name)) if name == self.shared.name => {
                    let incarnation = decode::<row::Member>(change).map(|row| row.incarnation);
                    self.shared.set_own_row(OwnRow { version: change.version, incarnation });
                }
                Some(Subject::Member(name)) => self.apply_member(now, name, change, is_snapshot),
                Some(Subject::Job(id)) => self.apply_job(now, id, change, is_snapshot),
                Some(Subject::RollCall) => {
                    self.shared.record_roll_call(change.version, is_snapshot);
                }
                Some(Subject::Leaving(id)) => {
                    let row = decode::<row::Leaving>(change);
                    self.shared.apply_leaving(id, change.version, row);
                }
                Some(Subject::Quarantine) => {
                    if let Some(row) = decode::<row::Quarantine>(change) {
                        self.shared.apply_quarantine(&row);
                    }
                }
                Some(Subject::Versions) => {
                    if let Some(row) = decode::<row::Versions>(change) {
                        self.shared.origins.set_versions(row, self.shared.clock.store_ms());
                    }
                }
                None => {}
            }
        }
        self.shared.set_fleet_version(changes.version);
        self.shared
            .readiness
            .send_if_modified(|readiness| !std::mem::replace(&mut readiness.fleet, true));
    }

    fn apply_member(&self, now: Time, name: &str, change: &Change, is_snapshot: bool) {
        let seen = self.shared.last_news();
        let mut members = self.shared.members();
        match decode::<row::Member>(change) {
            Some(row) => {
                let known = members.get_mut(name);
                let known = known.filter(|member| member.incarnation == row.incarnation);
                if let Some(member) = known {
                    // Rows of a snapshot may have been written long ago.
                    if !is_snapshot {
                        member.health.record_row(change.version, now, seen);
                    }
                } else {
                    event!(MemberJoined, member:% = name, incarnation = row.incarnation);
                    let member = Member {
                        address: row.address,
                        incarnation: row.incarnation,
                        capacity: row.capacity,
                        joined_ms: row.joined_ms,
                        health: Health::new(name, change.version, now)
                            .with_answers(row.answers_calls),
                    };
                    members.insert(name.to_owned(), member);
                }
            }
            None => {
                if members.remove(name).is_some() {
                    event!(MemberGone, member:% = name);
                }
            }
        }
    }

    fn apply_job(&self, now: Time, id: &str, change: &Change, is_snapshot: bool) {
        let mut jobs = self.shared.jobs();
        if jobs.get(id).is_some_and(|known| known.version > change.version) {
            return;
        }
        match decode::<row::Job>(change) {
            Some(row) => {
                if row.state == row::State::Ended {
                    event!(JobEnded, job:% = id);
                }
                let owner = jobs.get(id).and_then(|known| known.row.owner.as_ref());
                if !is_snapshot && owner != row.owner.as_ref() {
                    self.record_ownership(now, row.owner.as_ref());
                }
                jobs.insert(id.to_owned(), Job { version: change.version, row });
            }
            None => {
                jobs.remove(id);
            }
        }
        self.shared.batch_changed.notify_one();
    }
}

impl Directory {
    /// Records that a relay became the owner of a job.
    fn record_ownership(&self, now: Time, owner: Option<&row::Owner>) {
        let Some(owner) = owner else { return };
        let seen = self.shared.last_news();
        let mut members = self.shared.members();
        let member = members.get_mut(&owner.name);
        if let Some(member) = member.filter(|member| member.incarnation == owner.incarnation) {
            member.health.record_ownership(now, seen);
        }
    }
}

impl Message<Update> for Directory {
    type Reply = ();

    async fn handle(&mut self, update: Update, _: &mut Context<Self, ()>) {
        self.apply(update);
    }
}

impl Message<Unchanged> for Directory {
    type Reply = ();

    async fn handle(&mut self, message: Unchanged, _: &mut Context<Self, ()>) {
        self.shared.listing.record_applied(message.version, message.follow);
    }
}

impl Message<Confirmed> for Directory {
    type Reply = ();

    async fn handle(&mut self, Confirmed(call): Confirmed, _: &mut Context<Self, ()>) {
        self.confirm(call);
    }
}

impl Message<Stated> for Directory {
    type Reply = ();

    async fn handle(&mut self, stated: Stated, _: &mut Context<Self, ()>) {
        self.apply_statement(&stated);
    }
}

impl Message<Sweep> for Directory {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, _: &mut Context<Self, ()>) {
        self.sweep();
    }
}

/// Returns the id of the upstream in a key of the form `TABLE//ID`.
fn upstream_id<'a>(table: &str, key: &'a str) -> Option<&'a str> {
    key.strip_prefix(table)?.strip_prefix("//")
}

/// Logs that a row cannot be used. The reason may quote a text that fills the row, and is shortened.
pub fn log_unusable(key: &str, version: u64, reason: &str) {
    event!(RowUnusable, key:% = key, version = version, error:% = shortened(reason));
}

fn shortened(reason: &str) -> String {
    reason.chars().take(MAX_REASON_CHARS).collect()
}

fn decode<T: DeserializeOwned>(change: &Change) -> Option<T> {
    let error = match &change.content {
        Content::Deleted => return None,
        Content::Value(value) => match T::deserialize(value) {
            Ok(value) => return Some(value),
            Err(error) => error.to_string(),
        },
        Content::Malformed(error) => error.clone(),
    };
    log_unusable(&change.key, change.version, &error);
    None
}
