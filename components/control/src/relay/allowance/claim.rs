//! Claims: how a relay learns what others granted before it grants tokens of an account itself.
//!
//! A relay that has just started, or that got no processor time for a while, may take itself for the owner of an
//! account whose tokens another relay grants meanwhile. It claims the account before its first grant. The others
//! stop granting and state the level of their bucket. What may have been granted before the time that most relays
//! remember counts as granted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::time::Time;

/// Time after which a claim no longer waits for the relays that have not answered.
pub const ANSWER_TIME: Duration = Duration::from_millis(15);
/// Shortest time without processor time after which a relay claims its accounts again. The others ask another one
/// instead of a relay that is silent for so long.
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a relay leaves an account to one that claimed it. By then, all relays have heard from that one.
const RELEASE_TIME: Duration = Duration::from_millis(500);
/// Limit on the accounts with a state.
const MAX_ACCOUNTS: usize = 1 << 14;

/// Claim that waits for answers.
#[derive(Clone, Debug)]
struct Claim<R> {
    ticket: u64,
    begun_at: Time,
    /// Relays that have not answered.
    unanswered: BTreeSet<R>,
    /// Times for which the relays that answered, and this one, remember their grants.
    memories: Vec<Duration>,
    /// Number of relays, with this one.
    relays: usize,
}

impl<R> Claim<R> {
    /// Returns the longest time for which most of the relays remember their grants.
    fn common_memory(&self) -> Duration {
        let mut memories = self.memories.clone();
        memories.sort_unstable_by(|a, b| b.cmp(a));
        memories.get(self.relays / 2).copied().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
enum State<R> {
    Claiming(Claim<R>),
    Held,
    /// Another relay claimed the account.
    Released {
        holder: R,
        at: Time,
        /// Claim of this relay that was open then.
        claim: Option<Claim<R>>,
    },
}

/// Whether this relay may grant tokens of an account. `R` identifies a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing<R> {
    Held,
    /// The account has to be claimed first.
    Unclaimed,
    /// The claim waits for answers.
    Claiming,
    /// Another relay has claimed the account.
    Released(R),
}

/// What a relay does about the claim of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It stops granting tokens of the account.
    Yield,
    /// It claims the account itself and goes first.
    Keep,
}

/// Result of a claim that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Number of other relays that were asked.
    pub asked: usize,
    /// Number of those that answered in time.
    pub answered: usize,
    /// Time for which most of the relays remember their grants. What was granted before is unknown.
    pub memory: Duration,
}

/// Claims of one relay, by account. `R` identifies a relay; all relays have the same order of them.
#[derive(Clone, Debug)]
pub struct Claims<R> {
    by_account: BTreeMap<u64, State<R>>,
    /// When this process was last seen to run, on a clock that includes suspensions of the vm.
    seen_running: Option<Time>,
}

impl<R> Default for Claims<R> {
    fn default() -> Self {
        Self { by_account: BTreeMap::new(), seen_running: None }
    }
}

impl<R: Copy + Ord> Claims<R> {
    /// Creates claims of a relay that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that this process runs, at the time `boot_time` since the vm was started. Has to be called more
    /// often than every quarter of a second. After a longer pause all accounts have to be claimed again, since
    /// others may have granted their tokens. Returns whether there was one.
    pub fn record_running(&mut self, boot_time: Time) -> bool {
        let former = self.seen_running.replace(boot_time);
        let was_paused = former.is_some_and(|former| boot_time.since(former) >= MIN_PAUSE);
        if was_paused {
            self.by_account.clear();
        }
        was_paused
    }

    /// Returns whether this relay may grant tokens of an account.
    pub fn standing(&self, now: Time, account: u64) -> Standing<R> {
        match self.by_account.get(&account) {
            Some(State::Held) => Standing::Held,
            Some(State::Claiming(_)) => Standing::Claiming,
            Some(State::Released { holder, at, .. }) if now.since(*at) < RELEASE_TIME => {
                Standing::Released(*holder)
            }
            None | Some(State::Released { .. }) => Standing::Unclaimed,
        }
    }

