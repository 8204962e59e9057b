//! UDP socket for the messages between relays and the brokers of their slots.

use std::{collections::BTreeSet, io, net::SocketAddr, time::Duration};

use cyclamengrade_control::relay::{
    allowance::{self, Report},
    broker::{
        Answer, Ask, Charge, Class, Held, Load, Measure, Release, Sync, Ticket, Urgency, Want,
        pace, speed,
    },
    limit::{self, Rate},
    monitor::{Exception, Status},
    origin::{Software, Stream},
    quarantine::{Part, Query},
};
use prost::Message as _;
use tokio::net::UdpSocket;

use crate::wire::{self, slot_message::Kind};

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A message of a relay to a broker or back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    Ask(Ask),
    /// Frees slots or withdraws requests for them.
    Release(Release),
    /// Frees slots with which nothing was sent to their upstreams.
    GiveBack(Vec<Ticket>),
    /// What the sender holds and wants, with its own state.
    Sync(Status, Sync),
    Answer(Answer),
    /// Answer to a [`Content::Sync`].
    Ack(Ack),
    /// Asks the receiver to keep the origin of a stream.
    Origin(Origin),
    /// Asks for the software that began a stream.
    Lookup(Stream),
    /// Blames parts of a prompt for the crash of an upstream, given by its short id.
    Blamed(u32, Vec<Part>),
    /// Asks whether parts are sound.
    PartsQuery(Query),
    /// Answer to a [`Content::PartsQuery`]: the parts that are sound.
    Sound(Vec<Part>),
    /// Parts with which requests are to be refused for a time.
    Held(Vec<Part>, Duration),
    /// Answer to a [`Content::Lookup`]; `None` if the sender does not know the stream.
    Found(Stream, Option<Software>),
    /// About the quota of a client account.
    Quota(allowance::Message),
}

/// Answer of a broker or monitor to the state of a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ack {
    /// Sequence number of the message that this one answers.
    pub sequence: u64,
    /// Version up to which the sender knows the fleet table; 0 if it was not asked for news.
    pub fleet_version: u64,
    /// Relays that are silent, disconnected from the store or shutting down.
    pub exceptions: Vec<Exception>,
    /// Limits of upstreams that the sender knows.
    pub limits: Vec<limit::News>,
    /// Speeds of upstreams that the sender has learned as their broker.
    pub speeds: Vec<speed::News>,
    /// Paces of upstreams that the sender keeps as their broker.
    pub paces: Vec<pace::News>,
}

/// Software that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    pub stream: Stream,
    pub software: Software,
    /// Time in which a caller may continue the stream.
    pub lifetime: Duration,
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Identifies the process of the sender; it differs after every restart.
    pub incarnation: u64,
    pub content: Content,
}

/// A bound UDP socket that sends and receives messages.
pub struct Socket {
    receiver: UdpSocket,
    /// Handle of the same socket for sending and reading without waiting.
    sender: std::net::UdpSocket,
}

impl Socket {
    /// Binds a socket. Has to be called within the runtime that receives the messages.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let sender = std::net::UdpSocket::bind(address)?;
        sender.set_nonblocking(true)?;
        let receiver = UdpSocket::from_std(sender.try_clone()?)?;
        Ok(Self { receiver, sender })
    }

    /// Returns the address at which messages arrive.
    ///
    /// # Errors
    ///
    /// Fails if the system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.receiver.local_addr()
    }

    /// Sends a message. Returns whether the system accepted it; its delivery is not confirmed.
    pub fn send(&self, to: SocketAddr, message: Message) -> bool {
        self.sender.send_to(&encode(message).encode_to_vec(), to).is_ok()
    }

    /// Returns the next well-formed message that has arrived, without waiting. Asks the system, since the
    /// runtime may not know yet of what came while the process was stopped.
    pub fn try_receive(&self, buffer: &mut Vec<u8>) -> Option<(SocketAddr, Message)> {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            // An error lasts for one call, and `receive` goes on after it.
            let (length, from) = self.sender.recv_from(buffer).ok()?;
            let message = wire::SlotMessage::decode(&buffer[..length]).ok();
            if let Some(message) = message.and_then(decode) {
                return Some((from, message));
            }
        }
    }

    /// Waits for the next well-formed message and ignores malformed ones.
    pub async fn receive(&self, buffer: &mut Vec<u8>) -> (SocketAddr, Message) {
        buffer.resize(MAX_DATAGRAM_BYTES, 0);
        loop {
            // An error reports that an earlier send reached a closed port. It does not mean that
            // the next read will fail.
            let Ok((length, from)) = self.receiver.recv_from(buffer).await else { continue };
            let message = wire::SlotMessage::decode(&buffer[..length]).ok();
            if let Some(message) = message.and_then(decode) {
                return (from, message);
            }
        }
    }
}

