//! Answers of this relay as the owner of quotas, and their handover when it stops.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_control::{
    hash,
    relay::{
        allowance::{Ask, Message, Standing},
        broker::Holder,
    },
};
use cyclamengrade_peer::slots::Content;
use cyclamengrade_telemetry::event;
use tokio::time::sleep;

use super::{Answer, MAX_OWNERS, account_key};
use crate::shared::{Phase, Shared, lock};

/// Time between two messages of a relay that stops with the level of a quota. Each one may be lost.
const HANDOVER_PERIOD: Duration = Duration::from_millis(250);
/// Time between two checks whether the next owners of quotas know their levels.
const TELL_PERIOD: Duration = Duration::from_millis(100);

impl Shared {
    /// Answers an ask as the owner of an account, after this relay has learned what others granted.
    pub(super) async fn settle_ask(self: &Arc<Self>, incarnation: u64, ask: &Ask) -> Message {
        self.update_ledger();
        if lock(&self.allowance.ledger).is_closed() {
            return self.answer_ask(incarnation, ask);
        }
        let Ask { ticket, account, .. } = *ask;
        match self.hold(ask).await {
            None => self.answer_ask(incarnation, ask),
            Some(holder) => Message::Moved { ticket, account, holder },
        }
    }

    /// Answers an ask of another relay, at once if possible.
    fn serve_ask(self: &Arc<Self>, from: SocketAddr, incarnation: u64, ask: Ask) {
        if self.standing(ask.account) == Standing::Held {
            let answer = self.answer_ask(incarnation, &ask);
            self.send(from, Content::Quota(answer));
            return;
        }
        let shared = self.clone();
        tokio::spawn(async move {
            let answer = shared.settle_ask(incarnation, &ask).await;
            shared.send(from, Content::Quota(answer));
        });
    }

    /// Answers an ask as the owner of an account.
    fn answer_ask(&self, incarnation: u64, ask: &Ask) -> Message {
        let now = self.clock.now();
        let mut ask = *ask;
        if ask.report.is_none() {
            // Relays that ask rarely remember nothing. This one may, if it was not the owner until now.
            let state = lock(&self.allowance.state);
            ask.report = state.client.report(now, ask.account, self.address());
        }
        self.update_ledger();
        lock(&self.allowance.ledger).ask(now, Holder(incarnation), &ask)
    }

    /// Passes the limits of the configuration to the ledger, and closes it while this relay stops and another
    /// one owns the quotas. Two ledgers of one account would grant its quota twice.
    fn update_ledger(&self) {
        let now = self.clock.now();
        let is_closed = *self.phase.borrow() >= Phase::Leaving && self.has_successor();
        let routes = self.routes.load();
        let mut ledger = lock(&self.allowance.ledger);
        if ledger.configuration() < routes.version {
            let accounts = routes.accounts.iter().flat_map(|accounts| accounts.iter());
            let limits = accounts.filter_map(|account| Some((account.id(), account.quota?)));
            ledger.set_limits(routes.version, limits.collect());
        }
        match is_closed {
            true => ledger.close(now),
            false => ledger.reopen(now),
        }
    }

    /// Tells the relays that own quotas after this one their levels, as far as they do not know them, until the
    /// process ends. If this relay is killed, its successor does not grant a second burst.
    pub(crate) async fn tell_levels(self: Arc<Self>) {
        loop {
            sleep(TELL_PERIOD).await;
            let now = self.clock.now();
            let mut active = lock(&self.allowance.ledger).active(now);
            active.retain(|account| self.standing(*account) == Standing::Held);
            if active.is_empty() {
                continue;
            }
            let routes = self.routes.load();
            let accounts = routes.accounts.iter().flat_map(|accounts| accounts.iter());
            for account in accounts.filter(|account| active.contains(&account.id())) {
                let servers = self.servers(&account_key(&account.name), MAX_OWNERS, now);
                let next = servers.into_iter().find(|(name, _)| *name != self.name);
                let Some((name, address)) = next else { continue };
                let relay = hash::stable(&[&name]);
                let told = lock(&self.allowance.ledger).tell(now, account.id(), relay);
                if let Some(handover) = told {
                    self.send(address, Content::Quota(Message::Handover(handover)));
                }
            }
        }
    }

    /// Tells the next owners the levels of the quotas that this relay owned, until the process ends.
    pub(crate) async fn hand_over_quotas(self: Arc<Self>) {
        let mut handed_over = 0;
        while *self.phase.borrow() < Phase::Stopped {
            let count = self.send_handovers();
            if count > handed_over {
                handed_over = count;
                event!(QuotasHandedOver, accounts = count);
            }
            sleep(HANDOVER_PERIOD).await;
        }
    }

    /// Sends a handover for each quota with a recent level. Returns their number.
    fn send_handovers(&self) -> usize {
        let now = self.clock.now();
        self.update_ledger();
        let handovers = lock(&self.allowance.ledger).handovers(now);
        let routes = self.routes.load();
        let accounts = routes.accounts.iter().flat_map(|accounts| accounts.iter());
        let names: BTreeMap<u64, &str> =
            accounts.map(|account| (account.id(), account.name.as_str())).collect();
        let mut count = 0;
        for handover in handovers {
            let Some(name) = names.get(&handover.account) else { continue };
            let owner = self.servers(&account_key(name), 1, now).into_iter().next();
            if let Some((_, address)) = owner.filter(|(owner, _)| *owner != self.name) {
                self.send(address, Content::Quota(Message::Handover(handover)));
                count += 1;
            }
        }
        count
    }

    /// Handles a message about a quota of another relay, the process `incarnation`.
    pub fn handle_quota(self: &Arc<Self>, from: SocketAddr, incarnation: u64, message: Message) {
        match message {
            Message::Ask(ask) => self.serve_ask(from, incarnation, ask),
            Message::Return { account, count } => {
                lock(&self.allowance.ledger).give_back(self.clock.now(), account, count);
            }
            Message::Handover(handover) => {
                self.update_ledger();
                lock(&self.allowance.ledger).take_over(self.clock.now(), &handover);
            }
            Message::Granted { ticket, account, count, level_milli } => {
                let answer = Answer::Granted { count, level_milli };
                if !self.handle_answer_to(ticket, incarnation, answer) {
                    self.return_tokens(from, account, count);
                }
            }
            Message::Refused { ticket, wait, level_milli, .. } => {
                let answer = Answer::Refused { wait, level_milli };
                let _ = self.handle_answer_to(ticket, incarnation, answer);
            }
            Message::Closed { ticket, report, .. } => {
                self.record_leaving(incarnation);
                let _ = self.handle_answer_to(ticket, incarnation, Answer::Closed(report));
            }
            Message::Claim { ticket, account } => {
                let answer = self.answer_claim(from, ticket, account);
                self.send(from, Content::Quota(answer));
            }
            Message::Yielded { ticket, account, report, memory } => {
                self.record_answer(incarnation, self.clock.now());
                self.record_yield(from, (account, ticket), report, memory);
            }
            Message::Moved { ticket, account, holder } => {
                self.record_kept((account, ticket), holder);
                let _ = self.handle_answer_to(ticket, incarnation, Answer::Moved(holder));
            }
        }
    }
}