    /// Begins a claim of an account that is unclaimed. All `others` are to be told under this ticket. `memory` is the
    /// time since the start of this relay. Returns whether the claim has begun.
    pub fn begin(
        &mut self,
        now: Time,
        (account, ticket): (u64, u64),
        memory: Duration,
        others: BTreeSet<R>,
    ) -> bool {
        if self.standing(now, account) != Standing::Unclaimed {
            return false;
        }
        if self.by_account.len() >= MAX_ACCOUNTS && !self.by_account.contains_key(&account) {
            self.by_account.pop_first();
        }
        let claim = Claim {
            ticket,
            begun_at: now,
            relays: others.len() + 1,
            unanswered: others,
            memories: vec![memory],
        };
        self.by_account.insert(account, State::Claiming(claim));
        true
    }

    /// Records that another relay yields an account to this one, which remembers its own grants for `memory`. Returns
    /// whether all have answered.
    pub fn record_yield(
        &mut self,
        (account, ticket): (u64, u64),
        from: R,
        memory: Duration,
    ) -> bool {
        let Some(state) = self.by_account.get_mut(&account) else { return false };
        let (claim, holder) = match state {
            State::Claiming(claim) => (claim, None),
            State::Released { holder, claim: Some(claim), .. } => (claim, Some(*holder)),
            State::Held | State::Released { claim: None, .. } => return false,
        };
        if claim.ticket == ticket && claim.unanswered.remove(&from) {
            claim.memories.push(memory);
            if holder == Some(from) {
                // This relay has yielded to an old message of the other one, which yields to this one now.
                *state = State::Claiming(claim.clone());
            }
        }
        matches!(state, State::Claiming(claim) if claim.unanswered.is_empty())
    }

    /// Records that another relay goes first with its own claim. Returns whether this ends a claim.
    pub fn record_kept(&mut self, now: Time, (account, ticket): (u64, u64), holder: R) -> bool {
        match self.by_account.get_mut(&account) {
            Some(state @ State::Claiming(_)) => {
                let is_current = matches!(state, State::Claiming(claim) if claim.ticket == ticket);
                if is_current {
                    *state = State::Released { holder, at: now, claim: None };
                }
                is_current
            }
            _ => false,
        }
    }

    /// Returns how long the claim of an account still waits for answers; `None` without a claim.
    pub fn time_left(&self, now: Time, account: u64) -> Option<Duration> {
        match self.by_account.get(&account)? {
            State::Claiming(claim) if claim.unanswered.is_empty() => Some(Duration::ZERO),
            State::Claiming(claim) => Some(ANSWER_TIME.saturating_sub(now.since(claim.begun_at))),
            State::Held | State::Released { .. } => None,
        }
    }

    /// Ends the claim of an account that waits no longer.
    pub fn conclude(&mut self, now: Time, account: u64) -> Option<Outcome> {
        if !self.time_left(now, account)?.is_zero() {
            return None;
        }
        match self.by_account.insert(account, State::Held)? {
            State::Claiming(claim) => {
                let asked = claim.relays - 1;
                let answered = asked - claim.unanswered.len();
                Some(Outcome { asked, answered, memory: claim.common_memory() })
            }
            State::Held | State::Released { .. } => None,
        }
    }

    /// Decides on the claim of the relay `other`. Of two that claim an account at the same time, one goes first.
    pub fn respond(&mut self, now: Time, account: u64, own: R, other: R) -> Response {
        match self.by_account.get_mut(&account) {
            Some(State::Claiming(_)) if own < other => Response::Keep,
            Some(state) => {
                let claim = match state {
                    State::Claiming(claim) => Some(claim.clone()),
                    State::Held | State::Released { .. } => None,
                };
                *state = State::Released { holder: other, at: now, claim };
                Response::Yield
            }
            None => Response::Yield,
        }
    }
}
