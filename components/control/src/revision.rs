//! Which configuration revision is in force.
//!
//! A daemon follows a log of numbered revisions with snapshots, from the table or from another
//! daemon, and never moves to a lower number. Following the log costs the size of the changes; the
//! whole document is read only at the start and after a long gap. The idea of a metadata log with
//! snapshots is that of Kafka's KRaft.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_configuration::{Delta, Document};

use crate::time::Time;

/// Revisions kept in memory for other daemons. At 28,000 changes a day these are about 13 minutes,
/// so that a daemon that was cut off for some minutes catches up without a snapshot.
const KEPT_REVISIONS: usize = 256;
/// Time after which a read that brought no answer is repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// One accepted change.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Number of the revision.
    pub number: u64,
    /// Changed entries.
    pub delta: Delta,
    /// Digest of the document after the change.
    pub digest: String,
}

/// A whole document at a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Number of the revision.
    pub number: u64,
    /// Document.
    pub document: Arc<Document>,
}

/// Where content can be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The table.
    Table,
    /// Another daemon.
    Peer {
        /// Address for other daemons.
        address: SocketAddr,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The table's head was read.
    Head {
        /// Newest revision.
        newest: u64,
        /// Revision of the newest snapshot.
        snapshot: u64,
    },
    /// The table cannot be read.
    TableDown,
    /// Another daemon has this revision in force.
    PeerRevision {
        /// Number of the revision.
        revision: u64,
        /// Address of the daemon.
        address: SocketAddr,
    },
    /// The reachable daemons have been asked at least once.
    PeersAsked,
    /// Content arrived.
    Content {
        /// Snapshot that stands before the entries, when one was needed.
        snapshot: Option<Snapshot>,
        /// Entries in ascending order.
        entries: Vec<Entry>,
    },
    /// Content could not be read.
    ContentFailed,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the table's head.
    ReadHead,
    /// Read the content above a revision; from the table with the snapshot when one is named.
    ReadContent {
        /// Where to read it.
        source: Source,
        /// Revision in force.
        after: u64,
        /// Newest revision known.
        newest: u64,
        /// Snapshot to start from.
        snapshot: Option<u64>,
    },
    /// A revision is in force.
    InForce(Snapshot),
    /// The daemon has the highest revision that it can know of.
    Ready,
    /// An entry did not fit the document or its digest; the next read starts from a snapshot.
    Mismatch {
        /// Number of the revision.
        number: u64,
    },
}

/// The configuration as one daemon follows it.
#[derive(Debug)]
pub struct Machine {
    current: Snapshot,
    log: VecDeque<Entry>,
    newest: u64,
    newest_snapshot: u64,
    source: Source,
    poll: Duration,
    last_head: Option<Time>,
    reading: Option<Time>,
    from_snapshot: bool,
    table_answered: Option<bool>,
    peers_asked: bool,
    ready: bool,
}

impl Machine {
    /// A daemon with no revision that reads the head every `poll`.
    pub fn new(poll: Duration) -> Self {
        Self {
            current: Snapshot { number: 0, document: Arc::default() },
            log: VecDeque::new(),
            newest: 0,
            newest_snapshot: 0,
            source: Source::Table,
            poll,
            last_head: None,
            reading: None,
            from_snapshot: false,
            table_answered: None,
            peers_asked: false,
            ready: false,
        }
    }

    /// The revision in force.
    pub const fn current(&self) -> &Snapshot {
        &self.current
    }

    /// What another daemon needs that has the revision `after` in force.
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

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Tick => {
                if self.last_head.is_none_or(|last| now.since(last) >= self.poll) {
                    self.last_head = Some(now);
                    actions.push(Action::ReadHead);
                }
            }
            Input::Head { newest, snapshot } => {
                self.table_answered = Some(true);
                self.newest_snapshot = self.newest_snapshot.max(snapshot);
                self.learn(newest, Source::Table);
            }
            Input::TableDown => self.table_answered = Some(self.table_answered.unwrap_or(false)),
            Input::PeerRevision { revision, address } => {
                self.learn(revision, Source::Peer { address });
            }
            Input::PeersAsked => self.peers_asked = true,
            Input::Content { snapshot, entries } => {
                self.reading = None;
                actions.extend(self.take(snapshot, entries));
            }
            Input::ContentFailed => {
                self.reading = None;
                // The table may be down while the peer answers, or the peer gone.
                self.source = Source::Table;
            }
        }
        actions.extend(self.read(now));
        actions.extend(self.check_ready());
        actions
    }

    fn learn(&mut self, newest: u64, source: Source) {
        if newest > self.newest {
            self.newest = newest;
            self.source = source;
        } else if newest == self.newest && newest > self.current.number && self.reading.is_none() {
            self.source = source;
        }
    }

    fn read(&mut self, now: Time) -> Option<Action> {
        let waiting = self.reading.is_some_and(|since| now.since(since) < READ_TIMEOUT);
        if self.newest <= self.current.number || waiting {
            return None;
        }
        self.reading = Some(now);
        let fresh = self.current.number == 0 || self.from_snapshot;
        let behind = self.current.number + 1 < self.newest_snapshot;
        let use_snapshot = self.newest_snapshot > self.current.number && (fresh || behind);
        let after = if fresh { 0 } else { self.current.number };
        Some(Action::ReadContent {
            source: self.source.clone(),
            after,
            newest: self.newest,
            snapshot: use_snapshot.then_some(self.newest_snapshot),
        })
    }

    fn take(&mut self, snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Vec<Action> {
        let before = self.current.number;
        let mut actions = Vec::new();
        if let Some(snapshot) = snapshot
            && snapshot.number > self.current.number
        {
            self.current = snapshot;
            self.log.clear();
            self.from_snapshot = false;
        }
        for entry in entries {
            if entry.number != self.current.number + 1 {
                continue;
            }
            let document = entry.delta.apply(&self.current.document);
            match document.filter(|document| document.digest() == entry.digest) {
                Some(document) => self.advance(entry, document),
                None => {
                    self.from_snapshot = true;
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
        if self.log.len() > KEPT_REVISIONS {
            self.log.pop_front();
        }
    }

    /// Ready once both sources were asked, one of them answered, and the newest revision known is
    /// in force.
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
