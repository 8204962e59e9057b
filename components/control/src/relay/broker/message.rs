//! Messages between a relay and the brokers of the slots that it uses.

use std::{collections::BTreeSet, time::Duration};

use crate::relay::{
    broker::{pace, speed},
    limit,
    origin::Software,
};

/// Class of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A request whose caller waits for the response.
    Online,
    /// An item of a batch job.
    Batch,
}

/// Identifies a request for a slot. Tickets of one start of a relay increase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Identifies one start of a relay, by its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder(pub u64);

/// Whom a slot is charged to when client accounts compete for slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge {
    /// Hash of the name of the account, see [`shard::name_id`](crate::relay::shard::name_id); `None` without
    /// accounts.
    pub account: Option<u32>,
    /// Priority of the account, else of the route; 0 is the most urgent.
    pub priority: u32,
    /// Stated cost in tokens: those of the prompt and ten times those of the output; 0 if not stated.
    pub tokens: u32,
}

/// How an upstream answered a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measure {
    pub ticket: Ticket,
    /// Time from sending the request to its first event.
    pub first: Duration,
    /// Mean time between two events; zero with fewer than two.
    pub gap: Duration,
    pub events: u32,
    /// Whether the response was complete.
    pub complete: bool,
}

/// Frees slots after requests were sent to their upstreams, or withdraws requests for slots.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Release {
    pub tickets: Vec<Ticket>,
    /// What is known of some of the requests.
    pub measures: Vec<Measure>,
}

impl From<Ticket> for Release {
    fn from(ticket: Ticket) -> Self {
        Self { tickets: vec![ticket], measures: Vec::new() }
    }
}

/// Asks for a slot for an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    pub ticket: Ticket,
    /// Shard of upstreams that the slot is to come from.
    pub shard: u32,
    /// Time within which the request has to be sent to its upstream.
    pub start_within: Duration,
    /// Hash of the relay's data centre.
    pub data_centre: u32,
    /// Upstreams to which the relay has an idle connection.
    pub connected: BTreeSet<u32>,
    /// Upstreams that this request must not be sent to.
    pub avoid: BTreeSet<u32>,
    /// Software of the upstream, if the request continues a stream.
    pub software: Option<Software>,
    pub charge: Charge,
}

impl Ask {
    /// Whether the request must not be sent to some upstreams.
    pub fn is_restricted(&self) -> bool {
        self.software.is_some() || !self.avoid.is_empty()
    }
}

/// A slot that a relay holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    pub ticket: Ticket,
    pub upstream: u32,
    pub class: Class,
    pub charge: Charge,
}

/// A batch item that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Want {
    pub ticket: Ticket,
    pub shard: u32,
    /// Urgency of the item; the smallest goes first.
    pub urgency: Urgency,
    /// Software of the upstream, if the run continues a text.
    pub software: Option<Software>,
    pub charge: Charge,
}

/// Order of the batch items of all relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether the item is expected to miss its due time.
    pub late: bool,
    /// Due time on the store's clock, in milliseconds.
    pub due_ms: u64,
}

/// Everything that a relay holds and wants at one broker. Replaces what the broker knew of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sync {
    pub held: Vec<Held>,
    /// Tickets of online requests that wait for an answer.
    pub pending: BTreeSet<Ticket>,
    pub wants: Vec<Want>,
    /// Upstreams that the relay does not use after failures.
    pub failed: BTreeSet<u32>,
    /// Limits that the relay knows.
    pub limits: Vec<limit::News>,
    /// Paces that the relay knows from another broker.
    pub paces: Vec<pace::News>,
    /// Speeds that the relay knows from another broker.
    pub speeds: Vec<speed::News>,
}

/// Message of a broker to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The relay holds a slot of the upstream from now on.
    ///
    /// With `paced`, the broker waits for the time to the first event of the request before it grants more slots
    /// of the upstream.
    Granted { ticket: Ticket, upstream: u32, load: Load, paced: bool },
    /// The request waits for a slot.
    Queued { ticket: Ticket, load: Load },
    /// No slot becomes free in time.
    Refused { ticket: Ticket, load: Load },
    /// The slot of a batch item is needed for an online request.
    Stop { ticket: Ticket },
}

/// Load of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots in use and online requests that wait, in thousandths of all slots.
    pub permille: u32,
    /// Expected wait of a further online request.
    pub wait: Duration,
}
