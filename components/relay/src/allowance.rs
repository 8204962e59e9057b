//! Tokens of the quotas of client accounts: asks to the owners, and answers as an owner.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt::{self, Debug, Formatter},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        account::Account,
        allowance::{
            Ask, BLOCK_TIME, Claims, Client, Decision, Ledger, Limit, Message, Report, Shares,
        },
    },
    time::Time,
};
use cyclamengrade_peer::slots::Content;
use cyclamengrade_telemetry::{
    event,
    metrics::{
        RELAY_QUOTA_ASKS, RELAY_QUOTA_OWNERS_UNRESPONSIVE, RELAY_QUOTA_REQUESTS, RELAY_QUOTA_SHARES,
    },
};
use metrics::counter;
use tokio::{
    sync::{
        Notify,
        oneshot::{self, Receiver, Sender},
    },
    time::{sleep, timeout},
};

use crate::shared::{Shared, lock};

mod claim;
mod owner;
mod view;

/// Time after which an ask is repeated, and again after which the next owner is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Number of times that an ask is sent to one owner.
const MAX_ATTEMPTS: u32 = 2;
/// Time after which no owner is asked any more.
const OWNER_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of owners that may be asked for one token.
const MAX_OWNERS: usize = 2;
/// Time for which the owners of an account are kept.
const OWNER_CACHE_TIME: Duration = Duration::from_millis(200);
/// Time without a message of any other relay after which this one grants itself no tokens as an owner.
/// Several times the period of the regular messages.
const ISOLATION_TIME: Duration = Duration::from_millis(1_600);
/// Time after its start in which a relay and those that start with it learn of each other.
const START_TIME: Duration = Duration::from_secs(2);
/// Time for which a request at a relay that starts waits for an owner.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two searches for one.
const SETTLE_PERIOD: Duration = Duration::from_millis(20);
/// Time after which a caller may retry that met a relay which did not know the others in time.
const SETTLE_RETRY: Duration = Duration::from_millis(500);
/// Time for which late answers are expected.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(10);
/// Limit on the asks whose late answers are expected.
const MAX_CLOSED: usize = 1 << 12;
/// Limit on the accounts with series of their own.
const MAX_LABELS: usize = 100;

/// Relays that are asked for the tokens of an account, in the order in which they are asked.
#[derive(Clone, Debug)]
struct Owners {
    chosen_at: Time,
    servers: Vec<(String, SocketAddr)>,
}

/// Answer of an owner.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Granted {
        count: u32,
        level_milli: i64,
    },
    Refused {
        wait: Duration,
        level_milli: i64,
    },
    /// The owner is shutting down and grants no more tokens.
    Closed(Option<Report>),
    /// Another relay grants the tokens.
    Moved(SocketAddr),
}

impl Answer {
    /// Returns the answer in a message; `None` if it is none.
    const fn new(message: Message) -> Option<Self> {
        match message {
            Message::Granted { count, level_milli, .. } => {
                Some(Self::Granted { count, level_milli })
            }
            Message::Refused { wait, level_milli, .. } => Some(Self::Refused { wait, level_milli }),
            Message::Closed { report, .. } => Some(Self::Closed(report)),
            Message::Moved { holder, .. } => Some(Self::Moved(holder)),
            Message::Ask(_)
            | Message::Return { .. }
            | Message::Handover(_)
            | Message::Claim { .. }
            | Message::Yielded { .. } => None,
        }
    }
}

#[derive(Default)]
struct State {
    client: Client<SocketAddr>,
    shares: Shares,
    owners: BTreeMap<u64, Owners>,
    last_ticket: u64,
    pending: BTreeMap<u64, Sender<Answer>>,
    /// Asks that ended without an answer, in the order in which they did.
    closed: VecDeque<(Time, u64)>,
    /// Accounts with series of their own.
    labels: BTreeSet<u64>,
}

