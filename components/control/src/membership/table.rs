//! The members that a daemon knows, and the membership changes that it still has to send.

use std::collections::BTreeMap;

use super::message::{Candidate, Member, State};
use crate::time::Time;

/// Number of times that a change is sent, for each doubling of the number of members.
const RETRANSMITS_PER_DOUBLING: u32 = 3;

/// A member, with local information about it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub member: Member,
    /// Time of the last change of its state.
    pub since: Time,
    /// Whether the platform's latest list contains it.
    pub listed: bool,
    /// Number of times that its latest change must still be sent.
    pub retransmits: u32,
}

/// The members by name, without this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub entries: BTreeMap<String, Entry>,
}

impl Table {
    /// Applies a change if it supersedes what is known. Returns the member if it is new or its
    /// state has changed.
    pub fn merge(&mut self, now: Time, change: &Member) -> Option<Member> {
        let retransmits = self.retransmit_limit();
        let Some(entry) = self.entries.get_mut(&change.name) else {
            let member = change.clone();
            let entry = Entry { member, since: now, listed: false, retransmits };
            self.entries.insert(change.name.clone(), entry);
            return Some(change.clone());
        };
        if !supersedes(change, &entry.member) {
            return None;
        }
        let changed = entry.member.state != change.state;
        entry.member = change.clone();
        entry.retransmits = retransmits;
        if changed {
            entry.since = now;
        }
        changed.then(|| change.clone())
    }

    /// Records which members the platform lists, and removes dead members that it does not list.
    /// Unknown members are added as dead until they answer.
    pub fn update_listed(&mut self, now: Time, candidates: &[Candidate]) {
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
        for candidate in candidates {
            let entry = self.entries.entry(candidate.name.clone()).or_insert_with(|| Entry {
                member: Member {
                    name: candidate.name.clone(),
                    address: candidate.address,
                    data_centre: candidate.data_centre.clone(),
                    incarnation: 0,
                    state: State::Dead,
                },
                since: now,
                listed: true,
                retransmits: 0,
            });
            entry.listed = true;
            // A vm that has been replaced keeps its name but may have another address.
            if entry.member.state == State::Dead {
                entry.member.address = candidate.address;
            }
        }
        self.entries.retain(|_, entry| entry.listed || entry.member.state != State::Dead);
    }

    /// Returns at most `limit` changes to send, those with the most remaining transmissions first.
    pub fn take_changes(&mut self, limit: usize) -> Vec<Member> {
        let mut pending: Vec<_> =
            self.entries.values_mut().filter(|entry| entry.retransmits > 0).collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.retransmits));
        pending
            .into_iter()
            .take(limit)
            .map(|entry| {
                entry.retransmits -= 1;
                entry.member.clone()
            })
            .collect()
    }

    /// Returns the names of the members that are in one of the given states.
    pub fn names_with_state(&self, states: &[State]) -> Vec<String> {
        self.entries
            .values()
            .filter(|entry| states.contains(&entry.member.state))
            .map(|entry| entry.member.name.clone())
            .collect()
    }

    fn retransmit_limit(&self) -> u32 {
        let members = u32::try_from(self.entries.len() + 2).unwrap_or(u32::MAX);
        RETRANSMITS_PER_DOUBLING * (members.ilog2() + 1)
    }
}

/// Returns whether `new` takes precedence over `old`: as in SWIM, a higher incarnation wins, and
/// within one incarnation the greater state wins.
fn supersedes(new: &Member, old: &Member) -> bool {
    (new.incarnation, new.state) > (old.incarnation, old.state)
}
