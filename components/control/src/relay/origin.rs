//! Software versions that began recent streams.
//!
//! Upstreams of several software versions may serve side by side, and what two versions write does
//! not fit together. A broken stream is therefore continued only at the version that began it, also
//! by a relay that did not begin it. Relays keep the version of each stream for each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    hash::{self, short},
    time::Time,
};

/// Limit on the streams that are remembered; beyond it, those that expire first are forgotten.
const MAX_STREAMS: usize = 1 << 16;
/// Longest time for which a stream is remembered.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// Identifies one software version of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Software(pub u32);

impl Software {
    /// Returns the identifier of a version of a deployment.
    pub fn new(deployment: &str, version: &str) -> Self {
        Self(short(hash::stable(&["software", deployment, version])))
    }
}

/// Identifies a stream, by the id of the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stream(pub u64);

impl Stream {
    /// Returns the identifier of the stream that a request began.
    pub fn new(request: &str) -> Self {
        Self(hash::stable(&["stream", request]))
    }

    /// Returns the `count` relays among `names` that keep the origin of the stream.
    pub fn keepers<'a>(
        self,
        names: impl IntoIterator<Item = &'a str>,
        count: usize,
    ) -> Vec<&'a str> {
        hash::subset(names, &self.0.to_string(), count)
    }
}

#[derive(Clone, Copy, Debug)]
struct Origin {
    software: Software,
    expires: Time,
}

/// The software versions that began recent streams.
#[derive(Debug, Default)]
pub struct Origins {
    by_stream: BTreeMap<Stream, Origin>,
    by_expiry: BTreeSet<(Time, Stream)>,
}

impl Origins {
    /// Creates a record of no streams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the version that began a stream, which may be continued during `lifetime`.
    pub fn record(&mut self, now: Time, stream: Stream, software: Software, lifetime: Duration) {
        while let Some((expires, oldest)) = self.by_expiry.first().copied()
            && (expires <= now || self.by_expiry.len() >= MAX_STREAMS)
        {
            self.by_expiry.remove(&(expires, oldest));
            self.by_stream.remove(&oldest);
        }
        let expires = now + lifetime.min(MAX_LIFETIME);
        if let Some(known) = self.by_stream.insert(stream, Origin { software, expires }) {
            self.by_expiry.remove(&(known.expires, stream));
        }
        self.by_expiry.insert((expires, stream));
    }

    /// Returns the streams that may still be continued, with their versions and remaining lifetimes.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (Stream, Software, Duration)> {
        self.by_stream
            .iter()
            .filter(move |(_, origin)| origin.expires > now)
            .map(move |(stream, origin)| (*stream, origin.software, origin.expires.since(now)))
    }

    /// Returns the version that began a stream, if it is known.
    pub fn find(&self, now: Time, stream: Stream) -> Option<Software> {
        let origin = self.by_stream.get(&stream)?;
        (origin.expires > now).then_some(origin.software)
    }
}