impl State {
    fn close(&mut self, now: Time, ticket: u64) {
        let is_old = |closed_at: Time| now.since(closed_at) >= LATE_ANSWER_TIME;
        while self.closed.front().is_some_and(|(closed_at, _)| is_old(*closed_at))
            || self.closed.len() >= MAX_CLOSED
        {
            self.closed.pop_front();
        }
        self.closed.push_back((now, ticket));
    }

    /// Removes a closed ask. Returns whether it was there.
    fn take_closed(&mut self, ticket: u64) -> bool {
        let index = self.closed.iter().position(|(_, closed)| *closed == ticket);
        index.is_some_and(|index| self.closed.remove(index).is_some())
    }
}

/// Quotas of client accounts at this relay.
pub struct Allowance {
    state: Mutex<State>,
    /// Buckets of the accounts that this relay owns.
    ledger: Mutex<Ledger>,
    /// Which of them it may grant tokens of.
    claims: Mutex<Claims<SocketAddr>>,
    /// Wakes the asks that wait for the end of a claim.
    concluded: Notify,
    /// When this relay started.
    started_at: Time,
}

impl Allowance {
    /// Creates the quotas of a relay that starts now.
    pub fn new(now: Time) -> Self {
        let state = State { shares: Shares::new().with_start(now), ..State::default() };
        Self {
            state: Mutex::new(state),
            ledger: Mutex::default(),
            claims: Mutex::default(),
            concluded: Notify::new(),
            started_at: now,
        }
    }
}

/// Where a token came from.
#[derive(Clone, Copy, Debug)]
enum Origin {
    Owner(SocketAddr),
    Share,
}

struct Source {
    shared: Arc<Shared>,
    account: u64,
    origin: Origin,
}

/// A token of an account's quota. Unless it was spent, it is given back when this value is dropped.
#[derive(Default)]
pub struct Token {
    source: Option<Source>,
}

impl Token {
    fn new(shared: &Arc<Shared>, account: u64, origin: Origin) -> Self {
        Self { source: Some(Source { shared: shared.clone(), account, origin }) }
    }

    /// Records that the request is sent to an upstream.
    pub fn spend(&mut self) {
        self.source = None;
    }
}

impl Debug for Token {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let origin = self.source.as_ref().map(|source| source.origin);
        formatter.debug_struct("Token").field("origin", &origin).finish()
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        let Some(Source { shared, account, origin }) = self.source.take() else { return };
        match origin {
            Origin::Owner(owner) => shared.return_tokens(owner, account, 1),
            Origin::Share => lock(&shared.allowance.state).shares.give_back(account),
        }
    }
}

/// An ask that waits for its answer. When it is dropped before, the tokens of a late answer are given back.
struct Waiting {
    shared: Arc<Shared>,
    ticket: u64,
    account: u64,
    owner: SocketAddr,
    answer: Receiver<Answer>,
    is_done: bool,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.is_done {
            return;
        }
        let now = self.shared.clock.now();
        let mut state = lock(&self.shared.allowance.state);
        if state.pending.remove(&self.ticket).is_some() {
            state.close(now, self.ticket);
            return;
        }
        drop(state);
        if let Ok(Answer::Granted { count, .. }) = self.answer.try_recv() {
            self.shared.return_tokens(self.owner, self.account, count);
        }
    }
}

/// An account whose token is asked for.
#[derive(Clone, Copy)]
struct Subject<'a> {
    id: u64,
    name: &'a str,
    limit: Limit,
}

impl Shared {
    /// Takes a token of an account's quota for an online request.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if the quota is used up.
    pub async fn take_token(self: &Arc<Self>, account: &Account) -> Result<Token, Duration> {
        let Some(limit) = account.quota else { return Ok(Token::default()) };
        let subject = Subject { id: account.id(), name: &account.name, limit };
        let decision = lock(&self.allowance.state).client.take(self.clock.now(), subject.id, limit);
        let result = match decision {
            Decision::Taken(owner) => Ok(Token::new(self, subject.id, Origin::Owner(owner))),
            Decision::Refused(wait) => Err(wait),
            Decision::Ask(count) => self.ask_owners(subject, count).await,
        };
        self.record_decision(subject, &result);
        result
    }

