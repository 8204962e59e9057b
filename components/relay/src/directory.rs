//! What this relay believes of the configuration, the upstreams, the relays and the jobs.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use cyclamengrade_control::{
    relay::registry::{self, Registry},
    time::Time,
};
use cyclamengrade_platform::feed::{Change, Changes, Content};
use cyclamengrade_telemetry::event;
use kameo::{
    Actor,
    message::{Context, Message},
};
use serde::de::DeserializeOwned;

use crate::{
    job::{
        key::{self, Subject},
        row,
    },
    shared::{Job, Member, Shared},
};

/// Changes of a table.
pub struct Update {
    /// The table.
    pub table: String,
    /// The changes.
    pub changes: Changes,
    /// Whether the changes are all rows of the table.
    pub is_snapshot: bool,
    /// Time without an answer of the store before this one.
    pub silence: Duration,
}

/// Removes upstreams whose entries lapsed during an outage and did not return.
pub struct Sweep;

/// Believes what the store says, and keeps to it while the store is away.
#[derive(Actor)]
pub struct Directory {
    shared: Arc<Shared>,
    listing: Registry,
    /// Newest version seen of each table, so that a read that lags behind changes nothing.
    version: BTreeMap<String, u64>,
}

impl Directory {
    /// A directory that knows nothing. Entries of upstreams that lapsed in an outage of the store
    /// may return within `return_time`.
    pub fn new(shared: Arc<Shared>, return_time: Duration) -> Self {
        Self { shared, listing: Registry::new(return_time), version: BTreeMap::new() }
    }

    fn update(&mut self, update: Update) {
        let known = self.version.entry(update.table.clone()).or_default();
        if update.is_snapshot && update.changes.version < *known {
            // A read that lags behind what was already seen.
            return;
        }
        *known = update.changes.version.max(*known);
        let now = self.shared.clock.now();
        let sources = self.shared.dialect.sources().clone();
        if update.table == sources.configuration_table {
            self.configuration(&sources.configuration_key, update.changes);
        } else if update.table == sources.upstream_table {
            self.upstreams(now, update);
        } else {
            self.fleet(now, update);
        }
    }

    fn configuration(&self, key: &str, changes: Changes) {
        for change in changes.rows.into_iter().filter(|change| change.key == key) {
            let Content::Value(value) = &change.content else {
                damaged(&change);
                continue;
            };
            match self.shared.dialect.configuration(value) {
                Err(error) => {
                    event!(RowUnusable, key:% = key, version = change.version, error:% = error);
                }
                Ok(table) if table.version <= self.shared.routes.load().version => {}
                Ok(table) => {
                    event!(
                        ConfigurationInForce,
                        revision = table.version,
                        row_version = change.version
                    );
                    self.shared.routes.store(Arc::new(table));
                    self.shared.batch_changed.notify_one();
                }
            }
        }
        let is_known = !self.shared.routes.load().is_empty();
        self.shared.readiness.send_if_modified(|known| {
            std::mem::replace(&mut known.configuration, is_known) != is_known
        });
    }

    fn upstreams(&mut self, now: Time, update: Update) {
        let Update { changes, is_snapshot, table, silence } = update;
        self.listing.record_store_answer(now, silence);
        if is_snapshot {
            let listed: BTreeSet<&str> =
                changes.rows.iter().filter_map(|change| id(&table, &change.key)).collect();
            let missing: Vec<String> =
                self.listing.ids().filter(|id| !listed.contains(id)).map(str::to_owned).collect();
            for id in missing {
                let change = self.listing.record_missing(&id, now);
                self.log(&id, change);
            }
        }
        for row in &changes.rows {
            let Some(id) = id(&table, &row.key) else { continue };
            let change = self.upstream(id, row, now);
            self.log(id, change);
        }
        self.publish();
        self.shared
            .readiness
            .send_if_modified(|known| !std::mem::replace(&mut known.upstreams, true));
    }

    fn upstream(&mut self, id: &str, row: &Change, now: Time) -> registry::Change {
        let read = match &row.content {
            Content::Deleted => return self.listing.record_missing(id, now),
            Content::Value(value) => self.shared.dialect.upstream(id, value),
            Content::Damaged(error) => Err(error.clone()),
        };
        match read {
            Ok(upstream) => self.listing.put(id, row.version, upstream),
            Err(error) => {
                event!(RowUnusable, key:% = row.key, version = row.version, error:% = error);
                self.listing.remove(id)
            }
        }
    }

