//! Follows the configuration revisions and decides which one is in force.
//!
//! A daemon reads a log of numbered revisions, with snapshots, from the table or from another
//! daemon, and never moves to a lower number. It normally transfers only the changes; it reads the
//! whole document only at the start, after a long gap, or after a digest mismatch. The design of a
//! metadata log with snapshots follows Kafka's KRaft.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Delta, Document};

use crate::time::Time;

/// Log entries kept in memory for other daemons. At 28,000 changes a day they cover about
/// 13 minutes, so that a daemon that was cut off for a few minutes catches up without a snapshot.
const MAX_LOG_ENTRIES: usize = 256;
/// Time after which an unanswered read is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Log entry of one accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Number of the revision.
    pub number: u64,
    /// Difference from the document of the previous revision.
    pub delta: Delta,
    /// Digest of the document after the change.
    pub digest: String,
}

/// The whole document of a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Number of the revision.
    pub number: u64,
    pub document: Arc<Document>,
}

/// Source from which revisions can be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The platform's table.
    Table,
    /// Another daemon.
    Peer {
        /// Address for other daemons.
        address: SocketAddr,
    },
}

/// Event that the state machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The head of the log in the table has been read.
    Head {
        /// Number of the newest revision.
        newest: u64,
        /// Number of the newest snapshot's revision.
        snapshot: u64,
    },
    /// The table cannot be read.
    TableDown,
    /// Another daemon has reported the revision that it has in force.
    PeerRevision {
        /// Number of the revision.
        revision: u64,
        /// Address of the daemon.
        address: SocketAddr,
    },
    /// The reachable daemons have been asked for their revisions at least once.
    PeersAsked,
    /// A read has returned revisions.
    Content {
        /// Snapshot to which the entries apply, if one was needed.
        snapshot: Option<Snapshot>,
        /// Log entries in ascending order of their numbers.
        entries: Vec<Entry>,
    },
    /// A read has failed.
    ContentFailed,
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head of the log in the table.
    ReadHead,
    /// Read the revisions after `after`, starting with the snapshot if one is given.
    ReadContent {
        source: Source,
        /// Number of the last revision that need not be read.
        after: u64,
        /// Number of the newest known revision.
        newest: u64,
        /// Number of the snapshot to start from.
        snapshot: Option<u64>,
    },
    /// A new revision is in force.
    InForce(Snapshot),
    /// The newest revision that the daemon can learn of is in force; sent once.
    Ready,
    /// An entry could not be applied, or the resulting document does not have the entry's digest.
    /// The next read starts from a snapshot, if there is a newer one.
    Mismatch {
        /// Number of the revision.
        number: u64,
    },
}

/// State machine that follows the configuration log on one daemon.
#[derive(Debug)]
pub struct Machine {
    current: Snapshot,
    log: VecDeque<Entry>,
    newest: u64,
    newest_snapshot: u64,
    source: Source,
    poll_period: Duration,
    last_head_read: Option<Time>,
    read_started: Option<Time>,
    needs_snapshot: bool,
    table_answered: Option<bool>,
    peers_asked: bool,
    ready: bool,
}

impl Machine {
    /// Creates the state machine of a daemon that has no revision yet and reads the head of the log
    /// every `poll_period`.
    pub fn new(poll_period: Duration) -> Self {
        Self {
            current: Snapshot { number: 0, document: Arc::default() },
            log: VecDeque::new(),
            newest: 0,
            newest_snapshot: 0,
            source: Source::Table,
            poll_period,
            last_head_read: None,
            read_started: None,
            needs_snapshot: false,
            table_answered: None,
            peers_asked: false,
            ready: false,
        }
    }

    /// Returns the revision in force; its number is 0 before the first one.
    pub const fn current(&self) -> &Snapshot {
        &self.current
    }

