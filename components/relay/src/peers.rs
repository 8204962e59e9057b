//! Messages with the other relays: this relay reports what it holds, answers as a broker and as a
//! monitor, and learns which relays are well.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cyclamengrade_control::{
    relay::{
        broker::{Broker, Holder, Outgoing, Sync},
        monitor::{self, Status},
    },
    time::Time,
};
use cyclamengrade_peer::slots::{Ack, Content, Message, Socket};
use cyclamengrade_telemetry::event;
use tokio::{
    task::consume_budget,
    time::{sleep, timeout},
};

use crate::{
    shared::{MONITOR_KEY, MONITORS, Phase, Shared},
    task,
};

/// Time between two regular messages to brokers and monitors.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Time in which changes are collected into one message to a broker.
const COALESCING_DELAY: Duration = Duration::from_millis(5);
/// Longest time between two checks of the broker while online requests wait.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Longest time between two checks of the broker otherwise.
const IDLE_TICK: Duration = Duration::from_millis(250);

/// Tells the brokers and monitors the state of this relay regularly, until the process ends.
pub async fn report(shared: Arc<Shared>) {
    loop {
        let mut syncs = shared.syncs(None);
        let now = shared.clock.now();
        let monitors = shared.servers(MONITOR_KEY, MONITORS, now);
        for (name, address) in &monitors {
            syncs.entry(*address).or_insert((name.clone(), Sync::default()));
        }
        let targets: BTreeSet<SocketAddr> = syncs.keys().copied().collect();
        for former in shared.swap_targets(targets) {
            // A former broker learns that this relay holds nothing there any more.
            syncs.entry(former).or_default();
        }
        let monitors: BTreeSet<SocketAddr> =
            monitors.into_iter().map(|(_, address)| address).collect();
        send(&shared, syncs, &monitors);
        sleep(REPORT_PERIOD).await;
    }
}

/// Tells the brokers of changes, until the process ends.
pub async fn report_changes(shared: Arc<Shared>) {
    loop {
        shared.slots.dirty.notified().await;
        sleep(COALESCING_DELAY).await;
        let shards = shared.take_dirty_shards();
        if !shards.is_empty() {
            send(&shared, shared.syncs(Some(&shards)), &BTreeSet::new());
        }
    }
}

/// Tells all other relays that this one is stopping, so that they turn to its successors at once. Relays that
/// this message does not reach learn it from their monitors.
pub fn announce_stop(shared: &Shared) {
    let mut syncs = shared.syncs(None);
    for (name, member) in shared.members().iter() {
        syncs.entry(member.address).or_insert_with(|| (name.clone(), Sync::default()));
    }
    send(shared, syncs, &BTreeSet::new());
}

/// Sends the state of this relay, and asks `monitors` for the state of the others.
fn send(
    shared: &Shared,
    syncs: BTreeMap<SocketAddr, (String, Sync)>,
    monitors: &BTreeSet<SocketAddr>,
) {
    let now = shared.clock.now();
    for (address, (name, sync)) in syncs {
        shared.record_report(&name, now);
        let status = Status {
            name: shared.name.clone(),
            sequence: shared.next_sequence(),
            store_age: shared.store_age(),
            leaving: *shared.phase.borrow() >= Phase::Leaving,
            cut_off: shared.is_cut_off(),
            wants_news: monitors.contains(&address),
        };
        shared.send(address, Content::Sync(status, sync));
    }
}

/// Receives the messages of the other relays, and acts as the broker of the shards for which it is
/// asked, until the process ends.
pub async fn receive(shared: Arc<Shared>, socket: Arc<Socket>) {
    let mut server = Server { shared: shared.clone(), addresses: BTreeMap::new() };
    let mut buffer = Vec::new();
    let mut ticked_at = shared.clock.now();
    loop {
        let is_busy = shared.broker_state().has_waiting();
        let limit = if is_busy { BUSY_TICK } else { IDLE_TICK };
        let now = shared.clock.now();
        let received = match socket.try_receive(&mut buffer) {
            Some(received) => {
                consume_budget().await;
                Some(received)
            }
            None => {
                shared.record_heard(now);
                timeout(limit, socket.receive(&mut buffer)).await.ok()
            }
        };
        if let Some((from, message)) = received {
            // What waited during a pause of this process is not answered from what it knew before.
            shared.record_running();
            // A message that cannot be handled is as one that was lost.
            let _ = task::catch_step("message", || server.handle(from, message));
        }
        let now = shared.clock.now();
        if now.since(ticked_at) >= limit {
            ticked_at = now;
            let outgoing = shared.broker_state().tick(now);
            server.dispatch(outgoing);
            shared.confirm_suspects();
        }
    }
}

struct Server {
    shared: Arc<Shared>,
    /// Last addresses of the relays that hold or want slots.
    addresses: BTreeMap<Holder, SocketAddr>,
}

