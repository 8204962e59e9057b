//! Which relay runs a job.
//!
//! Every relay follows the rows of the jobs and hears the others. A job whose owner is gone goes to
//! the relay that rendezvous hashing names, and the change of owner is a conditional write, so that
//! two relays that disagree cost a conflict and nothing else.

use std::{collections::BTreeMap, time::Duration};

use crate::hash;

/// Silence after which the jobs of a relay go to others. Commits are fenced, so a wrong guess only
/// costs runs.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time without the store after which the jobs of a relay go to others, since it can list nothing.
const CUT_OFF: Duration = Duration::from_secs(3);

/// One start of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start<'a> {
    /// Name of the relay.
    pub name: &'a str,
    /// Differs for each start.
    pub incarnation: u64,
}

/// What is known of another relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its newest start.
    pub incarnation: u64,
    /// Time since it was last heard.
    pub silent: Duration,
    /// Time since it last reached the store.
    pub cut_off: Duration,
    /// Whether it is about to stop and hands its jobs back.
    pub leaving: bool,
}

/// Time for which a relay has been cut off from the store while this one was in touch with it.
///
/// After an outage all relays seem cut off until they have reached the store again; the time counts
/// from when this one has.
pub fn cut_off(store_age: Duration, silent: Duration, in_touch: Duration) -> Duration {
    (store_age + silent).min(in_touch)
}

impl Peer {
    /// Whether it can run jobs.
    pub fn is_alive(&self) -> bool {
        self.silent <= SILENCE && self.cut_off <= CUT_OFF
    }
}

/// Whether the relay `own`, which does not run the job, is to take it over from `owner`.
pub fn takes_over(
    own: Start<'_>,
    owner: Option<Start<'_>>,
    job: &str,
    peers: &BTreeMap<String, Peer>,
) -> bool {
    match owner {
        // A write whose reply was lost made this relay the owner. Nobody else can know that it does
        // not run the job.
        Some(owner) if owner == own => return true,
        Some(owner) if owner.name != own.name => {
            let known = peers.get(owner.name);
            if known.is_some_and(|peer| peer.incarnation == owner.incarnation && peer.is_alive()) {
                return false;
            }
        }
        Some(_) | None => {}
    }
    let able = peers.iter().filter(|(_, peer)| peer.is_alive() && !peer.leaving);
    let names = able.map(|(name, _)| name.as_str()).chain([own.name]);
    hash::owner(names, job) == Some(own.name)
}
