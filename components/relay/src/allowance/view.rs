//! Read-only view of the quota of an account, which explains the decisions about its requests.

use std::time::Duration;

use cyclamengrade_control::relay::{
    account::Account,
    allowance::{Decision, Limit},
};

use super::{MAX_OWNERS, OWNER_CACHE_TIME, Subject};
use crate::shared::{Shared, lock};

/// Quota of an account as this relay knows it.
#[derive(Clone, Debug)]
pub struct View {
    pub limit: Limit,
    /// Relay that would be asked for a token.
    pub owner: Option<String>,
    /// Tokens that the owner has, or that it stated last.
    pub level: Option<f64>,
    /// Time since the owner stated the level; `None` if this relay is the owner.
    pub age: Option<Duration>,
    /// Time after which the caller may retry if it is certain that no token is left.
    pub refused: Option<Duration>,
}

impl Shared {
    /// Returns what is known of the quota of an account, without taking or asking for a token; `None` if it has
    /// no quota.
    pub fn view_quota(&self, account: &Account) -> Option<View> {
        let limit = account.quota?;
        let (id, now) = (account.id(), self.clock.now());
        let subject = Subject { id, name: &account.name, limit };
        let owner = self.first_owner(subject);
        let (decision, stated) = {
            let client = &lock(&self.allowance.state).client;
            (client.preview(now, id, limit), client.stated(now, id))
        };
        let refused = match decision {
            Decision::Refused(wait) => Some(wait),
            Decision::Taken(_) | Decision::Ask(_) => None,
        };
        let view = View { limit, owner, level: None, age: None, refused };
        if view.owner.as_ref() == Some(&self.name) {
            let kept = lock(&self.allowance.ledger).preview(now, id);
            let (level, wait) = kept.unzip();
            let refused = refused.or(wait.flatten());
            return Some(View { level, refused, ..view });
        }
        let level = stated.map(|(_, _, milli)| milli as f64 / 1_000.0);
        Some(View { level, age: stated.map(|(_, age, _)| age), ..view })
    }

    /// Returns the relay that is asked first for a token of an account.
    fn first_owner(&self, subject: Subject<'_>) -> Option<String> {
        let now = self.clock.now();
        let known = lock(&self.allowance.state).owners.get(&subject.id).cloned();
        let servers = match known.filter(|known| now.since(known.chosen_at) < OWNER_CACHE_TIME) {
            Some(known) => known.servers,
            None => self.choose_owners(subject, now),
        };
        servers.into_iter().take(MAX_OWNERS).map(|(name, _)| name).next()
    }
}