    fn log(&self, id: &str, change: registry::Change) {
        let deployment = self.listing.get(id).map_or("", |upstream| &upstream.deployment);
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

    fn publish(&self) {
        let gone = self.shared.selector().set_upstreams(&self.listing.upstreams());
        self.shared.pool.forget(&gone);
        self.shared.batch_changed.notify_one();
    }

    fn sweep(&mut self) {
        let gone = self.listing.remove_expired(self.shared.clock.now());
        for id in &gone {
            self.log(id, registry::Change::Removed);
        }
        if !gone.is_empty() {
            self.publish();
        }
    }

    fn fleet(&self, now: Time, update: Update) {
        let Update { changes, is_snapshot, .. } = update;
        if is_snapshot {
            let listed: BTreeSet<&str> =
                changes.rows.iter().map(|change| change.key.as_str()).collect();
            self.shared.members().retain(|name, _| listed.contains(key::member(name).as_str()));
            // A job that was stored after the snapshot began is newer than the snapshot.
            self.shared.jobs().retain(|id, known| {
                listed.contains(key::job(id).as_str()) || known.version > changes.version
            });
        }
        for change in &changes.rows {
            match key::subject(&change.key) {
                Some(Subject::Member(name)) if name == self.shared.name => {
                    // A deleted or damaged row counts as one of another start.
                    let row = decode::<row::Member>(change);
                    self.shared.set_own_row_incarnation(Some(row.map_or(0, |row| row.incarnation)));
                }
                Some(Subject::Member(name)) => self.member(now, name, change),
                Some(Subject::Job(id)) => self.job(id, change),
                None => {}
            }
        }
        self.shared.set_fleet_version(changes.version);
        self.shared.readiness.send_if_modified(|known| !std::mem::replace(&mut known.fleet, true));
    }

    fn member(&self, now: Time, name: &str, change: &Change) {
        let mut members = self.shared.members();
        match decode::<row::Member>(change) {
            Some(row) => {
                let known = members.get(name).map(|member| member.incarnation);
                if known != Some(row.incarnation) {
                    event!(MemberJoined, member:% = name, incarnation = row.incarnation);
                    let member = Member {
                        address: row.address,
                        incarnation: row.incarnation,
                        last_heard: now,
                        store_age: Duration::ZERO,
                        leaving: false,
                        sequence: 0,
                    };
                    members.insert(name.to_owned(), member);
                    // A relay that has just started knows nothing of the upstreams' occupancy.
                    self.shared.occupancy_changed.notify_one();
                }
            }
            None => {
                if members.remove(name).is_some() {
                    event!(MemberGone, member:% = name);
                }
                self.shared.selector().remove_report(name);
            }
        }
    }

    fn job(&self, id: &str, change: &Change) {
        let mut jobs = self.shared.jobs();
        if jobs.get(id).is_some_and(|known| known.version > change.version) {
            return;
        }
        match decode::<row::Job>(change) {
            Some(row) => {
                if row.state == row::State::Ended {
                    event!(JobEnded, job:% = id);
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

impl Message<Update> for Directory {
    type Reply = ();

    async fn handle(&mut self, update: Update, _: &mut Context<Self, ()>) {
        self.update(update);
    }
}

impl Message<Sweep> for Directory {
    type Reply = ();

    async fn handle(&mut self, _: Sweep, _: &mut Context<Self, ()>) {
        self.sweep();
    }
}

/// The id in a key of the table.
fn id<'a>(table: &str, key: &'a str) -> Option<&'a str> {
    key.strip_prefix(table)?.strip_prefix("//")
}

fn damaged(change: &Change) {
    if let Content::Damaged(error) = &change.content {
        event!(RowUnusable, key:% = change.key, version = change.version, error:% = error);
    }
}

fn decode<T: DeserializeOwned>(change: &Change) -> Option<T> {
    let error = match &change.content {
        Content::Deleted => return None,
        Content::Value(value) => match T::deserialize(value) {
            Ok(value) => return Some(value),
            Err(error) => error.to_string(),
        },
        Content::Damaged(error) => error.clone(),
    };
    event!(RowUnusable, key:% = change.key, version = change.version, error:% = error);
    None
}
