//! Which daemons are reachable, by direct and indirect probes.
//!
//! Follows SWIM (Das, Gupta and Motivala, 2002): one probe a period, indirect probes on silence, a
//! suspicion that the suspect can refute with a higher incarnation number, and changes carried on
//! the probes. Beyond SWIM, datagrams carry the newest configuration revision and the sender's
//! demand, and members that are gone but still listed by the platform are probed now and then, so
//! that the two sides of a network partition find each other again.

mod demand;
mod machine;
mod message;
mod table;

pub use self::{
    machine::Machine,
    message::{Action, Candidate, Datagram, Input, Kind, Member, Settings, State},
};
