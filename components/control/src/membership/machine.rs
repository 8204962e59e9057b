//! State machine that probes the other daemons and tracks their states.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{
    demand::DemandReports,
    message::{Action, Candidate, Datagram, Input, Kind, Member, Settings, State},
    table::Table,
};
use crate::{time::Time, traffic::Demand};

/// Maximum number of other members' changes in one datagram. A change takes about 60 bytes, so that
/// the datagram fits into an Ethernet frame.
const MAX_CHANGES_PER_DATAGRAM: usize = 8;
/// Maximum number of demand entries in one datagram; those with the highest rates are sent.
const MAX_DEMAND_PER_DATAGRAM: usize = 24;
/// One probe in this many goes to a dead member that the platform still lists, if there is one.
const PROBES_PER_DEAD_PROBE: u64 = 4;

/// A probe of this daemon that has not been answered yet.
struct Pending {
    subject: String,
    sent: Time,
    /// Whether the indirect probes have been sent.
    indirect: bool,
}

/// A probe on behalf of another daemon, whose ack is sent on to `requester` under `sequence`.
struct ForwardedProbe {
    requester: SocketAddr,
    sequence: u64,
    sent: Time,
}

/// State machine of the membership, as one daemon sees it.
pub struct Machine {
    settings: Settings,
    rng: StdRng,
    table: Table,
    demand_reports: DemandReports,
    incarnation: u64,
    leaving: bool,
    /// Configuration revision that this daemon has in force.
    revision: u64,
    /// Demand at this daemon.
    demand: Vec<Demand>,
    /// Last sequence number used.
    sequence: u64,
    /// Number of probes sent so far.
    probes: u64,
    last_probe: Option<Time>,
    /// Members that are still to be probed in the current round.
    probe_order: Vec<String>,
    pending: BTreeMap<u64, Pending>,
    forwarded_probes: BTreeMap<u64, ForwardedProbe>,
}