fn encode(message: Message) -> wire::SlotMessage {
    let kind = match message.content {
        Content::Ask(ask) => Kind::Ask(wire::SlotAsk {
            ticket: ask.ticket.0,
            shard: ask.shard,
            start_within_us: u64::try_from(ask.start_within.as_micros()).unwrap_or(u64::MAX),
            data_centre: ask.data_centre,
            connected: ask.connected.into_iter().collect(),
            avoid: ask.avoid.into_iter().collect(),
            software: ask.software.map(|software| software.0),
            charge: Some(encode_charge(ask.charge)),
        }),
        Content::Release(release) => Kind::Release(wire::SlotRelease {
            tickets: release.tickets.iter().map(|ticket| ticket.0).collect(),
            unused: false,
            measures: release.measures.into_iter().map(encode_measure).collect(),
        }),
        Content::GiveBack(tickets) => Kind::Release(wire::SlotRelease {
            tickets: tickets.iter().map(|ticket| ticket.0).collect(),
            unused: true,
            measures: Vec::new(),
        }),
        Content::Sync(status, sync) => Kind::Sync(encode_sync(status, sync)),
        Content::Answer(Answer::Granted { ticket, upstream, load, paced }) => {
            Kind::Granted(wire::SlotGranted {
                ticket: ticket.0,
                upstream,
                load: Some(encode_load(load)),
                paced,
            })
        }
        Content::Answer(Answer::Queued { ticket, load }) => {
            Kind::Queued(wire::SlotQueued { ticket: ticket.0, load: Some(encode_load(load)) })
        }
        Content::Answer(Answer::Refused { ticket, load }) => {
            Kind::Refused(wire::SlotRefused { ticket: ticket.0, load: Some(encode_load(load)) })
        }
        Content::Answer(Answer::Stop { ticket }) => Kind::Stop(wire::SlotStop { ticket: ticket.0 }),
        Content::Ack(ack) => Kind::Ack(wire::SlotAck {
            sequence: ack.sequence,
            fleet_version: ack.fleet_version,
            exceptions: ack.exceptions.into_iter().map(encode_exception).collect(),
            limits: ack.limits.into_iter().map(encode_limit).collect(),
            speeds: ack.speeds.into_iter().map(encode_speed).collect(),
            paces: ack.paces.into_iter().map(encode_pace).collect(),
        }),
        Content::Origin(origin) => Kind::Origin(wire::StreamOrigin {
            stream: origin.stream.0,
            software: origin.software.0,
            lifetime_ms: milliseconds(origin.lifetime),
        }),
        Content::Lookup(stream) => Kind::Lookup(wire::StreamLookup { stream: stream.0 }),
        Content::Blamed(upstream, parts) => {
            Kind::Blamed(wire::PartsBlamed { upstream, parts: encode_parts(&parts) })
        }
        Content::PartsQuery(query) => Kind::PartsQuery(wire::PartsQuery {
            parts: encode_parts(&query.parts),
            within_ms: milliseconds(query.within),
        }),
        Content::Sound(parts) => Kind::Sound(wire::PartsSound { parts: encode_parts(&parts) }),
        Content::Held(parts, left) => {
            Kind::Held(wire::PartsHeld { parts: encode_parts(&parts), left_ms: milliseconds(left) })
        }
        Content::Found(stream, software) => Kind::Found(wire::StreamFound {
            stream: stream.0,
            software: software.map(|software| software.0),
        }),
        Content::Quota(message) => encode_quota(message),
    };
    wire::SlotMessage { incarnation: message.incarnation, kind: Some(kind) }
}

fn encode_sync(status: Status, sync: Sync) -> wire::SlotSync {
    let held = sync.held.into_iter().map(|held| wire::SlotHeld {
        ticket: held.ticket.0,
        upstream: held.upstream,
        batch: held.class == Class::Batch,
        charge: Some(encode_charge(held.charge)),
    });
    let wants = sync.wants.into_iter().map(|want| wire::SlotWant {
        ticket: want.ticket.0,
        shard: want.shard,
        late: want.urgency.late,
        due_ms: want.urgency.due_ms,
        software: want.software.map(|software| software.0),
        charge: Some(encode_charge(want.charge)),
    });
    wire::SlotSync {
        from: status.name,
        sequence: status.sequence,
        store_age_ms: milliseconds(status.store_age),
        leaving: status.leaving,
        held: held.collect(),
        pending: sync.pending.into_iter().map(|ticket| ticket.0).collect(),
        wants: wants.collect(),
        failed: sync.failed.into_iter().collect(),
        news: status.wants_news,
        limits: sync.limits.into_iter().map(encode_limit).collect(),
        cut_off: status.cut_off,
        speeds: sync.speeds.into_iter().map(encode_speed).collect(),
        paces: sync.paces.into_iter().map(encode_pace).collect(),
    }
}

