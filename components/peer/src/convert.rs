//! Conversion of membership datagrams between the state machine's types and the wire types.

use std::net::SocketAddr;

use cyclamengrade_control::{
    membership::{Datagram, Kind, Member, State},
    traffic::Demand,
};

use crate::wire;

pub(crate) fn encode(datagram: Datagram) -> wire::Datagram {
    let kind = match datagram.kind {
        Kind::Probe => wire::datagram::Kind::Probe(wire::Probe {}),
        Kind::Ack { subject } => wire::datagram::Kind::Ack(wire::Ack { subject }),
        Kind::IndirectProbe { subject, address } => {
            let address = address.to_string();
            wire::datagram::Kind::IndirectProbe(wire::IndirectProbe { subject, address })
        }
    };
    wire::Datagram {
        from: datagram.from,
        sequence: datagram.sequence,
        kind: Some(kind),
        changes: datagram.changes.into_iter().map(encode_member).collect(),
        revision: datagram.revision,
        demand: datagram.demand.into_iter().map(encode_demand).collect(),
    }
}

/// Decodes a datagram. Returns `None` if a required field is absent or malformed.
pub(crate) fn decode(datagram: wire::Datagram) -> Option<Datagram> {
    let kind = match datagram.kind? {
        wire::datagram::Kind::Probe(wire::Probe {}) => Kind::Probe,
        wire::datagram::Kind::Ack(wire::Ack { subject }) => Kind::Ack { subject },
        wire::datagram::Kind::IndirectProbe(wire::IndirectProbe { subject, address }) => {
            Kind::IndirectProbe { subject, address: address.parse().ok()? }
        }
    };
    Some(Datagram {
        from: datagram.from,
        sequence: datagram.sequence,
        kind,
        changes: datagram.changes.into_iter().map(decode_member).collect::<Option<_>>()?,
        revision: datagram.revision,
        demand: datagram.demand.into_iter().map(decode_demand).collect(),
    })
}

fn encode_member(member: Member) -> wire::Member {
    let state = match member.state {
        State::Alive => wire::State::Alive,
        State::Suspect => wire::State::Suspect,
        State::Leaving => wire::State::Leaving,
        State::Dead => wire::State::Dead,
    };
    wire::Member {
        name: member.name,
        address: member.address.to_string(),
        data_centre: member.data_centre,
        incarnation: member.incarnation,
        state: state.into(),
    }
}

fn decode_member(member: wire::Member) -> Option<Member> {
    let state = match wire::State::try_from(member.state).ok()? {
        wire::State::Alive => State::Alive,
        wire::State::Suspect => State::Suspect,
        wire::State::Leaving => State::Leaving,
        wire::State::Dead => State::Dead,
    };
    let address: SocketAddr = member.address.parse().ok()?;
    Some(Member {
        name: member.name,
        address,
        data_centre: member.data_centre,
        incarnation: member.incarnation,
        state,
    })
}

fn encode_demand(demand: Demand) -> wire::Demand {
    let Demand { client, deployment, requests_per_s } = demand;
    wire::Demand { client, deployment, requests_per_s }
}

fn decode_demand(demand: wire::Demand) -> Demand {
    let wire::Demand { client, deployment, requests_per_s } = demand;
    // A NaN or infinite rate would make every sum that includes it unusable.
    let requests_per_s = if requests_per_s.is_finite() { requests_per_s.max(0.0) } else { 0.0 };
    Demand { client, deployment, requests_per_s }
}
