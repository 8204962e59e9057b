//! The members that a daemon knows, and the changes it still has to pass on.

use std::collections::BTreeMap;

use super::message::{Candidate, Member, State};
use crate::time::Time;

/// Times that a change is passed on, for each doubling of the number of members.
const REPEATS_PER_DOUBLING: u32 = 3;

/// A member and what this daemon remembers of it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub member: Member,
    /// When the state last changed.
    pub since: Time,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Times that the latest change must still be passed on.
    pub repeats: u32,
}

/// Members by name, without this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    pub entries: BTreeMap<String, Entry>,
}

impl Table {
    /// Takes over a change when it is newer than what is known; returns the new state of the
    /// member when its state changed.
    pub fn merge(&mut self, now: Time, change: &Member) -> Option<Member> {
        let repeats = self.repeats();
        let Some(entry) = self.entries.get_mut(&change.name) else {
            let member = change.clone();
            let entry = Entry { member, since: now, listed: false, repeats };
            self.entries.insert(change.name.clone(), entry);
            return Some(change.clone());
        };
        if !supersedes(change, &entry.member) {
            return None;
        }
        let changed = entry.member.state != change.state;
        entry.member = change.clone();
        entry.repeats = repeats;
        if changed {
            entry.since = now;
        }
        changed.then(|| change.clone())
    }

    /// Marks which members the platform lists; forgets those that are gone and not listed.
    pub fn list(&mut self, now: Time, candidates: &[Candidate]) {
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
                repeats: 0,
            });
            entry.listed = true;
            // A replaced vm keeps its name and may have another address.
            if entry.member.state == State::Dead {
                entry.member.address = candidate.address;
            }
        }
        self.entries.retain(|_, entry| entry.listed || entry.member.state != State::Dead);
    }

    /// At most `limit` changes that must still be passed on, those passed on least first.
    pub fn take_changes(&mut self, limit: usize) -> Vec<Member> {
        let mut pending: Vec<_> =
            self.entries.values_mut().filter(|entry| entry.repeats > 0).collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.repeats));
        pending
            .into_iter()
            .take(limit)
            .map(|entry| {
                entry.repeats -= 1;
                entry.member.clone()
            })
            .collect()
    }

    /// Members in the given states.
    pub fn names_in(&self, states: &[State]) -> Vec<String> {
        self.entries
            .values()
            .filter(|entry| states.contains(&entry.member.state))
            .map(|entry| entry.member.name.clone())
            .collect()
    }

    fn repeats(&self) -> u32 {
        let members = u32::try_from(self.entries.len() + 2).unwrap_or(u32::MAX);
        REPEATS_PER_DOUBLING * (members.ilog2() + 1)
    }
}

/// SWIM's order of precedence: a higher incarnation wins, and within one incarnation the worse
/// state wins.
fn supersedes(new: &Member, old: &Member) -> bool {
    (new.incarnation, new.state) > (old.incarnation, old.state)
}
