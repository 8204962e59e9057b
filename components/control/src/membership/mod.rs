//! Membership and failure detection of the daemons, by direct and indirect probes.
//!
//! The protocol follows SWIM (Das, Gupta and Motivala, 2002): each daemon probes one member per
//! period, asks others to probe a member that does not answer, and suspects it if they get no
//! answer either. A suspected member can refute the suspicion with a higher incarnation number.
//! Membership changes are piggybacked on the probes.
//!
//! Unlike in SWIM, datagrams also carry the newest configuration revision and the sender's demand.
//! Dead members that the platform still lists are probed periodically, so that the two sides of a
//! network partition find each other again.

mod demand;
mod machine;
mod message;
mod table;

pub use self::{
    machine::Machine,
    message::{Action, Candidate, Datagram, Input, Kind, Member, Settings, State},
};