impl Server {
    fn handle(&mut self, from: SocketAddr, message: Message) {
        let now = self.shared.clock.now();
        let holder = Holder(message.incarnation);
        match message.content {
            Content::Ask(ask) => self.serve(holder, from, |broker| broker.ask(now, holder, ask)),
            Content::Release(release) => {
                self.serve(holder, from, |broker| {
                    let mut outgoing = broker.measure(now, holder, &release.measures);
                    outgoing.extend(broker.release(now, holder, &release.tickets));
                    outgoing
                });
            }
            Content::GiveBack(tickets) => {
                self.serve(holder, from, |broker| broker.give_back(now, holder, &tickets));
            }
            Content::Sync(status, sync) => {
                let is_new = self.record_status(message.incarnation, &status, now);
                if is_new {
                    self.serve(holder, from, |broker| broker.sync(now, holder, sync));
                }
                // During an outage of the store, the row of a relay that has just started does not
                // arrive. Without an answer, that relay would take this one for dead.
                if is_new || !self.knows(&status.name, message.incarnation) {
                    let ack = self.ack(&status, now);
                    self.shared.send(from, Content::Ack(ack));
                }
            }
            Content::Answer(answer) => {
                self.shared.record_answer(message.incarnation, now);
                self.shared.handle_answer(from, answer);
            }
            Content::Origin(origin) => self.shared.keep_origin(origin),
            Content::Lookup(stream) => {
                let software = self.shared.known_origin(stream);
                self.shared.send(from, Content::Found(stream, software));
            }
            Content::Blamed(upstream, parts) => self.shared.handle_blame(upstream, &parts),
            Content::PartsQuery(query) => {
                let sound = self.shared.answer_query(&query);
                if !sound.is_empty() {
                    self.shared.send(from, Content::Sound(sound));
                }
            }
            Content::Sound(parts) => self.shared.handle_sound(&parts),
            Content::Held(parts, left) => self.shared.hold_parts(&parts, left),
            Content::Found(stream, software) => self.shared.handle_found(from, stream, software),
            Content::Quota(quota) => self.shared.handle_quota(from, message.incarnation, quota),
            Content::Ack(ack) => {
                self.shared.apply_limits(&ack.limits);
                self.shared.learn(from, &ack, now);
                if message.incarnation == self.shared.incarnation {
                    // This relay's own view is used by `Shared::peers`.
                    return;
                }
                self.shared.record_answer(message.incarnation, now);
                if ack.fleet_version > 0 {
                    self.record_news(message.incarnation, &ack, now);
                }
            }
        }
    }

    fn serve(
        &mut self,
        holder: Holder,
        from: SocketAddr,
        handle: impl FnOnce(&mut Broker) -> Vec<Outgoing>,
    ) {
        self.addresses.insert(holder, from);
        let outgoing = handle(&mut self.shared.broker_state());
        self.dispatch(outgoing);
    }

    fn dispatch(&self, outgoing: Vec<Outgoing>) {
        for (holder, answer) in outgoing {
            if let Some(address) = self.addresses.get(&holder) {
                self.shared.send(*address, Content::Answer(answer));
            }
        }
    }

    /// Whether the row of this start of a relay has arrived, or it is this relay.
    fn knows(&self, name: &str, incarnation: u64) -> bool {
        let members = self.shared.members();
        let member = members.get(name);
        incarnation == self.shared.incarnation
            || member.is_some_and(|member| member.incarnation == incarnation)
    }

    /// Records the state that a relay reports of itself. Returns whether the report is new.
    fn record_status(&self, incarnation: u64, status: &Status, now: Time) -> bool {
        if incarnation == self.shared.incarnation {
            return true;
        }
        let mut members = self.shared.members();
        // A relay whose row the feed has not delivered yet reports again.
        let Some(member) = members.get_mut(&status.name) else { return false };
        if member.incarnation != incarnation {
            return false;
        }
        let was_leaving = member.health.is_leaving();
        let is_new = member.health.record_status(status, now);
        if member.health.is_leaving() && !was_leaving {
            event!(MemberLeaving, member:% = status.name);
        }
        is_new
    }

    fn ack(&self, status: &Status, now: Time) -> Ack {
        let sequence = status.sequence;
        let limits = self.shared.broker_state().limits(now);
        let mut ack = Ack { sequence, limits, ..Ack::default() };
        self.shared.add_learned(&mut ack, now);
        if !status.wants_news {
            return ack;
        }
        let members = self.shared.members();
        let exceptions = members.values().filter_map(|member| member.health.exception(now));
        ack.exceptions = exceptions.collect();
        ack.fleet_version = self.shared.fleet_version();
        ack
    }

    /// Records what the monitor with this incarnation tells of the others. It tells nothing of itself,
    /// which does not mean that it is well.
    fn record_news(&self, incarnation: u64, ack: &Ack, now: Time) {
        let exceptions = monitor::by_relay(&ack.exceptions);
        let mut members = self.shared.members();
        for (name, member) in members.iter_mut() {
            if member.incarnation == incarnation {
                continue;
            }
            let exception = exceptions.get(&member.health.relay()).copied();
            if member.health.record_news(exception, ack.fleet_version, now) {
                event!(MemberLeaving, member:% = name);
            }
        }
        drop(members);
        self.shared.record_news(now);
    }
}
