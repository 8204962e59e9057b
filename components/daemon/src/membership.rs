//! Actor that runs the membership protocol: it probes the other daemons and publishes which of them
//! are live.

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
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Number of ticks between two updates of the published demand of the other daemons.
const TICKS_PER_DEMAND_UPDATE: u32 = 10;
/// Capacity of the queue of outgoing datagrams. Datagrams beyond it are dropped, which the protocol
/// tolerates like loss in the network.
const SEND_QUEUE_CAPACITY: usize = 1_024;

/// Actor that probes the other daemons and publishes the live ones.
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
    /// Starts the actor and its tasks. Must be called on the control thread's runtime.
    pub fn start(
        node: Arc<Node>,
        socket: Socket,
        members: watch::Sender<Arc<Members>>,
        follower: ActorRef<Follower>,
        seed: u64,
    ) -> ActorRef<Self> {
        let machine = Machine::new(machine_settings(&node, seed));
        let (outgoing, queue) = mpsc::channel(SEND_QUEUE_CAPACITY);
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
        node.traffic.spawn(send_datagrams(Arc::clone(&socket), queue));
        node.traffic.spawn(receive_datagrams(socket, actor.clone()));
        tokio::spawn(send_ticks(actor.clone()));
        tokio::spawn(forward_vms(Arc::clone(&node), actor.clone()));
        tokio::spawn(forward_revisions(node, actor.clone()));
        actor
    }

    /// Carries out an action and returns whether the set of live daemons may have changed.
    async fn perform(&mut self, action: Action) -> bool {
        match action {
            Action::Send { to, datagram } => {
                let _ = self.outgoing.try_send((to, datagram));
                false
            }
            Action::Changed(member) => {
                log_state(&member);
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
        let mut daemons: Vec<Member> = self.machine.live().into_iter().map(member_of).collect();
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

    /// Notifies the follower, once, that every listed daemon has answered a probe or has had the
    /// time to answer.
    async fn report_peers_asked(&mut self) {
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
            changed |= self.perform(action).await;
        }
        if is_tick {
            self.ticks += 1;
            changed |= self.ticks.is_multiple_of(TICKS_PER_DEMAND_UPDATE);
            self.report_peers_asked().await;
        }
        if changed {
            self.publish();
        }
    }
}

fn machine_settings(node: &Node, seed: u64) -> Settings {
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

fn log_state(member: &membership::Member) {
    let name = member.name.as_str();
    match member.state {
        State::Alive => event!(MemberJoined, member = name),
        State::Suspect => event!(MemberSuspected, member = name),
        State::Leaving => event!(MemberLeaving, member = name),
        State::Dead => event!(MemberGone, member = name),
    }
}

fn member_of(candidate: Candidate) -> Member {
    let Candidate { name, address, data_centre } = candidate;
    Member { name, address, data_centre }
}

async fn send_datagrams(socket: Arc<Socket>, mut queue: mpsc::Receiver<(SocketAddr, Datagram)>) {
    while let Some((to, datagram)) = queue.recv().await {
        if let Ok(bytes) = socket.send(to, datagram).await {
            count_datagram("sent", bytes);
        }
    }
}

async fn receive_datagrams(socket: Arc<Socket>, actor: ActorRef<Prober>) {
    loop {
        let Received { from, datagram, bytes } = socket.receive().await;
        count_datagram("received", bytes);
        if actor.tell(Input::Received { from, datagram }).await.is_err() {
            return;
        }
    }
}

fn count_datagram(direction: &'static str, bytes: usize) {
    counter!(metrics::PEER_MESSAGES, "message" => "datagram", "direction" => direction)
        .increment(1);
    counter!(metrics::PEER_BYTES, "transport" => "udp", "direction" => direction)
        .increment(bytes as u64);
}

async fn send_ticks(actor: ActorRef<Prober>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    loop {
        interval.tick().await;
        if actor.tell(Input::Tick).await.is_err() {
            return;
        }
    }
}

async fn forward_vms(node: Arc<Node>, actor: ActorRef<Prober>) {
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

async fn forward_revisions(node: Arc<Node>, actor: ActorRef<Prober>) {
    let mut configuration = node.configuration.clone();
    while configuration.changed().await.is_ok() {
        let revision = configuration.borrow_and_update().revision;
        if actor.tell(Input::Revision(revision)).await.is_err() {
            return;
        }
    }
}