impl Machine {
    /// Creates the state machine of a daemon that knows no other members.
    pub fn new(settings: Settings) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            incarnation: settings.incarnation,
            settings,
            table: Table::default(),
            demand_reports: DemandReports::default(),
            leaving: false,
            revision: 0,
            demand: Vec::new(),
            sequence: 0,
            probes: 0,
            last_probe: None,
            probe_order: Vec::new(),
            pending: BTreeMap::new(),
            forwarded_probes: BTreeMap::new(),
        }
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now),
            Input::Listed(candidates) => self.update_listed(now, candidates),
            Input::Received { from, datagram } => self.receive(now, from, datagram),
            Input::Revision(revision) => {
                self.revision = self.revision.max(revision);
                Vec::new()
            }
            Input::Demand(demand) => {
                self.demand = highest_demand(demand);
                Vec::new()
            }
            Input::Leave => self.leave(),
        }
    }

    /// Returns the members that may get work, which are those alive or suspected, without this
    /// daemon.
    pub fn live(&self) -> Vec<Candidate> {
        let states = [State::Alive, State::Suspect];
        let live = self.table.entries.values().filter(|e| states.contains(&e.member.state));
        live.map(|entry| Candidate {
            name: entry.member.name.clone(),
            address: entry.member.address,
            data_centre: entry.member.data_centre.clone(),
        })
        .collect()
    }

    /// Returns the estimated total demand at all other live daemons.
    pub fn demand_of_others(&mut self, now: Time) -> Vec<Demand> {
        let others = self.live().len();
        self.demand_reports.total(now, others)
    }

    /// Returns whether probing has started and no probe is outstanding: every listed daemon has
    /// answered or has had the time to answer.
    pub fn settled(&self) -> bool {
        self.last_probe.is_some() && self.pending.is_empty()
    }

    fn own(&self) -> Member {
        Member {
            name: self.settings.own.name.clone(),
            address: self.settings.own.address,
            data_centre: self.settings.own.data_centre.clone(),
            incarnation: self.incarnation,
            state: if self.leaving { State::Leaving } else { State::Alive },
        }
    }

    fn datagram(&mut self, sequence: u64, kind: Kind) -> Datagram {
        let mut changes = vec![self.own()];
        changes.extend(self.table.take_changes(MAX_CHANGES_PER_DATAGRAM));
        Datagram {
            from: self.settings.own.name.clone(),
            sequence,
            kind,
            changes,
            revision: self.revision,
            demand: self.demand.clone(),
        }
    }

    fn send(&mut self, to: SocketAddr, sequence: u64, kind: Kind) -> Action {
        Action::Send { to, datagram: self.datagram(sequence, kind) }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn update_listed(&mut self, now: Time, mut candidates: Vec<Candidate>) -> Vec<Action> {
        candidates.retain(|candidate| candidate.name != self.settings.own.name);
        let unknown: Vec<String> = candidates
            .iter()
            .map(|candidate| candidate.name.clone())
            .filter(|name| !self.table.entries.contains_key(name))
            .collect();
        self.table.update_listed(now, &candidates);
        unknown.into_iter().filter_map(|name| self.probe(now, name)).collect()
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.expire_probes(now);
        actions.extend(self.expire_suspicions(now));
        let timeout = self.settings.probe_period * 2;
        self.forwarded_probes.retain(|_, forwarded| now.since(forwarded.sent) < timeout);
        let due = self.last_probe.is_none_or(|last| now.since(last) >= self.settings.probe_period);
        if due {
            self.last_probe = Some(now);
            if let Some(subject) = self.next_subject() {
                actions.extend(self.probe(now, subject));
            }
        }
        actions
    }

    /// Returns the next member to probe: in rounds, each in a random order in which every reachable
    /// member appears once, and periodically a dead member.
    fn next_subject(&mut self) -> Option<String> {
        self.probes += 1;
        if self.probes.is_multiple_of(PROBES_PER_DEAD_PROBE) {
            let dead = self.table.names_with_state(&[State::Dead]);
            if !dead.is_empty() {
                let index = self.rng.random_range(0..dead.len());
                return dead.into_iter().nth(index);
            }
        }
        let reachable = [State::Alive, State::Suspect, State::Leaving];
        if self.probe_order.is_empty() {
            self.probe_order = self.table.names_with_state(&reachable);
            self.probe_order.shuffle(&mut self.rng);
        }
        while let Some(name) = self.probe_order.pop() {
            let state = self.table.entries.get(&name).map(|entry| entry.member.state);
            if state.is_some_and(|state| reachable.contains(&state)) {
                return Some(name);
            }
        }
        None
    }

    fn probe(&mut self, now: Time, subject: String) -> Option<Action> {
        let address = self.table.entries.get(&subject)?.member.address;
        let sequence = self.next_sequence();
        self.pending.insert(sequence, Pending { subject, sent: now, indirect: false });
        Some(self.send(address, sequence, Kind::Probe))
    }

    fn expire_probes(&mut self, now: Time) -> Vec<Action> {
        let timeout = self.settings.probe_timeout;
        let mut actions = Vec::new();
        let timed_out: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, probe)| !probe.indirect && now.since(probe.sent) >= timeout)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in timed_out {
            actions.extend(self.probe_indirectly(sequence));
        }
        // After the direct probe has timed out, an indirect probe takes two round trips.
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, probe)| now.since(probe.sent) >= timeout * 3)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            if let Some(probe) = self.pending.remove(&sequence) {
                actions.extend(self.downgrade(now, &probe.subject, State::Suspect));
            }
        }
        actions
    }

    fn probe_indirectly(&mut self, sequence: u64) -> Vec<Action> {
        let Some(probe) = self.pending.get_mut(&sequence) else { return Vec::new() };
        probe.indirect = true;
        let subject = probe.subject.clone();
        let Some(entry) = self.table.entries.get(&subject) else { return Vec::new() };
        if entry.member.state == State::Dead {
            return Vec::new();
        }
        let address = entry.member.address;
        let mut proxies = self.live();
        proxies.retain(|proxy| proxy.name != subject);
        proxies.shuffle(&mut self.rng);
        proxies.truncate(self.settings.indirect_probes);
        proxies
            .into_iter()
            .map(|proxy| {
                let kind = Kind::IndirectProbe { subject: subject.clone(), address };
                self.send(proxy.address, sequence, kind)
            })
            .collect()
    }

    fn expire_suspicions(&mut self, now: Time) -> Vec<Action> {
        let suspicion = self.settings.suspicion;
        let expired: Vec<String> = self
            .table
            .entries
            .values()
            .filter(|entry| entry.member.state == State::Suspect)
            .filter(|entry| now.since(entry.since) >= suspicion)
            .map(|entry| entry.member.name.clone())
            .collect();
        expired.iter().flat_map(|name| self.downgrade(now, name, State::Dead)).collect()
    }

    /// Moves a member that did not answer to `state`, or to `Dead` if it is leaving. A member that
    /// has announced its leave is dead once it stops answering, with no time to refute.
    fn downgrade(&mut self, now: Time, name: &str, state: State) -> Vec<Action> {
        let Some(entry) = self.table.entries.get(name) else { return Vec::new() };
        let state = match entry.member.state {
            State::Leaving => State::Dead,
            State::Dead => return Vec::new(),
            State::Alive | State::Suspect => state,
        };
        let change = Member { state, ..entry.member.clone() };
        let changed = self.table.merge(now, &change);
        if state == State::Dead {
            self.demand_reports.remove(name);
        }
        changed.map(Action::Changed).into_iter().collect()
    }

    fn receive(&mut self, now: Time, from: SocketAddr, datagram: Datagram) -> Vec<Action> {
        if datagram.from == self.settings.own.name {
            return Vec::new();
        }
        let mut actions: Vec<Action> = Vec::new();
        let sender = datagram.from.clone();
        let known_as_dead_or_leaving = self.table.entries.get(&sender).is_some_and(|entry| {
            entry.member.incarnation > 0
                && matches!(entry.member.state, State::Dead | State::Leaving)
        });
        for change in &datagram.changes {
            actions.extend(self.merge(now, change));
        }
        // The sender was considered dead or leaving. The answer must tell it so, so that it can
        // refute with a higher incarnation.
        if known_as_dead_or_leaving && let Some(entry) = self.table.entries.get_mut(&sender) {
            entry.retransmits = entry.retransmits.max(1);
        }
        let address = self.table.entries.get(&sender).map_or(from, |entry| entry.member.address);
        self.demand_reports.record(now, &sender, datagram.demand);
        if datagram.revision > self.revision {
            let revision = datagram.revision;
            actions.push(Action::NewerRevision { revision, from: sender, address });
        }
        actions.extend(self.respond(now, from, datagram.sequence, datagram.kind));
        actions
    }

    fn respond(&mut self, now: Time, from: SocketAddr, sequence: u64, kind: Kind) -> Vec<Action> {
        match kind {
            Kind::Probe => {
                let subject = self.settings.own.name.clone();
                vec![self.send(from, sequence, Kind::Ack { subject })]
            }
            Kind::IndirectProbe { subject: _, address } => {
                let own_sequence = self.next_sequence();
                self.forwarded_probes
                    .insert(own_sequence, ForwardedProbe { requester: from, sequence, sent: now });
                vec![self.send(address, own_sequence, Kind::Probe)]
            }
            Kind::Ack { subject } => self.handle_ack(now, sequence, &subject),
        }
    }

    fn handle_ack(&mut self, now: Time, sequence: u64, subject: &str) -> Vec<Action> {
        if let Some(forwarded) = self.forwarded_probes.remove(&sequence) {
            let kind = Kind::Ack { subject: subject.into() };
            return vec![self.send(forwarded.requester, forwarded.sequence, kind)];
        }
        let answered = self.pending.get(&sequence).is_some_and(|probe| probe.subject == subject);
        if !answered {
            return Vec::new();
        }
        self.pending.remove(&sequence);
        let Some(entry) = self.table.entries.get_mut(subject) else { return Vec::new() };
        // The ack itself shows that the suspect is alive. Other daemons learn this from the
        // suspect, which refutes the suspicion.
        if entry.member.state != State::Suspect {
            return Vec::new();
        }
        entry.member.state = State::Alive;
        entry.since = now;
        vec![Action::Changed(entry.member.clone())]
    }

    fn merge(&mut self, now: Time, change: &Member) -> Option<Action> {
        if change.name == self.settings.own.name {
            self.refute(change);
            return None;
        }
        let changed = self.table.merge(now, change)?;
        if changed.state == State::Dead {
            self.demand_reports.remove(&changed.name);
        }
        Some(Action::Changed(changed))
    }

    /// Increases the incarnation if another daemon considers this one suspected or dead, or knows a
    /// higher incarnation from an earlier process under this name.
    fn refute(&mut self, change: &Member) {
        let own = self.own();
        if (change.incarnation, change.state) > (own.incarnation, own.state) {
            self.incarnation = change.incarnation + 1;
        }
    }

    /// Sends the leave to every live member directly, because a daemon that leaves has no time to
    /// wait until gossip has spread it.
    fn leave(&mut self) -> Vec<Action> {
        self.leaving = true;
        let members = self.live();
        members
            .into_iter()
            .map(|member| {
                let sequence = self.next_sequence();
                self.send(member.address, sequence, Kind::Probe)
            })
            .collect()
    }

    /// Returns the maximum time from the first unanswered probe of a member until it is considered
    /// dead.
    pub fn detection_time(&self) -> Duration {
        self.settings.probe_timeout * 3 + self.settings.suspicion
    }
}

fn highest_demand(mut demand: Vec<Demand>) -> Vec<Demand> {
    demand.sort_by(|a, b| b.requests_per_s.total_cmp(&a.requests_per_s));
    demand.truncate(MAX_DEMAND_PER_DATAGRAM);
    demand
}