fn encode_speed(news: speed::News) -> wire::UpstreamSpeed {
    let speed::News { upstream, slowness_milli, age } = news;
    wire::UpstreamSpeed { upstream, slowness_milli, age_ms: milliseconds(age) }
}

fn decode_speed(speed: wire::UpstreamSpeed) -> speed::News {
    let wire::UpstreamSpeed { upstream, slowness_milli, age_ms } = speed;
    speed::News { upstream, slowness_milli, age: Duration::from_millis(age_ms.into()) }
}

fn encode_pace(news: pace::News) -> wire::UpstreamPace {
    wire::UpstreamPace {
        upstream: news.upstream,
        limit: news.limit,
        pause_ms: milliseconds(news.pause),
        failures: news.failures,
        age_ms: milliseconds(news.age),
    }
}

fn decode_pace(pace: wire::UpstreamPace) -> pace::News {
    pace::News {
        upstream: pace.upstream,
        limit: pace.limit,
        pause: Duration::from_millis(pace.pause_ms.into()),
        failures: pace.failures,
        age: Duration::from_millis(pace.age_ms.into()),
    }
}

/// Encodes a charge. Without an account it is as long as the field of a build that has none.
const fn encode_charge(charge: Charge) -> wire::SlotCharge {
    let Charge { account, priority, tokens } = charge;
    wire::SlotCharge { account, priority, tokens }
}

fn decode_charge(charge: Option<wire::SlotCharge>) -> Charge {
    let wire::SlotCharge { account, priority, tokens } = charge.unwrap_or_default();
    Charge { account, priority, tokens }
}

fn encode_measure(measure: Measure) -> wire::SlotMeasure {
    wire::SlotMeasure {
        ticket: measure.ticket.0,
        first_us: microseconds(measure.first),
        gap_us: microseconds(measure.gap),
        events: measure.events,
        complete: measure.complete,
    }
}

fn decode_measure(measure: wire::SlotMeasure) -> Measure {
    Measure {
        ticket: Ticket(measure.ticket),
        first: Duration::from_micros(measure.first_us.into()),
        gap: Duration::from_micros(measure.gap_us.into()),
        events: measure.events,
        complete: measure.complete,
    }
}

fn encode_quota(message: allowance::Message) -> Kind {
    match message {
        allowance::Message::Ask(ask) => Kind::QuotaAsk(wire::QuotaAsk {
            ticket: ask.ticket,
            account: ask.account,
            count: ask.count,
            rate_milli: ask.limit.rate_milli,
            burst_milli: ask.limit.burst_milli,
            configuration: ask.configuration,
            report: ask.report.map(encode_report),
        }),
        allowance::Message::Granted { ticket, account, count, level_milli } => {
            Kind::QuotaGranted(wire::QuotaGranted { ticket, account, count, level_milli })
        }
        allowance::Message::Refused { ticket, account, wait, level_milli } => {
            let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
            Kind::QuotaRefused(wire::QuotaRefused { ticket, account, wait_us, level_milli })
        }
        allowance::Message::Return { account, count } => {
            Kind::QuotaReturn(wire::QuotaReturn { account, count })
        }
        allowance::Message::Closed { ticket, account, report } => {
            let report = report.map(encode_report);
            Kind::QuotaClosed(wire::QuotaClosed { ticket, account, report })
        }
        allowance::Message::Handover(handover) => Kind::QuotaHandover(wire::QuotaHandover {
            account: handover.account,
            rate_milli: handover.limit.rate_milli,
            burst_milli: handover.limit.burst_milli,
            configuration: handover.configuration,
            report: Some(encode_report(handover.report)),
        }),
        allowance::Message::Claim { ticket, account } => {
            Kind::QuotaClaim(wire::QuotaClaim { ticket, account })
        }
        allowance::Message::Yielded { ticket, account, report, memory } => {
            let report = report.map(encode_report);
            let memory_ms = u64::try_from(memory.as_millis()).unwrap_or(u64::MAX);
            Kind::QuotaYielded(wire::QuotaYielded { ticket, account, report, memory_ms })
        }
        allowance::Message::Moved { ticket, account, holder } => {
            let holder = holder.to_string();
            Kind::QuotaMoved(wire::QuotaMoved { ticket, account, holder })
        }
    }
}

