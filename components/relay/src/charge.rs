//! Whom the slot of a request or an item is charged to.

use cyclamengrade_control::relay::{account::Account, broker::Charge, route::Route};

/// Returns the charge of a request or an item on a route, whose stated cost is `tokens`.
pub fn new(account: Option<&Account>, route: &Route, tokens: u32) -> Charge {
    let priority = account.and_then(|account| account.priority);
    Charge {
        account: account.map(Account::short_id),
        priority: priority.unwrap_or(route.priority),
        tokens,
    }
}