    fn record_decision(&self, subject: Subject<'_>, result: &Result<Token, Duration>) {
        let outcome = if result.is_ok() { "admitted" } else { "rejected" };
        let label = {
            let labels = &mut lock(&self.allowance.state).labels;
            let is_labelled = labels.contains(&subject.id)
                || (labels.len() < MAX_LABELS && labels.insert(subject.id));
            if is_labelled { subject.name.to_owned() } else { "other".to_owned() }
        };
        counter!(RELAY_QUOTA_REQUESTS, "account" => label, "outcome" => outcome).increment(1);
    }

    /// Asks the owners of an account for tokens, or takes one from the share of this relay if none answers.
    async fn ask_owners(
        self: &Arc<Self>,
        subject: Subject<'_>,
        count: u32,
    ) -> Result<Token, Duration> {
        self.await_fleet().await?;
        let begin = self.clock.now();
        loop {
            if let Some(result) = self.try_owners(subject, count).await {
                return result;
            }
            let now = self.clock.now();
            // Relays that start together name owners that do not answer yet.
            let is_starting = now.since(self.allowance.started_at) < START_TIME;
            if !is_starting || now.since(begin) >= SETTLE_TIMEOUT {
                return self.take_share(subject);
            }
            lock(&self.allowance.state).owners.remove(&subject.id);
            sleep(SETTLE_PERIOD).await;
        }
    }

    /// Asks the owners of an account for tokens. Returns `None` if none of them answers.
    async fn try_owners(
        self: &Arc<Self>,
        subject: Subject<'_>,
        count: u32,
    ) -> Option<Result<Token, Duration>> {
        let begin = self.clock.now();
        let mut was_late = false;
        let mut asked = BTreeSet::new();
        let mut owners = VecDeque::from(self.owners(subject, begin));
        while let Some((name, owner)) = owners.pop_front() {
            if !asked.insert(owner) {
                continue;
            }
            let asked_at = self.clock.now();
            let left = OWNER_TIMEOUT.saturating_sub(asked_at.since(begin));
            counter!(RELAY_QUOTA_ASKS).increment(1);
            let answer = if name == self.name {
                Some(self.ask_self(subject, count, owner).await)
            } else {
                self.ask_owner(subject, count, owner, left, &mut was_late).await
            };
            match answer {
                Some(Answer::Granted { count, level_milli }) => {
                    return Some(Ok(self.accept_grant(subject, owner, count, level_milli)));
                }
                Some(Answer::Refused { wait, level_milli }) => {
                    let level = (subject.limit, level_milli);
                    let (now, times) = (self.clock.now(), (asked_at, wait));
                    let client = &mut lock(&self.allowance.state).client;
                    client.record_refusal(now, subject.id, owner, times, level);
                    return Some(Err(wait));
                }
                Some(Answer::Closed(report)) => {
                    owners = self.next_owners(subject, owner, report).into();
                }
                Some(Answer::Moved(holder)) => {
                    lock(&self.allowance.state).owners.remove(&subject.id);
                    owners.push_front((self.relay_name(holder), holder));
                }
                None => {
                    counter!(RELAY_QUOTA_OWNERS_UNRESPONSIVE).increment(1);
                    event!(QuotaOwnerSilent, account:% = subject.name, member:% = name);
                    self.record_miss(&name, self.clock.now());
                    self.postpone_owner(subject.id, owner);
                }
            }
        }
        None
    }

    /// Admits a request without an owner.
    fn take_share(self: &Arc<Self>, subject: Subject<'_>) -> Result<Token, Duration> {
        let (now, relays) = (self.clock.now(), self.relay_count());
        let mut state = lock(&self.allowance.state);
        let result =
            state.shares.take(now, subject.id, subject.limit, relays, rand::random::<f64>());
        drop(state);
        let outcome = if result.is_ok() { "admitted" } else { "rejected" };
        counter!(RELAY_QUOTA_SHARES, "outcome" => outcome).increment(1);
        result.map(|()| Token::new(self, subject.id, Origin::Share))
    }

