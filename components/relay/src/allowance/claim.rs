//! Claims of accounts by this relay, and its answers to the claims of others.

use std::{collections::BTreeSet, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use cyclamengrade_control::{
    relay::allowance::{Ask, Message, Outcome, Report, Response, Standing},
    time::Time,
};
use cyclamengrade_peer::slots::Content;
use cyclamengrade_telemetry::{
    event,
    metrics::{RELAY_QUOTA_CLAIMS, RELAY_QUOTA_YIELDS},
};
use metrics::counter;
use tokio::time::timeout;

use crate::{
    clock,
    shared::{Shared, lock},
};

impl Shared {
    /// Records that this process runs. What others granted in its pauses is unknown.
    pub(crate) fn record_running(&self) {
        if lock(&self.allowance.claims).record_running(clock::boot_time()) {
            self.broker_state().record_pause(self.clock.now());
            event!(QuotasUncertain);
        }
    }

    /// Returns whether this relay may grant tokens of an account right now.
    pub(super) fn standing(&self, account: u64) -> Standing<SocketAddr> {
        // Before the first tick after a pause, as requests may be handled earlier.
        self.record_running();
        lock(&self.allowance.claims).standing(self.clock.now(), account)
    }

    /// Claims the account of an ask unless this relay holds it already, and waits for the answers. Returns the relay
    /// that holds the account if it is another one.
    pub(super) async fn hold(self: &Arc<Self>, ask: &Ask) -> Option<SocketAddr> {
        loop {
            let mut concluded = pin!(self.allowance.concluded.notified());
            concluded.as_mut().enable();
            match self.standing(ask.account) {
                Standing::Held => return None,
                Standing::Released(holder) => return Some(holder),
                Standing::Unclaimed => self.begin_claim(ask),
                Standing::Claiming => {}
            }
            let left = self.conclude_claim(ask);
            // Either way, the standing is looked up again.
            let _ = timeout(left, concluded).await;
        }
    }

    fn begin_claim(&self, ask: &Ask) {
        let now = self.clock.now();
        let (account, ticket) = (ask.account, self.next_ticket());
        let others = self.answering_members(now);
        let memory = self.grant_memory(now);
        lock(&self.allowance.ledger).prepare(now, ask);
        let mut claims = lock(&self.allowance.claims);
        let has_begun = claims.begin(now, (account, ticket), memory, others.clone());
        drop(claims);
        for address in others.into_iter().filter(|_| has_begun) {
            self.send(address, Content::Quota(Message::Claim { ticket, account }));
        }
    }

    /// Ends the claim of an account if it waits no longer. Returns how long it waits.
    fn conclude_claim(&self, ask: &Ask) -> Duration {
        let now = self.clock.now();
        let mut claims = lock(&self.allowance.claims);
        if let Some(outcome) = claims.conclude(now, ask.account) {
            // Before another thread finds the account held.
            let level = lock(&self.allowance.ledger).doubt(now, ask, outcome.memory);
            drop(claims);
            self.allowance.concluded.notify_waiters();
            self.record_claim(ask, outcome, level);
            return Duration::ZERO;
        }
        claims.time_left(now, ask.account).unwrap_or_default()
    }

    fn record_claim(&self, ask: &Ask, outcome: Outcome, level: f64) {
        let Outcome { asked, answered, memory } = outcome;
        counter!(RELAY_QUOTA_CLAIMS).increment(1);
        event!(
            QuotaClaimed,
            account:% = self.account_name(ask.account),
            asked = asked,
            answered = answered,
            memory_ms = memory.as_millis() as u64,
            level = level
        );
    }

    /// Returns the addresses of the other relays that answer messages, as far as it is known.
    fn answering_members(&self, now: Time) -> BTreeSet<SocketAddr> {
        let seen = self.last_news();
        let members = self.members();
        let answering = members.values().filter(|member| member.health.answers(now, seen));
        answering.map(|member| member.address).collect()
    }

    /// Returns the time for which this relay remembers its grants.
    fn grant_memory(&self, now: Time) -> Duration {
        now.since(self.allowance.started_at)
    }

    /// Returns the name of an account, or its hash if the configuration does not have it.
    fn account_name(&self, id: u64) -> String {
        let routes = self.routes.load();
        let mut accounts = routes.accounts.iter().flat_map(|accounts| accounts.iter());
        let account = accounts.find(|account| account.id() == id);
        account.map_or_else(|| format!("{id:016x}"), |account| account.name.clone())
    }

    /// Answers the claim of another relay.
    pub(super) fn answer_claim(&self, from: SocketAddr, ticket: u64, account: u64) -> Message {
        let now = self.clock.now();
        let own = self.address();
        let (was_held, response) = {
            let mut claims = lock(&self.allowance.claims);
            let was_held = claims.standing(now, account) == Standing::Held;
            (was_held, claims.respond(now, account, own, from))
        };
        match response {
            Response::Keep => Message::Moved { ticket, account, holder: own },
            Response::Yield => {
                if was_held {
                    counter!(RELAY_QUOTA_YIELDS).increment(1);
                    let name = self.account_name(account);
                    event!(QuotaYielded, account:% = name, holder:% = from);
                }
                // A claim of this relay that was open is over.
                self.allowance.concluded.notify_waiters();
                let kept = lock(&self.allowance.ledger).report(now, account);
                let report =
                    kept.or_else(|| lock(&self.allowance.state).client.report(now, account, from));
                Message::Yielded { ticket, account, report, memory: self.grant_memory(now) }
            }
        }
    }

    /// Records that another relay yields an account to this one.
    pub(super) fn record_yield(
        &self,
        from: SocketAddr,
        (account, ticket): (u64, u64),
        report: Option<Report>,
        memory: Duration,
    ) {
        let now = self.clock.now();
        if let Some(report) = report {
            // Also after the end of the claim, as the answer may be late.
            lock(&self.allowance.ledger).learn(now, account, report);
        }
        if lock(&self.allowance.claims).record_yield((account, ticket), from, memory) {
            self.allowance.concluded.notify_waiters();
        }
    }

    /// Records that another relay goes first with its claim of an account.
    pub(super) fn record_kept(&self, (account, ticket): (u64, u64), holder: SocketAddr) {
        let now = self.clock.now();
        if lock(&self.allowance.claims).record_kept(now, (account, ticket), holder) {
            self.allowance.concluded.notify_waiters();
        }
    }
}
