//! Inputs, actions, datagrams and settings of the membership state machine.

use std::{net::SocketAddr, time::Duration};

use crate::traffic::Demand;

/// Reachability of a member. Within one incarnation, a greater state supersedes a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; can still refute the suspicion.
    Suspect,
    /// Has announced that it is leaving; gets no new work.
    Leaving,
    /// Did not refute the suspicion in time, or stopped answering while it was leaving. Also the
    /// state of a listed daemon that has not answered yet.
    Dead,
}

/// State of a member, as one daemon reports it to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its vm.
    pub name: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    pub data_centre: String,
    /// Number that the member increases to refute a suspicion; 0 until it has been heard from.
    pub incarnation: u64,
    pub state: State,
}

/// A daemon in the platform's list of vms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of its vm.
    pub name: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    pub data_centre: String,
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Asks for an `Ack` with the same sequence number.
    Probe,
    /// Answers a probe with its sequence number.
    Ack {
        /// Name of the daemon that was probed and is reachable.
        subject: String,
    },
    /// Asks the receiver to probe the subject on the sender's behalf.
    IndirectProbe {
        /// Name of the member to probe.
        subject: String,
        /// Address of the member to probe.
        address: SocketAddr,
    },
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Name of the sending daemon.
    pub from: String,
    /// Sequence number of the probe; an `Ack` carries that of the probe that it answers.
    pub sequence: u64,
    pub kind: Kind,
    /// Membership changes; the first one is the sender's own state.
    pub changes: Vec<Member>,
    /// Configuration revision that the sender has in force.
    pub revision: u64,
    /// Demand at the sender.
    pub demand: Vec<Demand>,
}

/// Event that the state machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed; sent every 100 ms.
    Tick,
    /// The platform has listed the daemons.
    Listed(Vec<Candidate>),
    /// A datagram has arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        datagram: Datagram,
    },
    /// This daemon has a new configuration revision in force.
    Revision(u64),
    /// Current demand at this daemon.
    Demand(Vec<Demand>),
    /// This daemon starts to leave.
    Leave,
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        datagram: Datagram,
    },
    /// The state of a member has changed, and with it possibly the set of live members.
    Changed(Member),
    /// Another daemon has a newer revision in force.
    NewerRevision {
        /// Number of the revision.
        revision: u64,
        /// Name of the daemon.
        from: String,
        /// Address of the daemon.
        address: SocketAddr,
    },
}

/// Parameters of the membership state machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This daemon.
    pub own: Candidate,
    /// First incarnation number; higher than that of any earlier process under the same name.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time after which an unanswered probe is repeated through other members.
    pub probe_timeout: Duration,
    /// Number of members that are asked to probe on this daemon's behalf.
    pub indirect_probes: usize,
    /// Time for which a member is suspected before it is considered dead.
    pub suspicion: Duration,
}
