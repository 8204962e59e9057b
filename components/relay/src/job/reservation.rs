//! Tokens of batch jobs within the limits of their routes.

use std::sync::Arc;

use cyclamengrade_control::relay::{
    quota::{Admission, View},
    route::Route,
};

use crate::{
    job::row,
    shared::{Shared, lock},
};

/// Tokens of a job that is being stored. They are free again when this value is dropped.
pub struct Reservation {
    shared: Arc<Shared>,
    /// Name of the route, and account.
    holder: (String, Option<String>),
    tokens: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(total) = lock(&self.shared.reserved_tokens).get_mut(&self.holder) {
            *total = total.saturating_sub(self.tokens);
        }
    }
}

impl Shared {
    /// Returns the tokens of the open jobs of a batch route that wait for a run. Where the configuration has
    /// accounts, only jobs of `account` count.
    pub fn waiting_tokens(&self, route: &Route, account: Option<&str>) -> u64 {
        let routes = self.routes.load();
        let jobs = self.jobs();
        let open = jobs.values().filter(|job| job.row.state == row::State::Open);
        let has_accounts = routes.accounts.is_some();
        let open = open.filter(|job| !has_accounts || job.row.account.as_deref() == account);
        let of_route = open.filter(|job| {
            let found = routes.find_batch(&job.row.host, &job.row.path);
            found.is_some_and(|found| found.name == route.name)
        });
        of_route.map(|job| job.row.tokens).fold(0, u64::saturating_add)
    }

    /// Decides whether a submitted job of `tokens` fits into the limit of its route and account, and
    /// reserves the tokens while the job is being stored.
    pub fn reserve_tokens(
        self: &Arc<Self>,
        route: &Route,
        account: Option<&str>,
        tokens: u64,
    ) -> Result<Reservation, Admission> {
        let age = self.fleet_age();
        let is_limited = route.quota.is_limited();
        let waiting = if is_limited { self.waiting_tokens(route, account) } else { 0 };
        let holder = (route.name.clone(), account.map(str::to_owned));
        let mut reserved = lock(&self.reserved_tokens);
        let total = reserved.entry(holder.clone()).or_default();
        match route.quota.admit(
            View { waiting, reserved: *total, age },
            tokens,
            route.completion_target,
        ) {
            Admission::Admitted => {
                *total = total.saturating_add(tokens);
                Ok(Reservation { shared: self.clone(), holder, tokens })
            }
            refused => Err(refused),
        }
    }
}