    /// Takes the token of a request from those that an owner granted.
    fn accept_grant(
        self: &Arc<Self>,
        subject: Subject<'_>,
        owner: SocketAddr,
        count: u32,
        level_milli: i64,
    ) -> Token {
        let (id, now) = (subject.id, self.clock.now());
        let mut state = lock(&self.allowance.state);
        let has_rest = state.client.record_grant(now, id, owner, count, level_milli);
        drop(state);
        if has_rest {
            self.return_rest(id);
        }
        Token::new(self, id, Origin::Owner(owner))
    }

    /// Returns the owners that follow one that is shutting down, after it stated the level that they are told.
    fn next_owners(
        &self,
        subject: Subject<'_>,
        owner: SocketAddr,
        report: Option<Report>,
    ) -> Vec<(String, SocketAddr)> {
        let now = self.clock.now();
        let mut state = lock(&self.allowance.state);
        if let Some(report) = report {
            state.client.record_closing(now, subject.id, owner, report);
        }
        state.owners.remove(&subject.id);
        drop(state);
        self.owners(subject, now)
    }

    /// Gives the rest of a block back when its time is over.
    fn return_rest(self: &Arc<Self>, account: u64) {
        let shared = self.clone();
        tokio::spawn(async move {
            sleep(BLOCK_TIME).await;
            let now = shared.clock.now();
            let rest = lock(&shared.allowance.state).client.take_rest(now, account);
            if let Some((owner, count)) = rest {
                shared.return_tokens(owner, account, count);
            }
        });
    }

    /// Waits until the other relays are known. A relay that has just started would take itself for the only one.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry if they are not known in time.
    async fn await_fleet(&self) -> Result<(), Duration> {
        if self.readiness.borrow().fleet {
            return Ok(());
        }
        let mut readiness = self.readiness.subscribe();
        let known = readiness.wait_for(|readiness| readiness.fleet);
        match timeout(SETTLE_TIMEOUT, known).await {
            Ok(_) => Ok(()),
            Err(_) => Err(SETTLE_RETRY),
        }
    }

    /// Returns the name of the relay with an address; the address if it is not known.
    fn relay_name(&self, address: SocketAddr) -> String {
        if address == self.address() {
            return self.name.clone();
        }
        let members = self.members();
        let member = members.iter().find(|(_, member)| member.address == address);
        member.map_or_else(|| address.to_string(), |(name, _)| name.clone())
    }

    /// Returns a number that identifies an ask or a claim among those of this start of the relay.
    fn next_ticket(&self) -> u64 {
        let mut state = lock(&self.allowance.state);
        state.last_ticket += 1;
        state.last_ticket
    }

    fn new_ask(&self, subject: Subject<'_>, count: u32, owner: SocketAddr) -> Ask {
        let configuration = self.routes.load().version;
        let now = self.clock.now();
        let ticket = self.next_ticket();
        Ask {
            ticket,
            account: subject.id,
            count,
            limit: subject.limit,
            configuration,
            report: lock(&self.allowance.state).client.report(now, subject.id, owner),
        }
    }

    /// Takes tokens from the bucket that this relay keeps as the owner.
    async fn ask_self(
        self: &Arc<Self>,
        subject: Subject<'_>,
        count: u32,
        owner: SocketAddr,
    ) -> Answer {
        let ask = self.new_ask(subject, count, owner);
        let answer = Answer::new(self.settle_ask(self.incarnation, &ask).await);
        answer.unwrap_or(Answer::Closed(None))
    }

