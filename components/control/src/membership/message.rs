//! Inputs, actions and datagrams of the membership decisions.

use std::{net::SocketAddr, time::Duration};

use crate::traffic::Demand;

/// Reachability of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Answers probes.
    Alive,
    /// Did not answer; may still refute.
    Suspect,
    /// Announced that it leaves; gets no new work.
    Leaving,
    /// Did not answer and did not refute in time.
    Dead,
}

/// What one daemon tells another about a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of its vm.
    pub name: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Number that the member raises to refute a suspicion.
    pub incarnation: u64,
    /// State.
    pub state: State,
}

/// A daemon that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of its vm.
    pub name: String,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
}

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Asks for an `Ack` with the same sequence number.
    Probe,
    /// Answers a probe.
    Ack {
        /// The daemon that is reachable.
        subject: String,
    },
    /// Asks the receiver to probe the subject on the sender's behalf.
    IndirectProbe {
        /// Name of the subject.
        subject: String,
        /// Address of the subject.
        address: SocketAddr,
    },
}

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Name of the sender.
    pub from: String,
    /// Number that an `Ack` repeats.
    pub sequence: u64,
    /// Purpose.
    pub kind: Kind,
    /// Membership changes; the first one describes the sender.
    pub changes: Vec<Member>,
    /// Newest configuration revision that the sender has in force.
    pub revision: u64,
    /// Demand that the sender itself sees.
    pub demand: Vec<Demand>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time passed; sent every 100 ms.
    Tick,
    /// The platform listed the daemons.
    Listed(Vec<Candidate>),
    /// A datagram arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// Content.
        datagram: Datagram,
    },
    /// This daemon has a new configuration revision in force.
    Revision(u64),
    /// Demand that this daemon sees.
    Demand(Vec<Demand>),
    /// This daemon leaves.
    Leave,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content.
        datagram: Datagram,
    },
    /// A member changed its state; the set of live members may be different.
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

/// Parameters of the membership decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This daemon.
    pub own: Candidate,
    /// First incarnation number; higher than in any earlier life of the vm's name.
    pub incarnation: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// Time between two probes.
    pub probe_period: Duration,
    /// Time after which a probe counts as unanswered.
    pub probe_timeout: Duration,
    /// Daemons that are asked to probe on this one's behalf.
    pub indirect_probes: usize,
    /// Time for which a silent daemon is suspected before it counts as gone.
    pub suspicion: Duration,
}
