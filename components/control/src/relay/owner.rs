//! Ownership of batch jobs among relays.
//!
//! Every relay follows the rows of the jobs and exchanges datagrams with the other relays. When the
//! owner of a job is gone, the relay chosen by rendezvous hashing takes the job over. The change of
//! owner is a conditional write, so relays that disagree cause a conflict and no other harm.

use std::{collections::BTreeMap, time::Duration};

use crate::hash;

/// Time without a datagram after which the jobs of a relay go to others. Commits are fenced, so a
/// false positive only costs repeated runs.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without contact to the store after which the jobs of a relay go to others, since the relay
/// cannot commit results.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// One start of a relay process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<'a> {
    /// Name of the relay, which stays the same across restarts.
    pub name: &'a str,
    /// Differs for each start.
    pub incarnation: u64,
}

/// State of another relay, as this relay knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its latest incarnation.
    pub incarnation: u64,
    /// Time since its last datagram arrived.
    pub silence: Duration,
    /// Time for which it has been disconnected from the store; see [`store_disconnection`].
    pub store_disconnection: Duration,
    /// Whether it is shutting down and hands its jobs over.
    pub leaving: bool,
}

/// Returns the time for which a peer has been disconnected from the store while this relay was
/// connected to it.
///
/// `store_age` is the time since the peer last reached the store according to its last datagram,
/// `silence` the age of that datagram, and `connected` the time since this relay regained contact
/// with the store. After an outage, all peers seem disconnected until they report that they have
/// reached the store again. The result is therefore at most `connected`.
pub fn store_disconnection(
    store_age: Duration,
    silence: Duration,
    connected: Duration,
) -> Duration {
    (store_age + silence).min(connected)
}

impl Peer {
    /// Whether the peer can run jobs.
    pub fn is_alive(&self) -> bool {
        self.is_heard() && self.store_disconnection <= STORE_TIMEOUT
    }

    fn is_heard(&self) -> bool {
        self.silence <= PEER_TIMEOUT
    }
}

/// Whether the former owner of a job that was just taken over may still run its items, so that the new
/// owner asks it for their results and texts.
///
/// A relay that is heard loses its jobs only when it is disconnected from the store, so that it does not
/// learn of the takeover. Others are not asked: they would not answer, and the takeover would wait for them.
pub fn holds_work(own: Instance<'_>, former: Instance<'_>, peers: &BTreeMap<String, Peer>) -> bool {
    let known = peers.get(former.name).filter(|_| former.name != own.name);
    known.is_some_and(|peer| peer.incarnation == former.incarnation && peer.is_heard())
}

/// Whether the relay `own`, which does not run the job, takes it over from `owner`.
pub fn should_take_over(
    own: Instance<'_>,
    owner: Option<Instance<'_>>,
    job: &str,
    peers: &BTreeMap<String, Peer>,
) -> bool {
    match owner {
        // The write that made this relay the owner took effect, but its reply was lost. No other
        // relay can know that this one does not run the job.
        Some(owner) if owner == own => return true,
        Some(owner) if owner.name != own.name => {
            let known = peers.get(owner.name);
            if known.is_some_and(|peer| peer.incarnation == owner.incarnation && peer.is_alive()) {
                return false;
            }
        }
        Some(_) | None => {}
    }
    let eligible = peers.iter().filter(|(_, peer)| peer.is_alive() && !peer.leaving);
    let names = eligible.map(|(name, _)| name.as_str()).chain([own.name]);
    hash::owner(names, job) == Some(own.name)
}
