//! Actor that probes the other daemons.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ::metrics::{counter, gauge};
use cyclamengrade_control::{
    membership::{self, Action, Candidate, Datagram, Input, Machine, Settings, State},
    revision,
};
use cyclamengrade_peer::{Received, Socket};
use cyclamengrade_telemetry::{event, metrics};
use kameo::prelude::{Actor, ActorRef, Context, Message, Spawn};
use tokio::sync::{mpsc, watch};

use crate::{
    configuration::Follower,
    node::{Member, Members, Node, SERVICE},
};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two refreshes of the members' demand.
const TICKS_PER_DEMAND: u32 = 10;
/// Datagrams that may wait to be sent; more are dropped, as on any congested network.
const SEND_QUEUE: usize = 1_024;

/// Probes the other daemons and publishes who is live.
#[derive(Actor)]
pub struct Prober {
    machine: Machine,
    node: Arc<Node>,
    outgoing: mpsc::Sender<(SocketAddr, Datagram)>,
    members: watch::Sender<Arc<Members>>,
    follower: ActorRef<Follower>,
    ticks: u32,
    peers_asked: bool,
}

impl Prober {
    /// Starts probing on a bound socket; must run on the control thread's runtime.
    pub fn start(
        node: Arc<Node>,
        socket: Socket,
        members: watch::Sender<Arc<Members>>,
        follower: ActorRef<Follower>,
        seed: u64,
    ) -> ActorRef<Self> {
        let machine = Machine::new(settings(&node, seed));
        let (outgoing, queue) = mpsc::channel(SEND_QUEUE);
        let peers_asked = false;
        let actor = Self::spawn(Self {
            machine,
            node: Arc::clone(&node),
            outgoing,
            members,
            follower,
            ticks: 0,
            peers_asked,
        });
        let socket = Arc::new(socket);
        node.traffic.spawn(send(Arc::clone(&socket), queue));
        node.traffic.spawn(receive(socket, actor.clone()));
        tokio::spawn(tick(actor.clone()));
        tokio::spawn(list(Arc::clone(&node), actor.clone()));
        tokio::spawn(announce_revisions(node, actor.clone()));
        actor
    }

    async fn act(&mut self, action: Action) -> bool {
        match action {
            Action::Send { to, datagram } => {
                let _ = self.outgoing.try_send((to, datagram));
                false
            }
            Action::Changed(member) => {
                report(&member);
                true
            }
            Action::NewerRevision { revision, address, .. } => {
                let input = revision::Input::PeerRevision { revision, address };
                let _ = self.follower.tell(input).await;
                false
            }
        }
    }

    fn publish(&mut self) {
        let now = self.node.clock.now();
        let own = &self.node.settings;
        let mut daemons: Vec<Member> = self.machine.live().into_iter().map(member).collect();
        daemons.push(Member {
            name: own.name.clone(),
            address: own.peer_listen,
            data_centre: own.data_centre.clone(),
        });
        daemons.sort_by(|a, b| a.name.cmp(&b.name));
        let demand = self.machine.demand_of_others(now);
        gauge!(metrics::MEMBERS, "state" => "live").set(daemons.len() as f64);
        let members = Arc::new(Members { daemons, demand });
        self.members.send_if_modified(|current| {
            let modified = **current != *members;
            *current = members;
            modified
        });
    }

    /// Tells the follower once that every listed daemon has had the time to answer.
    async fn report_asked(&mut self) {
        if !self.peers_asked && self.machine.settled() {
            self.peers_asked = true;
            let _ = self.follower.tell(revision::Input::PeersAsked).await;
        }
    }
}

impl Message<Input> for Prober {
    type Reply = ();

    async fn handle(&mut self, input: Input, _: &mut Context<Self, ()>) {
        let is_tick = input == Input::Tick;
        let actions = self.machine.handle(self.node.clock.now(), input);
        let mut changed = false;
        for action in actions {
            changed |= self.act(action).await;
        }
        if is_tick {
            self.ticks += 1;
            changed |= self.ticks.is_multiple_of(TICKS_PER_DEMAND);
            self.report_asked().await;
        }
        if changed {
            self.publish();
        }
    }
}

fn settings(node: &Node, seed: u64) -> Settings {
    let settings = &node.settings;
    Settings {
        own: Candidate {
            name: settings.name.clone(),
            address: settings.peer_listen,
            data_centre: settings.data_centre.clone(),
        },
        incarnation: node.clock.unix_ms(),
        seed,
        probe_period: Duration::from_millis(settings.peer.probe_period_ms),
        probe_timeout: Duration::from_millis(settings.peer.probe_timeout_ms),
        indirect_probes: settings.peer.indirect_probes,
        suspicion: Duration::from_millis(settings.peer.suspicion_ms),
    }
}

fn report(member: &membership::Member) {
    let name = member.name.as_str();
    match member.state {
        State::Alive => event!(MemberJoined, member = name),
        State::Suspect => event!(MemberSuspected, member = name),
        State::Leaving => event!(MemberLeaving, member = name),
        State::Dead => event!(MemberGone, member = name),
    }
}

fn member(candidate: Candidate) -> Member {
    let Candidate { name, address, data_centre } = candidate;
    Member { name, address, data_centre }
}

async fn send(socket: Arc<Socket>, mut queue: mpsc::Receiver<(SocketAddr, Datagram)>) {
    while let Some((to, datagram)) = queue.recv().await {
        if let Ok(bytes) = socket.send(to, datagram).await {
            count("sent", bytes);
        }
    }
}

async fn receive(socket: Arc<Socket>, actor: ActorRef<Prober>) {
    loop {
        let Received { from, datagram, bytes } = socket.receive().await;
        count("received", bytes);
        if actor.tell(Input::Received { from, datagram }).await.is_err() {
            return;
        }
    }
}

fn count(direction: &'static str, bytes: usize) {
    counter!(metrics::PEER_MESSAGES, "message" => "datagram", "direction" => direction)
        .increment(1);
    counter!(metrics::PEER_BYTES, "transport" => "udp", "direction" => direction)
        .increment(bytes as u64);
}

async fn tick(actor: ActorRef<Prober>) {
    let mut interval = tokio::time::interval(TICK);
    loop {
        interval.tick().await;
        if actor.tell(Input::Tick).await.is_err() {
            return;
        }
    }
}

async fn list(node: Arc<Node>, actor: ActorRef<Prober>) {
    let mut fleet = node.fleet.clone();
    while fleet.changed().await.is_ok() {
        let vms = Arc::clone(&fleet.borrow_and_update());
        let candidates = vms
            .iter()
            .filter(|vm| vm.service == SERVICE)
            .map(|vm| Candidate {
                name: vm.name.clone(),
                address: vm.address,
                data_centre: vm.data_centre.clone(),
            })
            .collect();
        if actor.tell(Input::Listed(candidates)).await.is_err() {
            return;
        }
    }
}

async fn announce_revisions(node: Arc<Node>, actor: ActorRef<Prober>) {
    let mut configuration = node.configuration.clone();
    while configuration.changed().await.is_ok() {
        let revision = configuration.borrow_and_update().revision;
        if actor.tell(Input::Revision(revision)).await.is_err() {
            return;
        }
    }
}