    /// Asks another relay for tokens. Returns `None` if it does not answer in time.
    async fn ask_owner(
        self: &Arc<Self>,
        subject: Subject<'_>,
        count: u32,
        owner: SocketAddr,
        limit: Duration,
        was_late: &mut bool,
    ) -> Option<Answer> {
        let ask = self.new_ask(subject, count, owner);
        let (sender, answer) = oneshot::channel();
        lock(&self.allowance.state).pending.insert(ask.ticket, sender);
        let (shared, ticket) = (self.clone(), ask.ticket);
        let mut waiting =
            Waiting { shared, ticket, account: subject.id, owner, answer, is_done: false };
        let begin = self.clock.now();
        let mut attempts = 0;
        while attempts < MAX_ATTEMPTS {
            let now = self.clock.now();
            let left = limit.saturating_sub(now.since(begin)).min(ANSWER_TIMEOUT);
            if left.is_zero() {
                return None;
            }
            self.send(owner, Content::Quota(Message::Ask(ask)));
            if let Ok(answer) = timeout(left, &mut waiting.answer).await {
                waiting.is_done = true;
                return answer.ok();
            }
            // This relay got no processor time, and has not read what arrived meanwhile. Only one delay is
            // excused, since a relay that is always late has to learn of a silent owner as well.
            if !*was_late && self.clock.now().since(now) > left * 2 {
                *was_late = true;
                if let Ok(answer) = timeout(ANSWER_TIMEOUT, &mut waiting.answer).await {
                    waiting.is_done = true;
                    return answer.ok();
                }
            }
            attempts += 1;
        }
        None
    }

    /// Returns the relays that are asked for tokens of an account; none if this relay hears of no other.
    fn owners(&self, subject: Subject<'_>, now: Time) -> Vec<(String, SocketAddr)> {
        let known = lock(&self.allowance.state).owners.get(&subject.id).cloned();
        if let Some(known) = known
            && now.since(known.chosen_at) < OWNER_CACHE_TIME
        {
            return known.servers;
        }
        let servers = self.choose_owners(subject, now);
        let owners = Owners { chosen_at: now, servers: servers.clone() };
        let mut state = lock(&self.allowance.state);
        state.owners.retain(|_, owners| now.since(owners.chosen_at) < OWNER_CACHE_TIME);
        state.owners.insert(subject.id, owners);
        servers
    }

    /// Forgets the choices of owners, so that the next ones are made anew.
    pub(crate) fn forget_owners(&self) {
        lock(&self.allowance.state).owners.clear();
    }

    /// Chooses the relays that are asked for tokens of an account.
    fn choose_owners(&self, subject: Subject<'_>, now: Time) -> Vec<(String, SocketAddr)> {
        let mut servers = self.servers(&account_key(subject.name), MAX_OWNERS, now);
        if self.is_isolated(now) {
            // The others may have another owner, which grants the whole quota.
            servers.retain(|(name, _)| *name != self.name);
        }
        servers
    }

    /// Whether this relay hears of none of the others, apart from those that are gone.
    fn is_isolated(&self, now: Time) -> bool {
        let seen = self.last_news();
        let members = self.members();
        let present = || members.values().filter(|member| !member.health.is_absent(now, seen));
        present().next().is_some()
            && present().all(|member| member.health.silence(now) > ISOLATION_TIME)
    }

    /// Has the other owners asked before a silent one for a time.
    fn postpone_owner(&self, account: u64, silent: SocketAddr) {
        if let Some(owners) = lock(&self.allowance.state).owners.get_mut(&account) {
            owners.servers.sort_by_key(|(_, address)| *address == silent);
        }
    }

    /// Gives tokens back to the owner that granted them.
    fn return_tokens(&self, owner: SocketAddr, account: u64, count: u32) {
        if owner == self.address() {
            lock(&self.allowance.ledger).give_back(self.clock.now(), account, count);
        } else {
            self.send(owner, Content::Quota(Message::Return { account, count }));
        }
    }

    /// Passes an answer to the request that waits for it. Returns whether its tokens are used, also if it
    /// is a repeated one.
    fn handle_answer_to(&self, ticket: u64, incarnation: u64, answer: Answer) -> bool {
        self.record_answer(incarnation, self.clock.now());
        let mut state = lock(&self.allowance.state);
        match state.pending.remove(&ticket) {
            Some(sender) => sender.send(answer).is_ok(),
            None => !state.take_closed(ticket),
        }
    }
}

/// Returns the key under which the owners of an account are chosen.
fn account_key(name: &str) -> String {
    format!("account {name}")
}