fn encode_report(report: Report) -> wire::QuotaReport {
    wire::QuotaReport { level_milli: report.level_milli, age_ms: milliseconds(report.age) }
}

fn decode_report(report: wire::QuotaReport) -> Report {
    let wire::QuotaReport { level_milli, age_ms } = report;
    Report { level_milli, age: Duration::from_millis(age_ms.into()) }
}

fn decode_handover(handover: wire::QuotaHandover) -> Option<allowance::Handover> {
    let wire::QuotaHandover { account, rate_milli, burst_milli, configuration, report } = handover;
    let limit = allowance::Limit { rate_milli, burst_milli };
    Some(allowance::Handover { account, limit, configuration, report: decode_report(report?) })
}

fn decode_ask(ask: wire::QuotaAsk) -> allowance::Ask {
    allowance::Ask {
        ticket: ask.ticket,
        account: ask.account,
        count: ask.count,
        limit: allowance::Limit { rate_milli: ask.rate_milli, burst_milli: ask.burst_milli },
        configuration: ask.configuration,
        report: ask.report.map(decode_report),
    }
}

fn encode_limit(news: limit::News) -> wire::UpstreamLimit {
    let rate_milli = news.rate.map(|rate| rate.0);
    wire::UpstreamLimit { upstream: news.upstream, rate_milli, age_ms: milliseconds(news.age) }
}

fn decode_limit(limit: wire::UpstreamLimit) -> limit::News {
    limit::News {
        upstream: limit.upstream,
        rate: limit.rate_milli.map(Rate),
        age: Duration::from_millis(limit.age_ms.into()),
    }
}

fn encode_exception(exception: Exception) -> wire::SlotMember {
    wire::SlotMember {
        relay: exception.relay,
        silence_ms: milliseconds(exception.silence),
        store_age_ms: milliseconds(exception.store_age),
        leaving: exception.leaving,
        cut_off: exception.cut_off,
    }
}

fn encode_parts(parts: &[Part]) -> Vec<u64> {
    parts.iter().map(|part| part.0).collect()
}

fn decode_parts(parts: Vec<u64>) -> Vec<Part> {
    parts.into_iter().map(Part).collect()
}

fn encode_load(load: Load) -> wire::SlotLoad {
    wire::SlotLoad { permille: load.permille, wait_ms: milliseconds(load.wait) }
}

