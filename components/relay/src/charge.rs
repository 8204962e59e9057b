//! Whom the slot of a request or an item is charged to.

use cyclamengrade_control::relay::{
    account::{Account, Accounts},
    broker::Charge,
    route::Route,
    shard,
};

/// Returns the charge of a request or an item on a route, whose stated cost is `tokens`.
pub fn new(account: Option<&Account>, route: &Route, tokens: u32) -> Charge {
    let priority = account.and_then(|account| account.priority);
    Charge {
        account: account.map(Account::short_id),
        priority: priority.unwrap_or(route.priority),
        tokens,
    }
}

/// Returns the charge of an item of an account's job. The account may be gone from the configuration.
pub fn of_job(
    account: Option<&str>,
    accounts: Option<&Accounts>,
    route: &Route,
    tokens: u32,
) -> Charge {
    let known = account.zip(accounts).and_then(|(name, accounts)| accounts.by_name(name));
    let charge = new(known.map(AsRef::as_ref), route, tokens);
    Charge { account: account.map(shard::name_id), ..charge }
}
