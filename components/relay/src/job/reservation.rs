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
    route: String,
    tokens: u64,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(total) = lock(&self.shared.reserved_tokens).get_mut(&self.route) {
            *total = total.saturating_sub(self.tokens);
        }
    }
}

impl Shared {
    /// Returns the tokens of the open jobs of a batch route that wait for a run.
    pub fn waiting_tokens(&self, route: &Route) -> u64 {
        let routes = self.routes.load();
        let jobs = self.jobs();
        let open = jobs.values().filter(|job| job.row.state == row::State::Open);
        let of_route = open.filter(|job| {
            let found = routes.find_batch(&job.row.host, &job.row.path);
            found.is_some_and(|found| found.name == route.name)
        });
        of_route.map(|job| job.row.tokens).fold(0, u64::saturating_add)
    }

    /// Decides whether a submitted job of `tokens` fits into the limit of its route, and reserves
    /// the tokens while the job is being stored.
    pub fn reserve_tokens(
        self: &Arc<Self>,
        route: &Route,
        tokens: u64,
    ) -> Result<Reservation, Admission> {
        let age = self.fleet_age();
        let waiting = if route.quota.is_limited() { self.waiting_tokens(route) } else { 0 };
        let mut reserved = lock(&self.reserved_tokens);
        let total = reserved.entry(route.name.clone()).or_default();
        match route.quota.admit(
            View { waiting, reserved: *total, age },
            tokens,
            route.completion_target,
        ) {
            Admission::Admitted => {
                *total = total.saturating_add(tokens);
                Ok(Reservation { shared: self.clone(), route: route.name.clone(), tokens })
            }
            refused => Err(refused),
        }
    }
}