fn microseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn decode(message: wire::SlotMessage) -> Option<Message> {
    let content = match message.kind? {
        Kind::Ask(ask) => Content::Ask(Ask {
            ticket: Ticket(ask.ticket),
            shard: ask.shard,
            start_within: Duration::from_micros(ask.start_within_us),
            data_centre: ask.data_centre,
            connected: ask.connected.into_iter().collect(),
            avoid: ask.avoid.into_iter().collect(),
            software: ask.software.map(Software),
            charge: decode_charge(ask.charge),
        }),
        Kind::Release(release) => {
            let tickets = release.tickets.into_iter().map(Ticket).collect();
            let measures = release.measures.into_iter().map(decode_measure).collect();
            match release.unused {
                true => Content::GiveBack(tickets),
                false => Content::Release(Release { tickets, measures }),
            }
        }
        Kind::Sync(sync) => decode_sync(sync),
        Kind::Granted(granted) => Content::Answer(Answer::Granted {
            ticket: Ticket(granted.ticket),
            upstream: granted.upstream,
            load: decode_load(granted.load),
            paced: granted.paced,
        }),
        Kind::Queued(queued) => Content::Answer(Answer::Queued {
            ticket: Ticket(queued.ticket),
            load: decode_load(queued.load),
        }),
        Kind::Refused(refused) => Content::Answer(Answer::Refused {
            ticket: Ticket(refused.ticket),
            load: decode_load(refused.load),
        }),
        Kind::Stop(stop) => Content::Answer(Answer::Stop { ticket: Ticket(stop.ticket) }),
        Kind::Ack(ack) => Content::Ack(Ack {
            sequence: ack.sequence,
            fleet_version: ack.fleet_version,
            exceptions: ack.exceptions.into_iter().map(decode_exception).collect(),
            limits: ack.limits.into_iter().map(decode_limit).collect(),
            speeds: ack.speeds.into_iter().map(decode_speed).collect(),
            paces: ack.paces.into_iter().map(decode_pace).collect(),
        }),
        Kind::Origin(origin) => Content::Origin(Origin {
            stream: Stream(origin.stream),
            software: Software(origin.software),
            lifetime: Duration::from_millis(origin.lifetime_ms.into()),
        }),
        Kind::Lookup(lookup) => Content::Lookup(Stream(lookup.stream)),
        Kind::Blamed(blamed) => Content::Blamed(blamed.upstream, decode_parts(blamed.parts)),
        Kind::PartsQuery(query) => Content::PartsQuery(Query {
            parts: decode_parts(query.parts),
            within: Duration::from_millis(query.within_ms.into()),
        }),
        Kind::Sound(sound) => Content::Sound(decode_parts(sound.parts)),
        Kind::Held(held) => {
            Content::Held(decode_parts(held.parts), Duration::from_millis(held.left_ms.into()))
        }
        Kind::Found(found) => Content::Found(Stream(found.stream), found.software.map(Software)),
        Kind::QuotaAsk(ask) => Content::Quota(allowance::Message::Ask(decode_ask(ask))),
        Kind::QuotaGranted(granted) => Content::Quota(allowance::Message::Granted {
            ticket: granted.ticket,
            account: granted.account,
            count: granted.count,
            level_milli: granted.level_milli,
        }),
        Kind::QuotaRefused(refused) => Content::Quota(allowance::Message::Refused {
            ticket: refused.ticket,
            account: refused.account,
            wait: Duration::from_micros(refused.wait_us),
            level_milli: refused.level_milli,
        }),
        Kind::QuotaReturn(returned) => Content::Quota(allowance::Message::Return {
            account: returned.account,
            count: returned.count,
        }),
        Kind::QuotaClosed(closed) => Content::Quota(allowance::Message::Closed {
            ticket: closed.ticket,
            account: closed.account,
            report: closed.report.map(decode_report),
        }),
        Kind::QuotaHandover(handover) => {
            Content::Quota(allowance::Message::Handover(decode_handover(handover)?))
        }
        Kind::QuotaClaim(claim) => Content::Quota(allowance::Message::Claim {
            ticket: claim.ticket,
            account: claim.account,
        }),
        Kind::QuotaYielded(yielded) => Content::Quota(allowance::Message::Yielded {
            ticket: yielded.ticket,
            account: yielded.account,
            report: yielded.report.map(decode_report),
            memory: Duration::from_millis(yielded.memory_ms),
        }),
        Kind::QuotaMoved(moved) => Content::Quota(allowance::Message::Moved {
            ticket: moved.ticket,
            account: moved.account,
            holder: moved.holder.parse().ok()?,
        }),
    };
    Some(Message { incarnation: message.incarnation, content })
}

fn decode_sync(sync: wire::SlotSync) -> Content {
    let held = sync.held.into_iter().map(|held| Held {
        ticket: Ticket(held.ticket),
        upstream: held.upstream,
        class: if held.batch { Class::Batch } else { Class::Online },
        charge: decode_charge(held.charge),
    });
    let wants = sync.wants.into_iter().map(|want| Want {
        ticket: Ticket(want.ticket),
        shard: want.shard,
        urgency: Urgency { late: want.late, due_ms: want.due_ms },
        software: want.software.map(Software),
        charge: decode_charge(want.charge),
    });
    let status = Status {
        name: sync.from,
        sequence: sync.sequence,
        store_age: Duration::from_millis(sync.store_age_ms.into()),
        leaving: sync.leaving,
        cut_off: sync.cut_off,
        wants_news: sync.news,
    };
    let pending: BTreeSet<Ticket> = sync.pending.into_iter().map(Ticket).collect();
    let failed = sync.failed.into_iter().collect();
    let limits = sync.limits.into_iter().map(decode_limit).collect();
    let (held, wants) = (held.collect(), wants.collect());
    let speeds = sync.speeds.into_iter().map(decode_speed).collect();
    let paces = sync.paces.into_iter().map(decode_pace).collect();
    Content::Sync(status, Sync { held, pending, wants, failed, limits, paces, speeds })
}

fn decode_exception(member: wire::SlotMember) -> Exception {
    Exception {
        relay: member.relay,
        silence: Duration::from_millis(member.silence_ms.into()),
        store_age: Duration::from_millis(member.store_age_ms.into()),
        leaving: member.leaving,
        cut_off: member.cut_off,
    }
}

fn decode_load(load: Option<wire::SlotLoad>) -> Load {
    let load = load.unwrap_or_default();
    Load { permille: load.permille, wait: Duration::from_millis(load.wait_ms.into()) }
}
