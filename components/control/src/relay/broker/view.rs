//! Read-only views of a broker, which explain its decisions.

use std::time::Duration;

use super::{Answer, Ask, Broker, Holder, Load, Place};
use crate::{relay::limit::Rate, time::Time};

/// Why a broker does not use an upstream for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// It accepts no new work.
    Leaving,
    /// The relay that asks does not use it.
    Avoided,
    /// It has other software than the request needs.
    Software,
    /// Relays report it as failed, or its pace allows no request now.
    Paused,
    /// All of its slots are in use.
    Full,
    /// It has named a limit, which is used up.
    Limited,
}

/// Order of the upstreams that may be used for a request; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether others are used first because of its speed.
    pub is_slow: bool,
    /// Whether the relay has no idle connection to it.
    pub is_unconnected: bool,
    /// Whether it is in another data centre than the relay.
    pub is_remote: bool,
    /// Slots in use, in thousandths.
    pub load_permille: u64,
}

/// An upstream as a broker sees it for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Short id of the upstream.
    pub upstream: u32,
    pub slots: u32,
    /// Online requests that hold slots.
    pub online: u32,
    /// Batch items that hold slots.
    pub batch: u32,
    /// Further requests that its pace allows; `None` if it is not limited.
    pub pace: Option<u32>,
    /// Time until it is used again after a failure.
    pub pause: Duration,
    /// Failures since its last good answer.
    pub failures: u32,
    /// Limit that it has named.
    pub rate: Option<Rate>,
    /// Time between its events relative to the others at equal load.
    pub slowness: f64,
    pub obstacle: Option<Obstacle>,
    pub rank: Rank,
}

/// What a broker would answer to a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preview {
    /// The answer; `None` if the broker does not know the shard.
    pub answer: Option<Answer>,
    /// Batch streams that would be stopped.
    pub stopped: usize,
    /// Requests that would get a slot before this one.
    pub ahead: usize,
    /// Expected wait if the request is queued.
    pub wait: Duration,
    /// Online requests that wait now.
    pub waiting: usize,
    /// Load of the shard now.
    pub load: Load,
}

/// What a broker knows of the batch items of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Items that wait.
    pub waiting: usize,
    /// Slots that batch items hold.
    pub held: u32,
    /// Online requests that wait, before which no item starts.
    pub online_waiting: usize,
    /// Whether the account holds more than an equal share of the batch slots.
    pub is_above_share: bool,
    /// Whether the broker has begun too recently to grant slots to items.
    pub is_learning: bool,
    /// Load of the shard.
    pub load: Load,
}

impl Broker {
    /// Returns the upstreams of a shard as they count for a request.
    pub fn views(&self, now: Time, ask: &Ask) -> Vec<View> {
        let is_paused = |place: &Place| self.paces.is_paused(place.upstream, now);
        let has_sound = self.accepting(ask).any(|place| !is_paused(place));
        let news = self.paces.news(now);
        let view = |place: &Place| {
            let used = self.used(place.upstream);
            let pace = news.iter().find(|news| news.upstream == place.upstream);
            let obstacle = match () {
                () if place.leaving => Some(Obstacle::Leaving),
                () if ask.avoid.contains(&place.upstream) => Some(Obstacle::Avoided),
                () if ask.software.is_some_and(|software| software != place.software) => {
                    Some(Obstacle::Software)
                }
                () if has_sound && is_paused(place) => Some(Obstacle::Paused),
                () if used.total() >= place.slots => Some(Obstacle::Full),
                () if self.free(place, now) == 0 => Some(Obstacle::Limited),
                () => None,
            };
            View {
                upstream: place.upstream,
                slots: place.slots,
                online: used.online,
                batch: used.batch,
                pace: self.paces.available(place.upstream, now),
                pause: pace.map(|pace| pace.pause).unwrap_or_default(),
                failures: pace.map_or(0, |pace| pace.failures),
                rate: self.limits.rate(place.upstream),
                slowness: self.speeds.slowness(place.upstream, now),
                obstacle,
                rank: self.rank(now, place, ask),
            }
        };
        self.shard(ask.shard).map(view).collect()
    }

    /// Returns what [`Self::ask`] would answer. It is asked of a copy, so that nothing changes here.
    pub fn preview(&self, now: Time, from: Holder, ask: &Ask) -> Preview {
        let (ticket, shard) = (ask.ticket, ask.shard);
        let mut copy = self.clone();
        let outgoing = copy.ask(now, from, ask.clone());
        let is_own = |answer: &Answer| match answer {
            Answer::Granted { ticket: other, .. }
            | Answer::Queued { ticket: other, .. }
            | Answer::Refused { ticket: other, .. } => *other == ticket,
            Answer::Stop { .. } => false,
        };
        let answers = outgoing.iter().filter(|(holder, _)| *holder == from);
        let answer = answers.map(|(_, answer)| *answer).find(is_own);
        let stops = outgoing.iter().filter(|(_, answer)| matches!(answer, Answer::Stop { .. }));
        let ahead = copy.queues.get(&shard).map_or(0, |queue| queue.online_before(from, ticket));
        Preview {
            answer,
            stopped: stops.count(),
            ahead,
            wait: copy.wait(shard, ahead),
            waiting: self.queues.get(&shard).map_or(0, |queue| queue.online_len()),
            load: self.load(now, shard),
        }
    }

    /// Returns what is known of the batch items of a shard, for one of an account.
    pub fn backlog(&self, now: Time, shard: u32, account: Option<u32>) -> Backlog {
        let queue = self.queues.get(&shard);
        Backlog {
            waiting: queue.map_or(0, |queue| queue.batch_len()),
            held: self.shard(shard).map(|place| self.used(place.upstream).batch).sum(),
            online_waiting: queue.map_or(0, |queue| queue.online_len()),
            is_above_share: queue.is_some_and(|queue| queue.batch().is_above(account)),
            is_learning: self.is_learning(now, shard),
            load: self.load(now, shard),
        }
    }
}