    /// Returns what another daemon needs to get from the revision `after` to the current one: the
    /// entries between them, or a snapshot if the log no longer covers them.
    pub fn content_after(&self, after: u64) -> (Option<Snapshot>, Vec<Entry>) {
        if after >= self.current.number {
            return (None, Vec::new());
        }
        let covered = self.log.front().is_some_and(|oldest| oldest.number <= after + 1);
        if covered {
            let entries = self.log.iter().filter(|entry| entry.number > after).cloned().collect();
            (None, entries)
        } else {
            (Some(self.current.clone()), Vec::new())
        }
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Tick => {
                if self.last_head_read.is_none_or(|last| now.since(last) >= self.poll_period) {
                    self.last_head_read = Some(now);
                    actions.push(Action::ReadHead);
                }
            }
            Input::Head { newest, snapshot } => {
                self.table_answered = Some(true);
                self.newest_snapshot = self.newest_snapshot.max(snapshot);
                self.record_newest(newest, Source::Table);
            }
            Input::TableDown => self.table_answered = Some(self.table_answered.unwrap_or(false)),
            Input::PeerRevision { revision, address } => {
                self.record_newest(revision, Source::Peer { address });
            }
            Input::PeersAsked => self.peers_asked = true,
            Input::Content { snapshot, entries } => {
                self.read_started = None;
                actions.extend(self.apply_content(snapshot, entries));
            }
            Input::ContentFailed => {
                self.read_started = None;
                // Falls back to the table, because the peer may be gone. If the table is down, the
                // next report of a peer selects that peer again.
                self.source = Source::Table;
            }
        }
        actions.extend(self.start_read(now));
        actions.extend(self.check_ready());
        actions
    }

    fn record_newest(&mut self, newest: u64, source: Source) {
        if newest > self.newest {
            self.newest = newest;
            self.source = source;
        } else if newest == self.newest
            && newest > self.current.number
            && self.read_started.is_none()
        {
            self.source = source;
        }
    }

    fn start_read(&mut self, now: Time) -> Option<Action> {
        let in_flight = self.read_started.is_some_and(|since| now.since(since) < READ_TIMEOUT);
        if self.newest <= self.current.number || in_flight {
            return None;
        }
        self.read_started = Some(now);
        let start_over = self.current.number == 0 || self.needs_snapshot;
        let behind = self.current.number + 1 < self.newest_snapshot;
        let use_snapshot = self.newest_snapshot > self.current.number && (start_over || behind);
        let after = if start_over { 0 } else { self.current.number };
        Some(Action::ReadContent {
            source: self.source.clone(),
            after,
            newest: self.newest,
            snapshot: use_snapshot.then_some(self.newest_snapshot),
        })
    }

    fn apply_content(&mut self, snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Vec<Action> {
        let before = self.current.number;
        let mut actions = Vec::new();
        if let Some(snapshot) = snapshot
            && snapshot.number > self.current.number
        {
            self.current = snapshot;
            self.log.clear();
            self.needs_snapshot = false;
        }
        for entry in entries {
            if entry.number != self.current.number + 1 {
                continue;
            }
            let document = entry.delta.apply(&self.current.document);
            match document.filter(|document| document.digest() == entry.digest) {
                Some(document) => self.advance(entry, document),
                None => {
                    self.needs_snapshot = true;
                    actions.push(Action::Mismatch { number: entry.number });
                    break;
                }
            }
        }
        if self.current.number > before {
            self.newest = self.newest.max(self.current.number);
            actions.push(Action::InForce(self.current.clone()));
        }
        actions
    }

    fn advance(&mut self, entry: Entry, document: Document) {
        self.current = Snapshot { number: entry.number, document: Arc::new(document) };
        self.log.push_back(entry);
        if self.log.len() > MAX_LOG_ENTRIES {
            self.log.pop_front();
        }
    }

    /// Returns `Ready` once both sources have been asked, at least one of them has answered, and
    /// the newest known revision is in force.
    fn check_ready(&mut self) -> Option<Action> {
        let known = match self.table_answered {
            Some(true) => true,
            Some(false) => self.newest > 0,
            None => false,
        };
        let ready = self.peers_asked && known && self.current.number >= self.newest;
        if self.ready || !ready {
            return None;
        }
        self.ready = true;
        Some(Action::Ready)
    }
}
